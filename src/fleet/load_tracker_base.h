/** @file load_tracker_base.h Requests in flight on each target, of this host and of the other hosts. */
#pragma once

#include "core/clock_func.h"
#include "peer/status_type.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace skylark {

/** Requests in flight on one target. */
struct TargetCounts {
    unsigned online{0}; ///< Online requests.
    unsigned batch{0}; ///< Batch items.
};

/** Latest status of another host. */
struct PeerLoad {
    SessionId session; ///< Identifier of its process; new at each start.
    DomainId domain; ///< Failure domain of the host.
    std::uint64_t incarnation{0}; ///< Start time of its process in Unix milliseconds.
    std::uint64_t sequence{0}; ///< Sequence number of the datagram within the incarnation.
    TimePoint heardAt{}; ///< When the datagram arrived.
    bool leaving{false}; ///< Whether the host has begun a planned shutdown.
    bool linked{false}; ///< Whether the host can serve requests: it is ready and reaches targets.
    Revision configVersion; ///< Configuration in force at the host.
    unsigned batchWaiting{0}; ///< Batch items of the host that wait for a slot.
    std::map<ServiceId, unsigned> waitingByService; ///< The same by service; empty if the host does not say.
    std::map<TargetId, TargetCounts> counts; ///< Requests of the host in flight, by target; empty once its status has expired.
};

/** Counts of requests in flight, of all hosts; owned by the traffic thread. */
struct LoadTracker {
    std::map<TargetId, TargetCounts> own; ///< Requests of this host in flight, by target.
    std::map<ServiceId, unsigned> ownWaiting; ///< Batch items of this host that wait for a slot, by service; no zeros.
    DomainId domain; ///< Failure domain of this host.
    std::map<HostId, PeerLoad> peers; ///< Other hosts that have sent a status. Changed by applyStatus() and dropPeer() only.
    std::unordered_map<TargetId, TargetCounts> peerTotals; ///< Sums of the counts of all peers, by target.
    TimePoint nextExpiry{}; ///< No status expires before this time.
    std::chrono::milliseconds peerExpiry{1500}; ///< Age at which the counts of a host's last status no longer apply; several status intervals.
    std::chrono::milliseconds otherDomainInterval{100}; ///< Time between two statuses of a host of another failure domain, and the transmission.
    std::chrono::milliseconds otherDomainExpiry{1500}; ///< The same for hosts of other failure domains, which send their status less often.
};

/** Applies a status datagram of another host. @return False when it is ignored: it is not newer than the last one, which has not expired. */
bool applyStatus(LoadTracker &tracker, const HostStatus &status, TimePoint now);

/** Removes the counts of hosts whose status has expired from the totals. */
void dropExpiredLoads(LoadTracker &tracker, TimePoint now);

/** Forgets a host. */
void dropPeer(LoadTracker &tracker, const HostId &host);

/** @return Batch items of @p peer that wait for a slot of a target of @p service; all of its items if it does not tell services apart. */
[[nodiscard]] unsigned waitingItems(const PeerLoad &peer, const ServiceId &service);

/** @return Whether the last status of @p peer is recent enough for its counts to apply. */
[[nodiscard]] bool isCurrent(const LoadTracker &tracker, const PeerLoad &peer, TimePoint now);

/** @return Requests of all hosts in flight on @p target; hosts whose status has expired are left out. */
[[nodiscard]] TargetCounts countsOf(LoadTracker &tracker, const TargetId &target, TimePoint now);

/** @return Whether the process @p session has sent a status that has not expired. */
[[nodiscard]] bool hasRecentStatus(const LoadTracker &tracker, const SessionId &session, TimePoint now);

/** @return Age of the oldest status that has not expired; 0 when there is none. */
[[nodiscard]] std::chrono::milliseconds oldestStatusAge(const LoadTracker &tracker, TimePoint now);

/** @return Age of the oldest status that has not expired, by failure domain of the sender. */
[[nodiscard]] std::map<DomainId, std::chrono::milliseconds> oldestStatusAges(const LoadTracker &tracker, TimePoint now);

/** Adds this host's own counts to @p status. */
void addOwnLoad(const LoadTracker &tracker, HostStatus &status);

/** Counts one request of this host as in flight on a target for as long as the object exists. */
struct InFlightGuard {
    std::shared_ptr<LoadTracker> tracker;
    TargetId target;
    bool batch{false}; ///< Whether the request is a batch item.

    InFlightGuard(std::shared_ptr<LoadTracker> loadTracker, TargetId id, bool isBatch);
    InFlightGuard(const InFlightGuard &) = delete;
    InFlightGuard &operator=(const InFlightGuard &) = delete;
    ~InFlightGuard();
};

} // namespace skylark
