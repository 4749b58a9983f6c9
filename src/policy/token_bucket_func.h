/** @file token_bucket_func.h Token bucket that bounds a rate and its bursts. */
#pragma once

#include "core/clock_func.h"

namespace skylark {

/** Tokens that accrue with time up to a capacity. */
struct TokenBucket {
    double tokens{0}; ///< Tokens at the time updatedAt; negative when more were taken than there were.
    double perSecond{0}; ///< Tokens added per second.
    double capacity{1}; ///< Largest number of tokens.
    TimePoint updatedAt{}; ///< Time of the last refill; TimePoint{} before the first one.
};

/** Adds the tokens that have accrued since the last refill; none before the first one. */
void refillTokens(TokenBucket &bucket, TimePoint now);

/** @return Number of tokens at @p now. */
[[nodiscard]] double tokensAt(const TokenBucket &bucket, TimePoint now);

} // namespace skylark
