/** @file forward_attempt.cpp One attempt of a request on a target: sends it, and relays the answer as it arrives. */
#include "policy/memory_budget_func.h"
#include "proxy/forwarding_base.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t maxAnswerBytes = std::size_t{16} << 20U; ///< Maximum size of an answer that is not a stream; bounds the memory that a target can take.
constexpr std::size_t maxRefusalBytes = std::size_t{64} << 10U; ///< Maximum size of the body of an answer that says that the request did not run.
constexpr milliseconds lateReadTime{100}; ///< Time after the deadline for reading what has arrived, since this process may not have run.
constexpr milliseconds refusalBodyTimeout{50}; ///< Time limit for reading that body, after which the connection is closed rather than reused.

/** @return Whether the answer may be read further: until the deadline, and after it as long as there is something to read, but not for long. */
bool mayReadOn(Forwarding &forwarding)
{
    const TimePoint now = BootClock::now();
    if (now < forwarding.deadline) {
        return true;
    }
    if (forwarding.lateUntil == TimePoint{}) {
        forwarding.lateUntil = now + lateReadTime;
    }
    return now < forwarding.lateUntil;
}

/** @return The length of an answer that its head names. */
std::optional<std::uint64_t> announcedLength(const HttpExchange &exchange)
{
    const std::string_view text = headerValue(exchange.headers, "Content-Length");
    std::uint64_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    return error == std::errc() && !text.empty() ? std::optional(length) : std::nullopt;
}

/**
 * Makes room for the next bytes of an answer. While there is none, the target's connection is not read on.
 * @return Whether there is room; otherwise the caller's connection is to be closed, or the time is over.
 */
asio::awaitable<bool> makeRoom(Forwarding &forwarding, const HttpExchange &exchange, std::string &body, std::size_t more, std::size_t maxBytes)
{
    const std::size_t needed = body.size() + more;
    const std::uint64_t reserved = bodyReservation(needed, announcedLength(exchange), maxBytes);
    const bool hasRoom = co_await reserveAnswer(forwarding.responder, reserved, std::max(milliseconds(1), timeLeft(forwarding)));
    if (needed > smallHoldBytes && body.capacity() < maxBytes) {
        // Pages that are not written take no memory; growing would copy the answer and hold it twice.
        body.reserve(announcedLength(exchange).value_or(maxBytes) <= maxBytes ? std::max(needed, announcedLength(exchange).value_or(maxBytes)) : maxBytes);
    }
    co_return hasRoom;
}

/** Reads the rest of a body. Each read is bounded by the time left until the request's deadline. @return ProtocolError if it exceeds @p maxBytes. */
asio::awaitable<Result<std::string>> readBody(Forwarding &forwarding, HttpExchange &exchange, std::size_t maxBytes)
{
    std::string body;
    for (;;) {
        auto piece = co_await httpRead(exchange, std::max(milliseconds(1), timeLeft(forwarding)));
        if (!isOk(piece)) {
            co_return errorOf(piece);
        }
        if (!valueOf(piece)) {
            co_return body;
        }
        const bool hasRoom = co_await makeRoom(forwarding, exchange, body, valueOf(piece)->size(), maxBytes);
        if (!hasRoom) {
            forwarding.callerGone = forwarding.callerGone || isClosedForMemory(forwarding.responder);
            httpAbort(exchange);
            co_return makeError(ErrorCode::IdleTimeout, "no memory for the answer", RunState::Maybe);
        }
        body += *valueOf(piece);
        if (body.size() > maxBytes || !mayReadOn(forwarding)) {
            httpAbort(exchange);
            co_return makeError(ErrorCode::ProtocolError, "answer exceeds the size limit or the deadline", RunState::Maybe);
        }
    }
}

/** Reads the body of a refusal, so that its connection can be reused. @return Whether it was read whole. */
asio::awaitable<bool> readRefusal(HttpExchange &exchange)
{
    const TimePoint end = BootClock::now() + refusalBodyTimeout;
    std::size_t bytes = 0;
    while (bytes <= maxRefusalBytes && BootClock::now() < end) {
        const auto piece = co_await httpRead(exchange, std::chrono::ceil<milliseconds>(end - BootClock::now()));
        if (!isOk(piece) || !valueOf(piece)) {
            co_return isOk(piece);
        }
        bytes += valueOf(piece)->size();
    }
    co_return false;
}

/** @return The result of an attempt that ended with @p error. */
Attempt failedAttempt(const Forwarding &forwarding, Error error)
{
    if (forwarding.callerGone) {
        return {AttemptEnd::CallerGone, std::move(error), {}};
    }
    const AttemptEnd end = error.run == RunState::No ? AttemptEnd::NotRun : AttemptEnd::Failed;
    return {end, std::move(error), {}};
}

/** @return The headers of the answer to the caller. A host that has relayed the request gets none of its target's state, which it could not attribute. */
HttpHeaders answerHeaders(const Forwarding &forwarding, const HttpExchange &exchange)
{
    HttpHeaders headers = endToEndHeaders(exchange.headers);
    if (forwarding.call.relayed) {
        forwarding.proxy->wire.removeTargetState(headers);
    }
    return headers;
}

/** Reads a complete answer and sends it to the caller, unless its status is 500 or above. */
asio::awaitable<Attempt> relayWholeAnswer(Forwarding &forwarding, HttpExchange &exchange)
{
    HttpResponse answer;
    answer.status = exchange.status;
    answer.headers = answerHeaders(forwarding, exchange);
    auto body = co_await readBody(forwarding, exchange, maxAnswerBytes);
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
    co_return co_await sendWholeAnswer(forwarding, std::move(answer));
}

/** Sends events to the caller, preceded by the response head if it was not sent yet. */
asio::awaitable<Result<Done>> sendStreamEvents(Forwarding &forwarding, const HttpExchange &exchange, std::vector<StreamEvent> events)
{
    if (!forwarding.started) {
        forwarding.started = true;
        forwarding.firstAt = BootClock::now();
        beginStream(forwarding);
        const auto head = co_await startStream(forwarding.responder, exchange.status, answerHeaders(forwarding, exchange));
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
    recordEvents(*forwarding.proxy, forwarding.call.prompt, forwarding.progress, static_cast<unsigned>(events.size()));
    co_return co_await writeChunk(forwarding.responder, std::move(bytes));
}

/** @return Whether a stream whose target has sent bytes, but no complete event, leaves it. */
bool leaveWithoutEvent(Forwarding &forwarding, const HttpExchange &exchange)
{
    return !httpHasInput(exchange) && leaveSilentTarget(forwarding);
}

/** Relays a stream to the caller event by event. */
asio::awaitable<Attempt> relayStream(Forwarding &forwarding, HttpExchange &exchange)
{
    forwarding.splitter.partial.clear();
    for (;;) {
        if (!mayReadOn(forwarding)) {
            co_return failedAttempt(forwarding, makeError(ErrorCode::IdleTimeout, "no complete stream in time", RunState::Maybe));
        }
        auto piece = co_await httpReadPatiently(exchange, silenceWait(forwarding));
        if (!isOk(piece)) {
            if (errorOf(piece).code == ErrorCode::IdleTimeout && httpIsOpen(exchange) && !leaveSilentTarget(forwarding)) {
                continue;
            }
            co_return failedAttempt(forwarding, errorOf(piece));
        }
        if (!valueOf(piece)) {
            break;
        }
        auto events = splitEvents(forwarding.splitter, *valueOf(piece));
        if (!isOk(events)) {
            co_return failedAttempt(forwarding, errorOf(events));
        }
        if (valueOf(events).empty()) {
            if (leaveWithoutEvent(forwarding, exchange)) {
                co_return failedAttempt(forwarding, makeError(ErrorCode::IdleTimeout, "bytes, but no event in time", RunState::Maybe));
            }
            continue;
        }
        endWait(forwarding.proxy->health[forwarding.target].silence);
        const auto sent = co_await sendStreamEvents(forwarding, exchange, std::move(valueOf(events)));
        forwarding.progressAt = BootClock::now(); // Waiting for a slow caller is no silence of the target.
        if (!isOk(sent)) {
            co_return Attempt{AttemptEnd::CallerGone, makeError(ErrorCode::CallerGone, "caller closed the connection while events were sent"), {}};
        }
    }
    if (!isAtEventBoundary(forwarding.splitter) || !forwarding.started) {
        co_return failedAttempt(forwarding, makeError(ErrorCode::StreamBroken, "stream ended before the first event or within an event", RunState::Maybe));
    }
    const auto finished = co_await finishStream(forwarding.responder);
    recordOutcome(forwarding, exchange.status, isOk(finished) ? "ok" : "caller_gone");
    co_return Attempt{AttemptEnd::Answered, {}, {}};
}

/** Ends the silence of a target that has responded, or that did not get the time to. @param head Result of sending the request or of reading the head. */
void recordResponse(TargetHealth &health, const Result<Done> &head)
{
    const bool isStillSilent = !isOk(head) && (isSilence(errorOf(head)) || isSilent(health.silence, BootClock::now()));
    if (!isStillSilent) {
        endWait(health.silence);
    }
}

/** Reads the head of the answer for as long as the request stays with its target. */
asio::awaitable<Result<Done>> awaitHead(Forwarding &forwarding, HttpExchange &exchange)
{
    for (;;) {
        auto head = co_await httpReadHead(exchange, silenceWait(forwarding));
        if (isOk(head) || errorOf(head).code != ErrorCode::FirstByteTimeout || !httpIsOpen(exchange) || leaveSilentTarget(forwarding)) {
            co_return head;
        }
    }
}

/** Relays the answer whose head was read. */
asio::awaitable<Attempt> relayAnswer(Forwarding &forwarding, const TargetEntry &target, HttpExchange &exchange, TimePoint sentAt)
{
    const AnswerHead answerHead = readAnswer(*forwarding.proxy, target, exchange, forwarding.call.id, sentAt);
    if (!answersRequest(answerHead, exchange.status, forwarding.call.id)) {
        httpAbort(exchange);
        const std::string detail = std::to_string(exchange.status) + " for '" + answerHead.requestId + (answerHead.signedByTarget ? "'" : "', not signed");
        co_return failedAttempt(forwarding, makeError(ErrorCode::ResponseMismatch, detail, RunState::Maybe));
    }
    if (answerHead.notRun) {
        const bool wasRead = co_await readRefusal(exchange);
        const std::string detail = std::to_string(exchange.status) + (wasRead ? "" : ", the body was not read to its end");
        co_return failedAttempt(forwarding, makeError(ErrorCode::TargetOverloaded, detail, RunState::No));
    }
    forwarding.progress.answerBegun = true;
    forwarding.progressAt = BootClock::now();
    if (forwarding.route->kind == CallKind::Stream && exchange.status == 200) {
        co_return co_await relayStream(forwarding, exchange);
    }
    co_return co_await relayWholeAnswer(forwarding, exchange);
}

/** Lets abortForGoneCaller() find an exchange while its answer is read. */
struct ExchangeRegistration {
    Forwarding &forwarding;

    ExchangeRegistration(Forwarding &owner, HttpExchange &exchange)
        : forwarding(owner)
    {
        this->forwarding.currentExchange = &exchange;
    }
    ExchangeRegistration(const ExchangeRegistration &) = delete;
    ExchangeRegistration &operator=(const ExchangeRegistration &) = delete;
    ~ExchangeRegistration()
    {
        this->forwarding.currentExchange = nullptr;
    }
};

} // namespace

asio::awaitable<Attempt> attemptOn(Forwarding &forwarding, TargetEntry target)
{
    const TargetRequestParams params{target.id, std::max(milliseconds(1), timeLeft(forwarding)), forwarding.splitter.lastId};
    HttpRequest request = forwarding.proxy->wire.encode(forwarding.call, params);
    forwarding.relaying = false;
    Attempt attempt = co_await exchangeWith(forwarding, target, std::move(request));
    const bool isUnreachable = attempt.error.code == ErrorCode::ConnectFailed || attempt.error.code == ErrorCode::ConnectTimeout;
    if (attempt.end == AttemptEnd::NotRun && isUnreachable) {
        recordUnreachable(*forwarding.proxy, target.id);
    } else if (attempt.end == AttemptEnd::Answered) {
        recordReached(*forwarding.proxy, target.id);
    }
    co_return attempt;
}

asio::awaitable<Attempt> exchangeWith(Forwarding &forwarding, TargetEntry target, HttpRequest request)
{
    Proxy &proxy = *forwarding.proxy;
    const milliseconds budget = std::max(milliseconds(1), timeLeft(forwarding));
    const TimePoint sentAt = BootClock::now();
    forwarding.progressAt = sentAt;
    const HttpTimeouts timeouts{std::min(targetConnectTimeout, budget), budget, budget, budget};
    const ConnectionUse use = isRepeatable(*forwarding.route) ? ConnectionUse::Pooled : ConnectionUse::Fresh;
    forwarding.abort = std::make_shared<HttpAbortHandle>();
    forwarding.progress = {};
    recordSend(proxy.rateLimits, target.id, sentAt);
    beginWait(proxy.health[target.id].silence, sentAt);
    auto sent = co_await httpSend(proxy.http, target.endpoint, std::move(request), timeouts, use, forwarding.abort);
    if (!isOk(sent)) {
        recordResponse(proxy.health[target.id], errorOf(sent));
        co_return failedAttempt(forwarding, errorOf(sent));
    }
    forwarding.progressAt = BootClock::now();
    const ExchangeRegistration registration(forwarding, valueOf(sent));
    const auto head = co_await awaitHead(forwarding, valueOf(sent));
    recordResponse(proxy.health[target.id], head);
    if (!isOk(head)) {
        co_return failedAttempt(forwarding, errorOf(head));
    }
    Attempt attempt = co_await relayAnswer(forwarding, target, valueOf(sent), sentAt);
    attempt.unsolicitedBytes = valueOf(sent).unsolicitedBytes;
    co_return attempt;
}

} // namespace skylark
