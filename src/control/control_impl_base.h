/** @file control_impl_base.h State of the control thread, shared by its controllers. */
#pragma once

#include "control/control_base.h"
#include "http/http_client_func.h"
#include "http/http_server_func.h"
#include "keyvalue/kv_client_func.h"
#include "peer/status_exchange_func.h"
#include "policy/lease_type.h"
#include "policy/membership_type.h"
#include "policy/revision_type.h"
#include "policy/sender_clock_func.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>
#include <unordered_map>

namespace skylark {

/** Signal for one waiting coroutine. A signal that arrives without a waiter is kept for the next wait. */
struct Wakeup {
    boost::asio::steady_timer timer;
    bool signalled{false}; ///< Set by signal(), cleared by the end of a wait.
};

/** State kept for another host, in addition to its status in Control::Impl::members. */
struct HostEntry {
    HostInfo info; ///< From the settings.
    std::uint64_t jobsSeen{0}; ///< Job cursor of the last bundle pulled from it; 0 again when it restarts.
    std::set<TargetId> leavingTargets; ///< Targets reported as leaving in its last status.
};

/** State of a target of this host's failure domain. */
struct ControlTarget {
    TargetInfo info; ///< From the platform's target list.
    LoadReport report; ///< Last load report, polled by this host or received from a peer.
    HostId reporter; ///< Host that polled the target for this report.
    TimePoint leavingUntil{}; ///< The target refused work because it is leaving; it counts as leaving until this time.
    bool isLeaving{false}; ///< Result of the last evaluateTargets(), from all sources.
    HostId owner; ///< Host that polls the target and may send batch to it; empty when no host of the domain is live.
    bool polling{false}; ///< Whether a load poll is in progress.
    double baselineStepMs{0}; ///< Long-term average of the step time in milliseconds; 0 before the first report.
    double declineFactor{1.0}; ///< Smoothed ratio of the step time to the expected step time, at least 1.
    bool inDecline{false}; ///< Whether a decline alarm is raised.
};

/** A known job and the serial number of its last change on this host. */
struct JobEntry {
    std::shared_ptr<const JobRecord> record;
    std::uint64_t serial{0}; ///< Serial number of the change; 0 for a record relayed by a peer, because that peer offers it to the others itself.
};

/** State of the control thread. */
struct Control::Impl {
    HostContext &context; ///< Settings, metrics, event loops and shared state of the process.
    PeerRpc &rpc; ///< Client for calls to peers.
    std::shared_ptr<BatchService> batch; ///< Batch component; null in tests.
    HostInfo self; ///< This host, from the settings.
    SessionId session; ///< Random id of this run of the process.
    std::map<HostId, SenderClock> clocks; ///< Clocks of the other hosts.
    std::uint64_t incarnation{0}; ///< Start time in Unix milliseconds.
    std::uint64_t statusSequence{0}; ///< Sequence number of the last status datagram.
    std::uint64_t randomState{0}; ///< State of the pseudo-random generator.
    std::shared_ptr<HttpClient> http;
    std::shared_ptr<KvClient> kv;
    std::unique_ptr<StatusExchange> exchange; ///< Socket for status datagrams and yield messages.
    std::unique_ptr<HttpServer> admin;

    ConfigState config; ///< Documents and fleet revision known to this host.
    std::shared_ptr<const FleetConfig> fleet; ///< Resolved configuration; null until the configuration is confirmed.
    PlatformThrottle platformThrottle; ///< Rate limit and outage state of background calls to the key-value service.
    LeaseState lease;
    bool lapseLogged{false}; ///< Whether the current lapse of the lease has been logged.
    bool sessionEnded{false}; ///< Set by endSession(); the controllers return.
    std::map<HostId, HostEntry> hosts; ///< All hosts of the settings except this one.
    MembershipView members; ///< Status and liveness of the other hosts.
    std::map<TargetId, ControlTarget> targets; ///< Targets of this failure domain only.
    std::vector<TargetInfo> targetList; ///< Last target list, of all failure domains.
    bool targetsKnown{false}; ///< Whether a target list was ever received.
    TimePoint targetsKnownAt{}; ///< Time of the first target list.
    std::vector<HostId> ownerCandidates; ///< Live hosts among which batch owners were last assigned.
    bool ownersOutdated{true}; ///< Whether the targets have changed since owners were assigned.
    std::uint64_t reportSequence{0}; ///< Sequence number of the last load report; starts at the incarnation, so that it increases across restarts.
    std::map<JobId, JobEntry> jobs; ///< Active jobs and the newest finished ones.
    std::uint64_t jobSerial{0}; ///< Last JobEntry::serial; sent to peers as jobsCursor.
    bool stopping{false}; ///< Whether a planned stop is in progress.

    Wakeup pullWakeup; ///< A peer has newer state.
    Wakeup watchWakeup; ///< The watcher role may have changed.
    Wakeup leaseWakeup; ///< The session has ended.
    boost::asio::steady_timer publishTimer; ///< Next publication of a snapshot.
    bool publishPending{false};
    TimePoint publishedAt{}; ///< Time of the last publication.
    boost::asio::steady_timer statusTimer; ///< Next status scheduled by sendStatusSoon().
    bool statusPending{false}; ///< Whether sendStatusSoon() has scheduled a status.
    unsigned remoteRounds{0}; ///< Rounds of status datagrams sent to other failure domains; selects the receivers.

    Impl(HostContext &hostContext, PeerRpc &peerRpc);
};

using ControlPtr = std::shared_ptr<Control::Impl>;

} // namespace skylark
