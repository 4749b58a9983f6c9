/** @file forward_attempt.cpp One attempt of a request on a target: sending it, and passing its answer on as it comes. */
#include "proxy/forwarding_base.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds silentFirst{1200}; ///< First answer of a repeatable request, after which another target is tried; queues are kept far shorter.
constexpr milliseconds silentGap{700}; ///< Pause within a resumable stream after which another target goes on; a step takes a few milliseconds.

bool belongsTo(const AnswerFacts &facts, const ProxyCall &call)
{
    return facts.requestId.empty() ? !facts.signedByTarget : facts.requestId == call.id.value;
}

/** Reads the rest of a body; bounded by the time left. */
asio::awaitable<Result<std::string>> readBody(Forwarding &forwarding, HttpExchange &exchange)
{
    std::string body;
    for (;;) {
        auto piece = co_await httpRead(exchange, std::max(milliseconds(1), leftOf(forwarding)));
        if (!isOk(piece)) {
            co_return errorOf(piece);
        }
        if (!valueOf(piece)) {
            co_return body;
        }
        body += *valueOf(piece);
    }
}

Attempt failedAttempt(const Forwarding &forwarding, Error error)
{
    if (forwarding.callerGone) {
        return {AttemptEnd::CallerGone, std::move(error), {}};
    }
    const AttemptEnd end = error.run == RunState::No ? AttemptEnd::NotRun : AttemptEnd::Failed;
    return {end, std::move(error), {}};
}

/** Reads an answer that is passed on as a whole. */
asio::awaitable<Attempt> takeWhole(Forwarding &forwarding, HttpExchange &exchange)
{
    HttpResponse answer;
    answer.status = exchange.status;
    answer.headers = endToEndHeaders(exchange.headers);
    auto body = co_await readBody(forwarding, exchange);
    if (!isOk(body)) {
        co_return failedAttempt(forwarding, errorOf(body));
    }
    answer.body = std::move(valueOf(body));
    if (answer.status >= 500) {
        Attempt attempt{AttemptEnd::Failed, makeError(ErrorCode::TargetFailed, std::to_string(answer.status), RunState::Maybe), {}};
        attempt.answer = std::move(answer);
        co_return attempt;
    }
    if (!forwarding.firstAt) {
        forwarding.firstAt = BootClock::now();
    }
    co_return co_await deliverWhole(forwarding, std::move(answer));
}

/** Sends events to the caller, after the head if it was not sent yet. */
asio::awaitable<Result<Done>> passEvents(Forwarding &forwarding, const HttpExchange &exchange, std::vector<StreamEvent> events)
{
    if (!forwarding.started) {
        forwarding.started = true;
        forwarding.firstAt = BootClock::now();
        const auto head = co_await startStream(forwarding.responder, exchange.status, endToEndHeaders(exchange.headers));
        if (!isOk(head)) {
            co_return head;
        }
    }
    std::string bytes;
    for (const StreamEvent &event : events) {
        bytes += event.raw;
    }
    const TimePoint now = BootClock::now();
    if (forwarding.events > 0) {
        forwarding.longestGap = std::max(forwarding.longestGap, std::chrono::duration_cast<milliseconds>(now - forwarding.lastEventAt));
    }
    forwarding.lastEventAt = now;
    forwarding.events += events.size();
    co_return co_await writeChunk(forwarding.responder, std::move(bytes));
}

milliseconds readLimit(const Forwarding &forwarding, milliseconds silence)
{
    const milliseconds left = std::max(milliseconds(1), leftOf(forwarding));
    const bool mayMove = isRepeatable(*forwarding.route) && forwarding.runs < forwarding.route->maxAttempts;
    return mayMove ? std::min(left, silence) : left;
}

/** Passes a stream on event by event. */
asio::awaitable<Attempt> takeStream(Forwarding &forwarding, HttpExchange &exchange)
{
    forwarding.splitter.partial.clear();
    bool any = false;
    for (;;) {
        auto piece = co_await httpRead(exchange, readLimit(forwarding, any ? silentGap : silentFirst));
        if (!isOk(piece)) {
            co_return failedAttempt(forwarding, errorOf(piece));
        }
        if (!valueOf(piece)) {
            break;
        }
        auto events = splitEvents(forwarding.splitter, *valueOf(piece));
        if (!isOk(events)) {
            co_return failedAttempt(forwarding, errorOf(events));
        }
        any = any || !valueOf(events).empty();
        if (valueOf(events).empty()) {
            continue;
        }
        const auto passed = co_await passEvents(forwarding, exchange, std::move(valueOf(events)));
        if (!isOk(passed)) {
            co_return Attempt{AttemptEnd::CallerGone, makeError(ErrorCode::CallerGone, "while sending events"), {}};
        }
    }
    if (!endsWhole(forwarding.splitter) || !forwarding.started) {
        co_return failedAttempt(forwarding, makeError(ErrorCode::StreamBroken, "ended within an event", RunState::Maybe));
    }
    const auto finished = co_await finishStream(forwarding.responder);
    logAnswered(forwarding, exchange.status, isOk(finished) ? "ok" : "caller_gone");
    co_return Attempt{AttemptEnd::Answered, {}, {}};
}

} // namespace

asio::awaitable<Attempt> attemptOn(Forwarding &forwarding, TargetEntry target)
{
    Proxy &proxy = *forwarding.proxy;
    const bool repeatable = isRepeatable(*forwarding.route);
    SendDetails details{target.id, std::max(milliseconds(1), leftOf(forwarding)), forwarding.splitter.last};
    HttpRequest request = proxy.wire.encode(forwarding.call, details);
    const milliseconds first = forwarding.route->kind == CallKind::Stream || repeatable ? readLimit(forwarding, silentFirst) : leftOf(forwarding);
    const HttpTimeouts timeouts{std::min(targetConnectTimeout, details.budget), details.budget, std::max(milliseconds(1), first), details.budget};
    const ConnectionUse use = repeatable ? ConnectionUse::Pooled : ConnectionUse::Fresh;
    forwarding.abort = std::make_shared<HttpAbortHandle>();
    auto opened = co_await httpOpen(proxy.http, target.endpoint, std::move(request), timeouts, use, forwarding.abort);
    if (!isOk(opened)) {
        co_return failedAttempt(forwarding, errorOf(opened));
    }
    HttpExchange &exchange = valueOf(opened);
    const AnswerFacts facts = proxy.wire.readAnswer(exchange.status, exchange.headers);
    if (facts.notRun) {
        auto rest = co_await readBody(forwarding, exchange);
        const std::string detail = std::to_string(exchange.status) + (isOk(rest) ? "" : ", body broken");
        co_return failedAttempt(forwarding, makeError(ErrorCode::TargetOverloaded, detail, RunState::No));
    }
    if (!belongsTo(facts, forwarding.call)) {
        httpAbort(exchange);
        co_return failedAttempt(forwarding, makeError(ErrorCode::ResponseMismatch, facts.requestId, RunState::Maybe));
    }
    forwarding.reading = &exchange;
    const bool stream = forwarding.route->kind == CallKind::Stream && exchange.status == 200;
    // g++ 12 destroys the temporaries of a co_await within a conditional expression twice.
    Attempt attempt;
    if (stream) {
        attempt = co_await takeStream(forwarding, exchange);
    } else {
        attempt = co_await takeWhole(forwarding, exchange);
    }
    forwarding.reading = nullptr;
    co_return attempt;
}

} // namespace skylark
