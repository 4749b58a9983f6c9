/** @file generation.cpp Admission and execution of online generations. */
#include "traffic/generation_func.h"

#include "core/hash_func.h"
#include "core/invariant_func.h"
#include "core/table/error_table.h"
#include "policy/admission_func.h"
#include "policy/baseline_func.h"
#include "policy/retry_func.h"
#include "policy/routing_func.h"
#include "traffic/answer_func.h"
#include "traffic/answer_stream_func.h"
#include "traffic/crash_evidence_func.h"
#include "traffic/silence_limit_func.h"
#include "traffic/target_failure_func.h"
#include "traffic/target_view_func.h"

#include <algorithm>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/** A queued request checks again at this interval, because slots that streams of other hosts free are only seen in load reports. */
constexpr std::chrono::milliseconds queuePollInterval{25};

/** A request whose attempt failed waits this long for a target with an open circuit breaker, so that a short interruption does not end the answer. */
constexpr std::chrono::milliseconds blockedTargetWait{2000};

/** Wakes the waiting request with the earliest deadline. */
void wakeFirst(ModelQueue &queue)
{
    if (queue.order.tickets.empty()) {
        return;
    }
    const auto found = queue.waitTimers.find(queue.order.tickets.begin()->second);
    if (found != queue.waitTimers.end()) {
        found->second->cancel();
    }
}

/** A place in the queue of a model; leaves the queue when it is destroyed, and wakes the first waiting request. */
struct QueuePlace {
    ModelQueue &queue;
    TimePoint deadline; ///< Decides the order in the queue.
    asio::steady_timer timer; ///< Cancelled to wake the request.
    std::uint64_t ticket{0}; ///< Id in the queue; 0 when not queued.

    QueuePlace(ModelQueue &model, TimePoint latest, const asio::any_io_executor &executor)
        : queue(model)
        , deadline(latest)
        , timer(executor)
    {
    }
    ~QueuePlace()
    {
        if (this->ticket == 0) {
            return;
        }
        dequeue(this->queue.order, this->deadline, this->ticket);
        this->queue.waitTimers.erase(this->ticket);
        wakeFirst(this->queue);
    }
    QueuePlace(const QueuePlace &) = delete;
    QueuePlace &operator=(const QueuePlace &) = delete;
};

void joinQueue(QueuePlace &place)
{
    if (place.ticket == 0) {
        place.ticket = enqueue(place.queue.order, place.deadline);
        place.queue.waitTimers[place.ticket] = &place.timer;
    }
}

/** Waits on @p timer until @p duration has passed, the timer is cancelled or the caller disconnects; counts the wait as queue time. */
asio::awaitable<void> cancellableWait(RequestContext &context, asio::steady_timer &timer, std::chrono::milliseconds duration)
{
    const TimePoint before = BootClock::now();
    context.cancelWork = [&timer] {
        timer.cancel();
    };
    timer.expires_after(duration);
    co_await timer.async_wait(awaitTuple);
    context.cancelWork = nullptr;
    context.queueTime += BootClock::now() - before;
}

AdmissionDecision evaluateAdmission(const RequestContext &context, const QueuePlace &place, const RouteInput &input, TimePoint now)
{
    AdmissionInput admission;
    admission.wait = context.generation->decision.wait;
    admission.ahead = countAhead(place.queue.order, place.deadline);
    if (place.ticket != 0) {
        admission.ahead = isFirst(place.queue.order, place.ticket) ? 0 : std::max<std::size_t>(admission.ahead, 2) - 1;
    }
    admission.queued = place.ticket == 0 ? place.queue.order.tickets.size() : 0;
    admission.slotTime = slotTime(input, place.queue.serviceMs);
    admission.deadline = context.deadline;
    admission.now = now;
    return decideAdmission(admission);
}

Error overloaded(const AdmissionDecision &decision)
{
    Error error = makeError(ErrorCode::Overloaded, "estimated wait of " + std::to_string(decision.wait.count()) + " ms exceeds the deadline");
    error.retryAfter = decision.retryAfter;
    return error;
}

/** @return Whether a request whose attempt failed should wait for a target with an open circuit breaker. @param since Begin of the wait. */
bool shouldWaitForBlocked(const RequestContext &context, const RouteInput &input, TimePoint since, TimePoint now)
{
    const bool blocked = std::any_of(input.candidates.begin(), input.candidates.end(), [](const RouteCandidate &candidate) {
        return candidate.blocked && !candidate.leaving;
    });
    return context.attempts > 0 && blocked && now - since < blockedTargetWait;
}

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
    recordGenerationStart(impl, *context.generation);
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
        recordSoundGeneration(impl, *context.generation);
        recordServedStream(impl, context, target.id, startedAt, timing);
        co_return std::nullopt;
    }
    recordCallFailure(impl, context, target, attempt, *failure);
    if (!context.callerGone) {
        recordGenerationFailure(impl, *context.generation, target.id, progress, *failure);
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

asio::awaitable<std::optional<Error>> admitGeneration(CallerServer::Impl &impl, RequestContext &context)
{
    Generation &generation = *context.generation;
    QueuePlace place(impl.queues[generation.model->name], context.deadline, impl.http->executor);
    const TimePoint since = BootClock::now();
    for (;;) {
        if (context.callerGone) {
            co_return makeError(ErrorCode::CallerGone, "caller closed its connection");
        }
        context.snapshot = impl.context.snapshot->current.load();
        if (auto quarantined = quarantineError(impl, generation)) {
            if (!waitsForTarget(context)) {
                co_return quarantined;
            }
            co_await cancellableWait(context, place.timer, queuePollInterval);
            continue;
        }
        const TimePoint now = BootClock::now();
        const RouteInput input = makeRouteInput(impl, context, now);
        generation.decision = chooseTargetByMode(impl.context.settings->policyMode, input, impl.roundRobinTurn++);
        if (generation.decision.kind == RouteKind::None) {
            const bool waits = waitsForTarget(context);
            if (waits) {
                generation.triedDomains.clear();
            }
            if (waits || shouldWaitForBlocked(context, input, since, now)) {
                co_await cancellableWait(context, place.timer, queuePollInterval);
                continue;
            }
            logDecision(impl.context.decisions, "route", context.id, generation.decision.reason);
            co_return makeError(ErrorCode::NoTarget, "no target for model " + generation.model->name.value);
        }
        const AdmissionDecision admission = evaluateAdmission(context, place, input, now);
        const bool started = generation.tokens > 0;
        generation.hasAlternative = hasAlternative(input, generation.decision, started);
        if (generation.decision.kind == RouteKind::Forward || admission.kind == AdmissionKind::Run || started) {
            break;
        }
        if (admission.kind == AdmissionKind::Refuse) {
            logDecision(impl.context.decisions, "admit", context.id, "refused: estimated wait " + std::to_string(admission.wait.count()) + " ms");
            co_return overloaded(admission);
        }
        joinQueue(place);
        co_await cancellableWait(context, place.timer, queuePollInterval);
    }
    observe(*impl.context.metrics, "skylark_queue_wait_seconds", {}, BootClock::now() - since);
    logDecision(impl.context.decisions, "route", context.id, generation.decision.reason);
    co_return std::nullopt;
}

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
