/** @file affinity_base.h Prefix affinity: which target probably has a prompt prefix in its cache. */
#pragma once

#include "core/id_type.h"

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylark {

/** One prompt prefix and the target that probably caches it. */
struct AffinityEntry {
    std::uint64_t prefix{0}; ///< Hash from prefixHashes().
    TargetId target; ///< Target that computed the prefix last.
};

/** Bounded LRU table of prefixes. Not thread-safe: used by one thread only. */
struct AffinityTable {
    std::size_t capacity{16384}; ///< Maximum number of entries; an entry takes about 100 bytes.
    std::list<AffinityEntry> recent; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<AffinityEntry>::iterator> byPrefix; ///< Index into recent by prefix hash.
};

/** Result of findAffinity(). */
struct AffinityMatch {
    TargetId target; ///< Target, or an empty id if no prefix is known.
    double share{0}; ///< Fraction of the prompt's blocks that the target probably caches, 0 to 1.
};

/**
 * Hashes the prefixes of a prompt.
 * @param model Seeds the hashes, so that equal prompts for different models do not match.
 * @return Hash of each prefix of @p prompt that ends at a block boundary (256 bytes), shortest first, for at most 64 blocks.
 */
[[nodiscard]] std::vector<std::uint64_t> prefixHashes(std::string_view prompt, std::string_view model);

/** Records that @p target has computed the prefixes, and evicts the least recently used entries above the capacity. */
void recordPrefixes(AffinityTable &table, const std::vector<std::uint64_t> &prefixes, const TargetId &target);

/** @return The target that computed the longest known prefix of those in @p prefixes. */
[[nodiscard]] AffinityMatch findAffinity(const AffinityTable &table, const std::vector<std::uint64_t> &prefixes);

/** Removes all prefixes of @p target. */
void removeTargetPrefixes(AffinityTable &table, const TargetId &target);

} // namespace skylark
