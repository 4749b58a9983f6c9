/** @file cache_base.h Prefix cache of the engine stand-in. */
#pragma once

#include "../standin_func.h"

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace skylark::standin {

/** One change of the cache as it is published. */
struct PublishedEvent {
    std::uint64_t sequence{0}; ///< Sequence number.
    bool stored{true}; ///< Stored or evicted.
    std::uint64_t hash{0}; ///< Prefix hash.
    SteadyTime visible; ///< Time from which callers see it.
};

/** Bounded cache of prompt blocks, least recently used first out. */
struct PrefixCache {
    std::size_t capacity{4096}; ///< Most blocks.
    std::chrono::milliseconds eventLag{300}; ///< Age that an event has when it is first published.
    double eventLoss{0.02}; ///< Probability that an event is never published.
    std::uint64_t random{1}; ///< State of the random sequence.
    std::list<std::uint64_t> recent; ///< Blocks, the most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks; ///< Place of each block.
    std::deque<PublishedEvent> events; ///< Last events.
    std::uint64_t lastSequence{0}; ///< Last sequence number.
};

/** Looks up and stores the blocks of a prompt. @return The number of leading blocks that were cached. */
[[nodiscard]] std::size_t cachePrompt(PrefixCache &cache, const std::vector<std::uint64_t> &hashes, SteadyTime now);

/** @return The events after @p from that are visible, in wire form. */
[[nodiscard]] boost::json::object cacheEvents(const PrefixCache &cache, std::uint64_t from, SteadyTime now);

} // namespace skylark::standin
