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

RetryVerdict decide(const RetryQuestion &input)
{
    if (!isTargetFailure(input.code) || input.attempts >= input.maxAttempts) {
        return RetryVerdict::GiveUp;
    }
    if (input.mayHaveRun && !input.repeatable) {
        return RetryVerdict::GiveUp;
    }
    if (input.tokensDelivered == 0) {
        return RetryVerdict::Retry;
    }
    return input.resumable && input.repeatable ? RetryVerdict::Resume : RetryVerdict::GiveUp;
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

RetryVerdict mayRetry(const RetryQuestion &input)
{
    const RetryVerdict decision = decide(input);
    SKY_INVARIANT(Promise::AtMostOnce, decision == RetryVerdict::GiveUp || input.repeatable || !input.mayHaveRun);
    return decision;
}

void noteRequest(RetryBudget &budget, TimePoint now)
{
    refill(budget, now);
    budget.tokens = std::min(budget.tokens + budget.tokensPerRequest, budget.capacity);
}

bool takeRetry(RetryBudget &budget, TimePoint now)
{
    refill(budget, now);
    if (budget.tokens < 1.0) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

} // namespace skylark
