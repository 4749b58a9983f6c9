/** @file spread_func.h Placement of one request on targets that several hosts share. */
#pragma once

#include "policy/spread_type.h"

#include <string_view>

namespace skylark {

/** @return The name of @p reason in logs and metrics. */
[[nodiscard]] std::string_view spreadReasonName(SpreadReason reason);

/**
 * Chooses the target with the shortest expected wait. Batch items count little, because they give way within a step of the target.
 * @param draw Uniform random number that breaks ties, so that hosts that see the same counts do not all choose the same target.
 */
[[nodiscard]] SpreadChoice spreadRequest(const std::vector<SpreadCandidate> &candidates, const SpreadLimits &limits, std::uint64_t draw);

/** What a host knows of a batch-carrying target when it decides about its own batch items there. */
struct ValleyInput {
    unsigned slots{0}; ///< Requests that the target runs at once.
    unsigned online{0}; ///< Online requests of all hosts.
    unsigned ownBatch{0}; ///< Own batch items.
    unsigned batchBefore{0}; ///< Batch items of hosts that give way before this one.
    unsigned batchAfter{0}; ///< Batch items of hosts that give way after this one.
    bool preferred{true}; ///< Whether this host takes free slots first.
};

/** @return Own batch items that have to be cancelled so that online requests find a slot. */
[[nodiscard]] unsigned valleyYield(const ValleyInput &input);

/** @return Batch items that may be started now. A host that is not preferred leaves one slot, so that two hosts seldom take the same one. */
[[nodiscard]] unsigned valleyFree(const ValleyInput &input);

/** What decides how a request that cannot be placed is refused. */
struct RefusalInput {
    unsigned online{0}; ///< Online requests in flight on all targets of the service.
    unsigned slots{0}; ///< Slots of all targets of the service.
    std::chrono::milliseconds serviceTime{700}; ///< Usual time that a request holds a slot.
    std::chrono::milliseconds remaining{0}; ///< Time that the caller still waits.
    std::uint64_t draw{0}; ///< Uniform random number that spreads the returns.
};

/** @return Delay after which the caller should come back: when the requests that are ahead are expected to be done, spread over as long again. */
[[nodiscard]] std::chrono::milliseconds refusalDelay(const RefusalInput &input);

} // namespace skylark
