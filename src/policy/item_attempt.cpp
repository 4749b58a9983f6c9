/** @file item_attempt.cpp Retry decisions for batch items. */
#include "policy/item_attempt_func.h"

#include <algorithm>

namespace skylark {

namespace {

constexpr unsigned poisonDeathThreshold = 2; ///< Deaths of targets that ran the item alone; a single one may be a coincidence.

/** @return Whether the failure says nothing about the item, because the target did not run it or this host cancelled it. */
bool isInconclusive(ErrorCode code)
{
    switch (code) {
    case ErrorCode::Cancelled:
    case ErrorCode::ConnectFailed:
    case ErrorCode::ConnectTimeout:
    case ErrorCode::TargetOverloaded:
        return true;
    default:
        return false;
    }
}

bool wasTried(const ItemHistory &history, const TargetId &target)
{
    return std::find(history.tried.begin(), history.tried.end(), target) != history.tried.end();
}

AttemptAction retryAction(const ItemHistory &history)
{
    return history.suspect ? AttemptAction::RetryAlone : AttemptAction::Retry;
}

} // namespace

AttemptDecision nextAttempt(ItemHistory history, const AttemptFailure &failure, unsigned maxAttempts)
{
    if (failure.code == ErrorCode::TargetRejected) {
        ++history.attempts;
        return {AttemptAction::Fail, ErrorCode::TargetRejected, std::move(history)};
    }
    if (isInconclusive(failure.code)) {
        const AttemptAction action = retryAction(history);
        return {action, ErrorCode::Internal, std::move(history)};
    }
    ++history.attempts;
    if (!wasTried(history, failure.target)) {
        history.tried.push_back(failure.target);
    }
    if (failure.targetDied) {
        history.suspect = true;
        history.aloneDeaths += failure.alone ? 1U : 0U;
    }
    if (history.aloneDeaths >= poisonDeathThreshold) {
        return {AttemptAction::Fail, ErrorCode::SuspectedPoison, std::move(history)};
    }
    if (history.attempts >= std::max(1U, maxAttempts)) {
        return {AttemptAction::Fail, ErrorCode::AttemptsExhausted, std::move(history)};
    }
    const AttemptAction action = retryAction(history);
    return {action, ErrorCode::Internal, std::move(history)};
}

bool mayTryTarget(const ItemHistory &history, const TargetId &target, const std::vector<TargetId> &usable)
{
    if (!wasTried(history, target)) {
        return true;
    }
    return std::all_of(usable.begin(), usable.end(), [&history](const TargetId &other) {
        return wasTried(history, other);
    });
}

} // namespace skylark
