/** @file item_attempt.cpp Retry decisions for batch items. */
#include "policy/item_attempt_func.h"

#include <algorithm>

namespace skylark {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds firstInterruptionDelay{1000};
constexpr milliseconds maxInterruptionDelay{30000};
constexpr unsigned maxDelayDoublings = 5; ///< By then the delay has reached its limit.

/** What a failed attempt says about its item. */
enum class AttemptEvidence : std::uint8_t {
    None, ///< The target did not run the item, or this host cancelled it.
    Interrupted, ///< The target did not answer: it ended, broke off, fell silent or sent another answer.
    Failed, ///< The target answered that the attempt failed.
    Rejected, ///< The target answered that the item can never be done.
};

AttemptEvidence evidenceOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::TargetRejected:
        return AttemptEvidence::Rejected;
    case ErrorCode::TargetFailed:
    case ErrorCode::ProtocolError:
        return AttemptEvidence::Failed;
    case ErrorCode::Cancelled:
    case ErrorCode::ConnectFailed:
    case ErrorCode::ConnectTimeout:
    case ErrorCode::TargetOverloaded:
        return AttemptEvidence::None;
    default:
        return AttemptEvidence::Interrupted;
    }
}

bool wasTried(const ItemHistory &history, const TargetId &target)
{
    return std::find(history.tried.begin(), history.tried.end(), target) != history.tried.end();
}

AttemptDecision failItem(ItemHistory history, ErrorCode code)
{
    return {AttemptAction::Fail, code, milliseconds(0), std::move(history)};
}

AttemptDecision retryItem(ItemHistory history, milliseconds delay)
{
    const AttemptAction action = history.isolated ? AttemptAction::RetryAlone : AttemptAction::Retry;
    return {action, ErrorCode::Internal, delay, std::move(history)};
}

} // namespace

AttemptDecision nextAttempt(ItemHistory history, const AttemptFailure &failure, unsigned maxAttempts)
{
    const AttemptEvidence evidence = evidenceOf(failure.code);
    if (evidence == AttemptEvidence::None) {
        return retryItem(std::move(history), milliseconds(0));
    }
    if (!wasTried(history, failure.target)) {
        history.tried.push_back(failure.target);
    }
    if (evidence == AttemptEvidence::Interrupted) {
        ++history.interruptions;
        history.isolated = history.isolated || failure.targetEnded;
        const milliseconds delay = interruptionDelay(history.interruptions);
        return retryItem(std::move(history), delay);
    }
    ++history.failures;
    if (evidence == AttemptEvidence::Rejected) {
        return failItem(std::move(history), ErrorCode::TargetRejected);
    }
    if (history.failures >= std::max(1U, maxAttempts)) {
        return failItem(std::move(history), ErrorCode::AttemptsExhausted);
    }
    return retryItem(std::move(history), milliseconds(0));
}

milliseconds interruptionDelay(unsigned interruptions)
{
    if (interruptions == 0) {
        return milliseconds(0);
    }
    return std::min(maxInterruptionDelay, firstInterruptionDelay * (1U << std::min(interruptions - 1, maxDelayDoublings)));
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
