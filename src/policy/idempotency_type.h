/** @file idempotency_type.h Record of a call that carries an idempotency key. */
#pragma once

#include "config/config_type.h"
#include "core/error_type.h"

#include <cstdint>
#include <optional>
#include <string>

namespace skylark {

/** Largest response body that a record stores, in bytes; the key-value service limits the size of a value and has little capacity. */
inline constexpr std::size_t maxRecordedBodyBytes = std::size_t{64} << 10U;

enum class IdempotencyState : std::uint8_t {
    Started, ///< The call may have been sent.
    Done, ///< The answer is recorded.
};

/** Value of the key "once/<workspace>/<idempotency key>" in the key-value service. */
struct IdempotencyRecord {
    IdempotencyState state{IdempotencyState::Started};
    std::string requestHash; ///< Hash of method, path with query, and body.
    HostId host; ///< Host that sends the call.
    int status{0}; ///< HTTP status of the answer; 0 while Started.
    std::string contentType;
    std::string responseBody; ///< Empty when bodyOmitted.
    bool bodyOmitted{false}; ///< Whether the body was larger than maxRecordedBodyBytes and is not stored.
    WriteId writeId; ///< Identifies the write that stored this value.
};

/** How a host handles a call that carries an idempotency key. */
enum class IdempotencyDecision : std::uint8_t {
    Execute, ///< Send the call; this host created the record.
    ExecuteUnrecorded, ///< Send the call without a record, so that a repetition is not recognised.
    Replay, ///< Answer with the recorded response.
    Conflict, ///< The key was used for a different request.
    InProgress, ///< Another call with this key has no recorded outcome, or its response body was not stored.
    Refuse, ///< The record cannot be written; the call is not sent.
};

} // namespace skylark
