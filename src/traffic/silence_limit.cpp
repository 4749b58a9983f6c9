/** @file silence_limit.cpp How long a target or another host may be silent during a request. */
#include "traffic/silence_limit_func.h"

#include "policy/retry_func.h"
#include "policy/silence_func.h"

#include <algorithm>

namespace skylark {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds minSilenceLimit{100}; ///< With less, a target has no time to answer.

} // namespace

milliseconds timeLeft(const RequestContext &context)
{
    return std::chrono::ceil<milliseconds>(context.deadline - BootClock::now());
}

bool waitsForTarget(const RequestContext &context)
{
    const bool begun = context.generation && context.generation->tokens > 0;
    return begun && context.hops == 0 && timeLeft(context).count() > 0;
}

unsigned countedAttempts(const RequestContext &context)
{
    return context.attempts - context.resumeRefusals;
}

bool mayRetry(const CallerServer::Impl &impl, const RequestContext &context, bool repeatable)
{
    RetryInput input;
    input.code = ErrorCode::IdleTimeout;
    input.repeatable = repeatable;
    input.attempts = countedAttempts(context);
    return decideRetry(input) != RetryDecision::GiveUp && hasRetry(impl.budget, BootClock::now());
}

milliseconds silenceLimitOf(const RequestContext &context, bool stream, milliseconds moveAfter)
{
    SilenceInput input;
    input.mayMove = context.mayMove;
    input.moved = context.attempts > 1;
    input.stream = stream;
    input.moveAfter = moveAfter;
    input.timeLeft = timeLeft(context);
    return std::max(silenceLimit(input), minSilenceLimit);
}

bool isSilentUntilDeadline(const RequestContext &context, const Error &failure)
{
    return isSilence(failure) && timeLeft(context).count() <= 0;
}

} // namespace skylark
