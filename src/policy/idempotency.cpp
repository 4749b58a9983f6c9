/** @file idempotency.cpp Calls with an idempotency key, which run at most once. */
#include "policy/idempotency_func.h"

#include "core/hash_func.h"
#include "core/invariant_func.h"

#include <boost/json.hpp>

namespace skylark {

namespace json = boost::json;

namespace {

std::string textOf(const json::object &object, std::string_view name)
{
    const json::value *found = object.if_contains(name);
    return found != nullptr && found->is_string() ? std::string(found->get_string()) : std::string();
}

} // namespace

std::string idempotencyRecordKey(const WorkspaceId &workspace, const std::string &idempotencyKey)
{
    return "once/" + workspace.value + "/" + idempotencyKey;
}

std::string idempotencyRequestHash(const std::string &method, const std::string &requestTarget, const std::string &body)
{
    return hash128Hex(method + "\n" + requestTarget + "\n" + body);
}

std::string idempotencyRecordToJson(const IdempotencyRecord &record)
{
    json::object object;
    object["state"] = record.state == IdempotencyState::Done ? "done" : "started";
    object["requestHash"] = record.requestHash;
    object["host"] = record.host.value;
    object["writeId"] = record.writeId.value;
    if (record.state == IdempotencyState::Done) {
        object["status"] = record.status;
        object["contentType"] = record.contentType;
        object["responseBody"] = record.responseBody;
        object["bodyOmitted"] = record.bodyOmitted;
    }
    return json::serialize(object);
}

Result<IdempotencyRecord> idempotencyRecordFromJson(const std::string &text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return makeError(ErrorCode::ProtocolError, "record of an idempotency key is not a JSON object");
    }
    const json::object &object = value.get_object();
    IdempotencyRecord record;
    record.state = textOf(object, "state") == "done" ? IdempotencyState::Done : IdempotencyState::Started;
    record.requestHash = textOf(object, "requestHash");
    record.host.value = textOf(object, "host");
    record.writeId.value = textOf(object, "writeId");
    record.contentType = textOf(object, "contentType");
    record.responseBody = textOf(object, "responseBody");
    if (const json::value *status = object.if_contains("status"); status != nullptr && status->is_int64()) {
        record.status = static_cast<int>(status->get_int64());
    }
    if (const json::value *omitted = object.if_contains("bodyOmitted"); omitted != nullptr && omitted->is_bool()) {
        record.bodyOmitted = omitted->get_bool();
    }
    return record;
}

IdempotencyDecision decideOnExistingRecord(const IdempotencyRecord &existing, const std::string &requestHash)
{
    if (existing.requestHash != requestHash) {
        return IdempotencyDecision::Conflict;
    }
    return existing.state == IdempotencyState::Done && !existing.bodyOmitted ? IdempotencyDecision::Replay : IdempotencyDecision::InProgress;
}

IdempotencyDecision decideOnRecordCreation(const std::optional<ErrorCode> &failure, RecordUnavailable policy)
{
    if (!failure) {
        return IdempotencyDecision::Execute;
    }
    // Another call created the record; the workspace's policy for outages does not apply.
    if (*failure == ErrorCode::VersionConflict) {
        return IdempotencyDecision::InProgress;
    }
    return policy == RecordUnavailable::Pass ? IdempotencyDecision::ExecuteUnrecorded : IdempotencyDecision::Refuse;
}

IdempotencyRecord completeIdempotencyRecord(IdempotencyRecord started, int status, std::string contentType, std::string body, WriteId writeId)
{
    SKY_INVARIANT(Promise::AtMostOnce, started.state == IdempotencyState::Started);
    started.state = IdempotencyState::Done;
    started.status = status;
    started.contentType = std::move(contentType);
    started.bodyOmitted = body.size() > maxRecordedBodyBytes;
    started.responseBody = started.bodyOmitted ? std::string() : std::move(body);
    started.writeId = std::move(writeId);
    return started;
}

} // namespace skylark
