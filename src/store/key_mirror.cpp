/** @file key_mirror.cpp Local copy of the keys under one prefix, kept up to date by a watch. */
#include "store/key_mirror_func.h"

#include "core/async_sleep_func.h"
#include "core/hash_func.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;

namespace {

/** @return @p delay varied by a quarter, so that hosts that failed together do not return together. */
std::chrono::milliseconds spread(std::chrono::milliseconds delay, std::uint64_t &random)
{
    const auto quarter = std::max<std::int64_t>(1, delay.count() / 4);
    return delay - std::chrono::milliseconds(quarter) + std::chrono::milliseconds(nextRandom(random) % static_cast<std::uint64_t>(2 * quarter));
}

void report(const std::shared_ptr<KeyMirror> &mirror, const KeyMirrorUpdate &update)
{
    if (mirror->onUpdate && (update.complete || !update.changed.empty())) {
        mirror->onUpdate(update);
    }
}

/** Reads the prefix as a whole. */
asio::awaitable<Result<Done>> readWhole(std::shared_ptr<KeyMirror> mirror)
{
    const TimePoint begun = BootClock::now();
    auto page = co_await readAllKeys(mirror->store, mirror->options.prefix, KvFreshness::Linearizable);
    if (!isOk(page)) {
        co_return errorOf(page);
    }
    mirror->confirmedAt = begun;
    mirror->synced = true;
    report(mirror, mirrorAll(*mirror, std::move(valueOf(page).items), valueOf(page).storeRevision));
    co_return Done{};
}

/** Makes one watch call. */
asio::awaitable<Result<Done>> followOnce(std::shared_ptr<KeyMirror> mirror)
{
    const TimePoint begun = BootClock::now();
    auto changes = co_await mirror->store->watch(mirror->options.prefix, mirror->revision, mirror->options.wait);
    if (!isOk(changes)) {
        co_return errorOf(changes);
    }
    mirror->confirmedAt = begun;
    mirror->synced = true;
    if (valueOf(changes).compacted) {
        mirror->revision = 0;
        co_return Done{};
    }
    KeyMirrorUpdate update;
    for (KvItem &item : valueOf(changes).items) {
        if (mirrorItem(*mirror, item)) {
            update.changed.push_back(std::move(item));
        }
    }
    // An empty answer does not move the mirror on: a watch that heard nothing of a change answers in the same way.
    if (!valueOf(changes).items.empty()) {
        mirror->revision = std::max(mirror->revision, valueOf(changes).storeRevision);
    }
    report(mirror, update);
    co_return Done{};
}

} // namespace

std::shared_ptr<KeyMirror> KeyMirror::create(std::shared_ptr<const KvStore> store, KeyMirrorOptions options, std::uint64_t seed)
{
    auto mirror = std::make_shared<KeyMirror>();
    mirror->store = std::move(store);
    mirror->options = std::move(options);
    mirror->random = seed;
    return mirror;
}

bool mirrorItem(KeyMirror &mirror, const KvItem &item)
{
    const auto found = mirror.items.find(item.key);
    if (found != mirror.items.end() && found->second.revision >= item.revision) {
        return false;
    }
    if (item.deleted) {
        if (found == mirror.items.end()) {
            return false;
        }
        mirror.items.erase(found);
        return true;
    }
    mirror.items[item.key] = item;
    return true;
}

KeyMirrorUpdate mirrorAll(KeyMirror &mirror, std::vector<KvItem> items, std::uint64_t revision)
{
    KeyMirrorUpdate update;
    update.complete = true;
    std::map<std::string, KvItem> former;
    former.swap(mirror.items);
    for (KvItem &item : items) {
        const auto found = former.find(item.key);
        const bool changed = found == former.end() || found->second.revision != item.revision;
        if (found != former.end()) {
            former.erase(found);
        }
        if (changed) {
            update.changed.push_back(item);
        }
        mirror.items[item.key] = std::move(item);
    }
    for (auto &[key, item] : former) {
        // A write of this host that the mirror learnt from its own answer can be newer than the first page.
        if (item.revision > revision) {
            mirror.items[key] = std::move(item);
            continue;
        }
        update.changed.push_back({key, {}, revision, true});
    }
    mirror.revision = revision;
    return update;
}

asio::awaitable<Result<KvItemPage>> readAllKeys(std::shared_ptr<const KvStore> store, std::string prefix, KvFreshness freshness)
{
    KvItemPage all;
    std::string after;
    for (;;) {
        auto page = co_await store->range(prefix, after, freshness);
        if (!isOk(page)) {
            co_return errorOf(page);
        }
        KvItemPage &part = valueOf(page);
        // Pages are read one after the other: a watch has to continue from the first one.
        all.storeRevision = all.storeRevision == 0 ? part.storeRevision : all.storeRevision;
        for (KvItem &item : part.items) {
            all.items.push_back(std::move(item));
        }
        if (!part.more || all.items.empty()) {
            co_return all;
        }
        after = all.items.back().key;
    }
}

bool showsMissedRemoval(const KeyMirror &mirror, const KvItemPage &page)
{
    std::size_t found = 0;
    for (const KvItem &item : page.items) {
        found += mirror.items.contains(item.key) ? 1 : 0;
    }
    std::uint64_t newest = mirror.revision;
    for (const auto &[key, item] : mirror.items) {
        newest = std::max(newest, item.revision);
    }
    // Keys that are missing were removed, unless the page is older than the mirror.
    return found < mirror.items.size() && page.storeRevision > newest;
}

KeyMirrorUpdate takeNewer(KeyMirror &mirror, const KvItemPage &page)
{
    KeyMirrorUpdate update;
    for (const KvItem &item : page.items) {
        // A key that the mirror does not have may be one whose removal the page is too old to show.
        const bool removedSince = !mirror.items.contains(item.key) && item.revision <= mirror.revision;
        if (!removedSince && mirrorItem(mirror, item)) {
            update.changed.push_back(item);
        }
    }
    return update;
}

asio::awaitable<void> checkKeyMirror(std::shared_ptr<KeyMirror> mirror)
{
    while (!mirror->stopped) {
        co_await sleepFor(spread(mirror->options.check, mirror->random));
        if (mirror->stopped || !mirror->synced) {
            continue;
        }
        const auto page = co_await readAllKeys(mirror->store, mirror->options.prefix, KvFreshness::Stale);
        if (!isOk(page) || !mirror->synced) {
            continue;
        }
        report(mirror, takeNewer(*mirror, valueOf(page)));
        if (showsMissedRemoval(*mirror, valueOf(page))) {
            co_await readWhole(mirror);
        }
    }
}

asio::awaitable<void> runKeyMirror(std::shared_ptr<KeyMirror> mirror)
{
    std::chrono::milliseconds delay = mirror->options.retryMin;
    while (!mirror->stopped) {
        const TimePoint begun = BootClock::now();
        Result<Done> outcome = Done{};
        if (mirror->revision == 0) {
            outcome = co_await readWhole(mirror);
        } else {
            outcome = co_await followOnce(mirror);
        }
        if (mirror->stopped) {
            co_return;
        }
        if (isOk(outcome) && !mirror->options.watches) {
            co_return;
        }
        if (isOk(outcome)) {
            delay = mirror->options.retryMin;
            const auto rest = mirror->options.pause - (BootClock::now() - begun);
            // A call that waited for a change still pauses, so that the changes that follow it are read together.
            if (mirror->options.pause.count() > 0) {
                co_await sleepFor(std::max<std::chrono::nanoseconds>(rest, mirror->options.pause / 2));
            }
            continue;
        }
        mirror->synced = false;
        // A watch that was cut may have missed changes that the service forgets: only a read of the whole prefix is certain.
        mirror->revision = 0;
        if (mirror->onFailure) {
            mirror->onFailure(errorOf(outcome));
        }
        co_await sleepFor(spread(delay, mirror->random));
        delay = std::min(delay * 2, mirror->options.retryMax);
    }
}

} // namespace skylark
