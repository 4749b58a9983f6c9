/** @file service_call.cpp Calls of plain services and their idempotency records. */
#include "traffic/service_call_func.h"

#include "core/hash_func.h"
#include "policy/idempotency_func.h"

#include <algorithm>
#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maxIdempotencyKeyBytes = 200;

/** Idempotency record that the current call has created. */
struct RecordHandle {
    std::string key; ///< Key in the key-value service; empty for a call without a record.
    IdempotencyRecord record; ///< Record as last written.
    KvVersion version; ///< Version of the record in the key-value service.
};

/** Result of the check of an idempotency key before the call. */
struct IdempotencyCheck {
    IdempotencyDecision action{IdempotencyDecision::Execute}; ///< Whether the call is sent or how it is answered.
    RecordHandle handle; ///< Set for IdempotencyDecision::Execute; its key is empty for IdempotencyDecision::ExecuteUnrecorded.
    IdempotencyRecord existing; ///< Set for IdempotencyDecision::Replay, and for IdempotencyDecision::InProgress if the record could be read.
};

const ServiceSpec *findService(const WorkspaceConfig &workspace, const std::string &name)
{
    for (const ServiceSpec &service : workspace.services) {
        if (service.name == name) {
            return &service;
        }
    }
    return nullptr;
}

/** @return The permitted call with the longest prefix of the path, or null. */
const ServiceCallSpec *findPermittedCall(const ServiceSpec &service, const std::string &method, std::string_view path)
{
    const ServiceCallSpec *best = nullptr;
    for (const ServiceCallSpec &call : service.calls) {
        std::string_view prefix = call.pathPrefix;
        while (prefix.ends_with('/')) {
            prefix.remove_suffix(1);
        }
        const std::string_view below = prefix.starts_with('/') || prefix.empty() ? path : path.substr(1);
        const bool within = below.starts_with(prefix) && (below.size() == prefix.size() || below[prefix.size()] == '/');
        if (call.method == method && within && (best == nullptr || call.pathPrefix.size() > best->pathPrefix.size())) {
            best = &call;
        }
    }
    return best;
}

bool isValidIdempotencyKey(std::string_view key)
{
    return key.size() <= maxIdempotencyKeyBytes && std::all_of(key.begin(), key.end(), [](char c) {
               return c > ' ' && c < 0x7f && c != '/';
           });
}

/** Writes the record if its stored version is @p expected. */
asio::awaitable<Result<KvVersion>> writeRecord(CallerServer::Impl &impl, const std::string &key, const IdempotencyRecord &record, KvVersion expected)
{
    // Returned rather than awaited here: in a co_await expression, g++ 12 frees the default lease argument twice.
    return kvPutVerified(*impl.kv, key, idempotencyRecordToJson(record), record.writeId, expected);
}

/** Decides by the record of another call with the same key; a record that cannot be read counts as a call in progress. */
asio::awaitable<IdempotencyCheck> readExisting(CallerServer::Impl &impl, std::string key, std::string requestHash)
{
    IdempotencyCheck check;
    const auto found = co_await kvGet(*impl.kv, key);
    if (!isOk(found) || !valueOf(found)) {
        check.action = IdempotencyDecision::InProgress;
        co_return check;
    }
    const auto record = idempotencyRecordFromJson(valueOf(found)->value);
    if (!isOk(record)) {
        check.action = IdempotencyDecision::InProgress;
        co_return check;
    }
    check.existing = valueOf(record);
    check.action = decideOnExistingRecord(check.existing, requestHash);
    co_return check;
}

/** Creates this call's record, or decides by the existing record of an earlier call with the same key. */
asio::awaitable<IdempotencyCheck> beginRecordedCall(CallerServer::Impl &impl, const RequestContext &context, std::string idempotencyKey)
{
    IdempotencyCheck check;
    check.handle.key = idempotencyRecordKey(context.workspace->id, idempotencyKey);
    IdempotencyRecord &record = check.handle.record;
    record.requestHash = idempotencyRequestHash(context.request.method, context.request.target, context.request.body);
    record.host = impl.context.settings->host;
    record.writeId.value = randomIdHex();
    const auto written = co_await writeRecord(impl, check.handle.key, record, KvVersion{});
    if (isOk(written)) {
        check.handle.version = valueOf(written);
        co_return check;
    }
    if (errorOf(written).code == ErrorCode::VersionConflict) {
        co_return co_await readExisting(impl, check.handle.key, record.requestHash);
    }
    check.action = decideOnRecordCreation(errorOf(written).code, context.workspace->whenRecordUnavailable);
    check.handle.key.clear();
    co_return check;
}

/** Stores the response in the record, or deletes the record of a call that did not run, so that the caller can send it again. Otherwise the record stays. */
asio::awaitable<void> finishRecordedCall(CallerServer::Impl &impl, RecordHandle handle, const Result<HttpResponse> &result)
{
    if (handle.key.empty()) {
        co_return;
    }
    if (isOk(result)) {
        const HttpResponse &response = valueOf(result);
        const std::string type(headerValue(response.headers, "content-type"));
        const IdempotencyRecord done = completeIdempotencyRecord(handle.record, response.status, type, response.body, WriteId{randomIdHex()});
        const auto written = co_await writeRecord(impl, handle.key, done, handle.version);
        LOG_IF(WARNING, !isOk(written)) << "[route] could not store the response of a call in its idempotency record: " << handle.key;
        co_return;
    }
    if (errorOf(result).run == RunState::No) {
        const auto removed = co_await kvDelete(*impl.kv, handle.key, handle.version);
        LOG_IF(WARNING, !isOk(removed)) << "[route] could not delete the idempotency record of a call that did not run: " << handle.key;
    }
}

/** Sends the response of a service to the caller with its status, content type and body only. */
asio::awaitable<std::optional<Error>> relayResponse(RequestContext &context, HttpResponse response)
{
    HttpResponse answer;
    answer.status = response.status;
    const std::string_view type = headerValue(response.headers, "content-type");
    if (!type.empty()) {
        answer.headers.push_back({"content-type", std::string(type)});
    }
    answer.headers.push_back({"x-request-id", context.id.value});
    answer.body = std::move(response.body);
    co_await sendResponse(context.responder, std::move(answer));
    co_return std::nullopt;
}

/** Answers a call that is not sent to a target, by the action in @p check. @return The error to render, if there is no response to replay. */
asio::awaitable<std::optional<Error>> answerWithoutCall(RequestContext &context, IdempotencyCheck check)
{
    Error error = makeError(ErrorCode::PlatformUnavailable, "the record of the idempotency key could not be written");
    if (check.action == IdempotencyDecision::Replay) {
        HttpResponse response;
        response.status = check.existing.status;
        response.headers.push_back({"content-type", check.existing.contentType});
        response.body = std::move(check.existing.responseBody);
        co_return co_await relayResponse(context, std::move(response));
    }
    if (check.action == IdempotencyDecision::Conflict) {
        error = makeError(ErrorCode::IdempotencyConflict, "the idempotency key was used for another request");
        error.param = "idempotency-key";
    }
    if (check.action == IdempotencyDecision::InProgress) {
        const std::string detail = check.existing.bodyOmitted ? "the first call was answered with status " + std::to_string(check.existing.status)
                                                                    + "; its response is too large to be stored"
                                                              : "the first call with this idempotency key has no recorded outcome";
        error = makeError(ErrorCode::IdempotencyInProgress, detail, RunState::Maybe);
        error.param = "idempotency-key";
    }
    co_return error;
}

asio::awaitable<std::optional<Error>> sendAndRelay(CallerServer::Impl &impl, RequestContext &context, RecordHandle handle, bool repeatable)
{
    auto result = co_await sendServiceCall(impl, context, repeatable);
    co_await finishRecordedCall(impl, std::move(handle), result);
    if (!isOk(result)) {
        co_return errorOf(result);
    }
    co_return co_await relayResponse(context, std::move(valueOf(result)));
}

} // namespace

asio::awaitable<std::optional<Error>> executeServiceCall(CallerServer::Impl &impl, RequestContext &context)
{
    const ServiceSpec *service = findService(*context.workspace, context.pathParameter);
    if (service == nullptr) {
        co_return makeError(ErrorCode::NotFound, "workspace has no service " + context.pathParameter);
    }
    const ServiceCallSpec *call = findPermittedCall(*service, context.request.method, targetPath(context.servicePath));
    if (call == nullptr) {
        co_return makeError(ErrorCode::Forbidden, "workspace may not call " + context.request.method + " " + context.servicePath);
    }
    const std::string key(headerValue(context.request.headers, "idempotency-key"));
    if (key.empty() || call->repeatable || context.hops > 0) {
        RecordHandle unrecorded;
        co_return co_await sendAndRelay(impl, context, std::move(unrecorded), call->repeatable);
    }
    if (!isValidIdempotencyKey(key)) {
        Error error = makeError(ErrorCode::InvalidRequest, "the idempotency key must have up to 200 visible characters without a slash");
        error.param = "idempotency-key";
        co_return error;
    }
    IdempotencyCheck check = co_await beginRecordedCall(impl, context, key);
    if (check.action != IdempotencyDecision::Execute && check.action != IdempotencyDecision::ExecuteUnrecorded) {
        co_return co_await answerWithoutCall(context, std::move(check));
    }
    co_return co_await sendAndRelay(impl, context, std::move(check.handle), false);
}

} // namespace skylark
