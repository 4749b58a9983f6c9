/** @file retry.cpp Retry decisions and the retry budget. */
#include "policy/retry_func.h"

#include "core/invariant_func.h"

#include <algorithm>

namespace skylark {

namespace {

void refill(RetryBudget &budget, TimePoint now)
{
    if (budget.updatedAt != TimePoint{} && now > budget.updatedAt) {
        budget.tokens += std::chrono::duration<double>(now - budget.updatedAt).count() * budget.tokensPerSecond;
    }
    budget.tokens = std::min(budget.tokens, budget.capacity);
    budget.updatedAt = std::max(budget.updatedAt, now);
}

RetryDecision decide(const RetryInput &input)
{
    if (!isTargetFailure(input.code) || input.attempts >= input.maxAttempts) {
        return RetryDecision::GiveUp;
    }
    if (input.mayHaveRun && !input.repeatable) {
        return RetryDecision::GiveUp;
    }
    if (input.tokensDelivered == 0) {
        return RetryDecision::Retry;
    }
    return input.resumable && input.repeatable ? RetryDecision::Resume : RetryDecision::GiveUp;
}

} // namespace

bool isTargetFailure(ErrorCode code)
{
    switch (code) {
    case ErrorCode::ConnectFailed:
    case ErrorCode::ConnectTimeout:
    case ErrorCode::SendFailed:
    case ErrorCode::FirstByteTimeout:
    case ErrorCode::IdleTimeout:
    case ErrorCode::StreamBroken:
    case ErrorCode::ProtocolError:
    case ErrorCode::ResponseMismatch:
    case ErrorCode::TargetFailed:
    case ErrorCode::TargetOverloaded:
        return true;
    default:
        return false;
    }
}

RetryDecision decideRetry(const RetryInput &input)
{
    const RetryDecision decision = decide(input);
    SKY_INVARIANT(Promise::AtMostOnce, decision == RetryDecision::GiveUp || input.repeatable || !input.mayHaveRun);
    return decision;
}

void creditRetryBudget(RetryBudget &budget, TimePoint now)
{
    refill(budget, now);
    budget.tokens = std::min(budget.tokens + budget.tokensPerRequest, budget.capacity);
}

bool tryConsumeRetry(RetryBudget &budget, TimePoint now)
{
    refill(budget, now);
    if (budget.tokens < 1.0) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

} // namespace skylark
