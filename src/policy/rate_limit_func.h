/** @file rate_limit_func.h Keeps the rate limits that targets name, and divides each among the hosts. */
#pragma once

#include "policy/rate_limit_type.h"

namespace skylark {

/** Sets the hosts among which limits are divided. A host that becomes a sender of a target starts without a token. */
void setSenders(RateLimitTable &table, std::vector<HostId> hosts, TimePoint now);

/** Counts a request that is about to be sent to @p target, and takes its token if the target has a limit. */
void recordSend(RateLimitTable &table, const TargetId &target, TimePoint now);

/**
 * Records what an answer said. An answer without a limit ends a limit only if its request was sent after the limit was last named, because answers on
 * different connections can overtake one another.
 * @param sentAt When the request was sent.
 * @return Whether the limit has changed.
 */
[[nodiscard]] bool observeAnswer(RateLimitTable &table, const LimitObservation &observation, TimePoint sentAt);

/** Adds what another host announced. @return Whether the limit has changed. */
[[nodiscard]] bool mergeObservation(RateLimitTable &table, const LimitObservation &observation, TimePoint now);

/** @return The own observations of targets that have named a limit to this host lately, also that a limit has ended. */
[[nodiscard]] std::vector<LimitObservation> limitsToAnnounce(const RateLimitTable &table, TimePoint now);

/** @return The limit of @p target in requests a second; empty when it has named none. */
[[nodiscard]] std::optional<double> limitOf(const RateLimitTable &table, const TargetId &target);

/** @return This host's place among the hosts for @p target, by rendezvous hashing; empty when this host is not one of them. */
[[nodiscard]] std::optional<std::size_t> rankOf(const RateLimitTable &table, const TargetId &target);

/**
 * @return This host's share of the limit of a target. The hosts with the lowest ranks share it equally, so few that even if each of them sends a burst at
 * once the sum stays near the limit.
 */
[[nodiscard]] LimitShare shareOf(const RateLimitTable &table, const TargetRate &rate);

/** @return Whether this host may send a request of @p kind to @p target now. */
[[nodiscard]] bool maySend(const RateLimitTable &table, const TargetId &target, StreamKind kind, TimePoint now);

} // namespace skylark
