/** @file affinity.cpp Prefix affinity: which target probably has a prompt prefix in its cache. */
#include "policy/affinity_base.h"

#include "core/hash_func.h"

namespace skylark {

namespace {

constexpr std::size_t blockBytes = 256; ///< About 64 tokens, a common block size of prefix caches.
constexpr std::size_t maxBlocks = 64; ///< Bounds the hashing work and the table entries per prompt.

} // namespace

std::vector<std::uint64_t> prefixHashes(std::string_view prompt, std::string_view model)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t hash = hash64(model);
    for (std::size_t at = 0; at + blockBytes <= prompt.size() && hashes.size() < maxBlocks; at += blockBytes) {
        hash = hash64(prompt.substr(at, blockBytes), hash);
        hashes.push_back(hash);
    }
    return hashes;
}

void recordPrefixes(AffinityTable &table, const std::vector<std::uint64_t> &prefixes, const TargetId &target)
{
    for (const std::uint64_t prefix : prefixes) {
        const auto found = table.byPrefix.find(prefix);
        if (found != table.byPrefix.end()) {
            found->second->target = target;
            table.recent.splice(table.recent.begin(), table.recent, found->second);
            continue;
        }
        table.recent.push_front({prefix, target});
        table.byPrefix[prefix] = table.recent.begin();
    }
    while (table.recent.size() > table.capacity) {
        table.byPrefix.erase(table.recent.back().prefix);
        table.recent.pop_back();
    }
}

AffinityMatch findAffinity(const AffinityTable &table, const std::vector<std::uint64_t> &prefixes)
{
    for (std::size_t blocks = prefixes.size(); blocks > 0; --blocks) {
        const auto found = table.byPrefix.find(prefixes[blocks - 1]);
        if (found != table.byPrefix.end()) {
            return {found->second->target, static_cast<double>(blocks) / static_cast<double>(prefixes.size())};
        }
    }
    return {};
}

void removeTargetPrefixes(AffinityTable &table, const TargetId &target)
{
    for (auto entry = table.recent.begin(); entry != table.recent.end();) {
        if (entry->target != target) {
            ++entry;
            continue;
        }
        table.byPrefix.erase(entry->prefix);
        entry = table.recent.erase(entry);
    }
}

} // namespace skylark
