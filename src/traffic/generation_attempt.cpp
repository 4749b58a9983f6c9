/** @file generation_attempt.cpp One attempt of an online generation: sends it to a target or another host, relays the answer and records the result. */
#include "core/hash_func.h"
#include "core/invariant_func.h"
#include "traffic/answer_func.h"
#include "traffic/answer_stream_func.h"
#include "traffic/crash_evidence_func.h"
#include "traffic/generation_internal_func.h"
#include "traffic/silence_limit_func.h"
#include "traffic/target_failure_func.h"
#include "traffic/target_view_func.h"

#include <algorithm>

namespace skylark {

namespace asio = boost::asio;

namespace {

HttpTimeouts timeoutsOf(const RequestContext &context)
{
    HttpTimeouts timeouts;
    timeouts.firstByte = silenceLimitOf(context, true, context.workspace->online.firstByteTimeout);
    timeouts.send = std::max(timeouts.send, timeouts.firstByte);
    timeouts.idle = context.workspace->online.idleTimeout;
    return timeouts;
}

/** Begins the next attempt. @return A request id that no other call to a target has. */
RequestId beginAttempt(CallerServer::Impl &impl, RequestContext &context)
{
    ++context.attempts;
    context.progressAt = BootClock::now();
    context.mayMove = context.generation->hasAlternative && mayRetry(impl, context, true);
    const std::string random = std::to_string(nextRandom(impl.seed));
    return RequestId{context.id.value + "." + random + "." + std::to_string(context.attempts)};
}

/** Relays one attempt's stream to the caller up to its end. @return The failure, if any. */
asio::awaitable<std::optional<Error>> relayStream(
    CallerServer::Impl &impl, RequestContext &context, AnswerStream &stream, RequestId attempt, AnswerTiming &timing)
{
    const OnlinePolicy &online = context.workspace->online;
    auto moveAfter = online.firstByteTimeout;
    for (;;) {
        const TimePoint before = BootClock::now();
        auto event = co_await readAnswer(stream, silenceLimitOf(context, true, moveAfter));
        context.targetTime += BootClock::now() - before;
        if (context.callerGone) {
            co_return makeError(ErrorCode::CallerGone, "caller closed its connection", RunState::Maybe);
        }
        if (!isOk(event)) {
            co_return errorOf(event);
        }
        if (!valueOf(event)) {
            break;
        }
        moveAfter = online.idleTimeout;
        const unsigned tokens = context.generation->tokens;
        if (auto gone = co_await deliverTokenEvent(impl, context, std::move(*valueOf(event)), timing)) {
            co_return gone;
        }
        context.progressAt = BootClock::now();
        if (context.generation->tokens > tokens) {
            context.deadline = context.progressAt + online.deadline;
        }
    }
    if (!isComplete(stream, attempt)) {
        co_return makeError(ErrorCode::ResponseMismatch, "response does not carry the request id of the attempt", RunState::Maybe);
    }
    co_return std::nullopt;
}

/** Relays the stream of a started attempt; it is closed when the caller disconnects. @return The failure, if any. */
asio::awaitable<std::optional<Error>> finishAttempt(
    CallerServer::Impl &impl, RequestContext &context, AnswerStream stream, RequestId attempt, AnswerTiming &timing)
{
    context.mayHaveRun = true;
    context.progressAt = BootClock::now();
    context.cancelWork = [&stream] {
        abortAnswer(stream);
    };
    const auto failure = co_await relayStream(impl, context, stream, attempt, timing);
    context.cancelWork = nullptr;
    if (!failure) {
        SKY_INVARIANT(Promise::WholeAnswer, isComplete(stream, attempt));
    }
    co_return failure;
}

void requestSlots(CallerServer::Impl &impl, const RouteDecision &decision, std::uint64_t reportSequence)
{
    // Only the target's batch owner knows how many batch streams run now, so it is told of every online stream, even when the last load
    // report showed a free slot: with reports every 500 ms, most waits behind batch streams were on targets that had one in the report.
    if (impl.context.requestYield) {
        impl.context.requestYield(decision.target, std::max(1U, decision.yieldSlots));
    }
    if (decision.yieldSlots == 0) {
        return;
    }
    PendingYield &pending = impl.pendingYields[decision.target];
    if (pending.reportSequence != reportSequence) {
        pending = {reportSequence, 0};
    }
    pending.slots += decision.yieldSlots;
    addCounter(*impl.context.metrics, "skylark_yields_total", {}, decision.yieldSlots);
}

/** Records a completed stream: health and token times of the target, prefix affinity and the slot time of the model. */
void recordServedStream(CallerServer::Impl &impl, const RequestContext &context, const TargetId &target, TimePoint startedAt, const AnswerTiming &timing)
{
    constexpr double weight = 0.1; // The last twenty streams or so dominate the average.
    const TimePoint now = BootClock::now();
    recordStreamSuccess(*impl.context.loads, target);
    recordTokenTiming(*impl.context.loads, target, firstTokenMs(timing, startedAt), tokenMs(timing), now);
    ModelQueue &queue = impl.queues[context.generation->model->name];
    queue.serviceMs += weight * (std::chrono::duration<double, std::milli>(now - startedAt).count() - queue.serviceMs);
    recordPrefixes(impl.affinity, context.generation->prefixes, target);
}

/** Turns a 404 into TargetOverloaded: a target that has unloaded the model since its last load report answers 404 without running the request. */
void convertUnloadedError(std::optional<Error> &failure)
{
    if (failure && failure->code == ErrorCode::TargetRejected && failure->detail.starts_with("404")) {
        failure->code = ErrorCode::TargetOverloaded;
        failure->run = RunState::No;
    }
}

asio::awaitable<std::optional<Error>> attemptOnTarget(CallerServer::Impl &impl, RequestContext &context, TargetInfo target, std::uint64_t reportSequence)
{
    const RequestId attempt = beginAttempt(impl, context);
    const HttpTimeouts timeouts = timeoutsOf(context);
    const TimePoint startedAt = BootClock::now();
    AnswerTiming timing;
    std::optional<Error> failure;
    RunProgress progress;
    recordRunStart(impl, context);
    requestSlots(impl, context.generation->decision, reportSequence);
    {
        const OnlineStreamGuard count(*impl.context.loads, target.id);
        addCounter(*impl.context.metrics, "skylark_target_attempts_total");
        auto started = co_await startOnTarget(impl, context, target.endpoint, attempt, timeouts);
        context.targetTime += BootClock::now() - startedAt;
        if (isOk(started)) {
            failure = co_await finishAttempt(impl, context, std::move(valueOf(started)), attempt, timing);
            progress = {true, timing.first == TimePoint{} ? 0 : timing.tokensAfterFirst + 1};
        } else {
            failure = errorOf(started);
            convertUnloadedError(failure);
        }
    }
    wakeFirst(impl.queues[context.generation->model->name]);
    if (!failure) {
        recordSoundRun(impl, context);
        recordServedStream(impl, context, target.id, startedAt, timing);
        co_return std::nullopt;
    }
    recordCallFailure(impl, context, target, attempt, *failure);
    if (!context.callerGone) {
        recordFailedRun(impl, context, target.id, progress, *failure);
    }
    context.generation->triedTargets.push_back(target.id);
    co_return failure;
}

asio::awaitable<std::optional<Error>> attemptForward(CallerServer::Impl &impl, RequestContext &context, DomainId domain)
{
    Generation &generation = *context.generation;
    const HostView *host = chooseHost(impl, *context.snapshot, domain);
    if (host == nullptr) {
        generation.triedDomains.push_back(domain);
        co_return makeError(ErrorCode::ConnectFailed, "no live host in " + domain.value);
    }
    const Endpoint endpoint = host->info.http;
    const RequestId attempt = beginAttempt(impl, context);
    const HttpTimeouts timeouts = timeoutsOf(context);
    const TimePoint startedAt = BootClock::now();
    AnswerTiming timing;
    std::optional<Error> failure;
    addCounter(*impl.context.metrics, "skylark_forwards_total");
    auto started = co_await startForward(impl, context, endpoint, attempt, timeouts);
    context.targetTime += BootClock::now() - startedAt;
    if (isOk(started)) {
        failure = co_await finishAttempt(impl, context, std::move(valueOf(started)), attempt, timing);
    } else {
        failure = errorOf(started);
    }
    if (!failure) {
        co_return std::nullopt;
    }
    context.mayHaveRun = context.mayHaveRun || failure->run == RunState::Maybe;
    if (isUnresponsive(failure->code) && !context.callerGone) {
        dropSilentConnections(impl, endpoint);
    }
    generation.triedDomains.push_back(domain);
    co_return failure;
}

} // namespace

asio::awaitable<std::optional<Error>> runAttempt(CallerServer::Impl &impl, RequestContext &context)
{
    const RouteDecision &decision = context.generation->decision;
    if (decision.kind == RouteKind::Forward) {
        co_return co_await attemptForward(impl, context, decision.domain);
    }
    for (const TargetView &view : context.snapshot->targets) {
        if (view.info.id == decision.target) {
            SKY_INVARIANT(Promise::LeavingTarget, !isLeaving(impl, view));
            co_return co_await attemptOnTarget(impl, context, view.info, view.report.sequence);
        }
    }
    co_return makeError(ErrorCode::NoTarget, "chosen target is not in the control snapshot");
}

} // namespace skylark
