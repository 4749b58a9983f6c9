/** @file lease.cpp Session lease validity and renewal; rate limit of background calls to the key-value service. */
#include "policy/lease_func.h"

#include "core/hash_func.h"

#include <algorithm>

namespace skylark {

namespace {

using std::chrono::nanoseconds;

/** Prevents overflow of the retry delay; the renewal interval caps the delay earlier. */
constexpr unsigned maxDoublings = 16;

/** @return Random duration in [0, @p range). */
nanoseconds randomDuration(nanoseconds range, std::uint64_t &random)
{
    const std::uint64_t number = nextRandom(random);
    return range.count() <= 0 ? nanoseconds(0) : nanoseconds(static_cast<std::int64_t>(number % static_cast<std::uint64_t>(range.count())));
}

void refill(PlatformThrottle &throttle, const PlatformLimits &limits, TimePoint now)
{
    if (!throttle.refilledAt) {
        throttle.tokens = limits.burst;
        throttle.refilledAt = now;
        return;
    }
    if (now > *throttle.refilledAt) {
        const std::chrono::duration<double> passed = now - *throttle.refilledAt;
        throttle.tokens = std::min(limits.burst, throttle.tokens + passed.count() * limits.callsPerSecond);
        throttle.refilledAt = now;
    }
}

} // namespace

void recordLeaseAttempt(LeaseState &state, TimePoint now)
{
    state.lastSentAt = now;
}

void applyLeaseGrant(LeaseState &state, LeaseId lease, TimePoint sentAt, std::chrono::milliseconds ttl, std::chrono::milliseconds margin)
{
    state.lease = std::move(lease);
    state.deadline = sentAt + ttl - margin;
    state.failures = 0;
}

void applyLeaseRenewal(LeaseState &state, const LeaseId &lease, TimePoint sentAt, std::chrono::milliseconds ttl, std::chrono::milliseconds margin)
{
    if (state.lease.empty() || lease != state.lease) {
        return;
    }
    state.deadline = std::max(state.deadline, sentAt + ttl - margin);
    state.failures = 0;
}

void recordLeaseFailure(LeaseState &state)
{
    ++state.failures;
}

void applyLeaseEnd(LeaseState &state, const LeaseId &lease)
{
    if (lease != state.lease) {
        return;
    }
    state.lease = {};
    state.deadline = {};
}

bool isLeaseValid(const LeaseState &state, TimePoint now)
{
    return !state.lease.empty() && now < state.deadline;
}

bool leaseOutlasts(const LeaseState &state, TimePoint now, std::chrono::milliseconds duration)
{
    return !state.lease.empty() && now + duration < state.deadline;
}

TimePoint nextLeaseAttempt(const LeaseState &state, const LeaseTiming &timing, std::uint64_t &random)
{
    nanoseconds delay = timing.renew;
    if (state.failures > 0) {
        const unsigned doublings = std::min(state.failures - 1, maxDoublings);
        delay = std::min<nanoseconds>(timing.retry * (std::int64_t{1} << doublings), timing.renew);
    }
    return state.lastSentAt + delay - delay / 10 + randomDuration(delay / 5, random);
}

void recordPlatformAnswer(PlatformThrottle &throttle, const PlatformLimits &limits, TimePoint now, std::uint64_t &random)
{
    if (isPlatformDown(throttle, limits, now)) {
        throttle.resumeAt = now + randomDuration(limits.resumeWindow, random);
    }
    throttle.failingSince.reset();
}

void recordPlatformFailure(PlatformThrottle &throttle, TimePoint now)
{
    if (!throttle.failingSince) {
        throttle.failingSince = now;
    }
}

bool isPlatformDown(const PlatformThrottle &throttle, const PlatformLimits &limits, TimePoint now)
{
    return throttle.failingSince && now - *throttle.failingSince >= limits.outageAfter;
}

bool tryAcquirePlatformCall(PlatformThrottle &throttle, const PlatformLimits &limits, TimePoint now)
{
    refill(throttle, limits, now);
    if (now < throttle.resumeAt || isPlatformDown(throttle, limits, now) || throttle.tokens < 1) {
        return false;
    }
    throttle.tokens -= 1;
    return true;
}

} // namespace skylark
