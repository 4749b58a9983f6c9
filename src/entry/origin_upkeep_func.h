/** @file origin_upkeep_func.h Writes the origins of this host's streams to the key-value service while several versions of a service have served. */
#pragma once

#include "fleet/stored_origins_func.h"
#include "proxy/proxy_base.h"

#include <deque>

namespace skylark {

/** State of the upkeep; owned by the traffic thread. */
struct OriginUpkeep {
    std::shared_ptr<Proxy> proxy; ///< Fleet snapshot.
    std::shared_ptr<const KvStore> store; ///< Key-value service.
    SessionId session; ///< This run of the host process.
    std::deque<BegunStream> begun; ///< Streams of the last seconds, in order.
    bool changed{false}; ///< Whether there are streams that were not written yet.
    std::uint64_t lease{0}; ///< Lease of the records, which outlive the process until it ends; 0 for none.
    TimePoint leaseRenewedAt{}; ///< When the lease was last granted or renewed.
};

/** Notes a stream that this host has begun or continued. */
void noteBegunStream(OriginUpkeep &upkeep, std::uint64_t stream, const ServiceVersion &origin);

/** @return Time between two writes, which grows with the number of hosts, so that all of them together take a bounded share of the service's writes. */
[[nodiscard]] std::chrono::milliseconds originWriteIntervalFor(std::size_t hosts);

/** Writes the records now, if several versions of the service of one of them have served. @return Whether they are written or need not be. */
boost::asio::awaitable<bool> writeStreamRecords(std::shared_ptr<OriginUpkeep> upkeep);

/** Writes the records at the interval until the process ends. */
boost::asio::awaitable<void> maintainStreamRecords(std::shared_ptr<OriginUpkeep> upkeep);

} // namespace skylark
