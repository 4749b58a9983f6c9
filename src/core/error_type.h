/** @file error_type.h Error codes and error values of all modules. */
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace skylark {

/** Every failure that a module can report. table/error_table.h lists the name, HTTP status and properties of each code. */
enum class ErrorCode : std::uint8_t {
    // Caller errors.
    InvalidRequest, ///< Malformed request.
    Unauthorized, ///< Missing or unknown API key.
    Forbidden, ///< Key is known, but the workspace may not do this.
    NotFound, ///< No such object or path.
    ModelNotFound, ///< Workspace has no such model.
    PayloadTooLarge, ///< Body over the limit.
    HeaderTooLarge, ///< Request head over the limit.
    HeaderTimeout, ///< Request head arrived too slowly.
    JobKeyConflict, ///< Job key already used with different content.
    IdempotencyConflict, ///< Idempotency key already used with a different request.
    IdempotencyInProgress, ///< The first request with this idempotency key has no recorded outcome yet; it may have run.
    RevisionConflict, ///< Expected document revision is not the current one.
    InvalidDocument, ///< Template or workspace document fails validation.
    InvalidSettings, ///< Settings file fails validation.
    JobCancelled, ///< Job is cancelled.
    CallNotRepeatable, ///< Batch item names a call that must not be repeated.

    // Refused requests, which did not run.
    Overloaded, ///< Estimated wait exceeds the deadline.
    NoTarget, ///< No target can take the request.
    Quarantined, ///< The request or part of its prompt crashes targets and is quarantined.
    NotReady, ///< Host has no confirmed configuration yet, or is shutting down.
    InsufficientReplicas, ///< Too few reachable failure domains to store a job.
    PlatformUnavailable, ///< Key-value service cannot be reached.
    RetryBudgetExhausted, ///< Retry budget is empty.
    LeaseExpired, ///< Lease has expired; the operation was not attempted.
    StaleFencing, ///< Target has already seen a newer fencing number.

    // Transport errors.
    ConnectFailed, ///< Connection could not be opened; no byte was sent.
    ConnectTimeout, ///< Connection was not opened in time; no byte was sent.
    SendFailed, ///< Connection failed while the request was being sent.
    FirstByteTimeout, ///< No response head within the first byte timeout.
    IdleTimeout, ///< No further data of the response within the idle timeout.
    StreamBroken, ///< Connection closed in the middle of a response.
    ProtocolError, ///< Peer sent data that cannot be parsed.
    ResponseMismatch, ///< Response belongs to another request.
    TargetRejected, ///< Target answered with a 4xx status.
    TargetFailed, ///< Target answered with a 5xx status.
    TargetOverloaded, ///< Target reports that it is overloaded and did not run the request.
    CallerGone, ///< Caller closed its connection.

    // Key-value service.
    VersionConflict, ///< Compare-and-swap found another version.
    OutcomeUnknown, ///< Write was sent, but its response was lost.
    RateLimited, ///< Service refused the call because of its rate limit.

    // Batch items.
    AttemptsExhausted, ///< Item failed on the maximum number of attempts.

    // Local.
    StorageFailed, ///< Blob store failed.
    BlobNotFound, ///< No reachable copy of the blob.
    Timeout, ///< Operation did not finish in time.
    Cancelled, ///< Operation was cancelled.
    Internal, ///< Unexpected internal state.
};

/** Whether the request behind an error may have taken effect on a target. */
enum class RunState : std::uint8_t {
    No, ///< No byte of the request can have reached a target, or the target reports that the request did not run.
    Maybe, ///< The request may have run.
};

/** Description of one failure. */
struct Error {
    ErrorCode code{ErrorCode::Internal};
    std::string detail; ///< Human-readable context, such as names, positions and values.
    RunState run{RunState::No}; ///< Whether the request may have run.
    std::string param; ///< Invalid parameter or its position; empty if none.
    std::optional<std::chrono::milliseconds> retryAfter; ///< Suggested delay before a retry, if any.
    bool targetLeaving{false}; ///< Whether the target refused the request because it is leaving.
};

} // namespace skylark
