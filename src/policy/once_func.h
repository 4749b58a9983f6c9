/** @file once_func.h Decisions about calls that must run at most once. */
#pragma once

#include "core/result_type.h"
#include "policy/once_type.h"

namespace skylark {

/** @return Key of the record. */
[[nodiscard]] std::string onceKey(const WorkspaceId &workspace, const std::string &idempotencyKey);

/** @return Hash that tells whether two calls are the same. */
[[nodiscard]] std::string onceRequestHash(const std::string &method, const std::string &target, const std::string &body);

/** @return JSON text of @p record. */
[[nodiscard]] std::string onceToJson(const OnceRecord &record);

/** @return The record in @p text; ProtocolError when it does not parse. */
[[nodiscard]] Result<OnceRecord> onceFromJson(const std::string &text);

/** Decides by the record that another call left. */
[[nodiscard]] OnceVerdict decideByRecord(const OnceRecord &existing, const std::string &requestHash);

/**
 * Decides by the outcome of creating the record.
 * @param failure Empty when the record was created.
 */
[[nodiscard]] OnceVerdict decideByWrite(const std::optional<ErrorCode> &failure, RecordUnavailable policy);

/** @return The record after the call was answered. */
[[nodiscard]] OnceRecord onceAnswered(OnceRecord started, int status, std::string contentType, std::string body, WriteId writeId);

} // namespace skylark
