/** @file engine_client.cpp Generation streams of model engines. */
#include "engine/engine_client_func.h"

#include "core/json_member_func.h"
#include "engine/engine_response_func.h"

#include <algorithm>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t maxEventBytes = std::size_t{1} << 20U;
constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view endMarker = "[DONE]";

Result<HttpRequest> makeGenerateRequest(const GenerateCall &call)
{
    auto body = parseJsonObject(call.body);
    if (!body) {
        return makeError(ErrorCode::InvalidRequest, "body is not a JSON object");
    }
    (*body)["stream"] = true;
    if (!call.continueFrom.empty()) {
        (*body)["continue_from"] = call.continueFrom;
        (*body)["continue_tokens"] = call.tokensDone;
    }
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers.push_back({"content-type", "application/json"});
    request.headers.push_back({"accept", "text/event-stream"});
    request.headers.push_back({"x-request-id", call.requestId.value});
    if (call.online) {
        request.headers.push_back({"x-skylark-kind", "online"});
    }
    request.body = json::serialize(*body);
    return request;
}

/** Reads an error response with its body, which holds the error text. */
asio::awaitable<HttpResponse> readErrorResponse(HttpExchange &exchange, std::chrono::milliseconds idleTimeout)
{
    HttpResponse response;
    response.status = exchange.status;
    response.headers = exchange.headers;
    while (response.body.size() < maxEventBytes) {
        auto chunk = co_await httpRead(exchange, idleTimeout);
        if (!isOk(chunk) || !valueOf(chunk)) {
            break;
        }
        response.body += *valueOf(chunk);
    }
    co_return response;
}

/** @return The data of one server-sent event; empty if it has none, such as a comment. */
std::string eventData(std::string_view event)
{
    std::string data;
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (line.starts_with("data:")) {
            line.remove_prefix(5);
            data += line.starts_with(' ') ? line.substr(1) : line;
        }
    }
    return data;
}

void readChoice(const json::object &choice, TokenEvent &event)
{
    event.finishReason = stringMember(choice, "finish_reason");
    const json::value *delta = choice.if_contains("delta");
    if (delta != nullptr && delta->is_object()) {
        event.text = stringMember(delta->get_object(), "content");
    }
}

void readUsage(const json::object &object, TokenEvent &event)
{
    const json::value *usage = object.if_contains("usage");
    if (usage == nullptr || !usage->is_object()) {
        return;
    }
    event.promptTokens = static_cast<unsigned>(numberMember(usage->get_object(), "prompt_tokens"));
    const json::value *details = usage->get_object().if_contains("prompt_tokens_details");
    if (details != nullptr && details->is_object()) {
        event.cachedTokens = static_cast<unsigned>(numberMember(details->get_object(), "cached_tokens"));
    }
}

Result<TokenEvent> parseTokenEvent(const std::string &data, const RequestId &requestId)
{
    const auto object = parseJsonObject(data);
    if (!object) {
        return makeError(ErrorCode::ProtocolError, "event is not a JSON object: " + data.substr(0, 100), RunState::Maybe);
    }
    if (object->contains("error")) {
        return makeError(ErrorCode::TargetFailed, data.substr(0, 300), RunState::Maybe);
    }
    const std::string id = stringMember(*object, "request_id", requestId.value);
    if (id != requestId.value) {
        return makeError(ErrorCode::ResponseMismatch, "received an event of request " + id, RunState::Maybe);
    }
    TokenEvent event;
    const json::array &choices = arrayMember(*object, "choices");
    if (!choices.empty() && choices.front().is_object()) {
        readChoice(choices.front().get_object(), event);
    }
    event.tokens = static_cast<unsigned>(numberMember(*object, "tokens", event.text.empty() ? 0 : 1));
    readUsage(*object, event);
    return event;
}

/** Removes the next complete event that has data from the pending bytes. @return Its data, or nothing if more bytes are needed. */
std::optional<std::string> popEventData(GenerateStream &stream)
{
    for (;;) {
        const std::size_t end = stream.pending.find(eventEnd);
        if (end == std::string::npos) {
            return std::nullopt;
        }
        std::string data = eventData(std::string_view(stream.pending).substr(0, end));
        stream.pending.erase(0, end + eventEnd.size());
        if (!data.empty()) {
            return data;
        }
    }
}

/** Reads to the end of the body, so that the connection can be reused. The answer is complete already and must not be held back for long. */
asio::awaitable<void> drainBody(GenerateStream &stream, std::chrono::milliseconds idleTimeout)
{
    constexpr std::chrono::milliseconds bodyEndTimeout{200};
    for (;;) {
        const auto chunk = co_await httpRead(stream.exchange, std::min(idleTimeout, bodyEndTimeout));
        if (!isOk(chunk) || !valueOf(chunk)) {
            co_return;
        }
    }
}

/** Closes the idle connections to the engine after a timeout of @p stream, because they may be silent, too. */
void closeIdleConnections(const GenerateStream &stream)
{
    if (const auto client = stream.exchange.client.lock()) {
        httpCloseIdle(*client, stream.exchange.endpoint, BootClock::now());
    }
}

/** Creates a stream from a response whose head has been read. @return The stream, or the error that the response carries. */
asio::awaitable<Result<GenerateStream>> makeStream(HttpExchange exchange, RequestId requestId, std::chrono::milliseconds idleTimeout)
{
    if (const auto mismatch = checkRequestIdEcho(exchange.headers, requestId, exchange.status == 200)) {
        co_return *mismatch;
    }
    if (exchange.status != 200) {
        const HttpResponse errorResponse = co_await readErrorResponse(exchange, idleTimeout);
        co_return engineStatusError(errorResponse);
    }
    GenerateStream stream;
    stream.exchange = std::move(exchange);
    stream.requestId = std::move(requestId);
    co_return stream;
}

} // namespace

asio::awaitable<Result<GenerateStream>> startGenerate(std::shared_ptr<HttpClient> http, Endpoint endpoint, GenerateCall call, HttpTimeouts timeouts)
{
    auto request = makeGenerateRequest(call);
    if (!isOk(request)) {
        co_return errorOf(request);
    }
    auto opened = co_await httpOpen(http, endpoint, std::move(valueOf(request)), timeouts);
    if (!isOk(opened)) {
        co_return handleTransportError(*http, endpoint, errorOf(opened));
    }
    co_return co_await makeStream(std::move(valueOf(opened)), std::move(call.requestId), timeouts.idle);
}

asio::awaitable<Result<std::optional<TokenEvent>>> readToken(GenerateStream &stream, std::chrono::milliseconds idleTimeout)
{
    for (;;) {
        if (stream.ended) {
            co_return std::optional<TokenEvent>();
        }
        if (const auto data = popEventData(stream)) {
            if (*data == endMarker) {
                stream.ended = true;
                co_await drainBody(stream, idleTimeout);
                co_return std::optional<TokenEvent>();
            }
            auto event = parseTokenEvent(*data, stream.requestId);
            if (!isOk(event)) {
                httpAbort(stream.exchange);
                co_return errorOf(event);
            }
            co_return std::optional<TokenEvent>(std::move(valueOf(event)));
        }
        if (stream.pending.size() > maxEventBytes) {
            httpAbort(stream.exchange);
            co_return makeError(ErrorCode::ProtocolError, "event exceeds the size limit", RunState::Maybe);
        }
        auto chunk = co_await httpRead(stream.exchange, idleTimeout);
        if (!isOk(chunk)) {
            if (errorOf(chunk).code == ErrorCode::IdleTimeout) {
                closeIdleConnections(stream);
            }
            co_return errorOf(chunk);
        }
        if (!valueOf(chunk)) {
            co_return makeError(ErrorCode::StreamBroken, "stream ended without the end marker [DONE]", RunState::Maybe);
        }
        stream.pending += *valueOf(chunk);
    }
}

void abortGenerate(GenerateStream &stream)
{
    httpAbort(stream.exchange);
}

} // namespace skylark
