/** @file item_attempt_type.h Attempts of one batch item and the decision about its retry. */
#pragma once

#include "core/error_type.h"
#include "core/id_type.h"

#include <cstdint>
#include <vector>

namespace skylark {

/** Failed attempts of an item so far. */
struct ItemHistory {
    unsigned attempts{0}; ///< Failed attempts that the item may have caused; only these count towards the limit.
    unsigned aloneDeaths{0}; ///< Times that a target died while the item was alone in flight on it.
    bool suspect{false}; ///< Whether a target died while the item ran on it; the item is then retried alone on a target.
    std::vector<TargetId> tried; ///< Targets on which an attempt failed that counts towards the limit.
};

/** One attempt that ended without a result. */
struct AttemptFailure {
    TargetId target;
    ErrorCode code{ErrorCode::Internal};
    bool targetDied{false}; ///< Whether the target stopped responding.
    bool alone{false}; ///< Whether no other stream of this host ran on the target during the attempt.
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
    ItemHistory history; ///< History including this attempt.
};

} // namespace skylark
