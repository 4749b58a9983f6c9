/** @file lease_type.h Session lease of a host and rate limit of its background calls to the key-value service. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"

#include <chrono>
#include <optional>

namespace skylark {

/** Timing parameters of the session lease. */
struct LeaseTiming {
    std::chrono::milliseconds ttl{10000}; ///< The service expires the lease this long after the last renewal that it executed.
    std::chrono::milliseconds renew{3000}; ///< Interval between renewals; leaves room for a second attempt before the deadline.
    std::chrono::milliseconds margin{2000}; ///< Time from the local deadline to the earliest expiry of the lease at the service; covers clock drift.
    std::chrono::milliseconds retry{250}; ///< Delay after the first failed renewal; it doubles up to the renewal interval.
};

/** Session lease as seen by this host. */
struct LeaseState {
    LeaseId lease; ///< Empty while the host holds no lease.
    TimePoint deadline{}; ///< Operations that need the lease are allowed before this time only.
    TimePoint lastSentAt{}; ///< When the last renewal or lease request was sent.
    unsigned failures{0}; ///< Failed attempts since the last success.
};

/** Rate limit and outage detection for background calls to the key-value service. */
struct PlatformLimits {
    double callsPerSecond{5}; ///< Sustained rate of one host.
    double burst{5}; ///< Capacity of the token bucket in calls.
    std::chrono::milliseconds outageAfter{5000}; ///< Failures over at least this time are an outage; a single lost answer is not.
    std::chrono::milliseconds resumeWindow{10000}; ///< After an outage, each host resumes at a random time within this window.
};

/** Outage detector and token bucket for a host's background calls to the key-value service. */
struct PlatformThrottle {
    std::optional<TimePoint> failingSince; ///< First failure since the last answer; empty while the service answers.
    TimePoint resumeAt{}; ///< No background call is sent before this time.
    double tokens{0}; ///< Tokens in the bucket; each call costs one.
    std::optional<TimePoint> refilledAt; ///< Time of the last refill; empty before the first call, which finds a full bucket.
};

} // namespace skylark
