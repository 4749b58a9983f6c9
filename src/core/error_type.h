/** @file error_type.h Typed errors of all modules. */
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace skylark {

/** Every failure that a module can report. The properties of each code are in table/error_table.h. */
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
    IdempotencyInProgress, ///< First call with this idempotency key has not recorded an outcome; it may have run.
    RevisionConflict, ///< Expected document revision is not the current one.
    InvalidDocument, ///< Template or workspace document fails validation.
    InvalidSettings, ///< Settings file fails validation.
    JobCancelled, ///< Job is cancelled.
    CallNotRepeatable, ///< Batch item names a call that must not be repeated.

    // Refusals: the request did not run.
    Overloaded, ///< Estimated wait exceeds the deadline.
    NoTarget, ///< No target can take the request.
    NotReady, ///< Host has no confirmed configuration yet, or is stopping.
    InsufficientReplicas, ///< Too few reachable failure domains to store a job.
    PlatformUnavailable, ///< Key-value service cannot be reached.
    RetryBudgetExhausted, ///< Retry budget is empty.
    LeaseExpired, ///< Lease deadline has passed; the effect was not attempted.
    StaleFencing, ///< A newer fencing number was seen.

    // Transport errors.
    ConnectFailed, ///< Connection could not be opened; no byte was sent.
    ConnectTimeout, ///< Connection was not opened in time; no byte was sent.
    SendFailed, ///< Connection failed while the request was being sent.
    FirstByteTimeout, ///< No answer within the first byte timeout.
    IdleTimeout, ///< Answer stopped arriving.
    StreamBroken, ///< Connection closed in the middle of an answer.
    ProtocolError, ///< Peer sent something that does not parse.
    ResponseMismatch, ///< Answer belongs to another request.
    TargetRejected, ///< Target answered with a 4xx status.
    TargetFailed, ///< Target answered with a 5xx status.
    TargetOverloaded, ///< Target says that it did not run the request.
    CallerGone, ///< Caller closed its connection.

    // Key-value service.
    VersionConflict, ///< Compare-and-swap found another version.
    OutcomeUnknown, ///< Write was sent, but its answer was lost.
    RateLimited, ///< Service refused because of its rate limit.

    // Batch items.
    AttemptsExhausted, ///< Item failed on the maximum number of attempts.
    SuspectedPoison, ///< Item was alone in flight when several targets died.

    // Local.
    StorageFailed, ///< Blob store failed.
    BlobNotFound, ///< No reachable copy of the blob.
    Timeout, ///< Operation did not finish in time.
    Cancelled, ///< Operation was cancelled.
    Internal, ///< Unexpected state.
};

/** Whether the request behind an error may have taken effect on a target. */
enum class RunState : std::uint8_t {
    No, ///< No byte of the request can have reached a target, or the target says that it did not run.
    Maybe, ///< It may have run.
};

/** One failure. */
struct Error {
    ErrorCode code{ErrorCode::Internal}; ///< Kind of failure.
    std::string detail; ///< Context for humans: names, positions, values.
    RunState run{RunState::No}; ///< Whether the request may have run.
    std::string param; ///< Offending parameter or position, if any.
    std::optional<std::chrono::milliseconds> retryAfter; ///< Suggested delay before a retry, if any.
};

} // namespace skylark
