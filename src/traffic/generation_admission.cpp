/** @file generation_admission.cpp Admission of online generations: routing, and the queue of a model. */
#include "policy/admission_func.h"
#include "policy/baseline_func.h"
#include "policy/routing_func.h"
#include "traffic/crash_evidence_func.h"
#include "traffic/generation_func.h"
#include "traffic/generation_internal_func.h"
#include "traffic/silence_limit_func.h"
#include "traffic/target_view_func.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/** A queued request checks again at this interval, because slots that streams of other hosts free are only seen in load reports. */
constexpr std::chrono::milliseconds queuePollInterval{25};

/** A request whose attempt failed waits this long for a target with an open circuit breaker, so that a short interruption does not end the answer. */
constexpr std::chrono::milliseconds blockedTargetWait{2000};

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

} // namespace

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
        if (auto quarantined = quarantineError(impl, context)) {
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

} // namespace skylark
