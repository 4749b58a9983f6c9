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

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>
#include <unordered_map>

namespace skylark {

/** Wakes one waiting coroutine; a signal without a waiter is kept. */
struct Wakeup {
    boost::asio::steady_timer timer; ///< Waited on.
    bool signalled{false}; ///< Whether a signal is kept.
};

/** What this host keeps of another host beside its status. */
struct HostEntry {
    HostInfo info; ///< From the settings.
    std::uint64_t jobsSeen{0}; ///< Job cursor of its last bundle, for its present incarnation.
    std::set<TargetId> leavingTargets; ///< Targets that it says are leaving.
};

/** What this host knows of a target of its failure domain. */
struct TargetEntry {
    TargetInfo info; ///< From the platform's list.
    LoadReport report; ///< Last report, own or relayed.
    HostId reporter; ///< Host that polled it.
    TimePoint refusedUntil{}; ///< Refused work as leaving; believed until then.
    bool leavingKnown{false}; ///< Leaving at the last evaluation.
    HostId owner; ///< Batch owner at the last evaluation.
    bool polling{false}; ///< Whether a poll is in flight.
    double baselineStepMs{0}; ///< Long-term average of the step time in milliseconds.
    double declineFactor{1.0}; ///< Smoothed step time over the expected one, at least 1.
    bool inDecline{false}; ///< Whether an alarm of slow decline is raised.
};

/** A job with the local serial number of its last change. */
struct JobEntry {
    std::shared_ptr<const JobRecord> record; ///< Record.
    std::uint64_t serial{0}; ///< Local change number; 0 when it was relayed by a peer, which offers it itself.
};

/** State of the control thread. */
struct Control::Impl {
    HostContext &context; ///< Facilities.
    PeerRpc &rpc; ///< Outgoing calls to peers.
    std::shared_ptr<BatchService> batch; ///< Batch part; null in tests.
    HostInfo self; ///< This host.
    SessionId session; ///< This run.
    std::uint64_t incarnation{0}; ///< Start time in Unix milliseconds.
    std::uint64_t sequence{0}; ///< Status datagrams made.
    std::uint64_t random{0}; ///< State of the random sequence.
    std::shared_ptr<HttpClient> http; ///< Transport.
    std::shared_ptr<KvClient> kv; ///< Key-value service.
    std::unique_ptr<StatusExchange> exchange; ///< Status socket.
    std::unique_ptr<HttpServer> admin; ///< Operators' server.

    ConfigState config; ///< Configuration.
    std::shared_ptr<const FleetConfig> fleet; ///< Configuration resolved; null until confirmed.
    PlatformGate gate; ///< Calls to the key-value service.
    LeaseState lease; ///< Session lease.
    bool lapseNoted{false}; ///< Whether the present lapse of the lease was logged.
    bool ended{false}; ///< Whether a planned stop has ended the session.
    std::map<HostId, HostEntry> hosts; ///< All other hosts.
    MembershipView members; ///< Statuses and liveness of other hosts.
    std::map<TargetId, TargetEntry> targets; ///< Targets of this failure domain.
    std::vector<TargetInfo> targetList; ///< Last list, of all failure domains.
    bool targetsKnown{false}; ///< Whether a list was ever read.
    TimePoint targetsKnownAt{}; ///< Time of the first list.
    std::vector<HostId> ownersFor; ///< Live hosts that the batch owners were chosen from.
    bool ownersOutdated{true}; ///< Whether the targets have changed since.
    std::uint64_t reportSequence{0}; ///< Sequence of the last load report; starts at the incarnation, so that it rises over a restart.
    std::map<JobId, JobEntry> jobs; ///< Known jobs.
    std::uint64_t jobSerial{0}; ///< Last local change number.
    bool stopping{false}; ///< Planned stop.

    Wakeup pullWakeup; ///< Peers have news.
    Wakeup watchWakeup; ///< Watcher role may have changed.
    Wakeup leaseWakeup; ///< Lease controller may end.
    boost::asio::steady_timer publishTimer; ///< Next publication.
    bool publishPending{false}; ///< Whether a publication is scheduled.
    TimePoint publishedAt{}; ///< Last publication.
    boost::asio::steady_timer statusTimer; ///< Next status sent at once.
    bool statusPending{false}; ///< Whether a status is about to be sent.
    unsigned remoteRounds{0}; ///< Rounds sent to other failure domains.

    Impl(HostContext &hostContext, PeerRpc &peerRpc);
};

using ControlPtr = std::shared_ptr<Control::Impl>;

} // namespace skylark
