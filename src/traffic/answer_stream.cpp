/** @file answer_stream.cpp One attempt of a generation, on a target or through a host of another failure domain. */
#include "traffic/answer_stream_func.h"

#include "traffic/chat_wire_func.h"
#include "traffic/error_render_func.h"

#include <boost/json/serialize.hpp>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maxErrorBodyBytes = 16384; ///< Bodies of errors that hosts render are smaller; the rest is not read.
constexpr std::size_t maxEventBytes = std::size_t{1} << 20U; ///< Events that hosts render are smaller.

HttpRequest makeForwardRequest(const RequestContext &context, const RequestId &attempt)
{
    const Generation &generation = *context.generation;
    boost::json::object body = generation.chat.body;
    body["stream"] = true;
    body["continue_from"] = generation.text;
    body["tokens_done"] = generation.tokens;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(context.deadline - BootClock::now());
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers.push_back({"content-type", "application/json"});
    request.headers.push_back({"authorization", std::string(headerValue(context.request.headers, "authorization"))});
    request.headers.push_back({"x-request-id", attempt.value});
    request.headers.push_back({"x-skylark-hops", std::to_string(context.hops + 1)});
    request.headers.push_back({"x-skylark-deadline-ms", std::to_string(std::max<long long>(left.count(), 1))});
    request.body = boost::json::serialize(body);
    return request;
}

/** @return The error in a response whose status is not 200. */
asio::awaitable<Error> readError(HttpExchange exchange, std::chrono::milliseconds idleTimeout)
{
    const int status = exchange.status;
    std::string body;
    while (body.size() < maxErrorBodyBytes) {
        auto piece = co_await httpRead(exchange, idleTimeout);
        if (!isOk(piece) || !valueOf(piece)) {
            break;
        }
        body += *valueOf(piece);
    }
    co_return parseErrorResponse(status, body);
}

/** Removes the first complete event from @p pending. @return Its data; empty for an event without data, nothing when no event is complete. */
std::optional<std::string> extractEventData(std::string &pending)
{
    const std::size_t end = pending.find("\n\n");
    if (end == std::string::npos) {
        return {};
    }
    std::string event = pending.substr(0, end);
    pending.erase(0, end + 2);
    constexpr std::string_view mark = "data: ";
    return event.starts_with(mark) ? event.substr(mark.size()) : std::string();
}

asio::awaitable<Result<std::optional<TokenEvent>>> readForward(ForwardStream &stream, std::chrono::milliseconds idleTimeout)
{
    for (;;) {
        while (auto event = extractEventData(stream.pending)) {
            if (*event == "[DONE]") {
                stream.ended = true;
                continue;
            }
            if (event->empty()) {
                continue;
            }
            const auto parsed = parseChunk(*event);
            if (!isOk(parsed)) {
                co_return errorOf(parsed);
            }
            co_return std::optional<TokenEvent>(valueOf(parsed));
        }
        if (stream.pending.size() > maxEventBytes) {
            co_return makeError(ErrorCode::ProtocolError, "event of a forwarded answer exceeds the size limit", RunState::Maybe);
        }
        auto piece = co_await httpRead(stream.exchange, idleTimeout);
        if (!isOk(piece)) {
            co_return errorOf(piece);
        }
        if (valueOf(piece)) {
            stream.pending += *valueOf(piece);
            continue;
        }
        if (!stream.ended) {
            co_return makeError(ErrorCode::StreamBroken, "forwarded answer ended without its end marker", RunState::Maybe);
        }
        co_return std::optional<TokenEvent>();
    }
}

} // namespace

asio::awaitable<Result<AnswerStream>> startForward(
    CallerServer::Impl &impl, RequestContext &context, Endpoint endpoint, RequestId attempt, HttpTimeouts timeouts)
{
    HttpRequest request = makeForwardRequest(context, attempt);
    auto opened = co_await cancellable<HttpExchange>(context, httpOpen(impl.http, std::move(endpoint), std::move(request), timeouts));
    if (!isOk(opened)) {
        co_return errorOf(opened);
    }
    HttpExchange exchange = std::move(valueOf(opened));
    if (exchange.status != 200) {
        co_return co_await readError(std::move(exchange), timeouts.idle);
    }
    if (headerValue(exchange.headers, "x-request-id") != attempt.value) {
        co_return makeError(ErrorCode::ResponseMismatch, "response of the other host carries the id of another request", RunState::Maybe);
    }
    AnswerStream stream;
    stream.forward.emplace();
    stream.forward->exchange = std::move(exchange);
    co_return stream;
}

asio::awaitable<Result<AnswerStream>> startOnTarget(
    CallerServer::Impl &impl, RequestContext &context, Endpoint endpoint, RequestId attempt, HttpTimeouts timeouts)
{
    GenerateCall call;
    call.requestId = std::move(attempt);
    call.online = true;
    call.body = boost::json::serialize(context.generation->chat.body);
    call.continueFrom = context.generation->text;
    call.tokensDone = context.generation->tokens;
    auto started = co_await cancellable<GenerateStream>(context, startGenerate(impl.http, std::move(endpoint), std::move(call), timeouts));
    if (!isOk(started)) {
        co_return errorOf(started);
    }
    AnswerStream stream;
    stream.engine.emplace(std::move(valueOf(started)));
    co_return stream;
}

asio::awaitable<Result<std::optional<TokenEvent>>> readAnswer(AnswerStream &stream, std::chrono::milliseconds idleTimeout)
{
    if (stream.engine) {
        co_return co_await readToken(*stream.engine, idleTimeout);
    }
    co_return co_await readForward(*stream.forward, idleTimeout);
}

void abortAnswer(AnswerStream &stream)
{
    if (stream.engine) {
        abortGenerate(*stream.engine);
    }
    if (stream.forward) {
        httpAbort(stream.forward->exchange);
    }
}

bool isComplete(const AnswerStream &stream, const RequestId &attempt)
{
    const bool ended = stream.engine ? stream.engine->ended : stream.forward->ended;
    const HttpExchange &exchange = stream.engine ? stream.engine->exchange : stream.forward->exchange;
    return ended && headerValue(exchange.headers, "x-request-id") == attempt.value;
}

} // namespace skylark
