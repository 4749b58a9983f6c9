/** @file spread_type.h Inputs and outcome of the placement of one request on targets that several hosts share. */
#pragma once

#include "core/id_type.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace skylark {

/** One target that could run the request, with the requests of all hosts as far as they are known. */
struct SpreadCandidate {
    TargetId id; ///< Target.
    unsigned slots{1}; ///< Requests that it runs at once.
    unsigned online{0}; ///< Online requests in flight, own and announced by other hosts.
    unsigned batch{0}; ///< Batch items in flight, own and announced by other hosts.
    bool sameDomain{true}; ///< Whether it is in the host's failure domain.
    std::chrono::milliseconds countsAge{0}; ///< Age of what the hosts of its failure domain said of their requests.
    bool suspect{false}; ///< Whether it failed recently.
    bool tried{false}; ///< Whether this request failed on it.
    double slowness{1.0}; ///< Time to the first answer over the median of the service; 1 when unknown.
};

/** What bounds the wait of the request. */
struct SpreadLimits {
    unsigned queuePerSlotPercent{50}; ///< Online requests beyond the slots that a target may hold, as a share of the slots.
};

/** Why a request is placed or not. */
enum class SpreadReason : std::uint8_t {
    FreeSlot, ///< A slot is free.
    BatchYields, ///< A batch item gives up its slot.
    Queued, ///< The request waits at the target behind online requests.
    Full, ///< Every target holds as many requests as can be served in time.
    NoTarget, ///< No target of the service is known.
};

/** Outcome. */
struct SpreadChoice {
    SpreadReason reason{SpreadReason::NoTarget}; ///< Why.
    TargetId target; ///< Target, unless the reason is Full or NoTarget.
    unsigned online{0}; ///< Online requests counted on the target.
    unsigned batch{0}; ///< Batch items counted on the target.
};

} // namespace skylark
