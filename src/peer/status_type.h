/** @file status_type.h Content of status datagrams between hosts. */
#pragma once

#include "control/snapshot_type.h"

#include <vector>

namespace skylark {

/** Report of one target by its batch owner. */
struct TargetStatus {
    TargetId target; ///< Target.
    LoadReport report; ///< Last load report.
    bool leaving{false}; ///< Known to be leaving.
    double baselineStepMs{0}; ///< Long-term time per token in milliseconds; 0 when unknown.
};

/** What a host tells the others about itself. */
struct HostStatus {
    HostId host; ///< Sender.
    DomainId domain; ///< Its failure domain.
    SessionId session; ///< Its session.
    std::uint64_t incarnation{0}; ///< Start time of the process in Unix milliseconds.
    std::uint64_t sequence{0}; ///< Counts the datagrams of this incarnation.
    bool leaving{false}; ///< Planned stop.
    bool ready{false}; ///< Serves callers.
    Revision configRevision; ///< Configuration in force.
    std::uint64_t jobsCursor{0}; ///< Event cursor of the job list.
    std::vector<TargetStatus> targets; ///< Owned targets.
    std::vector<std::pair<TargetId, unsigned>> onlineInFlight; ///< Online streams by target.
    std::vector<std::pair<ModelId, unsigned>> freeByModel; ///< Free slots of the domain by model.
    std::vector<std::pair<TargetId, unsigned>> batchInFlight; ///< Batch items by target.
    std::vector<std::pair<JobId, std::uint64_t>> jobRevisions; ///< Revisions of the records of jobs that the host owns or has just changed.
};

/** Asks a target's batch owner to release slots. */
struct YieldMessage {
    HostId from; ///< Sender.
    TargetId target; ///< Target.
    unsigned slots{1}; ///< Slots needed.
};

} // namespace skylark
