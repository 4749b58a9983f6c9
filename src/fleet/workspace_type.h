/** @file workspace_type.h API keys of a configuration, arranged for lookup. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace skylark {

/** One API key and the workspace it belongs to. */
struct KeyEntry {
    std::string key;
    std::size_t workspace{0}; ///< Index of the workspace in the configuration.
};

/** API keys by digest; immutable. The digest is seeded at random, so that the time of a lookup says nothing about the stored keys. */
struct KeyTable {
    std::uint64_t seed{0}; ///< Seed of the digests.
    std::unordered_multimap<std::uint64_t, KeyEntry> entries; ///< Keys by digest; two keys may have the same digest.
    std::size_t repeated{0}; ///< Keys that were listed more than once; the first workspace that lists a key owns it.
};

} // namespace skylark
