/** @file cache_base.h Prefix cache of the engine stand-in. */
#pragma once

#include "../standin_func.h"

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace skylark::standin {

/** Published event about a block that was stored or evicted. */
struct PublishedEvent {
    std::uint64_t sequence{0};
    bool stored{true}; ///< Whether the block was stored; otherwise it was evicted.
    std::uint64_t hash{0}; ///< Hash of the prefix up to this block.
    SteadyTime visibleFrom; ///< Time from which the event is reported.
};

/** Bounded cache of prompt blocks with LRU eviction. */
struct PrefixCache {
    std::size_t capacity{4096}; ///< Maximum number of blocks.
    std::chrono::milliseconds eventLag{300}; ///< Delay from a change to the publication of its event.
    double eventLoss{0.02}; ///< Probability that an event is lost; its sequence number is skipped.
    std::uint64_t randomState{1}; ///< State of the pseudo-random generator.
    std::list<std::uint64_t> recent; ///< Prefix hashes of the blocks, the most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks; ///< Position in @c recent by prefix hash.
    std::deque<PublishedEvent> events; ///< Latest events, including those not yet visible.
    std::uint64_t lastSequence{0};
};

/** Looks up the blocks of a prompt and stores the missing ones. @return The number of leading blocks that were cached already. */
[[nodiscard]] std::size_t cachePrompt(PrefixCache &cache, const std::vector<std::uint64_t> &hashes, SteadyTime now);

/** @return The visible events with a sequence number above @p from, in wire format. */
[[nodiscard]] boost::json::object cacheEvents(const PrefixCache &cache, std::uint64_t from, SteadyTime now);

} // namespace skylark::standin
