/** @file lease_type.h State of a host's session lease and of its calls to the key-value service. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"

#include <chrono>
#include <optional>

namespace skylark {

/** Times of the session lease. */
struct LeaseTiming {
    std::chrono::milliseconds ttl{10000}; ///< The service drops the lease this long after the last renewal that it executed.
    std::chrono::milliseconds renew{3000}; ///< Interval between renewals; leaves room for a second attempt before the deadline.
    std::chrono::milliseconds margin{2000}; ///< Time between the local deadline and the earliest end of the lease at the service; covers clock drift.
    std::chrono::milliseconds retry{250}; ///< Delay after the first failed renewal; it doubles up to the renewal interval.
};

/** Session lease as this host knows it. */
struct LeaseState {
    LeaseId lease; ///< Lease held; empty without one.
    TimePoint deadline{}; ///< Effects are allowed before this time only.
    TimePoint lastSentAt{}; ///< When the last renewal or request for a lease was sent.
    unsigned failures{0}; ///< Failed attempts since the last success.
};

/** Bounds on background calls to the key-value service. */
struct PlatformLimits {
    double callsPerSecond{5}; ///< Long-term rate of one host.
    double burst{5}; ///< Calls that may be sent at once after a pause.
    std::chrono::milliseconds outageAfter{5000}; ///< Failures over at least this time are an outage; a single lost answer is not.
    std::chrono::milliseconds spread{10000}; ///< After an outage, hosts begin at random times within this time.
};

/** What a host knows of the key-value service's health, and its budget of background calls. */
struct PlatformGate {
    std::optional<TimePoint> failingSince; ///< First failure since the last answer.
    TimePoint resumeAt{}; ///< No background call before.
    double tokens{0}; ///< Calls that may be sent at once.
    std::optional<TimePoint> refilledAt; ///< When tokens was brought up to date; none before the first call, which finds a full bucket.
};

} // namespace skylark
