/** @file key_mirror.cpp Local copy of the keys under one prefix, kept up to date by a watch. */
#include "store/key_mirror_func.h"

#include "core/async_sleep_func.h"
#include "core/hash_func.h"
#include "core/task_func.h"
#include "policy/watch_trust_func.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;

namespace {

/** @return @p delay with a jitter of +-25 %, so that hosts that failed at the same time do not retry at the same time. */
std::chrono::milliseconds addJitter(std::chrono::milliseconds delay, std::uint64_t &random)
{
    const auto quarter = std::max<std::int64_t>(1, delay.count() / 4);
    return delay - std::chrono::milliseconds(quarter) + std::chrono::milliseconds(nextRandom(random) % static_cast<std::uint64_t>(2 * quarter));
}

/** Calls the handler of updates. @return Whether it has handled @p update. */
bool handleUpdate(const KeyMirror &mirror, const KeyMirrorUpdate &update)
{
    return tryRun("update of " + mirror.options.prefix, [&mirror, &update] {
        mirror.onUpdate(update);
    });
}

/** Hands @p update to the handler. A change that cannot be handled does not keep the others back: after an exception each is handed over by itself. */
void notifyUpdate(const std::shared_ptr<KeyMirror> &mirror, const KeyMirrorUpdate &update)
{
    const bool isNews = update.complete || !update.changed.empty();
    if (!mirror->onUpdate || !isNews || handleUpdate(*mirror, update)) {
        return;
    }
    for (const KvItem &item : update.changed) {
        handleUpdate(*mirror, {{item}, update.complete});
    }
}

void notifyAnswer(const KeyMirror &mirror)
{
    if (mirror.onAnswer) {
        mirror.onAnswer();
    }
}

/** Replaces the contents of the mirror by a read of the whole prefix. */
asio::awaitable<Result<Done>> readFullPrefix(std::shared_ptr<KeyMirror> mirror, KvFreshness freshness)
{
    const TimePoint startedAt = BootClock::now();
    auto page = co_await readAllKeys(mirror->store, mirror->options.prefix, freshness);
    if (!isOk(page)) {
        co_return errorOf(page);
    }
    mirror->synced = true;
    if (freshness == KvFreshness::Linearizable) {
        mirror->confirmedAt = startedAt;
        notifyAnswer(*mirror);
    }
    notifyUpdate(mirror, replaceItems(*mirror, std::move(valueOf(page).items), valueOf(page).storeRevision));
    co_return Done{};
}

/** Makes one watch call and applies its changes. */
asio::awaitable<Result<Done>> watchOnce(std::shared_ptr<KeyMirror> mirror)
{
    const TimePoint startedAt = BootClock::now();
    mirror->watchSentAt = startedAt;
    auto changes = co_await mirror->store->watch(mirror->options.prefix, mirror->revision, mirror->options.watchTimeout, mirror->watch);
    mirror->watchSentAt = TimePoint{};
    if (!isOk(changes)) {
        co_return errorOf(changes);
    }
    mirror->confirmedAt = startedAt;
    mirror->synced = true;
    // A watch without changes is answered when its wait is over, also by a service that has not seen the latest ones.
    if (valueOf(changes).compacted || !valueOf(changes).items.empty()) {
        notifyAnswer(*mirror);
    }
    if (valueOf(changes).compacted) {
        mirror->revision = 0;
        co_return Done{};
    }
    KeyMirrorUpdate update;
    for (KvItem &item : valueOf(changes).items) {
        if (applyItem(*mirror, item)) {
            update.changed.push_back(std::move(item));
        }
    }
    // An empty result does not advance the revision, because a watch that misses changes returns the same.
    if (!valueOf(changes).items.empty()) {
        mirror->revision = std::max(mirror->revision, valueOf(changes).storeRevision);
    }
    notifyUpdate(mirror, update);
    co_return Done{};
}

/** Gives the watch time to report what a read has shown at @p readAt, and replaces it if it does not. */
asio::awaitable<void> doubtAfterRead(std::shared_ptr<KeyMirror> mirror, TimePoint readAt)
{
    co_await sleepFor(reportGrace(WatchDoubt::ChangeRead));
    doubtWatch(*mirror, WatchDoubt::ChangeRead, readAt);
}

/** Makes one stale read and applies what it shows. @return Whether it has shown a change that the mirror lacked. */
asio::awaitable<bool> pollOnce(std::shared_ptr<KeyMirror> mirror)
{
    const TimePoint sentAt = BootClock::now();
    const auto page = co_await readAllKeys(mirror->store, mirror->options.prefix, KvFreshness::Stale);
    if (mirror->onPoll) {
        mirror->onPoll(isOk(page) ? nullptr : &errorOf(page), sentAt);
    }
    if (!isOk(page) || !mirror->synced) {
        co_return false;
    }
    const KeyMirrorUpdate newer = applyNewerItems(*mirror, valueOf(page));
    notifyUpdate(mirror, newer);
    const bool removalMissed = hasMissedRemoval(*mirror, valueOf(page));
    if (removalMissed) {
        co_await refreshKeyMirror(mirror);
    }
    co_return removalMissed || !newer.changed.empty();
}

/**
 * Waits after a failure that followed another one until the service answers other calls, for at most maxOutageWait. Load: hundreds of hosts with several
 * mirrors each, which would all pay for failing reads during an outage. The lease renewal of a host is cheaper and notices the end of the outage.
 */
asio::awaitable<void> waitForStore(std::shared_ptr<KeyMirror> mirror)
{
    constexpr std::chrono::milliseconds checkInterval{100};
    const TimePoint until = BootClock::now() + mirror->options.maxOutageWait;
    while (!mirror->stopped && mirror->isStoreAnswering && !mirror->isStoreAnswering() && BootClock::now() < until) {
        co_await sleepFor(checkInterval);
    }
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

bool applyItem(KeyMirror &mirror, const KvItem &item)
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

KeyMirrorUpdate replaceItems(KeyMirror &mirror, std::vector<KvItem> items, std::uint64_t revision)
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
        // A write of this host, which applied its own result to the mirror, can be newer than the first page.
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
        // Keys can change between pages, so the watch has to continue from the revision of the first page.
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

bool hasMissedRemoval(const KeyMirror &mirror, const KvItemPage &page)
{
    std::size_t found = 0;
    for (const KvItem &item : page.items) {
        found += mirror.items.contains(item.key) ? 1 : 0;
    }
    std::uint64_t newest = mirror.revision;
    for (const auto &[key, item] : mirror.items) {
        newest = std::max(newest, item.revision);
    }
    // Keys missing from the page were removed, unless the page is older than the mirror.
    return found < mirror.items.size() && page.storeRevision > newest;
}

KeyMirrorUpdate applyNewerItems(KeyMirror &mirror, const KvItemPage &page)
{
    KeyMirrorUpdate update;
    for (const KvItem &item : page.items) {
        // A key that is not in the mirror may have been removed after the revision of the page.
        const bool removedSince = !mirror.items.contains(item.key) && item.revision <= mirror.revision;
        if (!removedSince && applyItem(mirror, item)) {
            update.changed.push_back(item);
        }
    }
    return update;
}

asio::awaitable<Result<Done>> refreshKeyMirror(std::shared_ptr<KeyMirror> mirror)
{
    co_return co_await readFullPrefix(mirror, KvFreshness::Linearizable);
}

asio::awaitable<void> pollKeyMirror(std::shared_ptr<KeyMirror> mirror)
{
    while (!mirror->stopped) {
        co_await sleepFor(addJitter(mirror->options.pollInterval, mirror->random));
        if (mirror->stopped || !mirror->synced) {
            continue;
        }
        const bool changeMissed = co_await pollOnce(mirror);
        if (changeMissed) {
            co_await doubtAfterRead(mirror, BootClock::now());
        }
    }
}

void doubtWatch(KeyMirror &mirror, WatchDoubt doubt, TimePoint doubtedAt)
{
    const TimePoint now = BootClock::now();
    const bool waits = mirror.watchSentAt != TimePoint{} && mirror.watch->cancel;
    if (!waits || !mustReplaceWatch(doubt, mirror.watchSentAt, doubtedAt, now)) {
        return;
    }
    if (mirror.onWatchReplaced) {
        mirror.onWatchReplaced(doubt, std::chrono::duration_cast<std::chrono::milliseconds>(now - mirror.watchSentAt));
    }
    mirror.watch->cancel();
}

asio::awaitable<void> runKeyMirror(std::shared_ptr<KeyMirror> mirror)
{
    std::chrono::milliseconds delay = mirror->options.retryMin;
    unsigned failures = 0;
    while (!mirror->stopped) {
        const TimePoint startedAt = BootClock::now();
        Result<Done> outcome = Done{};
        const bool wasWatch = mirror->revision != 0;
        if (!wasWatch) {
            // Without a watch the mirror follows the service by stale reads anyway.
            outcome = co_await readFullPrefix(mirror, mirror->options.watchEnabled ? KvFreshness::Linearizable : KvFreshness::Stale);
        } else {
            outcome = co_await watchOnce(mirror);
        }
        if (mirror->stopped) {
            co_return;
        }
        if (isOk(outcome) && !mirror->options.watchEnabled) {
            co_return;
        }
        if (!isOk(outcome) && errorOf(outcome).code == ErrorCode::Cancelled) {
            continue; // Replaced: the next watch continues from the same revision.
        }
        if (isOk(outcome)) {
            delay = mirror->options.retryMin;
            failures = 0;
            const auto remaining = mirror->options.watchInterval - (BootClock::now() - startedAt);
            // Pauses for at least half the interval even after a long call, so that the next call returns several changes together.
            if (mirror->options.watchInterval.count() > 0) {
                co_await sleepFor(std::max<std::chrono::nanoseconds>(remaining, mirror->options.watchInterval / 2));
            }
            continue;
        }
        mirror->synced = false;
        // The failed watch may have missed changes that the service no longer keeps, so the whole prefix is read again.
        mirror->revision = 0;
        if (mirror->onFailure) {
            mirror->onFailure(errorOf(outcome), wasWatch ? BootClock::now() : startedAt);
        }
        co_await sleepFor(addJitter(delay, mirror->random));
        delay = std::min(delay * 2, mirror->options.retryMax);
        if (++failures > 1) {
            co_await waitForStore(mirror);
        }
    }
}

} // namespace skylark
