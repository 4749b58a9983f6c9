/** @file origin_upkeep.cpp Writes the origins of this host's streams to the key-value service while several versions of a service have served. */
#include "entry/origin_upkeep_func.h"

#include "core/async_sleep_func.h"

#include <algorithm>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds recordTime{10000}; ///< Age up to which a stream is written; twice the time for which callers usually wait for one.
constexpr std::size_t maxRecords = 4000; ///< Bounds the size of the value to about 64 KB.
constexpr milliseconds recordLeaseTtl{30000}; ///< Time for which the records outlive the host.
constexpr milliseconds leaseRenewal = recordLeaseTtl / 2;
constexpr milliseconds retryDelay{1000}; ///< Delay after a failed call.

/** @return Whether more than one version of @p service has served. */
bool hasSeveralVersions(const FleetSnapshot &fleet, const ServiceId &service)
{
    const auto &listed = fleet.listedVersions;
    return listed && std::count_if(listed->begin(), listed->end(), [&service](const ServiceVersion &version) {
                         return version.service == service;
                     }) > 1;
}

/** Grants or renews the lease of the records. @return Whether there is one that lasts long enough. */
asio::awaitable<bool> keepLease(std::shared_ptr<OriginUpkeep> upkeep)
{
    const TimePoint now = BootClock::now();
    if (upkeep->lease != 0 && now - upkeep->leaseRenewedAt < leaseRenewal) {
        co_return true;
    }
    if (upkeep->lease != 0) {
        const auto renewed = co_await upkeep->store->renewLease(upkeep->lease);
        upkeep->lease = isOk(renewed) ? upkeep->lease : 0;
    }
    if (upkeep->lease == 0) {
        const auto granted = co_await upkeep->store->grantLease(recordLeaseTtl);
        upkeep->lease = isOk(granted) ? valueOf(granted) : 0;
    }
    upkeep->leaseRenewedAt = now;
    co_return upkeep->lease != 0;
}

} // namespace

void noteBegunStream(OriginUpkeep &upkeep, std::uint64_t stream, const ServiceVersion &origin)
{
    const TimePoint now = BootClock::now();
    while (!upkeep.begun.empty() && (now - upkeep.begun.front().at > recordTime || upkeep.begun.size() >= maxRecords)) {
        upkeep.begun.pop_front();
    }
    upkeep.begun.push_back({stream, origin, now});
    upkeep.changed = true;
}

milliseconds originWriteIntervalFor(std::size_t hosts)
{
    constexpr milliseconds perHost{12};
    constexpr milliseconds least{250}; // A third of the duration of a usual stream.
    constexpr milliseconds most{2000};
    return std::clamp(perHost * static_cast<int>(hosts), least, most);
}

asio::awaitable<bool> writeStreamRecords(std::shared_ptr<OriginUpkeep> upkeep)
{
    std::vector<BegunStream> streams;
    const TimePoint now = BootClock::now();
    const auto fleet = upkeep->proxy->fleet;
    std::copy_if(upkeep->begun.begin(), upkeep->begun.end(), std::back_inserter(streams), [&](const BegunStream &begun) {
        return now - begun.at <= recordTime && hasSeveralVersions(*fleet, begun.origin.service);
    });
    if (!upkeep->changed || streams.empty()) {
        co_return true;
    }
    const bool hasLease = co_await keepLease(upkeep);
    if (!hasLease) {
        co_return false;
    }
    KvTransaction transaction;
    transaction.writes.push_back({streamRecordKey(upkeep->session), encodeStreamRecords(streams), upkeep->lease});
    upkeep->changed = false;
    const auto written = co_await upkeep->store->commit(std::move(transaction));
    if (!isOk(written)) {
        upkeep->changed = true;
        upkeep->lease = errorOf(written).code == ErrorCode::LeaseExpired ? 0 : upkeep->lease;
    }
    co_return isOk(written);
}

asio::awaitable<void> maintainStreamRecords(std::shared_ptr<OriginUpkeep> upkeep)
{
    for (;;) {
        const milliseconds interval = originWriteIntervalFor(upkeep->proxy->fleet->peers.size() + 1);
        co_await sleepFor(interval);
        const bool written = co_await writeStreamRecords(upkeep);
        if (!written) {
            co_await sleepFor(retryDelay);
        }
    }
}

} // namespace skylark
