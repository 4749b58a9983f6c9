/** @file host_entry_upkeep.cpp Keeps the entry of this host in the key-value service under a lease. */
#include "fleet/host_entry_upkeep_func.h"

#include "core/async_sleep_func.h"
#include "core/hash_func.h"
#include "fleet/host_entry_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds entryRetryDelay{500}; ///< Delay before the entry is written again after the write failed or the lease expired.

/** Grants a lease and writes the host's entry under it. */
asio::awaitable<Result<Done>> writeHostEntry(FleetImplPtr impl)
{
    auto lease = co_await impl->store->grantLease(impl->options.leaseTtl);
    if (!isOk(lease)) {
        co_return errorOf(lease);
    }
    const PeerEntry own{impl->options.host, impl->options.session, impl->options.domain, impl->options.endpoint};
    KvTransaction transaction;
    transaction.writes.push_back({hostEntryKey(own.host), encodeHostEntry(own), valueOf(lease)});
    auto written = co_await impl->store->commit(std::move(transaction));
    if (!isOk(written)) {
        co_return errorOf(written);
    }
    impl->lease = valueOf(lease);
    co_return Done{};
}

/** Renews the lease of the host's entry, or forgets it if it has expired. @return Whether the service answered. */
asio::awaitable<bool> renewHostLease(FleetImplPtr impl)
{
    const auto renewed = co_await impl->store->renewLease(impl->lease);
    const bool expired = !isOk(renewed) && errorOf(renewed).code == ErrorCode::LeaseExpired;
    if (!isOk(renewed) && !expired) {
        recordStoreFailure(*impl, errorOf(renewed));
        co_return false;
    }
    recordStoreSuccess(*impl);
    impl->lease = expired ? 0 : impl->lease;
    co_return true;
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

void removeHostEntry(FleetController &controller, std::function<void()> done)
{
    const FleetImplPtr impl = controller.impl;
    impl->leaving = true;
    asio::co_spawn(
        impl->executor,
        [](FleetImplPtr owner, std::function<void()> finished) -> asio::awaitable<void> {
            if (owner->lease != 0) {
                co_await owner->store->endLease(owner->lease);
            }
            finished();
        }(impl, std::move(done)),
        asio::detached);
}

} // namespace skylark
