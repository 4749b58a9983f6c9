/** @file item_attempt_type.h Attempts of one batch item and the decision about its retry. */
#pragma once

#include "core/error_type.h"
#include "core/id_type.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace skylark {

/** Failed attempts of an item so far. */
struct ItemHistory {
    unsigned failures{0}; ///< Attempts that a target answered as failed; only these count towards the limit.
    unsigned interruptions{0}; ///< Attempts that ended without an answer, because the target ended, broke off or fell silent; each delays the next one further.
    bool isolated{false}; ///< Whether a target ended while the item ran on it; the item is then retried alone on a target.
    std::vector<TargetId> tried; ///< Targets on which an attempt failed or was interrupted.
};

/** One attempt that ended without a result. */
struct AttemptFailure {
    TargetId target;
    ErrorCode code{ErrorCode::Internal};
    bool targetEnded{false}; ///< Whether the target stopped responding.
};

/** Action for an item after a failed attempt. */
enum class AttemptAction : std::uint8_t {
    Retry, ///< Run it again.
    RetryAlone, ///< Run it again as the only batch stream of a target.
    Fail, ///< Record the failure as the result of the item.
};

/** Result of nextAttempt(). */
struct AttemptDecision {
    AttemptAction action{AttemptAction::Retry};
    ErrorCode failure{ErrorCode::Internal}; ///< Error code to record, for Fail.
    std::chrono::milliseconds delay{0}; ///< Time until the item may run again, for the others.
    ItemHistory history; ///< History including this attempt.
};

} // namespace skylark
