/** @file cache.cpp Prefix cache of the engine stand-in. */
#include "cache_base.h"

#include "core/hash_func.h"

#include <array>
#include <cstdio>

namespace skylark::standin {

namespace json = boost::json;

namespace {

constexpr std::size_t maxEvents = 8192;

/** Assigns a sequence number to a change and publishes its event, unless the event is to be lost. */
void publish(PrefixCache &cache, bool stored, std::uint64_t hash, SteadyTime now)
{
    ++cache.lastSequence;
    const double fraction = static_cast<double>(nextRandom(cache.randomState) >> 11U) * 0x1.0p-53;
    if (fraction < cache.eventLoss) {
        return;
    }
    cache.events.push_back({cache.lastSequence, stored, hash, now + cache.eventLag});
    if (cache.events.size() > maxEvents) {
        cache.events.pop_front();
    }
}

void store(PrefixCache &cache, std::uint64_t hash, SteadyTime now)
{
    cache.recent.push_front(hash);
    cache.blocks[hash] = cache.recent.begin();
    publish(cache, true, hash, now);
    while (cache.blocks.size() > cache.capacity) {
        const std::uint64_t oldest = cache.recent.back();
        cache.recent.pop_back();
        cache.blocks.erase(oldest);
        publish(cache, false, oldest, now);
    }
}

} // namespace

std::size_t cachePrompt(PrefixCache &cache, const std::vector<std::uint64_t> &hashes, SteadyTime now)
{
    std::size_t hits = 0;
    while (hits < hashes.size() && cache.blocks.contains(hashes[hits])) {
        ++hits;
    }
    for (const std::uint64_t hash : hashes) {
        const auto found = cache.blocks.find(hash);
        if (found == cache.blocks.end()) {
            store(cache, hash, now);
            continue;
        }
        cache.recent.splice(cache.recent.begin(), cache.recent, found->second);
    }
    return hits;
}

json::object cacheEvents(const PrefixCache &cache, std::uint64_t from, SteadyTime now)
{
    json::array events;
    for (const PublishedEvent &event : cache.events) {
        if (event.sequence <= from || event.visibleFrom > now) {
            continue;
        }
        std::array<char, 17> hash{};
        std::snprintf(hash.data(), hash.size(), "%016llx", static_cast<unsigned long long>(event.hash));
        json::object entry;
        entry["sequence"] = event.sequence;
        entry["kind"] = event.stored ? "stored" : "evicted";
        entry["prefix_hash"] = hash.data();
        events.push_back(std::move(entry));
    }
    json::object answer;
    answer["events"] = std::move(events);
    return answer;
}

} // namespace skylark::standin
