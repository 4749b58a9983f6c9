/** @file service_call.cpp Calls of plain services and their records. */
#include "traffic/service_call_func.h"

#include "core/hash_func.h"
#include "policy/once_func.h"

#include <algorithm>
#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maxKeyBytes = 200; ///< Longer idempotency keys are refused.

/** Record of the present call. */
struct OnceTicket {
    std::string key; ///< Key of the record; empty for a call without one.
    OnceRecord record; ///< Record as written.
    KvVersion version; ///< Version of the record.
};

/** What precedes the call. */
struct OnceStart {
    OnceVerdict verdict{OnceVerdict::Execute}; ///< Verdict.
    OnceTicket ticket; ///< For OnceVerdict::Execute.
    OnceRecord existing; ///< For OnceVerdict::Replay and OnceVerdict::InProgress.
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
const ServiceCallSpec *findCall(const ServiceSpec &service, const std::string &method, std::string_view path)
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

bool isValidKey(std::string_view key)
{
    return key.size() <= maxKeyBytes && std::all_of(key.begin(), key.end(), [](char c) {
               return c > ' ' && c < 0x7f && c != '/';
           });
}

/** Writes the record if its version is @p expected. */
asio::awaitable<Result<KvVersion>> writeRecord(CallerServer::Impl &impl, const std::string &key, const OnceRecord &record, KvVersion expected)
{
    // Not co_awaited in place: g++ 12 frees the default lease argument twice there.
    return kvPutRecognised(*impl.kv, key, onceToJson(record), record.writeId, expected);
}

/** Reads the record of another call. */
asio::awaitable<OnceStart> readExisting(CallerServer::Impl &impl, std::string key, std::string requestHash)
{
    OnceStart start;
    const auto found = co_await kvGet(*impl.kv, key);
    if (!isOk(found) || !valueOf(found)) {
        start.verdict = OnceVerdict::InProgress;
        co_return start;
    }
    const auto record = onceFromJson(valueOf(found)->value);
    if (!isOk(record)) {
        start.verdict = OnceVerdict::InProgress;
        co_return start;
    }
    start.existing = valueOf(record);
    start.verdict = decideByRecord(start.existing, requestHash);
    co_return start;
}

/** Creates the record of this call, or finds that of another one. */
asio::awaitable<OnceStart> beginOnce(CallerServer::Impl &impl, const RequestContext &context, std::string idempotencyKey)
{
    OnceStart start;
    start.ticket.key = onceKey(context.workspace->id, idempotencyKey);
    OnceRecord &record = start.ticket.record;
    record.requestHash = onceRequestHash(context.request.method, context.request.target, context.request.body);
    record.host = impl.context.settings->host;
    record.writeId.value = randomIdHex();
    const auto written = co_await writeRecord(impl, start.ticket.key, record, KvVersion{});
    if (isOk(written)) {
        start.ticket.version = valueOf(written);
        co_return start;
    }
    if (errorOf(written).code == ErrorCode::VersionConflict) {
        co_return co_await readExisting(impl, start.ticket.key, record.requestHash);
    }
    start.verdict = decideByWrite(errorOf(written).code, context.workspace->whenRecordUnavailable);
    start.ticket.key.clear();
    co_return start;
}

/** Records the answer, or removes the record of a call that did not run so that the caller can send it again. */
asio::awaitable<void> endOnce(CallerServer::Impl &impl, OnceTicket ticket, const Result<HttpResponse> &result)
{
    if (ticket.key.empty()) {
        co_return;
    }
    if (isOk(result)) {
        const HttpResponse &response = valueOf(result);
        const std::string type(headerValue(response.headers, "content-type"));
        const OnceRecord done = onceAnswered(ticket.record, response.status, type, response.body, WriteId{randomIdHex()});
        const auto written = co_await writeRecord(impl, ticket.key, done, ticket.version);
        LOG_IF(WARNING, !isOk(written)) << "[route] the answer of an idempotent call could not be recorded: " << ticket.key;
        co_return;
    }
    if (errorOf(result).run == RunState::No) {
        const auto removed = co_await kvDelete(*impl.kv, ticket.key, ticket.version);
        LOG_IF(WARNING, !isOk(removed)) << "[route] the record of a call that did not run could not be removed: " << ticket.key;
    }
}

asio::awaitable<std::optional<Error>> relay(RequestContext &context, HttpResponse response)
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

/** Answers a call that is not sent, according to its verdict. */
asio::awaitable<std::optional<Error>> answerWithoutCall(RequestContext &context, OnceStart start)
{
    Error error = makeError(ErrorCode::PlatformUnavailable, "the record of the idempotency key cannot be written");
    if (start.verdict == OnceVerdict::Replay) {
        HttpResponse response;
        response.status = start.existing.status;
        response.headers.push_back({"content-type", start.existing.contentType});
        response.body = std::move(start.existing.responseBody);
        co_return co_await relay(context, std::move(response));
    }
    if (start.verdict == OnceVerdict::Conflict) {
        error = makeError(ErrorCode::IdempotencyConflict, "the idempotency key was used for another request");
        error.param = "idempotency-key";
    }
    if (start.verdict == OnceVerdict::InProgress) {
        const std::string detail = start.existing.bodyOmitted ? "the first call was answered with status " + std::to_string(start.existing.status)
                                                                    + "; its response is too large to be kept"
                                                              : "the first call with this idempotency key has no recorded outcome";
        error = makeError(ErrorCode::IdempotencyInProgress, detail, RunState::Maybe);
        error.param = "idempotency-key";
    }
    co_return error;
}

asio::awaitable<std::optional<Error>> sendAndRelay(CallerServer::Impl &impl, RequestContext &context, OnceTicket ticket, bool repeatable)
{
    auto result = co_await sendServiceCall(impl, context, repeatable);
    co_await endOnce(impl, std::move(ticket), result);
    if (!isOk(result)) {
        co_return errorOf(result);
    }
    co_return co_await relay(context, std::move(valueOf(result)));
}

} // namespace

asio::awaitable<std::optional<Error>> executeServiceCall(CallerServer::Impl &impl, RequestContext &context)
{
    const ServiceSpec *service = findService(*context.workspace, context.subject);
    if (service == nullptr) {
        co_return makeError(ErrorCode::NotFound, "workspace has no service " + context.subject);
    }
    const ServiceCallSpec *call = findCall(*service, context.request.method, targetPath(context.rest));
    if (call == nullptr) {
        co_return makeError(ErrorCode::Forbidden, "workspace may not call " + context.request.method + " " + context.rest);
    }
    const std::string key(headerValue(context.request.headers, "idempotency-key"));
    if (key.empty() || call->repeatable || context.hops > 0) {
        OnceTicket unrecorded;
        co_return co_await sendAndRelay(impl, context, std::move(unrecorded), call->repeatable);
    }
    if (!isValidKey(key)) {
        Error error = makeError(ErrorCode::InvalidRequest, "the idempotency key must have up to 200 visible characters without a slash");
        error.param = "idempotency-key";
        co_return error;
    }
    OnceStart start = co_await beginOnce(impl, context, key);
    if (start.verdict != OnceVerdict::Execute && start.verdict != OnceVerdict::ExecuteUnrecorded) {
        co_return co_await answerWithoutCall(context, std::move(start));
    }
    co_return co_await sendAndRelay(impl, context, std::move(start.ticket), false);
}

} // namespace skylark
