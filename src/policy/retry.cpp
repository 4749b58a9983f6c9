/** @file retry.cpp Retry decisions and the retry budget. */
#include "policy/retry_func.h"

#include "core/invariant_func.h"

#include <algorithm>

namespace skylark {

namespace {

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
    refillTokens(budget.bucket, now);
    budget.bucket.tokens = std::min(budget.bucket.tokens + budget.tokensPerRequest, budget.bucket.capacity);
}

bool hasRetry(const RetryBudget &budget, TimePoint now)
{
    return tokensAt(budget.bucket, now) >= 1.0;
}

bool tryConsumeRetry(RetryBudget &budget, TimePoint now)
{
    refillTokens(budget.bucket, now);
    if (budget.bucket.tokens < 1.0) {
        return false;
    }
    budget.bucket.tokens -= 1.0;
    return true;
}

} // namespace skylark
