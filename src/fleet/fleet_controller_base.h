/** @file fleet_controller_base.h State of the fleet controller, shared by the modules that follow configuration, targets and hosts. */
#pragma once

#include "fleet/fleet_controller_func.h"
#include "fleet/version_registry_func.h"
#include "policy/store_outage_func.h"
#include "policy/watch_trust_func.h"
#include "store/key_mirror_func.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>

namespace skylark {

struct FleetController::Impl {
    explicit Impl(boost::asio::any_io_executor control)
        : executor(std::move(control))
        , versionTimer(this->executor)
    {
    }

    boost::asio::any_io_executor executor; ///< Executor of the control thread.
    std::shared_ptr<const KvStore> store; ///< Key-value service.
    FleetWire wire; ///< Decoders of stored documents.
    FleetOptions options; ///< Settings of this host.
    std::shared_ptr<MetricsRegistry> metrics;
    std::function<void(SnapshotPtr)> publish; ///< Called with each new snapshot.
    std::function<void(const QuarantineEntry &)> onQuarantine; ///< Called with each entry that was written; may be empty.
    std::shared_ptr<KeyMirror> config; ///< Mirror of the operators' configuration.
    std::shared_ptr<KeyMirror> targets; ///< Mirror of the targets' entries.
    std::shared_ptr<KeyMirror> hosts; ///< Mirror of the hosts' entries.
    std::shared_ptr<KeyMirror> quarantine; ///< Mirror of the entries of quarantined parts.
    FleetSnapshot state; ///< Latest state, copied into each snapshot.
    TargetMap usableTargets; ///< Targets for requests, including those whose entry expired during an outage of the service.
    std::set<TargetId> expiredTargets; ///< Those of usableTargets that have no entry; removed at the end of the grace period.
    std::map<TargetId, std::uint64_t> entryRevisions; ///< Revision at which each of usableTargets last wrote its entry, as far as it was read.
    std::uint64_t returnRevision{0}; ///< Revision of the first update of the target list after the last outage.
    TimePoint returnOfRevision{}; ///< Return of the service for which returnRevision was recorded.
    TimePoint unreachableSince{}; ///< Start of the current outage, or of the last one.
    bool reachable{true}; ///< Whether the last call to the service succeeded.
    ServiceTrust trust; ///< Calls that the service did not serve.
    StoreContact contact; ///< Answers of the service, to all calls of the controller.
    VersionRegistry versions; ///< Software versions that have served.
    boost::asio::steady_timer versionTimer; ///< Expires when the registry of versions is looked at again.
    std::uint64_t lease{0}; ///< Lease of the host's entry; 0 for none.
    HostLease entryProof; ///< Proof that the host's entry is alive.
    bool leaving{false}; ///< Whether the host's entry is being removed.
    std::uint64_t configRevision{0}; ///< Revision in the service of the last configuration document that was adopted or refused; 0 for none.
    unsigned refusedProofCalls{0}; ///< Consecutive proof transactions with an unknown outcome that a read followed.
    bool pullingConfig{false}; ///< Whether a request for a peer's configuration is in flight.
    std::shared_ptr<HttpClient> peerHttp; ///< Client for configuration pulls.
    std::uint64_t random{0}; ///< State of the pseudorandom generator.
};

using FleetImplPtr = std::shared_ptr<FleetController::Impl>;

/** Publishes a copy of the current state. */
void publishFleet(FleetController::Impl &impl);

/** Records a successful call to the service that is not a stale read. */
void recordStoreSuccess(FleetController::Impl &impl);

/** Records a failed call to the service. @param lostAt When the call was sent or, for a watch, when it ended. */
void recordStoreFailure(FleetController::Impl &impl, const Error &error, TimePoint lostAt);

/** Records a stale read. @param error Error of the read, or null. @param sentAt When it was sent. */
void recordStalePoll(FleetController::Impl &impl, const Error *error, TimePoint sentAt);

} // namespace skylark
