/** @file generation.cpp Execution of online generations with their retries. */
#include "traffic/generation_func.h"

#include "core/table/error_table.h"
#include "policy/retry_func.h"
#include "traffic/answer_func.h"
#include "traffic/generation_internal_func.h"
#include "traffic/silence_limit_func.h"
#include "traffic/target_failure_func.h"

#include <algorithm>

namespace skylark {

namespace asio = boost::asio;

namespace {

/** Decides on a retry after a failed attempt and takes it from the retry budget. @return The error to report when there is no retry. */
std::optional<Error> errorUnlessRetried(CallerServer::Impl &impl, RequestContext &context, const Error &failure)
{
    if (waitsForTarget(context) && failure.run == RunState::No && isTargetFailure(failure.code)) {
        ++context.resumeRefusals;
        return {};
    }
    if (isSilentUntilDeadline(context, failure)) {
        return finalError(context, failure, failure);
    }
    RetryInput input;
    input.code = failure.code;
    input.mayHaveRun = context.mayHaveRun;
    input.repeatable = true;
    input.resumable = true;
    input.tokensDelivered = context.generation->tokens;
    input.attempts = countedAttempts(context);
    const RetryDecision action = decideRetry(input);
    if (action == RetryDecision::GiveUp) {
        return finalError(context, failure, failure);
    }
    if (!tryConsumeRetry(impl.budget, BootClock::now())) {
        return finalError(
            context, makeError(ErrorCode::RetryBudgetExhausted, "retry budget exhausted after " + std::string(errorInfo(failure.code).name)), failure);
    }
    addCounter(*impl.context.metrics, "skylark_retries_total", {{"error", errorInfo(failure.code).name}});
    if (action == RetryDecision::Resume) {
        addCounter(*impl.context.metrics, "skylark_resumes_total");
    }
    const std::string step = action == RetryDecision::Resume ? "resume" : "retry";
    logDecision(impl.context.decisions, "route", context.id, step + " after " + std::string(errorInfo(failure.code).name) + ": " + failure.detail);
    return {};
}

/** Waits before a request is sent again to a target on which it failed, or after a refusal while it waits for a target; the delay doubles with each attempt, up
 * to 320 ms. */
asio::awaitable<void> backOff(CallerServer::Impl &impl, RequestContext &context)
{
    const Generation &generation = *context.generation;
    const auto &tried = generation.triedTargets;
    const bool again = generation.decision.kind == RouteKind::Target && std::find(tried.begin(), tried.end(), generation.decision.target) != tried.end();
    if (!again && context.resumeRefusals == 0) {
        co_return;
    }
    asio::steady_timer timer(impl.http->executor);
    co_await cancellableWait(context, timer, std::chrono::milliseconds(10) * (1U << std::min(context.attempts, 5U)));
}

} // namespace

asio::awaitable<std::optional<Error>> executeGeneration(CallerServer::Impl &impl, RequestContext &context)
{
    creditRetryBudget(impl.budget, BootClock::now());
    for (;;) {
        context.attemptRunning = true;
        const auto failure = co_await runAttempt(impl, context);
        context.attemptRunning = false;
        if (!failure) {
            co_return co_await completeAnswer(context);
        }
        if (context.callerGone) {
            co_return failure;
        }
        if (const auto final = errorUnlessRetried(impl, context, *failure)) {
            co_return co_await failAnswer(context, *final);
        }
        const auto refused = co_await admitGeneration(impl, context);
        if (refused) {
            co_return co_await failAnswer(context, finalError(context, *refused, *failure));
        }
        co_await backOff(impl, context);
    }
}

} // namespace skylark
