/** @file engine_call.cpp Non-streaming calls to engines and plain services. */
#include "core/json_member_func.h"
#include "engine/engine_client_func.h"
#include "engine/engine_response_func.h"

#include <boost/algorithm/string/predicate.hpp>
#include <charconv>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t maxDetailBytes = 500;

template<typename Number>
Number parseNumber(std::string_view text, int base)
{
    Number number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number, base);
    return number;
}

bool isMarkedNotRun(const HttpResponse &response)
{
    return headerValue(response.headers, "x-not-run") == "1";
}

LoadedModel parseModel(const json::object &object)
{
    LoadedModel model;
    model.name.value = stringMember(object, "name");
    model.version = stringMember(object, "version");
    for (const json::value &adapter : arrayMember(object, "adapters")) {
        if (adapter.is_string()) {
            model.adapters.emplace_back(adapter.get_string());
        }
    }
    return model;
}

LoadReport parseLoadReport(const json::object &object)
{
    LoadReport report;
    report.sequence = numberMember(object, "sequence");
    report.slots = static_cast<unsigned>(numberMember(object, "slots"));
    report.running = static_cast<unsigned>(numberMember(object, "running"));
    report.waiting = static_cast<unsigned>(numberMember(object, "waiting"));
    report.stepMs = doubleMember(object, "step_ms");
    report.draining = boolMember(object, "draining");
    for (const json::value &model : arrayMember(object, "models")) {
        if (model.is_object()) {
            report.models.push_back(parseModel(model.get_object()));
        }
    }
    report.receivedAt = BootClock::now();
    return report;
}

/** Makes a read-only call that succeeds with status 200 and a JSON object. */
asio::awaitable<Result<json::object>> callForObject(std::shared_ptr<HttpClient> http, Endpoint endpoint, std::string target, HttpTimeouts timeouts)
{
    HttpRequest request;
    request.target = std::move(target);
    const auto response = co_await httpCall(http, endpoint, std::move(request), timeouts);
    if (!isOk(response)) {
        co_return handleTransportError(*http, endpoint, errorOf(response));
    }
    if (valueOf(response).status != 200) {
        co_return engineStatusError(valueOf(response));
    }
    auto object = parseJsonObject(valueOf(response).body);
    if (!object) {
        co_return makeError(ErrorCode::ProtocolError, "response is not a JSON object");
    }
    co_return std::move(*object);
}

HttpRequest makeOrderRequest(const EngineOrder &order)
{
    json::object body;
    body["action"] = order.action;
    body["model"] = order.model.value;
    body["version"] = order.version;
    body["adapter"] = order.adapter;
    body["role"] = order.role;
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/orders";
    request.headers.push_back({"content-type", "application/json"});
    request.headers.push_back({"x-fencing", std::to_string(order.fencing.value)});
    request.body = json::serialize(body);
    return request;
}

} // namespace

bool isDrainingRefusal(const HttpResponse &response)
{
    if (response.status != 503 || !isMarkedNotRun(response)) {
        return false;
    }
    const auto body = parseJsonObject(response.body);
    const json::value *error = body ? body->if_contains("error") : nullptr;
    return error != nullptr && error->is_object() && stringMember(error->get_object(), "code") == "draining";
}

Error engineStatusError(const HttpResponse &response)
{
    const std::string detail = std::to_string(response.status) + " " + response.body.substr(0, maxDetailBytes);
    const bool notRun = isMarkedNotRun(response);
    if (response.status == 429 || (response.status == 503 && notRun)) {
        Error error = makeError(ErrorCode::TargetOverloaded, detail);
        error.targetLeaving = isDrainingRefusal(response);
        const std::string_view wait = headerValue(response.headers, "retry-after");
        if (!wait.empty()) {
            error.retryAfter = std::chrono::seconds(parseNumber<unsigned>(wait, 10));
        }
        return error;
    }
    const ErrorCode code = response.status >= 400 && response.status < 500 ? ErrorCode::TargetRejected
                           : response.status >= 500                        ? ErrorCode::TargetFailed
                                                                           : ErrorCode::ProtocolError;
    return makeError(code, detail, notRun ? RunState::No : RunState::Maybe);
}

std::optional<Error> checkRequestIdEcho(const HttpHeaders &headers, const RequestId &requestId, bool required)
{
    const std::string_view echo = headerValue(headers, "x-request-id");
    if (echo == requestId.value || (echo.empty() && !required)) {
        return std::nullopt;
    }
    return makeError(ErrorCode::ResponseMismatch, "response to request \"" + std::string(echo) + "\" instead of " + requestId.value, RunState::Maybe);
}

Error handleTransportError(HttpClient &http, const Endpoint &endpoint, Error error)
{
    if (error.code == ErrorCode::FirstByteTimeout || error.code == ErrorCode::IdleTimeout) {
        httpCloseIdle(http, endpoint, BootClock::now());
    }
    return error;
}

// Uses a new connection, because that of the stream may be silent.
asio::awaitable<Result<Done>> cancelGenerate(std::shared_ptr<HttpClient> http, Endpoint endpoint, RequestId requestId, HttpTimeouts timeouts)
{
    HttpRequest request;
    request.method = "DELETE";
    request.target = "/v1/requests/" + percentEncode(requestId.value);
    const auto response = co_await httpCall(http, endpoint, std::move(request), timeouts, ConnectionUse::Fresh);
    if (!isOk(response)) {
        co_return errorOf(response);
    }
    // 404 means that the request has already ended.
    if (valueOf(response).status != 200 && valueOf(response).status != 404) {
        co_return engineStatusError(valueOf(response));
    }
    co_return Done{};
}

asio::awaitable<Result<LoadReport>> readLoad(std::shared_ptr<HttpClient> http, Endpoint endpoint, HttpTimeouts timeouts)
{
    const auto object = co_await callForObject(std::move(http), std::move(endpoint), "/v1/load", timeouts);
    if (!isOk(object)) {
        co_return errorOf(object);
    }
    co_return parseLoadReport(valueOf(object));
}

asio::awaitable<Result<std::vector<CacheEvent>>> readCacheEvents(std::shared_ptr<HttpClient> http, Endpoint endpoint, std::uint64_t from, HttpTimeouts timeouts)
{
    std::string target = "/v1/cache_events?from=" + std::to_string(from);
    const auto object = co_await callForObject(std::move(http), std::move(endpoint), std::move(target), timeouts);
    if (!isOk(object)) {
        co_return errorOf(object);
    }
    std::vector<CacheEvent> events;
    for (const json::value &value : arrayMember(valueOf(object), "events")) {
        if (const json::object *event = value.if_object()) {
            const auto hash = parseNumber<std::uint64_t>(stringMember(*event, "prefix_hash"), 16);
            events.push_back({numberMember(*event, "sequence"), stringMember(*event, "kind") == "stored", hash});
        }
    }
    co_return events;
}

asio::awaitable<Result<Done>> sendOrder(
    std::shared_ptr<HttpClient> http, Endpoint endpoint, EngineOrder order, HttpTimeouts timeouts, std::function<Result<Done>()> gate)
{
    HttpRequest request = makeOrderRequest(order);
    const auto response = co_await httpCallExpectContinue(std::move(http), std::move(endpoint), std::move(request), timeouts, std::move(gate));
    if (!isOk(response)) {
        co_return errorOf(response);
    }
    if (valueOf(response).status == 409) {
        co_return makeError(ErrorCode::StaleFencing, "engine has seen a newer fencing number than " + std::to_string(order.fencing.value));
    }
    if (valueOf(response).status != 200) {
        co_return engineStatusError(valueOf(response));
    }
    co_return Done{};
}

asio::awaitable<Result<HttpResponse>> callService(
    std::shared_ptr<HttpClient> http, Endpoint endpoint, HttpRequest request, RequestId requestId, HttpTimeouts timeouts, ConnectionUse use)
{
    std::erase_if(request.headers, [](const HttpHeader &header) {
        return boost::algorithm::iequals(header.name, "x-request-id");
    });
    request.headers.push_back({"x-request-id", requestId.value});
    auto response = co_await httpCall(http, endpoint, std::move(request), timeouts, use);
    if (!isOk(response)) {
        co_return handleTransportError(*http, endpoint, errorOf(response));
    }
    // Additional bytes of a service can look like a success; a failure may come from a part of it that knows no request ids.
    const bool success = valueOf(response).status >= 200 && valueOf(response).status < 300;
    if (auto mismatch = checkRequestIdEcho(valueOf(response).headers, requestId, success)) {
        co_return std::move(*mismatch);
    }
    co_return response;
}

} // namespace skylark
