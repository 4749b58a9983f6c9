/** @file lease_func.h Decisions about the session lease and about background calls to the key-value service. */
#pragma once

#include "policy/lease_type.h"

namespace skylark {

/** Notes that a renewal, or a request for a new lease, is sent at @p now. */
void leaseAttempted(LeaseState &state, TimePoint now);

/**
 * Takes a new lease in place of a former one.
 * @param sentAt Clock value read before the request was sent; the service granted the lease later than that.
 */
void leaseGranted(LeaseState &state, LeaseId lease, TimePoint sentAt, std::chrono::milliseconds ttl, std::chrono::milliseconds margin);

/**
 * Extends the deadline to @p sentAt + @p ttl - @p margin. It never moves backwards, so answers may arrive in any order. The answer for a lease that is not
 * the one held is ignored.
 * @param sentAt Clock value read before the renewal was sent.
 */
void leaseRenewed(LeaseState &state, const LeaseId &lease, TimePoint sentAt, std::chrono::milliseconds ttl, std::chrono::milliseconds margin);

/** Notes a failed or unanswered attempt. The deadline stays as it is. */
void leaseAttemptFailed(LeaseState &state);

/** Notes that the service says that @p lease has ended; nothing is allowed until a new one is granted. The end of another lease is ignored. */
void leaseEnded(LeaseState &state, const LeaseId &lease);

/**
 * @param now Clock value read after the last suspension point and immediately before the effect; an older value proves nothing.
 * @return Whether an effect that needs the lease is allowed.
 */
[[nodiscard]] bool leaseAllows(const LeaseState &state, TimePoint now);

/** @return Whether the lease is certain to last for @p duration after @p now; for effects that can happen that much later than the check. */
[[nodiscard]] bool leaseOutlasts(const LeaseState &state, TimePoint now, std::chrono::milliseconds duration);

/**
 * @param random State of the random sequence; advanced.
 * @return When the next attempt is due: the renewal interval after the last one, or a growing delay after failures, both varied by 10 % so that hosts that
 * began together do not stay in step.
 */
[[nodiscard]] TimePoint leaseAttemptDue(const LeaseState &state, const LeaseTiming &timing, std::uint64_t &random);

/** Notes that a call got an answer of any kind. After an outage it draws the time before which no background call is sent. */
void platformAnswered(PlatformGate &gate, const PlatformLimits &limits, TimePoint now, std::uint64_t &random);

/** Notes that a call got no answer. */
void platformFailed(PlatformGate &gate, TimePoint now);

/** @return Whether an outage is under way; background calls wait until a lease renewal is answered. */
[[nodiscard]] bool platformDown(const PlatformGate &gate, const PlatformLimits &limits, TimePoint now);

/** Takes one background call from the budget. @return Whether it may be sent at @p now. Lease renewals do not ask. */
[[nodiscard]] bool takePlatformCall(PlatformGate &gate, const PlatformLimits &limits, TimePoint now);

} // namespace skylark
