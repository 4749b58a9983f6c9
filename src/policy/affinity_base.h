/** @file affinity_base.h Which target probably has a prompt prefix in its cache. */
#pragma once

#include "core/id_type.h"

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylark {

/** One known prefix. */
struct AffinityEntry {
    std::uint64_t prefix{0}; ///< Hash of the prefix.
    TargetId target; ///< Target that last computed it.
};

/** Bounded table, least recently used entries leave first. Belongs to one thread. */
struct AffinityTable {
    std::size_t capacity{16384}; ///< Most entries; about 100 bytes each.
    std::list<AffinityEntry> recent; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<AffinityEntry>::iterator> byPrefix; ///< Index.
};

/** Target with the longest known prefix of a prompt. */
struct AffinityMatch {
    TargetId target; ///< Target, or an empty id.
    double share{0}; ///< Share of the prompt's blocks, 0 to 1.
};

/** @return Hash of each prefix of @p prompt that ends at a block boundary, for at most 64 blocks. */
[[nodiscard]] std::vector<std::uint64_t> prefixHashes(std::string_view prompt, std::string_view model);

/** Remembers that @p target has computed the prefixes. */
void rememberPrefixes(AffinityTable &table, const std::vector<std::uint64_t> &prefixes, const TargetId &target);

/** @return The target with the longest known prefix. */
[[nodiscard]] AffinityMatch findAffinity(const AffinityTable &table, const std::vector<std::uint64_t> &prefixes);

/** Forgets all prefixes of @p target. */
void forgetTarget(AffinityTable &table, const TargetId &target);

} // namespace skylark
