/** @file once_type.h Record of a call that must run at most once. */
#pragma once

#include "config/config_type.h"
#include "core/error_type.h"

#include <cstdint>
#include <optional>
#include <string>

namespace skylark {

/** Largest response body that a record keeps; values of the key-value service are limited and its capacity is small. */
inline constexpr std::size_t onceBodyLimit = std::size_t{64} << 10U;

/** State of a record. */
enum class OnceState : std::uint8_t {
    Started, ///< The call may have been sent.
    Done, ///< The call was answered.
};

/** Value of the key "once/<workspace>/<idempotency key>". */
struct OnceRecord {
    OnceState state{OnceState::Started}; ///< State.
    std::string requestHash; ///< Hash of method, path and body.
    HostId host; ///< Host that made the call.
    int status{0}; ///< Status of the answer.
    std::string contentType; ///< Content type of the answer.
    std::string responseBody; ///< Body of the answer.
    bool bodyOmitted{false}; ///< Whether the body was over onceBodyLimit.
    WriteId writeId; ///< Recognises the write.
};

/** What a host does with a call that carries an idempotency key. */
enum class OnceVerdict : std::uint8_t {
    Execute, ///< Send it; the record is ours.
    ExecuteUnrecorded, ///< Send it without a record.
    Replay, ///< Answer with the stored response.
    Conflict, ///< The key was used for another request.
    InProgress, ///< Another call with this key has no recorded outcome, or one that was not kept.
    Refuse, ///< The record cannot be written; nothing was sent.
};

} // namespace skylark
