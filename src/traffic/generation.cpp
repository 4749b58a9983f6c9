/** @file generation.cpp Admission and execution of online generations. */
#include "traffic/generation_func.h"

#include "core/hash_func.h"
#include "core/invariant_func.h"
#include "core/table/error_table.h"
#include "policy/admission_func.h"
#include "policy/baseline_func.h"
#include "policy/retry_func.h"
#include "traffic/answer_func.h"
#include "traffic/answer_stream_func.h"
#include "traffic/target_failure_func.h"
#include "traffic/target_view_func.h"

#include <algorithm>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/** A queued request looks again this often, because slots that other hosts free are only seen in reports. */
constexpr std::chrono::milliseconds queuePoll{25};

/** A request that has lost its target waits this long for a blocked one, so that a short interruption does not cut an answer. */
constexpr std::chrono::milliseconds blockedGrace{2000};

constexpr std::chrono::milliseconds shortestFirstByte{100}; ///< Below this a target has no chance to answer.

void wakeFirst(ModelQueue &queue)
{
    if (queue.order.tickets.empty()) {
        return;
    }
    const auto found = queue.wakeUps.find(queue.order.tickets.begin()->second);
    if (found != queue.wakeUps.end()) {
        found->second->cancel();
    }
}

/** A place in the queue of a model. */
struct QueuePlace {
    ModelQueue &queue; ///< Queue.
    TimePoint deadline; ///< Order in the queue.
    asio::steady_timer timer; ///< Wakes the request.
    std::uint64_t ticket{0}; ///< Place; 0 when not queued.

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
        this->queue.wakeUps.erase(this->ticket);
        wakeFirst(this->queue);
    }
    QueuePlace(const QueuePlace &) = delete;
    QueuePlace &operator=(const QueuePlace &) = delete;
};

void enter(QueuePlace &place)
{
    if (place.ticket == 0) {
        place.ticket = enqueue(place.queue.order, place.deadline);
        place.queue.wakeUps[place.ticket] = &place.timer;
    }
}

asio::awaitable<void> pause(RequestContext &context, asio::steady_timer &timer, std::chrono::milliseconds duration)
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

AdmissionDecision decide(const RequestContext &context, const QueuePlace &place, const RouteQuestion &question, TimePoint now)
{
    AdmissionQuestion admission;
    admission.wait = context.generation->decision.wait;
    admission.ahead = aheadOf(place.queue.order, place.deadline);
    if (place.ticket != 0) {
        admission.ahead = isFirst(place.queue.order, place.ticket) ? 0 : std::max<std::size_t>(admission.ahead, 2) - 1;
    }
    admission.queued = place.ticket == 0 ? place.queue.order.tickets.size() : 0;
    admission.slotTime = slotTime(question, place.queue.serviceMs);
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

/** @return Whether a request that has lost its target should wait for one whose breaker is open. */
bool awaitsBlocked(const RequestContext &context, const RouteQuestion &question, TimePoint since, TimePoint now)
{
    const bool blocked = std::any_of(question.candidates.begin(), question.candidates.end(), [](const RouteCandidate &candidate) {
        return candidate.blocked && !candidate.leaving;
    });
    return context.attempts > 0 && blocked && now - since < blockedGrace;
}

HttpTimeouts timeoutsOf(const RequestContext &context)
{
    const OnlinePolicy &online = context.workspace->online;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(context.deadline - BootClock::now());
    HttpTimeouts timeouts;
    timeouts.firstByte = online.firstByteTimeout;
    if (!context.generation->headSent) {
        timeouts.firstByte = std::min(timeouts.firstByte, std::max(left, shortestFirstByte));
    }
    timeouts.idle = online.idleTimeout;
    return timeouts;
}

/** @return A request id that no other call to a target has. */
RequestId attemptId(CallerServer::Impl &impl, RequestContext &context)
{
    ++context.attempts;
    const std::string random = std::to_string(nextRandom(impl.seed));
    return RequestId{context.id.value + "." + random + "." + std::to_string(context.attempts)};
}

/** Reads one attempt's stream to its end. */
asio::awaitable<std::optional<Error>> consume(
    CallerServer::Impl &impl, RequestContext &context, AnswerStream &stream, RequestId attempt, HttpTimeouts timeouts, AnswerTiming &timing)
{
    auto limit = timeouts.firstByte;
    for (;;) {
        const TimePoint before = BootClock::now();
        auto event = co_await readAnswer(stream, limit);
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
        limit = timeouts.idle;
        if (auto gone = co_await takePiece(impl, context, std::move(*valueOf(event)), timing)) {
            co_return gone;
        }
    }
    if (!isWhole(stream, attempt)) {
        co_return makeError(ErrorCode::ResponseMismatch, "answer does not carry the request's id", RunState::Maybe);
    }
    co_return std::nullopt;
}

/** Reads the stream while the caller can end it, and completes the answer. */
asio::awaitable<std::optional<Error>> finishAttempt(
    CallerServer::Impl &impl, RequestContext &context, AnswerStream stream, RequestId attempt, HttpTimeouts timeouts, AnswerTiming &timing)
{
    context.mayHaveRun = true;
    context.cancelWork = [&stream] {
        abortAnswer(stream);
    };
    const auto failure = co_await consume(impl, context, stream, attempt, timeouts, timing);
    context.cancelWork = nullptr;
    if (!failure) {
        SKY_INVARIANT(Promise::WholeAnswer, isWhole(stream, attempt));
    }
    co_return failure;
}

void askForSlots(CallerServer::Impl &impl, const RouteDecision &decision, std::uint64_t reportSequence)
{
    // The owner alone knows how many batch streams run now, so it hears of every online stream, also when the last report showed a
    // free slot: with reports of 500 ms most waits behind batch were on targets that seemed to have one.
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

void noteServed(CallerServer::Impl &impl, const RequestContext &context, const TargetId &target, TimePoint startedAt, const AnswerTiming &timing)
{
    constexpr double weight = 0.1; // About twenty streams dominate the average.
    const TimePoint now = BootClock::now();
    noteSuccess(*impl.context.loads, target, now);
    noteTokenTiming(*impl.context.loads, target, firstTokenMs(timing, startedAt), tokenMs(timing), now);
    ModelQueue &queue = impl.queues[context.generation->model->name];
    queue.serviceMs += weight * (std::chrono::duration<double, std::milli>(now - startedAt).count() - queue.serviceMs);
    rememberPrefixes(impl.affinity, context.generation->prefixes, target);
}

/** A target that has unloaded the model since its last report answers 404 and has not run the request. */
void recogniseUnloaded(std::optional<Error> &failure)
{
    if (failure && failure->code == ErrorCode::TargetRejected && failure->detail.starts_with("404")) {
        failure->code = ErrorCode::TargetOverloaded;
        failure->run = RunState::No;
    }
}

asio::awaitable<std::optional<Error>> attemptOnTarget(CallerServer::Impl &impl, RequestContext &context, TargetInfo target, std::uint64_t reportSequence)
{
    const RequestId attempt = attemptId(impl, context);
    const HttpTimeouts timeouts = timeoutsOf(context);
    const TimePoint startedAt = BootClock::now();
    AnswerTiming timing;
    std::optional<Error> failure;
    askForSlots(impl, context.generation->decision, reportSequence);
    {
        const StreamCount count(*impl.context.loads, target.id);
        addCounter(*impl.context.metrics, "skylark_target_attempts_total");
        auto started = co_await startOnTarget(impl, context, target.endpoint, attempt, timeouts);
        context.targetTime += BootClock::now() - startedAt;
        if (isOk(started)) {
            failure = co_await finishAttempt(impl, context, std::move(valueOf(started)), attempt, timeouts, timing);
        } else {
            failure = errorOf(started);
            recogniseUnloaded(failure);
        }
    }
    wakeFirst(impl.queues[context.generation->model->name]);
    if (!failure) {
        noteServed(impl, context, target.id, startedAt, timing);
        co_return std::nullopt;
    }
    noteCallFailed(impl, context, target, attempt, *failure);
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
    const RequestId attempt = attemptId(impl, context);
    const HttpTimeouts timeouts = timeoutsOf(context);
    const TimePoint startedAt = BootClock::now();
    AnswerTiming timing;
    std::optional<Error> failure;
    addCounter(*impl.context.metrics, "skylark_forwards_total");
    auto started = co_await startForward(impl, context, endpoint, attempt, timeouts);
    context.targetTime += BootClock::now() - startedAt;
    if (isOk(started)) {
        failure = co_await finishAttempt(impl, context, std::move(valueOf(started)), attempt, timeouts, timing);
    } else {
        failure = errorOf(started);
    }
    if (!failure) {
        co_return std::nullopt;
    }
    context.mayHaveRun = context.mayHaveRun || failure->run == RunState::Maybe;
    if (isSilence(failure->code) && !context.callerGone) {
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
            SKY_INVARIANT(Promise::LeavingTarget, !isLeaving(impl, view, BootClock::now()));
            co_return co_await attemptOnTarget(impl, context, view.info, view.report.sequence);
        }
    }
    co_return makeError(ErrorCode::NoTarget, "chosen target is not listed");
}

/** @return The verdict on a failed attempt, within the retry budget; the error to report when it is given up. */
std::optional<Error> giveUp(CallerServer::Impl &impl, const RequestContext &context, const Error &failure)
{
    RetryQuestion question;
    question.code = failure.code;
    question.mayHaveRun = context.mayHaveRun;
    question.repeatable = true;
    question.resumable = true;
    question.tokensDelivered = context.generation->tokens;
    question.attempts = context.attempts;
    const RetryVerdict verdict = mayRetry(question);
    if (verdict == RetryVerdict::GiveUp) {
        return finalError(context, failure, failure);
    }
    if (!takeRetry(impl.budget, BootClock::now())) {
        return finalError(context, makeError(ErrorCode::RetryBudgetExhausted, "after " + std::string(errorInfo(failure.code).name)), failure);
    }
    addCounter(*impl.context.metrics, "skylark_retries_total", {{"error", errorInfo(failure.code).name}});
    if (verdict == RetryVerdict::Resume) {
        addCounter(*impl.context.metrics, "skylark_resumes_total");
    }
    const std::string step = verdict == RetryVerdict::Resume ? "resume" : "retry";
    logDecision(impl.context.decisions, "route", context.id, step + " after " + std::string(errorInfo(failure.code).name) + ": " + failure.detail);
    return {};
}

/** Waits before a request goes to a target on which it failed before. */
asio::awaitable<void> backOff(CallerServer::Impl &impl, RequestContext &context)
{
    const Generation &generation = *context.generation;
    const auto &tried = generation.triedTargets;
    const bool again = generation.decision.kind == RouteKind::Target && std::find(tried.begin(), tried.end(), generation.decision.target) != tried.end();
    if (!again) {
        co_return;
    }
    asio::steady_timer timer(impl.http->executor);
    co_await pause(context, timer, std::chrono::milliseconds(10) * (1U << std::min(context.attempts, 5U)));
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
        const TimePoint now = BootClock::now();
        const RouteQuestion question = makeQuestion(impl, context, now);
        generation.decision = chooseByMode(impl.context.settings->policyMode, question, impl.turn++);
        if (generation.decision.kind == RouteKind::None) {
            if (awaitsBlocked(context, question, since, now)) {
                co_await pause(context, place.timer, queuePoll);
                continue;
            }
            logDecision(impl.context.decisions, "route", context.id, generation.decision.reason);
            co_return makeError(ErrorCode::NoTarget, "no target for model " + generation.model->name.value);
        }
        const AdmissionDecision admission = decide(context, place, question, now);
        const bool started = generation.tokens > 0;
        if (generation.decision.kind == RouteKind::Forward || admission.kind == AdmissionKind::Run || started) {
            break;
        }
        if (admission.kind == AdmissionKind::Refuse) {
            logDecision(impl.context.decisions, "admit", context.id, "refused: wait " + std::to_string(admission.wait.count()) + " ms");
            co_return overloaded(admission);
        }
        enter(place);
        co_await pause(context, place.timer, queuePoll);
    }
    observe(*impl.context.metrics, "skylark_queue_wait_seconds", {}, BootClock::now() - since);
    logDecision(impl.context.decisions, "route", context.id, generation.decision.reason);
    co_return std::nullopt;
}

asio::awaitable<std::optional<Error>> executeGeneration(CallerServer::Impl &impl, RequestContext &context)
{
    noteRequest(impl.budget, BootClock::now());
    for (;;) {
        const auto failure = co_await runAttempt(impl, context);
        if (!failure) {
            co_return co_await completeAnswer(context);
        }
        if (context.callerGone) {
            co_return failure;
        }
        if (const auto final = giveUp(impl, context, *failure)) {
            co_return co_await cutAnswer(context, *final);
        }
        const auto refused = co_await admitGeneration(impl, context);
        if (refused) {
            co_return co_await cutAnswer(context, finalError(context, *refused, *failure));
        }
        co_await backOff(impl, context);
    }
}

} // namespace skylark
