/** @file retry_func.h Retry decisions and the retry budget. */
#pragma once

#include "policy/retry_type.h"

namespace skylark {

/** @return Whether @p code is a failure of the target or of the connection to it, so that another target may succeed. */
[[nodiscard]] bool isTargetFailure(ErrorCode code);

/** @return What to do after a failed attempt. The budget is checked separately by tryConsumeRetry(). */
[[nodiscard]] RetryDecision decideRetry(const RetryInput &input);

/** Adds the tokens that one request earns. */
void creditRetryBudget(RetryBudget &budget, TimePoint now);

/** @return Whether the budget allows a retry at @p now. */
[[nodiscard]] bool hasRetry(const RetryBudget &budget, TimePoint now);

/** Takes the token for one retry. @return False when the budget is exhausted. */
[[nodiscard]] bool tryConsumeRetry(RetryBudget &budget, TimePoint now);

} // namespace skylark
