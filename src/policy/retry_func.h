/** @file retry_func.h Retry decisions and their budget. */
#pragma once

#include "policy/retry_type.h"

namespace skylark {

/** @return Whether @p code is a failure of the target or the path to it, which another target may not have. */
[[nodiscard]] bool isTargetFailure(ErrorCode code);

/** Decides what follows a failed attempt. The budget is asked separately by takeRetry(). */
[[nodiscard]] RetryVerdict mayRetry(const RetryQuestion &question);

/** Credits the budget for one request. */
void noteRequest(RetryBudget &budget, TimePoint now);

/** Takes one retry from the budget. @return False when it is empty. */
[[nodiscard]] bool takeRetry(RetryBudget &budget, TimePoint now);

} // namespace skylark
