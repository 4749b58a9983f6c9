/** @file retry_type.h Input and outcome of a retry decision. */
#pragma once

#include "core/clock_func.h"
#include "core/error_type.h"
#include "policy/token_bucket_func.h"

#include <cstdint>
#include <string_view>

namespace skylark {

/** Token bucket that limits retries to a share of the requests. */
struct RetryBudget {
    TokenBucket bucket{.tokens = 10.0, .perSecond = 2.0, .capacity = 50.0}; ///< Each retry costs one token; the rate lets a host with little traffic retry.
    double tokensPerRequest{0.1}; ///< Tokens added by each request.
};

/** State of a request after a failed attempt. */
struct RetryInput {
    ErrorCode code{ErrorCode::Internal}; ///< Failure of the last attempt.
    bool mayHaveRun{true}; ///< Whether any attempt so far may have been executed.
    bool repeatable{false}; ///< Whether the call may be executed more than once.
    bool resumable{false}; ///< Whether a broken stream can be continued on another target.
    unsigned tokensDelivered{0}; ///< Output tokens that the caller has received.
    unsigned attempts{1}; ///< Attempts made so far.
    unsigned maxAttempts{4};
};

/** What to do after a failed attempt. */
enum class RetryDecision : std::uint8_t {
    GiveUp, ///< Report the failure to the caller.
    Retry, ///< Send the request again from the beginning.
    Resume, ///< Continue the broken stream on another target.
};

} // namespace skylark
