/** @file retry.cpp Retry decisions and their budget. */
#include "policy/retry_func.h"

#include "core/invariant_func.h"

#include <algorithm>

namespace skylark {

namespace {

void refill(RetryBudget &budget, TimePoint now)
{
    if (budget.updatedAt != TimePoint{} && now > budget.updatedAt) {
        budget.tokens += std::chrono::duration<double>(now - budget.updatedAt).count() * budget.perSecond;
    }
    budget.tokens = std::min(budget.tokens, budget.capacity);
    budget.updatedAt = std::max(budget.updatedAt, now);
}

RetryVerdict decide(const RetryQuestion &question)
{
    if (!isTargetFailure(question.code) || question.attempts >= question.maxAttempts) {
        return RetryVerdict::GiveUp;
    }
    if (question.mayHaveRun && !question.repeatable) {
        return RetryVerdict::GiveUp;
    }
    if (question.tokensDelivered == 0) {
        return RetryVerdict::Retry;
    }
    return question.resumable && question.repeatable ? RetryVerdict::Resume : RetryVerdict::GiveUp;
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

RetryVerdict mayRetry(const RetryQuestion &question)
{
    const RetryVerdict verdict = decide(question);
    SKY_INVARIANT(Promise::AtMostOnce, verdict == RetryVerdict::GiveUp || question.repeatable || !question.mayHaveRun);
    return verdict;
}

void noteRequest(RetryBudget &budget, TimePoint now)
{
    refill(budget, now);
    budget.tokens = std::min(budget.tokens + budget.perRequest, budget.capacity);
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
