/** @file host_entry_upkeep.cpp Keeps the entry of this host in the key-value service under a lease. */
#include "fleet/host_entry_upkeep_func.h"

#include "core/async_sleep_func.h"
#include "core/hash_func.h"
#include "core/task_func.h"
#include "fleet/host_entry_func.h"
#include "policy/request_quota_func.h"

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds entryRetryDelay{500}; ///< Delay before the entry is written again after the write failed or the lease expired.

void reportLease(FleetController::Impl &impl, const HostLease &proof)
{
    impl.entryProof = proof;
    if (impl.options.onLease) {
        impl.options.onLease(proof);
    }
}

/** @return Whether @p item is the entry of an earlier process of this host. One of this process was written by a call whose answer was lost. */
bool isPredecessor(const FleetController::Impl &impl, const KvItem &item)
{
    const auto entry = decodeHostEntry(item.key, item.value);
    return isOk(entry) && valueOf(entry).session != impl.options.session;
}

/**
 * Grants a lease and writes the host's entry under it: first on the condition that there is none, then in place of the one that the store has returned.
 * Other hosts take over the shares of an entry that has lapsed; the conditions tell this from one that has not.
 */
asio::awaitable<Result<Done>> writeHostEntry(FleetImplPtr impl)
{
    const TimePoint startedAt = BootClock::now();
    auto lease = co_await impl->store->grantLease(impl->options.leaseTtl);
    if (!isOk(lease)) {
        co_return errorOf(lease);
    }
    const PeerEntry own{impl->options.host, impl->options.session, impl->options.domain, impl->options.endpoint};
    std::optional<KvItem> present;
    for (unsigned attempt = 0; attempt < 2; ++attempt) {
        KvTransaction transaction;
        transaction.conditions.push_back({hostEntryKey(own.host), present ? present->revision : 0});
        transaction.writes.push_back({hostEntryKey(own.host), encodeHostEntry(own), valueOf(lease)});
        auto written = co_await impl->store->commit(std::move(transaction));
        if (!isOk(written)) {
            co_return errorOf(written);
        }
        if (valueOf(written).applied) {
            impl->lease = valueOf(lease);
            const bool predecessorAlive = present && isPredecessor(*impl, *present);
            reportLease(*impl, newEntryLease(impl->entryProof, predecessorAlive, startedAt, BootClock::now(), impl->options.leaseTtl));
            co_return Done{};
        }
        const auto &items = valueOf(written).currentItems;
        present = items.empty() ? std::nullopt : std::optional(items.front());
    }
    co_return makeError(ErrorCode::PlatformUnavailable, "the host's entry changes while it is written");
}

/** Renews the lease of the host's entry, or forgets it if it has expired. @return Whether the service answered. */
asio::awaitable<bool> renewHostLease(FleetImplPtr impl)
{
    const TimePoint startedAt = BootClock::now();
    const auto renewed = co_await impl->store->renewLease(impl->lease);
    const bool expired = !isOk(renewed) && errorOf(renewed).code == ErrorCode::LeaseExpired;
    if (!isOk(renewed) && !expired) {
        recordStoreFailure(*impl, errorOf(renewed), startedAt);
        co_return false;
    }
    recordStoreSuccess(*impl);
    impl->lease = expired ? 0 : impl->lease;
    HostLease proof = renewedLease(impl->entryProof, startedAt, impl->options.leaseTtl);
    if (expired) {
        proof.provedUntil = TimePoint{};
    }
    reportLease(*impl, proof);
    co_return true;
}

/** Ends the lease of the host's entry and calls @p done. */
asio::awaitable<void> endHostEntry(FleetImplPtr impl, std::function<void()> done)
{
    if (impl->lease != 0) {
        co_await impl->store->endLease(impl->lease);
    }
    done();
}

} // namespace

asio::awaitable<void> maintainHostEntry(FleetImplPtr impl)
{
    while (!impl->leaving) {
        bool failed = false;
        if (impl->lease == 0) {
            const auto written = co_await writeHostEntry(impl);
            if (isOk(written)) {
                recordStoreSuccess(*impl);
            }
        } else {
            failed = !co_await renewHostLease(impl);
            if (impl->lease == 0) {
                continue;
            }
        }
        const auto jitter = std::chrono::milliseconds(nextRandom(impl->random) % 200U);
        // The end of an outage is noticed by the first answer, for which a renewal is the cheapest call.
        const std::chrono::milliseconds interval = failed ? impl->options.leaseRenewal / 2 : impl->options.leaseRenewal;
        co_await sleepFor((impl->lease == 0 ? entryRetryDelay : interval) + jitter);
    }
}

void removeHostEntry(FleetController &controller, const std::function<void()> &done)
{
    const FleetImplPtr impl = controller.impl;
    impl->leaving = true;
    startTask(impl->executor, "removal of the host's entry", endHostEntry(impl, done), done);
}

} // namespace skylark
