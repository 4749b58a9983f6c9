/** @file item_attempt_type.h Attempts of one batch item. */
#pragma once

#include "core/error_type.h"
#include "core/id_type.h"

#include <cstdint>
#include <vector>

namespace skylark {

/** What happened to an item so far. */
struct ItemHistory {
    unsigned attempts{0}; ///< Attempts that failed and may be the item's fault.
    unsigned aloneDeaths{0}; ///< Targets that died while the item was alone in flight on them.
    bool suspect{false}; ///< Whether it met a dying target; it is then retried alone on a target.
    std::vector<TargetId> tried; ///< Targets on which an attempt failed.
};

/** One attempt that ended without a result. */
struct AttemptFailure {
    TargetId target; ///< Target.
    ErrorCode code{ErrorCode::Internal}; ///< Failure.
    bool targetDied{false}; ///< Whether the target does not answer any more.
    bool alone{false}; ///< Whether no other stream of this host was on the target during the attempt.
};

/** What becomes of the item. */
enum class AttemptAction : std::uint8_t {
    Retry, ///< Run it again.
    RetryAlone, ///< Run it again as the only batch stream of a target.
    Fail, ///< Record a typed failure.
};

/** Decision about an item. */
struct AttemptDecision {
    AttemptAction action{AttemptAction::Retry}; ///< What to do.
    ErrorCode failure{ErrorCode::Internal}; ///< Typed failure, for Fail.
    ItemHistory history; ///< History that includes this attempt.
};

} // namespace skylark
