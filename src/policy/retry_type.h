/** @file retry_type.h Inputs and outcome of a retry decision. */
#pragma once

#include "core/clock_func.h"
#include "core/error_type.h"

#include <cstdint>
#include <string_view>

namespace skylark {

/** Token bucket that bounds retries to a share of the requests. */
struct RetryBudget {
    double tokens{10.0}; ///< Retries that may be made now.
    double perRequest{0.1}; ///< Earned by each request.
    double perSecond{2.0}; ///< Earned by time, so that a quiet host can retry.
    double capacity{50.0}; ///< Most tokens.
    TimePoint updatedAt{}; ///< Last refill.
};

/** State of a request after a failed attempt. */
struct RetryQuestion {
    ErrorCode code{ErrorCode::Internal}; ///< Failure of the last attempt.
    bool mayHaveRun{true}; ///< Whether any attempt so far may have run.
    bool repeatable{false}; ///< Whether the call may run more than once.
    bool resumable{false}; ///< Whether a broken answer can be continued elsewhere.
    unsigned tokensDelivered{0}; ///< Tokens that the caller has received.
    unsigned attempts{1}; ///< Attempts made.
    unsigned maxAttempts{4}; ///< Most attempts.
};

/** What to do after a failed attempt. */
enum class RetryVerdict : std::uint8_t {
    GiveUp, ///< Report the failure.
    Retry, ///< Send the request again from its beginning.
    Resume, ///< Continue the broken answer on another target.
};

} // namespace skylark
