/** @file kv_client.cpp HTTP calls to the key-value service, the weight store and the target list. */
#include "keyvalue/kv_client_func.h"

#include "core/json_member_func.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t maxResponseBytes = std::size_t{64} << 20U;
constexpr unsigned pageSize = 500;
// One resend is enough for a write that was lost before it took effect; a second loss in a row is treated as an outage.
constexpr int maxResends = 2;

/** Kind of a call; determines which counter is incremented and what a lost response means. */
enum class CallKind {
    Read, ///< Has no side effect.
    Write, ///< May have taken effect if its response is lost.
    Watch, ///< Long poll without side effect.
};

/** Result of one conditional write that got a response. */
struct PutResult {
    bool stored{false}; ///< Whether the value was written.
    KvVersion version; ///< New version, or the current one on a conflict.
    std::string currentValue; ///< Current value on a conflict.
};

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

void countCall(KvClient &client, CallKind kind)
{
    std::uint64_t &count = kind == CallKind::Read ? client.counts.reads : kind == CallKind::Write ? client.counts.writes : client.counts.watches;
    ++count;
}

/** Records a call that got no response. @return OutcomeUnknown if a write may have taken effect, otherwise PlatformUnavailable. */
Error recordLostCall(KvClient &client, CallKind kind, const Error &cause)
{
    ++client.counts.failures;
    client.reachable = false;
    // Pooled connections that were opened before may be dead as well.
    httpCloseIdle(*client.http, client.endpoint, BootClock::now());
    if (kind == CallKind::Write && cause.run == RunState::Maybe) {
        return makeError(ErrorCode::OutcomeUnknown, cause.detail, RunState::Maybe);
    }
    return makeError(ErrorCode::PlatformUnavailable, cause.detail);
}

/** @return The error for status 429 or 5xx, or nothing for other responses, which the caller interprets. */
std::optional<Error> errorFromStatus(CallKind kind, const HttpResponse &answer)
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
    if (kind == CallKind::Write && headerValue(answer.headers, "x-not-run") != "1") {
        return makeError(ErrorCode::OutcomeUnknown, detail, RunState::Maybe);
    }
    return makeError(ErrorCode::PlatformUnavailable, detail);
}

Error unexpectedResponse(CallKind kind, const HttpResponse &answer)
{
    const RunState run = kind == CallKind::Write ? RunState::Maybe : RunState::No;
    return makeError(ErrorCode::ProtocolError, "unexpected answer " + std::to_string(answer.status) + ": " + answer.body.substr(0, 200), run);
}

asio::awaitable<Result<HttpResponse>> call(KvClient &client, CallKind kind, HttpRequest request, std::chrono::milliseconds extraWait = {})
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

/** Sends one conditional write. */
asio::awaitable<Result<PutResult>> putOnce(KvClient &client, std::string key, std::string value, KvVersion expected, LeaseId lease)
{
    HttpRequest request;
    request.method = "PUT";
    request.target = "/kv/" + percentEncode(key) + "?if_version=" + std::to_string(expected.value);
    if (!lease.empty()) {
        request.target += "&lease=" + percentEncode(lease.value);
    }
    request.body = std::move(value);
    auto answer = co_await call(client, CallKind::Write, std::move(request));
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    HttpResponse &response = valueOf(answer);
    const KvVersion version{parseNumber(headerValue(response.headers, "x-version"))};
    if (response.status == 200 && version.value != 0) {
        co_return PutResult{true, version, {}};
    }
    if (response.status == 409) {
        co_return PutResult{false, version, std::move(response.body)};
    }
    if (response.status == 410) {
        co_return makeError(ErrorCode::LeaseExpired, "key-value service does not know lease " + lease.value);
    }
    if (response.status == 413) {
        co_return makeError(ErrorCode::PayloadTooLarge, "value exceeds the size limit of the key-value service, key " + key);
    }
    co_return unexpectedResponse(CallKind::Write, response);
}

bool containsWriteId(std::string_view value, const WriteId &writeId)
{
    const auto object = parseJsonObject(value);
    return object && !writeId.empty() && stringMember(*object, "writeId") == writeId.value;
}

Error versionConflict(PutResult answer, RunState run)
{
    return makeError(ErrorCode::VersionConflict, std::move(answer.currentValue), run);
}

KvEntry parseEntry(const json::value &value)
{
    KvEntry entry;
    if (const json::object *object = value.if_object()) {
        entry.key = stringMember(*object, "key");
        entry.value = stringMember(*object, "value");
        entry.version.value = numberMember(*object, "version");
    }
    return entry;
}

std::vector<KvEntry> parseEntries(const json::array &array)
{
    std::vector<KvEntry> entries;
    entries.reserve(array.size());
    for (const json::value &value : array) {
        entries.push_back(parseEntry(value));
    }
    return entries;
}

TargetInfo parseTarget(const json::object &object)
{
    TargetInfo info;
    info.id.value = stringMember(object, "id");
    info.kind = stringMember(object, "kind") == "service" ? TargetKind::Service : TargetKind::Engine;
    info.service = stringMember(object, "service");
    info.domain.value = stringMember(object, "domain");
    info.endpoint.address = stringMember(object, "address");
    info.endpoint.port = static_cast<std::uint16_t>(numberMember(object, "port"));
    info.leaving = boolMember(object, "leaving");
    info.checksFencing = boolMember(object, "checks_fencing", true);
    info.orderTimeout = std::chrono::milliseconds(numberMember(object, "order_timeout_ms", 1000));
    return info;
}

/** Makes a call that expects status 200 with a JSON object. */
asio::awaitable<Result<json::object>> callForObject(KvClient &client, CallKind kind, HttpRequest request, std::chrono::milliseconds extraWait = {})
{
    auto answer = co_await call(client, kind, std::move(request), extraWait);
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    auto object = parseJsonObject(valueOf(answer).body);
    if (valueOf(answer).status != 200 || !object) {
        co_return unexpectedResponse(kind, valueOf(answer));
    }
    co_return std::move(*object);
}

/** Makes a call on an existing lease that returns no data. */
asio::awaitable<Result<Done>> leaseCall(KvClient &client, std::string method, std::string target, LeaseId lease)
{
    HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    const auto answer = co_await call(client, CallKind::Write, std::move(request));
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    if (valueOf(answer).status == 410) {
        co_return makeError(ErrorCode::LeaseExpired, "key-value service does not know lease " + lease.value);
    }
    if (valueOf(answer).status != 200) {
        co_return unexpectedResponse(CallKind::Write, valueOf(answer));
    }
    co_return Done{};
}

} // namespace

Result<std::shared_ptr<KvClient>> KvClient::create(Endpoint endpoint, std::shared_ptr<HttpClient> http)
{
    boost::system::error_code error;
    asio::ip::make_address(endpoint.address, error);
    if (error || endpoint.port == 0) {
        return makeError(ErrorCode::InvalidSettings, "address of the key-value service is not an IP address with a port: " + endpoint.address);
    }
    auto client = std::make_shared<KvClient>();
    client->endpoint = std::move(endpoint);
    client->http = std::move(http);
    return client;
}

asio::awaitable<Result<std::optional<KvEntry>>> kvGet(KvClient &client, std::string key)
{
    HttpRequest request;
    request.target = "/kv/" + percentEncode(key);
    auto answer = co_await call(client, CallKind::Read, std::move(request));
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    HttpResponse &response = valueOf(answer);
    if (response.status == 404) {
        co_return std::optional<KvEntry>();
    }
    const KvVersion version{parseNumber(headerValue(response.headers, "x-version"))};
    if (response.status != 200 || version.value == 0) {
        co_return unexpectedResponse(CallKind::Read, response);
    }
    KvEntry entry{std::move(key), std::move(response.body), version};
    co_return std::optional<KvEntry>(std::move(entry));
}

asio::awaitable<Result<KvVersion>> kvPut(KvClient &client, std::string key, std::string value, KvVersion expected, LeaseId lease)
{
    auto answer = co_await putOnce(client, std::move(key), std::move(value), expected, std::move(lease));
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    if (!valueOf(answer).stored) {
        co_return versionConflict(std::move(valueOf(answer)), RunState::No);
    }
    co_return valueOf(answer).version;
}

// A write whose response was lost may still be in transit when the key is read back unchanged. The same conditional write
// is then sent again: only one of the two can succeed, and a conflict with a value that has this writeId means that the first one did.
asio::awaitable<Result<KvVersion>> kvPutVerified(KvClient &client, std::string key, std::string value, WriteId writeId, KvVersion expected, LeaseId lease)
{
    RunState run = RunState::No;
    for (int resends = 0;; ++resends) {
        auto answer = co_await putOnce(client, key, value, expected, lease);
        if (isOk(answer)) {
            if (valueOf(answer).stored || containsWriteId(valueOf(answer).currentValue, writeId)) {
                co_return valueOf(answer).version;
            }
            co_return versionConflict(std::move(valueOf(answer)), run);
        }
        Error error = errorOf(answer);
        if (error.code != ErrorCode::OutcomeUnknown) {
            if (run == RunState::Maybe) {
                co_return makeError(ErrorCode::OutcomeUnknown, error.detail, RunState::Maybe);
            }
            co_return error;
        }
        run = RunState::Maybe;
        auto read = co_await kvGet(client, key);
        if (!isOk(read) || resends >= maxResends) {
            co_return error;
        }
        PutResult current;
        if (valueOf(read)) {
            current.version = valueOf(read)->version;
            current.currentValue = std::move(valueOf(read)->value);
        }
        if (containsWriteId(current.currentValue, writeId)) {
            co_return current.version;
        }
        if (current.version != expected) {
            co_return versionConflict(std::move(current), RunState::Maybe);
        }
    }
}

asio::awaitable<Result<Done>> kvDelete(KvClient &client, std::string key, KvVersion expected)
{
    HttpRequest request;
    request.method = "DELETE";
    request.target = "/kv/" + percentEncode(key) + "?if_version=" + std::to_string(expected.value);
    auto answer = co_await call(client, CallKind::Write, std::move(request));
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    if (valueOf(answer).status == 409) {
        co_return makeError(ErrorCode::VersionConflict, std::move(valueOf(answer).body));
    }
    if (valueOf(answer).status != 200) {
        co_return unexpectedResponse(CallKind::Write, valueOf(answer));
    }
    co_return Done{};
}

asio::awaitable<Result<KvPage>> kvRange(KvClient &client, std::string prefix, std::string after, unsigned limit)
{
    HttpRequest request;
    request.target = "/range?prefix=" + percentEncode(prefix) + "&after=" + percentEncode(after) + "&limit=" + std::to_string(limit);
    const auto answer = co_await callForObject(client, CallKind::Read, std::move(request));
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    KvPage page;
    page.entries = parseEntries(arrayMember(valueOf(answer), "entries"));
    page.more = boolMember(valueOf(answer), "more");
    page.cursor = numberMember(valueOf(answer), "cursor");
    co_return page;
}

// Keeps the cursor of the first page, so that a watch reports the changes made between two pages.
asio::awaitable<Result<KvPage>> kvRangeAll(KvClient &client, std::string prefix)
{
    auto page = co_await kvRange(client, prefix, {}, pageSize);
    if (!isOk(page)) {
        co_return errorOf(page);
    }
    KvPage all = std::move(valueOf(page));
    while (all.more && !all.entries.empty()) {
        std::string after = all.entries.back().key;
        auto next = co_await kvRange(client, prefix, std::move(after), pageSize);
        if (!isOk(next)) {
            co_return errorOf(next);
        }
        std::move(valueOf(next).entries.begin(), valueOf(next).entries.end(), std::back_inserter(all.entries));
        all.more = valueOf(next).more && !valueOf(next).entries.empty();
    }
    co_return all;
}

asio::awaitable<Result<KvEvents>> kvWatch(KvClient &client, std::string prefix, std::uint64_t cursor, std::chrono::milliseconds wait)
{
    HttpRequest request;
    request.target = "/watch?prefix=" + percentEncode(prefix) + "&after=" + std::to_string(cursor) + "&wait_ms=" + std::to_string(wait.count());
    const auto answer = co_await callForObject(client, CallKind::Watch, std::move(request), wait);
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    KvEvents events;
    events.events = parseEntries(arrayMember(valueOf(answer), "events"));
    events.cursor = numberMember(valueOf(answer), "cursor");
    events.gap = boolMember(valueOf(answer), "gap");
    co_return events;
}

asio::awaitable<Result<LeaseId>> kvGrantLease(KvClient &client, std::chrono::milliseconds ttl)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/leases";
    request.body = R"({"ttl_ms":)" + std::to_string(ttl.count()) + "}";
    const auto answer = co_await callForObject(client, CallKind::Write, std::move(request));
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    LeaseId lease{stringMember(valueOf(answer), "lease")};
    if (lease.empty()) {
        co_return makeError(ErrorCode::ProtocolError, "response to a lease request has no lease id", RunState::Maybe);
    }
    co_return lease;
}

asio::awaitable<Result<Done>> kvRenewLease(KvClient &client, LeaseId lease)
{
    std::string target = "/leases/" + percentEncode(lease.value) + "/renew";
    co_return co_await leaseCall(client, "POST", std::move(target), std::move(lease));
}

asio::awaitable<Result<Done>> kvRevokeLease(KvClient &client, LeaseId lease)
{
    std::string target = "/leases/" + percentEncode(lease.value);
    co_return co_await leaseCall(client, "DELETE", std::move(target), std::move(lease));
}

asio::awaitable<Result<Done>> reserveWeightFetch(KvClient &client, ModelId model, std::string version)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/weights/fetch";
    request.body = json::serialize(json::object{{"model", model.value}, {"version", version}});
    const auto answer = co_await callForObject(client, CallKind::Write, std::move(request));
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    co_return Done{};
}

asio::awaitable<Result<std::vector<TargetInfo>>> platformTargets(KvClient &client)
{
    HttpRequest request;
    request.target = "/hosts";
    const auto answer = co_await callForObject(client, CallKind::Read, std::move(request));
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    std::vector<TargetInfo> targets;
    for (const json::value &value : arrayMember(valueOf(answer), "targets")) {
        const json::object *object = value.if_object();
        if (object == nullptr || stringMember(*object, "id").empty()) {
            co_return makeError(ErrorCode::ProtocolError, "entry of the target list has no id");
        }
        targets.push_back(parseTarget(*object));
    }
    co_return targets;
}

} // namespace skylark
