/** @file fleet_controller_func.h Controller of routes, targets and hosts; runs on the control thread. */
#pragma once

#include "fleet/fleet_type.h"
#include "http/http_client_func.h"
#include "metrics/metrics_func.h"
#include "store/kv_store_type.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <string>

namespace skylark {

/** Wire forms of what others write into the service, supplied by an adapter. */
struct FleetWire {
    std::string configKey; ///< Key of the operators' configuration.
    std::string targetPrefix; ///< Prefix of the targets' entries.
    std::function<Result<RoutingConfig>(std::string_view document)> decodeConfig; ///< InvalidDocument when unusable.
    std::function<Result<TargetEntry>(std::string_view id, std::string_view value)> decodeTarget; ///< InvalidDocument when unusable.
};

/** What the controller needs to know of its host. */
struct FleetOptions {
    HostId host; ///< This host.
    SessionId session; ///< This run of its process.
    DomainId domain; ///< Failure domain.
    Endpoint endpoint; ///< Address for status datagrams and state pulls.
    std::chrono::milliseconds targetPause{700}; ///< Least time between two reads of the target list; with the call it stays below the 2 s of the users' bound.
    std::chrono::milliseconds lapseGrace{2000}; ///< Time after an outage of the service in which entries that lapsed meanwhile come back.
    std::chrono::milliseconds leaseTtl{3000}; ///< Lifetime of the host's entry without renewal.
    std::chrono::milliseconds leaseRenewal{1000}; ///< Renewal interval: one renewal may fail.
};

using SnapshotPtr = std::shared_ptr<const FleetSnapshot>;

/** Controller; all functions are called on its executor. */
struct FleetController {
    struct Impl;
    std::shared_ptr<Impl> impl; ///< Hidden state.

    /**
     * Begins to follow the service.
     * @param publish Called on the executor with each new snapshot.
     */
    static std::unique_ptr<FleetController> create(const boost::asio::any_io_executor &executor,
                                                   std::shared_ptr<const KvStore> store,
                                                   FleetWire wire,
                                                   FleetOptions options,
                                                   std::shared_ptr<MetricsRegistry> metrics,
                                                   std::function<void(SnapshotPtr)> publish);
    ~FleetController();
};

/** Notes that the host at @p peer has configuration @p version; it is pulled from there when the service cannot be reached. */
void notePeerConfig(FleetController &controller, Revision version, const Endpoint &peer);

/** Removes the host's entry from the service, so that others take over its jobs, and calls @p done. */
void endHostEntry(FleetController &controller, std::function<void()> done);

/** Path at which hosts give one another the configuration document. */
inline constexpr std::string_view peerConfigPath = "/peer/config";

} // namespace skylark
