/** @file error_table.h Name, HTTP status and other caller-visible properties of each error code. */
#pragma once

#include "core/error_type.h"

#include <array>
#include <string_view>

namespace skylark {

/** Properties of one error code. */
struct ErrorInfo {
    ErrorCode code;
    std::string_view name; ///< Name in logs, JSON and metrics.
    std::string_view type; ///< Error category in JSON responses.
    int status; ///< HTTP status returned to callers.
    bool mayHaveRun; ///< Whether an error of this code may ever carry RunState::Maybe.
    bool retryable; ///< Whether it makes sense to send the same request again later.
};

/** One row for each code, in the order of the enumeration. */
inline constexpr std::array errorTable{
    ErrorInfo{ErrorCode::InvalidRequest, "invalid_request", "invalid_request_error", 400, false, false},
    ErrorInfo{ErrorCode::Unauthorized, "invalid_api_key", "authentication_error", 401, false, false},
    ErrorInfo{ErrorCode::Forbidden, "forbidden", "permission_error", 403, false, false},
    ErrorInfo{ErrorCode::NotFound, "not_found", "invalid_request_error", 404, false, false},
    ErrorInfo{ErrorCode::ModelNotFound, "model_not_found", "invalid_request_error", 404, false, false},
    ErrorInfo{ErrorCode::PayloadTooLarge, "payload_too_large", "invalid_request_error", 413, false, false},
    ErrorInfo{ErrorCode::HeaderTooLarge, "header_too_large", "invalid_request_error", 431, false, false},
    ErrorInfo{ErrorCode::HeaderTimeout, "header_timeout", "invalid_request_error", 408, false, true},
    ErrorInfo{ErrorCode::JobKeyConflict, "job_key_conflict", "conflict_error", 409, false, false},
    ErrorInfo{ErrorCode::IdempotencyConflict, "idempotency_conflict", "conflict_error", 409, false, false},
    ErrorInfo{ErrorCode::IdempotencyInProgress, "idempotency_in_progress", "conflict_error", 409, true, true},
    ErrorInfo{ErrorCode::RevisionConflict, "revision_conflict", "conflict_error", 409, false, false},
    ErrorInfo{ErrorCode::InvalidDocument, "invalid_document", "invalid_request_error", 422, false, false},
    ErrorInfo{ErrorCode::InvalidSettings, "invalid_settings", "invalid_request_error", 422, false, false},
    ErrorInfo{ErrorCode::JobCancelled, "job_cancelled", "conflict_error", 409, false, false},
    ErrorInfo{ErrorCode::CallNotRepeatable, "call_not_repeatable", "invalid_request_error", 400, false, false},
    ErrorInfo{ErrorCode::Overloaded, "overloaded", "overloaded_error", 429, false, true},
    ErrorInfo{ErrorCode::NoTarget, "no_target", "overloaded_error", 503, false, true},
    ErrorInfo{ErrorCode::Quarantined, "quarantined", "unavailable_error", 503, false, true},
    ErrorInfo{ErrorCode::NotReady, "not_ready", "unavailable_error", 503, false, true},
    ErrorInfo{ErrorCode::InsufficientReplicas, "insufficient_replicas", "unavailable_error", 503, false, true},
    ErrorInfo{ErrorCode::PlatformUnavailable, "platform_unavailable", "unavailable_error", 503, false, true},
    ErrorInfo{ErrorCode::RetryBudgetExhausted, "retry_budget_exhausted", "overloaded_error", 503, true, true},
    ErrorInfo{ErrorCode::LeaseExpired, "lease_expired", "unavailable_error", 503, false, true},
    ErrorInfo{ErrorCode::StaleFencing, "stale_fencing", "conflict_error", 409, false, false},
    ErrorInfo{ErrorCode::ConnectFailed, "connect_failed", "unavailable_error", 503, false, true},
    ErrorInfo{ErrorCode::ConnectTimeout, "connect_timeout", "unavailable_error", 503, false, true},
    ErrorInfo{ErrorCode::SendFailed, "send_failed", "upstream_error", 502, true, true},
    ErrorInfo{ErrorCode::FirstByteTimeout, "first_byte_timeout", "upstream_error", 504, true, true},
    ErrorInfo{ErrorCode::IdleTimeout, "idle_timeout", "upstream_error", 504, true, true},
    ErrorInfo{ErrorCode::StreamBroken, "stream_broken", "upstream_error", 502, true, true},
    ErrorInfo{ErrorCode::ProtocolError, "protocol_error", "upstream_error", 502, true, false},
    ErrorInfo{ErrorCode::ResponseMismatch, "response_mismatch", "upstream_error", 502, true, false},
    ErrorInfo{ErrorCode::TargetRejected, "target_rejected", "invalid_request_error", 400, true, false},
    ErrorInfo{ErrorCode::TargetFailed, "target_failed", "upstream_error", 502, true, true},
    ErrorInfo{ErrorCode::TargetOverloaded, "target_overloaded", "overloaded_error", 503, false, true},
    ErrorInfo{ErrorCode::CallerGone, "caller_gone", "invalid_request_error", 499, true, false},
    ErrorInfo{ErrorCode::VersionConflict, "version_conflict", "conflict_error", 409, false, false},
    ErrorInfo{ErrorCode::OutcomeUnknown, "outcome_unknown", "unavailable_error", 503, true, true},
    ErrorInfo{ErrorCode::RateLimited, "rate_limited", "overloaded_error", 503, false, true},
    ErrorInfo{ErrorCode::AttemptsExhausted, "attempts_exhausted", "item_error", 502, true, false},
    ErrorInfo{ErrorCode::StorageFailed, "storage_failed", "unavailable_error", 503, false, true},
    ErrorInfo{ErrorCode::BlobNotFound, "blob_not_found", "unavailable_error", 503, false, true},
    ErrorInfo{ErrorCode::Timeout, "timeout", "upstream_error", 504, true, true},
    ErrorInfo{ErrorCode::Cancelled, "cancelled", "invalid_request_error", 499, true, false},
    ErrorInfo{ErrorCode::Internal, "internal", "server_error", 500, true, false},
};

static_assert(errorTable.size() == static_cast<std::size_t>(ErrorCode::Internal) + 1);

/** @return The row of @p code. */
[[nodiscard]] constexpr const ErrorInfo &errorInfo(ErrorCode code)
{
    return errorTable[static_cast<std::size_t>(code)];
}

} // namespace skylark
