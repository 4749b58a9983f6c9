/** @file once_func.h Calls with an idempotency key, which run at most once. */
#pragma once

#include "core/result_type.h"
#include "policy/once_type.h"

namespace skylark {

/** @return Key of the record in the key-value service. */
[[nodiscard]] std::string onceKey(const WorkspaceId &workspace, const std::string &idempotencyKey);

/** @return Hash of the request; calls with equal hashes are the same request. */
[[nodiscard]] std::string onceRequestHash(const std::string &method, const std::string &target, const std::string &body);

/** @return @p record as JSON. */
[[nodiscard]] std::string onceToJson(const OnceRecord &record);

/** @return The record in @p text; ProtocolError when it is not a JSON object. */
[[nodiscard]] Result<OnceRecord> onceFromJson(const std::string &text);

/**
 * @param existing Record that another call with the same key created.
 * @param requestHash Hash of this request.
 * @return How to handle this call.
 */
[[nodiscard]] OnceVerdict decideByRecord(const OnceRecord &existing, const std::string &requestHash);

/**
 * @param failure Error of creating the record; empty when it was created.
 * @param policy The workspace's setting for calls whose record cannot be written.
 * @return How to handle the call; InProgress on VersionConflict: the record exists already.
 */
[[nodiscard]] OnceVerdict decideByWrite(const std::optional<ErrorCode> &failure, RecordUnavailable policy);

/** @return @p started as Done, with the answer; a @p body over maxRecordedBodyBytes is omitted. */
[[nodiscard]] OnceRecord onceAnswered(OnceRecord started, int status, std::string contentType, std::string body, WriteId writeId);

} // namespace skylark
