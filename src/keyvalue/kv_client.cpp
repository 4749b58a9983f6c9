/** @file kv_client.cpp Wire form of the key-value service and the host list. */
#include "keyvalue/kv_client_func.h"

#include "core/json_member_func.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t maxAnswerBytes = std::size_t{64} << 20U;
constexpr unsigned pageSize = 500;
// One repetition settles a write that was lost before it took effect; a second loss in a row is an outage.
constexpr int maxRepetitions = 2;

/** Kind of a call, for the counters and for the meaning of a lost answer. */
enum class CallKind {
    Read, ///< Has no effect.
    Write, ///< May have taken effect when its answer is lost.
    Watch, ///< Long poll without effect.
};

/** Outcome of one conditional write that was answered. */
struct PutAnswer {
    bool stored{false}; ///< Whether the value was written.
    KvVersion version; ///< New version, or the present one on a conflict.
    std::string present; ///< Present value on a conflict.
};

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

HttpTimeouts timeoutsOf(const KvClient &client, std::chrono::milliseconds extra)
{
    HttpTimeouts timeouts;
    timeouts.connect = std::min(timeouts.connect, client.timeout);
    timeouts.send = client.timeout;
    timeouts.firstByte = client.timeout + extra;
    timeouts.idle = client.timeout;
    return timeouts;
}

void countCall(KvClient &client, CallKind kind)
{
    std::uint64_t &count = kind == CallKind::Read ? client.counts.reads : kind == CallKind::Write ? client.counts.writes : client.counts.watches;
    ++count;
}

/** Notes a call without an answer and says what it means for the caller. */
Error lostCall(KvClient &client, CallKind kind, const Error &cause)
{
    ++client.counts.failures;
    client.reachable = false;
    // Connections as old as a silent one may be silent too.
    httpCloseIdle(*client.http, client.endpoint, BootClock::now());
    if (kind == CallKind::Write && cause.run == RunState::Maybe) {
        return makeError(ErrorCode::OutcomeUnknown, cause.detail, RunState::Maybe);
    }
    return makeError(ErrorCode::PlatformUnavailable, cause.detail);
}

/** @return The error that @p answer stands for, or nothing for an answer that the caller interprets. */
std::optional<Error> refusal(CallKind kind, const HttpResponse &answer)
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

Error unexpected(CallKind kind, const HttpResponse &answer)
{
    const RunState run = kind == CallKind::Write ? RunState::Maybe : RunState::No;
    return makeError(ErrorCode::ProtocolError, "unexpected answer " + std::to_string(answer.status) + ": " + answer.body.substr(0, 200), run);
}

asio::awaitable<Result<HttpResponse>> call(KvClient &client, CallKind kind, HttpRequest request, std::chrono::milliseconds extra = {})
{
    countCall(client, kind);
    auto answer = co_await httpCall(client.http, client.endpoint, std::move(request), timeoutsOf(client, extra), ConnectionUse::Pooled, maxAnswerBytes);
    if (!isOk(answer)) {
        co_return lostCall(client, kind, errorOf(answer));
    }
    if (auto error = refusal(kind, valueOf(answer))) {
        client.reachable = error->code == ErrorCode::RateLimited;
        client.counts.failures += client.reachable ? 0 : 1;
        co_return std::move(*error);
    }
    client.reachable = true;
    co_return answer;
}

/** Makes one conditional write. */
asio::awaitable<Result<PutAnswer>> putOnce(KvClient &client, std::string key, std::string value, KvVersion expected, LeaseId lease)
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
        co_return PutAnswer{true, version, {}};
    }
    if (response.status == 409) {
        co_return PutAnswer{false, version, std::move(response.body)};
    }
    if (response.status == 410) {
        co_return makeError(ErrorCode::LeaseExpired, "key-value service does not know lease " + lease.value);
    }
    if (response.status == 413) {
        co_return makeError(ErrorCode::PayloadTooLarge, "value of " + key);
    }
    co_return unexpected(CallKind::Write, response);
}

bool holdsWrite(std::string_view value, const WriteId &writeId)
{
    const auto object = parseJsonObject(value);
    return object && !writeId.empty() && stringMember(*object, "writeId") == writeId.value;
}

Error versionConflict(PutAnswer answer, RunState run)
{
    return makeError(ErrorCode::VersionConflict, std::move(answer.present), run);
}

KvEntry entryOf(const json::value &value)
{
    KvEntry entry;
    if (const json::object *object = value.if_object()) {
        entry.key = stringMember(*object, "key");
        entry.value = stringMember(*object, "value");
        entry.version.value = numberMember(*object, "version");
    }
    return entry;
}

std::vector<KvEntry> entriesOf(const json::array &array)
{
    std::vector<KvEntry> entries;
    entries.reserve(array.size());
    for (const json::value &value : array) {
        entries.push_back(entryOf(value));
    }
    return entries;
}

TargetInfo targetOf(const json::object &object)
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

/** Makes a call whose answer is a JSON object with status 200. */
asio::awaitable<Result<json::object>> callForObject(KvClient &client, CallKind kind, HttpRequest request, std::chrono::milliseconds extra = {})
{
    auto answer = co_await call(client, kind, std::move(request), extra);
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    auto object = parseJsonObject(valueOf(answer).body);
    if (valueOf(answer).status != 200 || !object) {
        co_return unexpected(kind, valueOf(answer));
    }
    co_return std::move(*object);
}

/** Makes a lease call that has no result. */
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
        co_return unexpected(CallKind::Write, valueOf(answer));
    }
    co_return Done{};
}

} // namespace

Result<std::shared_ptr<KvClient>> KvClient::create(Endpoint endpoint, std::shared_ptr<HttpClient> http)
{
    boost::system::error_code error;
    asio::ip::make_address(endpoint.address, error);
    if (error || endpoint.port == 0) {
        return makeError(ErrorCode::InvalidSettings, "address of the key-value service is not an IP number with a port: " + endpoint.address);
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
        co_return unexpected(CallKind::Read, response);
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

// A write whose answer was lost may still be on its way when the key is read back unchanged. The same conditional write
// is then sent again: only one of the two can succeed, and a conflict with the own writeId means that the first one did.
asio::awaitable<Result<KvVersion>> kvPutRecognised(KvClient &client, std::string key, std::string value, WriteId writeId, KvVersion expected, LeaseId lease)
{
    RunState run = RunState::No;
    for (int repetition = 0;; ++repetition) {
        auto answer = co_await putOnce(client, key, value, expected, lease);
        if (isOk(answer)) {
            if (valueOf(answer).stored || holdsWrite(valueOf(answer).present, writeId)) {
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
        if (!isOk(read) || repetition >= maxRepetitions) {
            co_return error;
        }
        PutAnswer present;
        if (valueOf(read)) {
            present.version = valueOf(read)->version;
            present.present = std::move(valueOf(read)->value);
        }
        if (holdsWrite(present.present, writeId)) {
            co_return present.version;
        }
        if (present.version != expected) {
            co_return versionConflict(std::move(present), RunState::Maybe);
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
        co_return unexpected(CallKind::Write, valueOf(answer));
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
    page.entries = entriesOf(arrayMember(valueOf(answer), "entries"));
    page.more = boolMember(valueOf(answer), "more");
    page.cursor = numberMember(valueOf(answer), "cursor");
    co_return page;
}

// The cursor of the first page is kept: changes made between two pages are then seen again by the watch.
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
    events.events = entriesOf(arrayMember(valueOf(answer), "events"));
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
        co_return makeError(ErrorCode::ProtocolError, "lease answer without an id", RunState::Maybe);
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
            co_return makeError(ErrorCode::ProtocolError, "host list entry without an id");
        }
        targets.push_back(targetOf(*object));
    }
    co_return targets;
}

} // namespace skylark
