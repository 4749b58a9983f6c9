/** @file service_send.cpp Sends a service call to targets and other hosts until one answers. */
#include "traffic/service_call_func.h"

#include "core/hash_func.h"
#include "core/invariant_func.h"
#include "core/table/error_table.h"
#include "engine/engine_response_func.h"
#include "policy/retry_func.h"
#include "proxy/proxy_base.h"
#include "traffic/answer_stream_func.h"
#include "traffic/crash_evidence_func.h"
#include "traffic/error_render_func.h"
#include "traffic/silence_limit_func.h"
#include "traffic/target_failure_func.h"
#include "traffic/target_view_func.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

namespace skylark {

namespace asio = boost::asio;

namespace {

/** Header fields that this system sets or consumes itself; not passed on to the service, like those of one connection. */
constexpr std::array<std::string_view, 10> droppedHeaders{"host",
                                                          "connection",
                                                          "content-length",
                                                          "transfer-encoding",
                                                          "expect",
                                                          "authorization",
                                                          "x-request-id",
                                                          "x-skylark-hops",
                                                          "x-skylark-deadline-ms",
                                                          "idempotency-key"};

/** State of one call across its attempts. */
struct ServiceAttempts {
    bool repeatable{false}; ///< Whether the call may run more than once.
    std::vector<TargetId> tried; ///< Targets on which an attempt failed.
    std::vector<DomainId> triedDomains; ///< Failure domains to which forwarding failed.
    std::optional<Error> last; ///< Failure of the last attempt.
    std::optional<HttpResponse> failedResponse; ///< 5xx response of the last attempt, if it got one.
};

HttpRequest makeRequest(const RequestContext &context, std::string target)
{
    HttpRequest request;
    request.method = context.request.method;
    request.target = std::move(target);
    request.body = context.request.body;
    for (const HttpHeader &header : endToEndHeaders(context.request.headers)) {
        const bool dropped = std::any_of(droppedHeaders.begin(), droppedHeaders.end(), [&header](std::string_view name) {
            return boost::algorithm::iequals(header.name, name);
        });
        if (!dropped) {
            request.headers.push_back(header);
        }
    }
    return request;
}

HttpTimeouts serviceTimeouts(const RequestContext &context)
{
    HttpTimeouts timeouts;
    timeouts.firstByte = silenceLimitOf(context, false, context.workspace->online.firstByteTimeout);
    timeouts.send = std::max(timeouts.send, timeouts.firstByte);
    timeouts.idle = silenceLimitOf(context, false, context.workspace->online.idleTimeout);
    return timeouts;
}

RequestId nextAttemptId(CallerServer::Impl &impl, RequestContext &context)
{
    ++context.attempts;
    context.progressAt = BootClock::now();
    return RequestId{context.id.value + "." + std::to_string(nextRandom(impl.seed)) + "." + std::to_string(context.attempts)};
}

/** @return The failure that @p response reports, if any. */
std::optional<Error> failureOf(const HttpResponse &response)
{
    if (response.status == 503 && !headerValue(response.headers, "x-not-run").empty()) {
        Error error = makeError(ErrorCode::TargetOverloaded, "service reported that it did not run the call");
        error.targetLeaving = isDrainingRefusal(response);
        return error;
    }
    if (response.status >= 500) {
        return makeError(ErrorCode::TargetFailed, "service answered " + std::to_string(response.status), RunState::Maybe);
    }
    return {};
}

/** Sends one attempt to @p target; a call that is not repeatable uses a new connection and is not cancelled when the caller disconnects. */
asio::awaitable<Result<HttpResponse>> callTarget(CallerServer::Impl &impl, RequestContext &context, TargetInfo target, RequestId attempt, bool repeatable)
{
    SKY_INVARIANT(Promise::AtMostOnce, repeatable || !context.mayHaveRun);
    const OnlineStreamGuard count(*impl.context.loads, target.id);
    const auto use = repeatable ? ConnectionUse::Pooled : ConnectionUse::Fresh;
    auto call = callService(impl.http, target.endpoint, makeRequest(context, context.servicePath), attempt, serviceTimeouts(context), use);
    const TimePoint before = BootClock::now();
    Result<HttpResponse> result = makeError(ErrorCode::Internal, "call has no result", RunState::Maybe);
    if (repeatable) {
        result = co_await cancellable<HttpResponse>(context, std::move(call));
    } else {
        result = co_await std::move(call);
    }
    context.targetTime += BootClock::now() - before;
    co_return result;
}

/** @return A live host of another failure domain that was not tried yet, or null. */
const HostView *nextHost(CallerServer::Impl &impl, const RequestContext &context, const ServiceAttempts &state)
{
    if (context.hops > 0) {
        return nullptr;
    }
    for (const HostView &host : context.snapshot->hosts) {
        const DomainId &domain = host.info.domain;
        const bool tried = std::find(state.triedDomains.begin(), state.triedDomains.end(), domain) != state.triedDomains.end();
        if (tried || domain == context.snapshot->self.domain) {
            continue;
        }
        if (const HostView *chosen = chooseHost(impl, *context.snapshot, domain)) {
            return chosen;
        }
    }
    return nullptr;
}

/** @return Whether another target or host may run the call after the current attempt, which counts as tried in @p tried. */
bool mayMove(CallerServer::Impl &impl, const RequestContext &context, const ServiceAttempts &tried)
{
    if (!mayRetry(impl, context, tried.repeatable)) {
        return false;
    }
    const TargetView *other = chooseServiceTarget(impl, *context.snapshot, context.pathParameter, tried.tried, BootClock::now());
    const bool untried = other != nullptr && std::find(tried.tried.begin(), tried.tried.end(), other->info.id) == tried.tried.end();
    return untried || (other == nullptr && nextHost(impl, context, tried) != nullptr);
}

/** Sends one attempt to @p target and records its outcome. @return The response, or nothing when the attempt failed. */
asio::awaitable<std::optional<HttpResponse>> attemptTarget(CallerServer::Impl &impl, RequestContext &context, TargetInfo target, ServiceAttempts &state)
{
    const RequestId attempt = nextAttemptId(impl, context);
    state.tried.push_back(target.id);
    context.mayMove = mayMove(impl, context, state);
    logDecision(impl.context.decisions, "route", context.id, "service target " + target.id.value + ": fewest calls in flight");
    recordRunStart(impl, context);
    auto result = co_await callTarget(impl, context, target, attempt, state.repeatable);
    state.failedResponse.reset();
    std::optional<Error> failure = isOk(result) ? failureOf(valueOf(result)) : std::optional<Error>(errorOf(result));
    if (!failure) {
        recordSoundRun(impl, context);
        recordStreamSuccess(*impl.context.loads, target.id);
        context.mayHaveRun = true;
        co_return std::move(valueOf(result));
    }
    if (isOk(result)) {
        state.failedResponse = std::move(valueOf(result));
    }
    recordCallFailure(impl, context, target, attempt, *failure);
    if (!context.callerGone) {
        recordFailedRun(impl, context, target.id, {}, *failure);
    }
    state.last = failure;
    co_return std::nullopt;
}

/** Sends one attempt through @p host of another failure domain. @return The response, or nothing when the attempt failed. */
asio::awaitable<std::optional<HttpResponse>> attemptHost(CallerServer::Impl &impl, RequestContext &context, HostInfo host, ServiceAttempts &state)
{
    SKY_INVARIANT(Promise::AtMostOnce, state.repeatable || !context.mayHaveRun);
    const RequestId attempt = nextAttemptId(impl, context);
    state.triedDomains.push_back(host.domain);
    context.mayMove = mayMove(impl, context, state);
    HttpRequest request = makeRequest(context, context.request.target);
    request.headers.push_back({"authorization", std::string(headerValue(context.request.headers, "authorization"))});
    request.headers.push_back({"x-request-id", attempt.value});
    request.headers.push_back({"x-skylark-hops", std::to_string(context.hops + 1)});
    logDecision(impl.context.decisions, "route", context.id, "forward to " + host.domain.value + ": no usable service target in this failure domain");
    const auto use = state.repeatable ? ConnectionUse::Pooled : ConnectionUse::Fresh;
    const TimePoint before = BootClock::now();
    auto result = co_await httpCall(impl.http, host.http, std::move(request), serviceTimeouts(context), use);
    context.targetTime += BootClock::now() - before;
    state.failedResponse.reset();
    Error failure = makeError(ErrorCode::ResponseMismatch, "response of the other host carries the id of another request", RunState::Maybe);
    if (!isOk(result)) {
        failure = errorOf(result);
    } else if (headerValue(valueOf(result).headers, "x-request-id") == attempt.value) {
        const int status = valueOf(result).status;
        const Error reported = parseErrorResponse(status, valueOf(result).body);
        if (status < 500 || reported.run == RunState::Maybe) {
            context.mayHaveRun = true;
            co_return std::move(valueOf(result));
        }
        failure = reported;
    }
    context.mayHaveRun = context.mayHaveRun || failure.run == RunState::Maybe;
    if (isUnresponsive(failure.code)) {
        dropSilentConnections(impl, host.http);
    }
    state.last = failure;
    co_return std::nullopt;
}

/** Decides on a retry after a failed attempt and takes it from the retry budget. @return Whether to retry. */
bool allowRetry(CallerServer::Impl &impl, const RequestContext &context, const ServiceAttempts &state)
{
    RetryInput input;
    input.code = state.last->code;
    input.mayHaveRun = context.mayHaveRun;
    input.repeatable = state.repeatable;
    input.attempts = context.attempts;
    if (context.callerGone || isSilentUntilDeadline(context, *state.last) || decideRetry(input) == RetryDecision::GiveUp
        || !tryConsumeRetry(impl.budget, BootClock::now())) {
        return false;
    }
    addCounter(*impl.context.metrics, "skylark_retries_total", {{"error", errorInfo(state.last->code).name}});
    return true;
}

/** @return What the caller gets when there is no further attempt: the 5xx response of the last one, or an error. */
Result<HttpResponse> finalResult(const RequestContext &context, ServiceAttempts &state)
{
    if (state.failedResponse && state.last->code == ErrorCode::TargetFailed) {
        return std::move(*state.failedResponse);
    }
    Error error = state.last.value_or(makeError(ErrorCode::NoTarget, "no target for service " + context.pathParameter));
    if (error.code == ErrorCode::TargetOverloaded && !context.mayHaveRun) {
        error.code = ErrorCode::Overloaded;
    }
    return finalError(context, std::move(error), state.last);
}

} // namespace

asio::awaitable<Result<HttpResponse>> sendServiceCall(CallerServer::Impl &impl, RequestContext &context, bool repeatable)
{
    ServiceAttempts state;
    state.repeatable = repeatable;
    context.deadline = std::max(context.deadline, BootClock::now() + context.workspace->online.firstByteTimeout);
    creditRetryBudget(impl.budget, BootClock::now());
    for (;;) {
        if (auto quarantined = quarantineError(impl, context)) {
            co_return finalError(context, std::move(*quarantined), state.last);
        }
        context.snapshot = impl.context.snapshot->current.load();
        const TargetView *view = chooseServiceTarget(impl, *context.snapshot, context.pathParameter, state.tried, BootClock::now());
        std::optional<HttpResponse> answer;
        context.attemptRunning = true;
        if (view != nullptr) {
            answer = co_await attemptTarget(impl, context, view->info, state);
        } else if (const HostView *host = nextHost(impl, context, state)) {
            answer = co_await attemptHost(impl, context, host->info, state);
        } else {
            context.attemptRunning = false;
            co_return finalResult(context, state);
        }
        context.attemptRunning = false;
        if (answer) {
            co_return std::move(*answer);
        }
        if (!allowRetry(impl, context, state)) {
            co_return finalResult(context, state);
        }
    }
}

} // namespace skylark
