/** @file token_bucket.cpp Token bucket that bounds a rate and its bursts. */
#include "policy/token_bucket_func.h"

#include <algorithm>
#include <chrono>

namespace skylark {

double tokensAt(const TokenBucket &bucket, TimePoint now)
{
    const bool elapsed = bucket.updatedAt != TimePoint{} && now > bucket.updatedAt;
    const double seconds = elapsed ? std::chrono::duration<double>(now - bucket.updatedAt).count() : 0.0;
    return std::min(bucket.tokens + seconds * bucket.perSecond, bucket.capacity);
}

void refillTokens(TokenBucket &bucket, TimePoint now)
{
    bucket.tokens = tokensAt(bucket, now);
    bucket.updatedAt = std::max(bucket.updatedAt, now);
}

} // namespace skylark
