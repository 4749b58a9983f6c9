/** @file memory_store.cpp In-memory key-value service with faults that tests switch on. */
#include "memory_store_base.h"

#include "core/async_sleep_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace skylark::standin {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

using StorePtr = std::shared_ptr<MemoryStore>;

// Limits of one page of a range read.
constexpr std::size_t pageItems = 500;
constexpr std::size_t pageBytes = std::size_t{1} << 20U;

Error unavailable()
{
    return makeError(ErrorCode::PlatformUnavailable, "the store stand-in is set to refuse all calls");
}

void wakeWatches(MemoryStore &store)
{
    for (const auto &timer : store.waiters) {
        timer->cancel();
    }
}

void applyChange(MemoryStore &store, const std::string &key, const std::string &value, std::uint64_t lease, bool deleted)
{
    KvItem item{key, value, store.revision, deleted};
    store.history.push_back(item);
    store.revisionTimes[BootClock::now()] = store.revision;
    if (deleted) {
        store.items.erase(key);
    } else {
        store.items[key] = {std::move(item), lease};
    }
}

void removeExpired(MemoryStore &store)
{
    const TimePoint now = BootClock::now();
    std::vector<std::uint64_t> ended;
    for (const auto &[lease, end] : store.leases) {
        if (end <= now) {
            ended.push_back(lease);
        }
    }
    for (const std::uint64_t lease : ended) {
        expireLease(store, lease);
    }
}

/** @return The items under @p prefix as of @p revision, by key. */
std::map<std::string, KvItem> stateAt(const MemoryStore &store, const std::string &prefix, std::uint64_t revision)
{
    std::map<std::string, KvItem> state;
    for (const KvItem &item : store.history) {
        if (item.revision > revision || !item.key.starts_with(prefix)) {
            continue;
        }
        if (item.deleted) {
            state.erase(item.key);
        } else {
            state[item.key] = item;
        }
    }
    return state;
}

/** Keeps a call waiting that gets no answer, until its time limit. */
asio::awaitable<Error> loseAnswer(milliseconds limit)
{
    co_await sleepFor(limit);
    co_return makeError(ErrorCode::PlatformUnavailable, "the store stand-in is set to lose answers");
}

/** Keeps a watch waiting whose answer was lost. @return The error after its wait, or once @p handle ends it. */
asio::awaitable<Error> loseWatch(TimePoint until, std::shared_ptr<bool> cancelled)
{
    while (!*cancelled && BootClock::now() < until) {
        co_await sleepFor(milliseconds(5));
    }
    co_return makeError(*cancelled ? ErrorCode::Cancelled : ErrorCode::PlatformUnavailable, "the answer to the watch was lost");
}

asio::awaitable<Result<std::optional<KvItem>>> getKey(StorePtr store, std::string key)
{
    ++store->counts.gets;
    removeExpired(*store);
    if (store->faults.silent) {
        co_return co_await loseAnswer(store->callTimeout);
    }
    if (store->faults.down) {
        co_return unavailable();
    }
    const auto found = store->items.find(key);
    co_return found == store->items.end() ? std::optional<KvItem>() : std::optional<KvItem>(found->second.item);
}

/** @return Revision that a read returns. */
std::uint64_t readRevision(const MemoryStore &store, KvFreshness freshness)
{
    if (freshness == KvFreshness::Linearizable || (store.faults.staleReadRevision == 0 && store.faults.staleReadAge.count() == 0)) {
        return store.revision;
    }
    if (store.faults.staleReadRevision > 0) {
        return store.faults.staleReadRevision;
    }
    const auto later = store.revisionTimes.upper_bound(BootClock::now() - store.faults.staleReadAge);
    return later == store.revisionTimes.begin() ? 1 : std::prev(later)->second;
}

asio::awaitable<Result<KvItemPage>> getRange(StorePtr store, std::string prefix, std::string after, KvFreshness freshness)
{
    ++store->counts.ranges;
    removeExpired(*store);
    if (store->faults.silent) {
        co_return co_await loseAnswer(store->callTimeout);
    }
    if (store->faults.down) {
        co_return unavailable();
    }
    KvItemPage page;
    page.storeRevision = readRevision(*store, freshness);
    std::size_t bytes = 0;
    for (auto &[key, item] : stateAt(*store, prefix, page.storeRevision)) {
        if (key <= after) {
            continue;
        }
        if (page.items.size() == pageItems || (bytes > 0 && bytes + item.value.size() > pageBytes)) {
            page.more = true;
            break;
        }
        bytes += item.value.size();
        page.items.push_back(item);
    }
    co_return page;
}

KvWatchResult changesSince(const MemoryStore &store, const std::string &prefix, std::uint64_t after)
{
    KvWatchResult changes;
    changes.storeRevision = store.revision;
    for (const KvItem &item : store.history) {
        if (item.revision > after && item.key.starts_with(prefix)) {
            changes.items.push_back(item);
        }
    }
    return changes;
}

asio::awaitable<Result<KvWatchResult>> watch(StorePtr store, std::string prefix, std::uint64_t after, milliseconds wait, std::shared_ptr<KvWatchHandle> handle)
{
    ++store->counts.watches;
    const TimePoint until = BootClock::now() + wait;
    const auto cancelled = std::make_shared<bool>(false);
    if (handle) {
        handle->cancel = [cancelled, weak = std::weak_ptr(store)] {
            *cancelled = true;
            if (const auto strong = weak.lock()) {
                wakeWatches(*strong);
            }
        };
    }
    if (store->faults.silent) {
        co_return co_await loseWatch(until, cancelled);
    }
    for (;;) {
        removeExpired(*store);
        if (*cancelled) {
            co_return makeError(ErrorCode::Cancelled, "the watch was ended");
        }
        if (store->faults.down || store->abortsWatches) {
            co_return unavailable();
        }
        KvWatchResult changes = store->faults.hidesChanges ? KvWatchResult{{}, store->revision, false} : changesSince(*store, prefix, after);
        changes.compacted = after < store->compactedTo && !store->faults.hidesChanges;
        const bool answers = changes.compacted || !changes.items.empty() || BootClock::now() >= until;
        if (answers && (store->faults.silent || store->faults.lostWatchAnswers.contains(prefix))) {
            store->faults.lostWatchAnswers.erase(prefix);
            co_return co_await loseWatch(until, cancelled);
        }
        if (answers) {
            co_return changes;
        }
        auto timer = std::make_shared<asio::steady_timer>(store->executor);
        timer->expires_after(std::min<std::chrono::nanoseconds>(until - BootClock::now(), milliseconds(50)));
        store->waiters.insert(timer);
        boost::system::error_code ignored;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        store->waiters.erase(timer);
    }
}

/** Checks the conditions of a transaction and applies it if all of them hold. */
KvTransactionResult apply(MemoryStore &store, const KvTransaction &transaction)
{
    KvTransactionResult decision;
    bool holds = true;
    for (const KvCondition &condition : transaction.conditions) {
        const auto found = store.items.find(condition.key);
        const std::uint64_t present = found == store.items.end() ? 0 : found->second.item.revision;
        holds = holds && present == condition.revision;
        if (found != store.items.end()) {
            decision.currentItems.push_back(found->second.item);
        }
    }
    if (!holds) {
        return decision;
    }
    decision.currentItems.clear();
    decision.applied = true;
    if (transaction.writes.empty() && transaction.removals.empty()) {
        decision.revision = store.revision;
        return decision;
    }
    decision.revision = ++store.revision;
    for (const KvWrite &write : transaction.writes) {
        applyChange(store, write.key, write.value, write.lease, false);
    }
    for (const std::string &key : transaction.removals) {
        applyChange(store, key, {}, 0, true);
    }
    wakeWatches(store);
    return decision;
}

asio::awaitable<void> applyLater(StorePtr store, KvTransaction transaction, milliseconds delay)
{
    co_await sleepFor(delay);
    apply(*store, transaction);
}

asio::awaitable<Result<KvTransactionResult>> commit(StorePtr store, KvTransaction transaction)
{
    ++store->counts.commits;
    if (store->faults.callDelay.count() > 0) {
        co_await sleepFor(store->faults.callDelay);
    }
    removeExpired(*store);
    if (store->faults.silent) {
        co_return co_await loseAnswer(store->callTimeout);
    }
    if (store->faults.down) {
        co_return unavailable();
    }
    for (const KvWrite &write : transaction.writes) {
        if (write.lease != 0 && !store->leases.contains(write.lease)) {
            co_return makeError(ErrorCode::LeaseExpired, "no such lease");
        }
    }
    const Error lost = makeError(ErrorCode::OutcomeUnknown, "the answer was lost", RunState::Maybe);
    if (store->faults.writeDelay.count() > 0) {
        asio::co_spawn(store->executor, applyLater(store, std::move(transaction), store->faults.writeDelay), asio::detached);
        co_return lost;
    }
    if (store->faults.dropsWrites) {
        co_return lost;
    }
    const KvTransactionResult decision = apply(*store, transaction);
    if (store->faults.losesWriteAnswers) {
        co_return lost;
    }
    co_return decision;
}

asio::awaitable<Result<std::uint64_t>> grantLease(StorePtr store, milliseconds ttl)
{
    if (store->faults.silent) {
        co_return co_await loseAnswer(store->callTimeout);
    }
    if (store->faults.down) {
        co_return unavailable();
    }
    const std::uint64_t lease = store->nextLease++;
    store->leases[lease] = BootClock::now() + ttl;
    co_return lease;
}

asio::awaitable<Result<Done>> renewLease(StorePtr store, std::uint64_t lease)
{
    ++store->counts.renewals;
    removeExpired(*store);
    if (store->faults.silent) {
        co_return co_await loseAnswer(store->callTimeout);
    }
    if (store->faults.down) {
        co_return unavailable();
    }
    const auto found = store->leases.find(lease);
    if (found == store->leases.end()) {
        co_return makeError(ErrorCode::LeaseExpired, "no such lease");
    }
    found->second = BootClock::now() + milliseconds(3000);
    co_return Done{};
}

asio::awaitable<Result<Done>> endLease(StorePtr store, std::uint64_t lease)
{
    if (store->faults.down) {
        co_return unavailable();
    }
    expireLease(*store, lease);
    co_return Done{};
}

} // namespace

std::shared_ptr<MemoryStore> MemoryStore::create(asio::any_io_executor executor)
{
    auto store = std::make_shared<MemoryStore>();
    store->executor = std::move(executor);
    return store;
}

std::shared_ptr<const KvStore> storeInterface(const StorePtr &store)
{
    auto operations = std::make_shared<KvStore>();
    operations->get = [store](std::string key, KvFreshness /*freshness*/) {
        return getKey(store, std::move(key));
    };
    operations->range = [store](std::string prefix, std::string after, KvFreshness freshness) {
        return getRange(store, std::move(prefix), std::move(after), freshness);
    };
    operations->watch = [store](std::string prefix, std::uint64_t after, milliseconds wait, std::shared_ptr<KvWatchHandle> handle) {
        return watch(store, std::move(prefix), after, wait, std::move(handle));
    };
    operations->commit = [store](KvTransaction transaction) {
        return commit(store, std::move(transaction));
    };
    operations->grantLease = [store](milliseconds ttl) {
        return grantLease(store, ttl);
    };
    operations->renewLease = [store](std::uint64_t lease) {
        return renewLease(store, lease);
    };
    operations->endLease = [store](std::uint64_t lease) {
        return endLease(store, lease);
    };
    return operations;
}

void putKey(MemoryStore &store, const std::string &key, const std::string &value)
{
    ++store.revision;
    applyChange(store, key, value, 0, false);
    wakeWatches(store);
}

void removeKey(MemoryStore &store, const std::string &key)
{
    ++store.revision;
    applyChange(store, key, {}, 0, true);
    wakeWatches(store);
}

void expireLease(MemoryStore &store, std::uint64_t lease)
{
    store.leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, stored] : store.items) {
        if (stored.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        removeKey(store, key);
    }
}

void compact(MemoryStore &store)
{
    store.compactedTo = store.revision;
    std::erase_if(store.history, [&store](const KvItem &item) {
        const auto found = store.items.find(item.key);
        return found == store.items.end() || found->second.item.revision != item.revision;
    });
    store.abortsWatches = true;
    wakeWatches(store);
    asio::co_spawn(
        store.executor,
        [](MemoryStore &compacted) -> asio::awaitable<void> {
            co_await sleepFor(milliseconds(60));
            compacted.abortsWatches = false;
        }(store),
        asio::detached);
}

} // namespace skylark::standin
