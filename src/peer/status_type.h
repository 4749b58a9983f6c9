/** @file status_type.h Content of status and yield datagrams between hosts. */
#pragma once

#include "control/snapshot_type.h"
#include "fleet/fleet_type.h"
#include "policy/crash_quarantine_type.h"
#include "policy/rate_limit_type.h"
#include "policy/stream_origin_type.h"

#include <optional>
#include <vector>

namespace skylark {

/** State of one target as reported by its batch owner. */
struct TargetStatus {
    TargetId target;
    LoadReport report; ///< Last load report that the batch owner received.
    bool leaving{false}; ///< The target is about to stop and takes no new work.
    double baselineStepMs{0}; ///< Long-term time per token in milliseconds; 0 if unknown.
};

/** Status that a host sends to the others. */
struct HostStatus {
    HostId host; ///< Sender.
    DomainId domain; ///< Failure domain of the sender.
    SessionId session; ///< Session of the sender.
    std::uint64_t incarnation{0}; ///< Start time of the process in Unix milliseconds.
    std::uint64_t sequence{0}; ///< Number of the datagram within this incarnation.
    bool leaving{false}; ///< The host is in a planned stop.
    bool ready{false}; ///< The host has what it needs to serve requests.
    Revision configRevision; ///< Revision of the configuration in force.
    std::uint64_t jobsCursor{0}; ///< Number of the host's last job change; peers pull the job records after the number that they have seen.
    std::vector<TargetStatus> targets; ///< Targets whose batch owner the host is.
    std::vector<std::pair<TargetId, unsigned>> onlineInFlight; ///< Active online streams by target.
    std::vector<std::pair<ModelId, unsigned>> freeByModel; ///< Free slots in the failure domain by model.
    std::vector<std::pair<TargetId, unsigned>> batchInFlight; ///< Active batch items by target.
    unsigned batchWaiting{0}; ///< Batch items of the host that wait for a slot of a target.
    std::vector<std::pair<ServiceId, unsigned>> batchWaitingByService; ///< The same by the service whose targets may run them; empty if not known.
    std::vector<std::pair<JobId, std::uint64_t>> jobRevisions; ///< Record revisions of jobs that the host owns or has just changed.
    std::chrono::milliseconds sentAt{0}; ///< Steady clock of the sender when it encoded the datagram.
    std::vector<LimitObservation> limits; ///< Rate limits that targets named to the host.
    std::optional<TimePoint> configProvenAt; ///< When the sender's configuration was proved to be the newest, on the local clock; empty without a proof.
    QuarantineReport quarantine; ///< Crashes of targets that the host saw, and quarantined prompt parts.
    bool linksLost{false}; ///< The host reaches no target.
};

/** Request for tokens of a workspace's request quota, sent to a host that holds a part of the quota. */
struct QuotaRequestMessage {
    HostId from; ///< Sender.
    WorkspaceId workspace;
    std::uint64_t number{0}; ///< Number of the request among those of the sender's process.
    unsigned tokens{1}; ///< Tokens asked for, one a request.
};

/** Answer to a QuotaRequestMessage. */
struct QuotaGrantMessage {
    HostId from; ///< Sender.
    WorkspaceId workspace;
    std::uint64_t number{0}; ///< Number of the request that is answered.
    unsigned tokens{0}; ///< Tokens granted; 0 when the sender has none.
    std::chrono::milliseconds retryAfter{0}; ///< Time until the sender has a further token; 0 if it has one now, or may not grant any.
};

/** Service and software version at which a stream began: a record for its keeper, or the answer to a question. */
struct OriginMessage {
    HostId from; ///< Sender.
    std::uint64_t stream{0}; ///< Key of the stream.
    ServiceVersion origin; ///< Without a service in the answer of a host that has no record.
};

/** Question to the keeper of a stream's record. */
struct OriginQuestionMessage {
    HostId from; ///< Sender.
    std::uint64_t stream{0}; ///< Key of the stream.
};

/** Request to the batch owner of a target to release slots for online work. */
struct YieldMessage {
    HostId from; ///< Sender.
    TargetId target;
    unsigned slots{1}; ///< Number of slots needed.
};

} // namespace skylark
