/** @file fleet_controller_func.h Follows the configuration, the targets and the hosts in the key-value service; runs on the control thread. */
#pragma once

#include "fleet/fleet_type.h"
#include "fleet/quarantine_entry_func.h"
#include "http/http_client_func.h"
#include "metrics/metrics_func.h"
#include "policy/config_proof_type.h"
#include "policy/request_quota_type.h"
#include "store/kv_store_type.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <string>

namespace skylark {

/** Keys and decoders of what operators and targets write into the key-value service, supplied by an adapter. */
struct FleetWire {
    std::string configKey; ///< Key of the operators' configuration.
    std::string targetPrefix; ///< Prefix of the targets' entries.
    std::function<Result<RoutingConfig>(std::string_view document)> decodeConfig; ///< Decodes a configuration; InvalidDocument when it is invalid.
    std::function<Result<TargetEntry>(std::string_view id, std::string_view value)>
        decodeTarget; ///< Decodes a target's entry; InvalidDocument when it is invalid.
};

/** Identity of this host and timing of the controller. */
struct FleetOptions {
    HostId host; ///< Identifier of this host.
    SessionId session; ///< Identifier of this process; new at each start.
    DomainId domain; ///< Failure domain of this host.
    Endpoint endpoint; ///< Address to which other hosts send status datagrams and from which they pull the configuration.
    std::chrono::milliseconds drainLimit{2000}; ///< Time after which a leaving target must get no new requests.
    std::chrono::milliseconds configLimit{3000}; ///< Time after which a new configuration must be in force.
    std::chrono::milliseconds targetHeartbeat{1200}; ///< Interval at which targets renew their entries.
    std::chrono::milliseconds targetWatchInterval{700}; ///< Minimum interval between watch calls for the target list in a small fleet.
    std::chrono::milliseconds expiryGrace{2000}; ///< Time after an outage of the service within which live targets write expired entries again.
    std::chrono::milliseconds leaseTtl{3000}; ///< Lifetime of the host's entry without a renewal.
    bool provesConfig{false}; ///< Whether the host asks for proofs while the configuration has workspaces; stale reads of the configuration are then rare.
    std::chrono::milliseconds leaseRenewal{1000}; ///< Interval of renewals; one renewal may fail before the lease expires.
    std::function<void(const HostLease &lease)> onLease; ///< Called with each proof that the host's entry is alive, and when it has ended; may be empty.
};

using SnapshotPtr = std::shared_ptr<const FleetSnapshot>;

/** Logs a change of a target. @param state New state: ready, leaving or gone. @param source Where it was learned: store or answer. */
void logTargetChange(const TargetEntry &target, std::string_view state, std::string_view source);

/** Keeps the host's entry in the service and publishes snapshots of the fleet. All functions must be called on its executor. */
struct FleetController {
    struct Impl;
    std::shared_ptr<Impl> impl;

    /**
     * Starts the mirrors and the upkeep of the host's entry.
     * @param publish Called on the executor with each new snapshot.
     * @param onQuarantine Called on the executor with each entry of a quarantined part that was written, also by this host.
     */
    static std::unique_ptr<FleetController> create(const boost::asio::any_io_executor &executor,
                                                   std::shared_ptr<const KvStore> store,
                                                   FleetWire wire,
                                                   FleetOptions options,
                                                   std::shared_ptr<MetricsRegistry> metrics,
                                                   std::function<void(SnapshotPtr)> publish,
                                                   std::function<void(const QuarantineEntry &)> onQuarantine = {});
    ~FleetController();
};

/** Pulls the configuration from the host at @p peer if its @p version is newer than the one in force. */
void pullNewerConfig(FleetController &controller, Revision version, const Endpoint &peer);

/**
 * Asks the service whether the configuration in force is the newest one, and adopts a newer one.
 * @param done Called on the executor, after the snapshot with the configuration was published; with an empty proof when the call failed.
 */
void proveConfig(FleetController &controller, const std::function<void(std::optional<ConfigProof>)> &done);

/** Replaces the watch of the host list unless it was sent since @p overdueAt, when the entry of a silent host must have lapsed. */
void doubtHostList(FleetController &controller, TimePoint overdueAt);

/** Ends the lease of the host's entry, so that other hosts take over its jobs, and then calls @p done. */
void removeHostEntry(FleetController &controller, const std::function<void()> &done);

/** Writes the entry of a quarantined part; it is removed after the longest time for which hosts remember a part. */
void writeQuarantineEntry(FleetController &controller, const QuarantineEntry &entry);

/** Removes the entry of a part that had a sound run. */
void removeQuarantineEntry(FleetController &controller, PromptPartId part);

/** HTTP path at which a host serves its configuration document to other hosts. */
inline constexpr std::string_view peerConfigPath = "/peer/config";

} // namespace skylark
