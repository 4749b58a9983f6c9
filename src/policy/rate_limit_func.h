/** @file rate_limit_func.h Keeps the rate limits that targets name. */
#pragma once

#include "policy/rate_limit_type.h"

namespace skylark {

/** Counts a request that is about to be sent to @p target. */
void recordSend(RateLimitTable &table, const TargetId &target);

/**
 * Records what an answer said. An answer without a limit ends a limit only if its request was sent after the limit was last named, because answers on
 * different connections can overtake one another.
 * @param sentAt When the request was sent.
 * @return Whether the limit has changed.
 */
[[nodiscard]] bool observeAnswer(RateLimitTable &table, const LimitObservation &observation, TimePoint sentAt);

/** @return The limit of @p target; empty when it has named none. */
[[nodiscard]] std::optional<double> limitOf(const RateLimitTable &table, const TargetId &target);

} // namespace skylark
