/** @file store.cpp Key-value store of the platform stand-in. */
#include "store_base.h"

#include <algorithm>

namespace skylark::standin {

namespace json = boost::json;

namespace {

/** Appends an event to the history. @return Its number. */
std::uint64_t recordEvent(Store &store, const std::string &key, std::string value, bool deleted)
{
    const std::uint64_t number = ++store.lastEvent;
    store.history.push_back({number, key, std::move(value), deleted ? 0 : number});
    while (store.history.size() > store.historyLimit) {
        store.history.pop_front();
    }
    if (store.onEvent) {
        store.onEvent();
    }
    return number;
}

/** Detaches a key from its lease, if the lease exists. */
void detachLease(Store &store, const std::string &key, const std::string &lease)
{
    const auto found = store.leases.find(lease);
    if (found != store.leases.end()) {
        found->second.keys.erase(key);
    }
}

void eraseKey(Store &store, std::map<std::string, StoredKey>::iterator entry)
{
    const std::string key = entry->first;
    detachLease(store, key, entry->second.lease);
    store.keys.erase(entry);
    recordEvent(store, key, {}, true);
}

json::object wireEntry(const std::string &key, const std::string &value, std::uint64_t version)
{
    json::object entry;
    entry["key"] = key;
    entry["value"] = value;
    entry["version"] = version;
    return entry;
}

} // namespace

bool tryAcquireCall(RateBucket &bucket, SteadyTime now, double reserved)
{
    if (bucket.perSecond <= 0) {
        return true;
    }
    const double rate = std::max(0.0, bucket.perSecond - reserved);
    const double seconds = std::chrono::duration<double>(now - bucket.filledAt).count();
    bucket.tokens = std::min(rate, bucket.tokens + seconds * rate);
    bucket.filledAt = now;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

StoreOutcome storePut(Store &store, const std::string &key, std::string value, std::optional<std::uint64_t> expected, const std::string &lease)
{
    const auto found = store.keys.find(key);
    const std::uint64_t present = found == store.keys.end() ? 0 : found->second.version;
    if (expected && *expected != present) {
        return StoreOutcome::Conflict;
    }
    if (!lease.empty() && !store.leases.contains(lease)) {
        return StoreOutcome::NoLease;
    }
    if (found != store.keys.end()) {
        detachLease(store, key, found->second.lease);
    }
    StoredKey &stored = store.keys[key];
    stored.value = std::move(value);
    stored.lease = lease;
    if (!lease.empty()) {
        store.leases[lease].keys.insert(key);
    }
    stored.version = store.lastEvent + 1;
    recordEvent(store, key, stored.value, false);
    return StoreOutcome::Stored;
}

StoreOutcome storeDelete(Store &store, const std::string &key, std::optional<std::uint64_t> expected)
{
    const auto found = store.keys.find(key);
    const std::uint64_t present = found == store.keys.end() ? 0 : found->second.version;
    if (expected && *expected != present) {
        return StoreOutcome::Conflict;
    }
    if (found != store.keys.end()) {
        eraseKey(store, found);
    }
    return StoreOutcome::Stored;
}

std::string storeGrant(Store &store, std::chrono::milliseconds ttl, SteadyTime now)
{
    std::string id = "lease-" + std::to_string(++store.lastLease);
    store.leases[id] = StoredLease{ttl, now + ttl, {}};
    return id;
}

bool storeRenew(Store &store, const std::string &lease, SteadyTime now)
{
    storeExpire(store, now);
    const auto found = store.leases.find(lease);
    if (found == store.leases.end()) {
        return false;
    }
    found->second.expires = now + found->second.ttl;
    return true;
}

bool storeRevoke(Store &store, const std::string &lease)
{
    const auto found = store.leases.find(lease);
    if (found == store.leases.end()) {
        return false;
    }
    const std::set<std::string> keys = std::move(found->second.keys);
    store.leases.erase(found);
    for (const std::string &key : keys) {
        const auto entry = store.keys.find(key);
        if (entry != store.keys.end()) {
            eraseKey(store, entry);
        }
    }
    return true;
}

void storeExpire(Store &store, SteadyTime now)
{
    std::vector<std::string> expired;
    for (const auto &[id, lease] : store.leases) {
        if (lease.expires <= now) {
            expired.push_back(id);
        }
    }
    for (const std::string &id : expired) {
        static_cast<void>(storeRevoke(store, id));
    }
}

json::object storeRange(const Store &store, const std::string &prefix, const std::string &after, std::size_t limit)
{
    json::array entries;
    bool more = false;
    const auto first = after < prefix ? store.keys.lower_bound(prefix) : store.keys.upper_bound(after);
    for (auto entry = first; entry != store.keys.end() && entry->first.starts_with(prefix); ++entry) {
        if (entries.size() >= limit) {
            more = true;
            break;
        }
        entries.push_back(wireEntry(entry->first, entry->second.value, entry->second.version));
    }
    json::object page;
    page["entries"] = std::move(entries);
    page["more"] = more;
    page["cursor"] = store.lastEvent;
    return page;
}

std::optional<json::object> storeEvents(const Store &store, const std::string &prefix, std::uint64_t cursor)
{
    const std::uint64_t oldest = store.lastEvent - store.history.size();
    const bool gap = cursor < oldest || cursor > store.lastEvent;
    json::array events;
    for (const StoredEvent &event : store.history) {
        if (!gap && event.number > cursor && event.key.starts_with(prefix)) {
            events.push_back(wireEntry(event.key, event.value, event.version));
        }
    }
    if (events.empty() && !gap) {
        return std::nullopt;
    }
    json::object answer;
    answer["events"] = std::move(events);
    answer["cursor"] = store.lastEvent;
    answer["gap"] = gap;
    return answer;
}

} // namespace skylark::standin
