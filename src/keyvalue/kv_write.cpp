/** @file kv_write.cpp Conditional writes to the key-value service. */
#include "keyvalue/kv_call_func.h"

#include "core/json_member_func.h"

namespace skylark {

namespace asio = boost::asio;

namespace {

// One resend is enough for a write that was lost before it took effect; a second loss in a row is treated as an outage.
constexpr int maxResends = 2;

/** Result of one conditional write that got a response. */
struct PutResult {
    bool stored{false}; ///< Whether the value was written.
    KvVersion version; ///< New version, or the current one on a conflict.
    std::string currentValue; ///< Current value on a conflict.
};

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
    auto answer = co_await kvCall(client, KvCallKind::Write, std::move(request));
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    HttpResponse &response = valueOf(answer);
    const KvVersion version = versionOf(response);
    if (response.status == 200 && version.value != 0) {
        co_return PutResult{true, version, {}};
    }
    if (response.status == 409) {
        co_return PutResult{false, version, std::move(response.body)};
    }
    if (response.status == 410) {
        co_return unknownLease(lease);
    }
    if (response.status == 413) {
        co_return makeError(ErrorCode::PayloadTooLarge, "value exceeds the size limit of the key-value service, key " + key);
    }
    co_return unexpectedResponse(KvCallKind::Write, response);
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

} // namespace

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
    auto answer = co_await kvCall(client, KvCallKind::Write, std::move(request));
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    if (valueOf(answer).status == 409) {
        co_return makeError(ErrorCode::VersionConflict, std::move(valueOf(answer).body));
    }
    if (valueOf(answer).status != 200) {
        co_return unexpectedResponse(KvCallKind::Write, valueOf(answer));
    }
    co_return Done{};
}

} // namespace skylark
