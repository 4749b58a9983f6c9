/** @file retry_type.h Input and outcome of a retry decision. */
#pragma once

#include "core/clock_func.h"
#include "core/error_type.h"

#include <cstdint>
#include <string_view>

namespace skylark {

/** Token bucket that limits retries to a share of the requests. */
struct RetryBudget {
    double tokens{10.0}; ///< Each retry costs one token.
    double tokensPerRequest{0.1}; ///< Tokens added by each request.
    double tokensPerSecond{2.0}; ///< Tokens added per second, so that a host with little traffic can retry.
    double capacity{50.0}; ///< Largest number of tokens.
    TimePoint updatedAt{}; ///< Time of the last refill.
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
