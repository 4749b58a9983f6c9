/** @file kv_call.cpp One HTTP call to the key-value service, and what its response or its loss means. */
#include "keyvalue/kv_call_func.h"

#include "core/json_member_func.h"

#include <algorithm>
#include <charconv>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t maxResponseBytes = std::size_t{64} << 20U;

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

HttpTimeouts makeTimeouts(const KvClient &client, std::chrono::milliseconds extraWait)
{
    HttpTimeouts timeouts;
    timeouts.connect = std::min(timeouts.connect, client.timeout);
    timeouts.send = client.timeout;
    timeouts.firstByte = client.timeout + extraWait;
    timeouts.idle = client.timeout;
    return timeouts;
}

void countCall(KvClient &client, KvCallKind kind)
{
    std::uint64_t &count = kind == KvCallKind::Read ? client.counts.reads : kind == KvCallKind::Write ? client.counts.writes : client.counts.watches;
    ++count;
}

/** Records a call that got no response. @return OutcomeUnknown if a write may have taken effect, otherwise PlatformUnavailable. */
Error recordLostCall(KvClient &client, KvCallKind kind, const Error &cause)
{
    ++client.counts.failures;
    client.reachable = false;
    // Pooled connections that were opened before may be dead as well.
    httpCloseIdle(*client.http, client.endpoint, BootClock::now());
    if (kind == KvCallKind::Write && cause.run == RunState::Maybe) {
        return makeError(ErrorCode::OutcomeUnknown, cause.detail, RunState::Maybe);
    }
    return makeError(ErrorCode::PlatformUnavailable, cause.detail);
}

/** @return The error for status 429 or 5xx, or nothing for other responses, which the caller interprets. */
std::optional<Error> errorFromStatus(KvCallKind kind, const HttpResponse &answer)
{
    if (answer.status == 429) {
        Error error = makeError(ErrorCode::RateLimited, "key-value service refused the call because of its rate limit");
        error.retryAfter = std::chrono::seconds(std::max<std::uint64_t>(1, parseNumber(headerValue(answer.headers, "retry-after"))));
        return error;
    }
    if (answer.status < 500) {
        return std::nullopt;
    }
    const std::string detail = "key-value service answered " + std::to_string(answer.status);
    if (kind == KvCallKind::Write && headerValue(answer.headers, "x-not-run") != "1") {
        return makeError(ErrorCode::OutcomeUnknown, detail, RunState::Maybe);
    }
    return makeError(ErrorCode::PlatformUnavailable, detail);
}

} // namespace

asio::awaitable<Result<HttpResponse>> kvCall(KvClient &client, KvCallKind kind, HttpRequest request, std::chrono::milliseconds extraWait)
{
    countCall(client, kind);
    auto answer = co_await httpCall(client.http, client.endpoint, std::move(request), makeTimeouts(client, extraWait), ConnectionUse::Pooled, maxResponseBytes);
    if (!isOk(answer)) {
        co_return recordLostCall(client, kind, errorOf(answer));
    }
    if (auto error = errorFromStatus(kind, valueOf(answer))) {
        client.reachable = error->code == ErrorCode::RateLimited;
        client.counts.failures += client.reachable ? 0 : 1;
        co_return std::move(*error);
    }
    client.reachable = true;
    co_return answer;
}

asio::awaitable<Result<json::object>> kvCallForObject(KvClient &client, KvCallKind kind, HttpRequest request, std::chrono::milliseconds extraWait)
{
    auto answer = co_await kvCall(client, kind, std::move(request), extraWait);
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    auto object = parseJsonObject(valueOf(answer).body);
    if (valueOf(answer).status != 200 || !object) {
        co_return unexpectedResponse(kind, valueOf(answer));
    }
    co_return std::move(*object);
}

Error unexpectedResponse(KvCallKind kind, const HttpResponse &answer)
{
    const RunState run = kind == KvCallKind::Write ? RunState::Maybe : RunState::No;
    return makeError(ErrorCode::ProtocolError, "unexpected answer " + std::to_string(answer.status) + ": " + answer.body.substr(0, 200), run);
}

Error unknownLease(const LeaseId &lease)
{
    return makeError(ErrorCode::LeaseExpired, "key-value service does not know lease " + lease.value);
}

KvVersion versionOf(const HttpResponse &answer)
{
    return KvVersion{parseNumber(headerValue(answer.headers, "x-version"))};
}

} // namespace skylark
