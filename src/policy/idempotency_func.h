/** @file idempotency_func.h Calls with an idempotency key, which run at most once. */
#pragma once

#include "core/result_type.h"
#include "policy/idempotency_type.h"

namespace skylark {

/** @return Key of the record in the key-value service. */
[[nodiscard]] std::string idempotencyRecordKey(const WorkspaceId &workspace, const std::string &idempotencyKey);

/**
 * @param requestTarget Path of the request, with its query.
 * @return Hash of the request; calls with equal hashes are the same request.
 */
[[nodiscard]] std::string idempotencyRequestHash(const std::string &method, const std::string &requestTarget, const std::string &body);

/** @return @p record as JSON. */
[[nodiscard]] std::string idempotencyRecordToJson(const IdempotencyRecord &record);

/** @return The record in @p text; ProtocolError when it is not a JSON object. */
[[nodiscard]] Result<IdempotencyRecord> idempotencyRecordFromJson(const std::string &text);

/**
 * @param existing Record that another call with the same key created.
 * @param requestHash Hash of this request.
 * @return How to handle this call.
 */
[[nodiscard]] IdempotencyDecision decideOnExistingRecord(const IdempotencyRecord &existing, const std::string &requestHash);

/**
 * @param failure Error of creating the record; empty when it was created.
 * @param policy The workspace's setting for calls whose record cannot be written.
 * @return How to handle the call; InProgress on VersionConflict: the record exists already.
 */
[[nodiscard]] IdempotencyDecision decideOnRecordCreation(const std::optional<ErrorCode> &failure, RecordUnavailable policy);

/** @return @p started as Done, with the answer; a @p body over maxRecordedBodyBytes is omitted. */
[[nodiscard]] IdempotencyRecord completeIdempotencyRecord(IdempotencyRecord started, int status, std::string contentType, std::string body, WriteId writeId);

} // namespace skylark
