/** @file lease_func.h Session lease validity and renewal; rate limit of background calls to the key-value service. */
#pragma once

#include "policy/lease_type.h"

namespace skylark {

/** Records that a renewal or a request for a new lease is sent at @p now. */
void recordLeaseAttempt(LeaseState &state, TimePoint now);

/**
 * Replaces the current lease by a newly granted one and resets the failure count.
 * @param sentAt Clock value read before the request was sent; the service granted the lease later than that.
 */
void applyLeaseGrant(LeaseState &state, LeaseId lease, TimePoint sentAt, std::chrono::milliseconds ttl, std::chrono::milliseconds margin);

/**
 * Extends the deadline to @p sentAt + @p ttl - @p margin. The deadline never moves backwards, so answers may arrive in any order. An answer for any lease
 * but the current one is ignored.
 * @param sentAt Clock value read before the renewal was sent.
 */
void applyLeaseRenewal(LeaseState &state, const LeaseId &lease, TimePoint sentAt, std::chrono::milliseconds ttl, std::chrono::milliseconds margin);

/** Records a failed or unanswered attempt. The deadline is unchanged. */
void recordLeaseFailure(LeaseState &state);

/** Drops the lease until a new one is granted, because the service reported the end of @p lease. Ignored when @p lease is not the current one. */
void applyLeaseEnd(LeaseState &state, const LeaseId &lease);

/**
 * @param now Clock value read after the last suspension point and immediately before the operation; with an older value the lease may have expired since.
 * @return Whether an operation that needs the lease is allowed.
 */
[[nodiscard]] bool isLeaseValid(const LeaseState &state, TimePoint now);

/** @return Whether the lease is certain to last for @p duration after @p now; for operations that may take effect that much later than the check. */
[[nodiscard]] bool leaseOutlasts(const LeaseState &state, TimePoint now, std::chrono::milliseconds duration);

/**
 * @param random State of the random number generator; advanced.
 * @return When the next attempt is due: the renewal interval after the last one, or an exponential backoff after failures. Both are varied at random by up to
 * 10 % either way, so that hosts that started together do not stay synchronised.
 */
[[nodiscard]] TimePoint nextLeaseAttempt(const LeaseState &state, const LeaseTiming &timing, std::uint64_t &random);

/** Records an answer of any kind to a call. After an outage, sets a random time before which no background call is sent. */
void recordPlatformAnswer(PlatformThrottle &throttle, const PlatformLimits &limits, TimePoint now, std::uint64_t &random);

/** Records that a call got no answer. */
void recordPlatformFailure(PlatformThrottle &throttle, TimePoint now);

/** @return Whether an outage is in progress; background calls are held back until a lease renewal is answered. */
[[nodiscard]] bool isPlatformDown(const PlatformThrottle &throttle, const PlatformLimits &limits, TimePoint now);

/** Takes one token from the bucket. @return Whether a background call may be sent at @p now. Lease renewals are not limited. */
[[nodiscard]] bool tryAcquirePlatformCall(PlatformThrottle &throttle, const PlatformLimits &limits, TimePoint now);

} // namespace skylark
