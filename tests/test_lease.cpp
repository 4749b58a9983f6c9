/** @file test_lease.cpp Tests of the session lease and the rate limit of background calls. */
#include "core/hash_func.h"
#include "policy/lease_func.h"
#include "support/property_func.h"

#include <algorithm>
#include <map>

using namespace skylark;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/** Simulated key-value service that holds one lease. */
struct LeaseService {
    LeaseId current; ///< Latest lease granted.
    TimePoint expiresAt{}; ///< When that lease expires.
    int granted{0}; ///< Number of leases granted.

    LeaseId grant(TimePoint now, milliseconds ttl)
    {
        this->current.value = "lease-" + std::to_string(++this->granted);
        this->expiresAt = now + ttl;
        return this->current;
    }
    bool renew(const LeaseId &lease, TimePoint now, milliseconds ttl)
    {
        if (lease != this->current || now >= this->expiresAt) {
            return false;
        }
        this->expiresAt = now + ttl;
        return true;
    }
};

/** A renewal whose answer has not been delivered; it may never be. */
struct Renewal {
    LeaseId lease;
    TimePoint sentAt; ///< Clock value read before sending.
    bool accepted{false}; ///< Whether the service renewed the lease.
};

/** A host and the service on a simulated clock; the property chooses each step. */
struct LeaseFixture {
    LeaseTiming timing;
    TimePoint now{1000s}; ///< Simulated time.
    LeaseState state; ///< Lease as seen by the host.
    LeaseService service;
    std::vector<Renewal> pending; ///< Renewals whose answers have not been delivered.
    std::map<LeaseId, TimePoint> lastSuccess; ///< Sending time of the last accepted request whose answer was delivered, by lease.

    void reset()
    {
        *this = LeaseFixture();
    }

    void applyAnswer(const Renewal &renewal)
    {
        if (!renewal.accepted) {
            applyLeaseEnd(this->state, renewal.lease);
            return;
        }
        applyLeaseRenewal(this->state, renewal.lease, renewal.sentAt, this->timing.ttl, this->timing.margin);
        TimePoint &last = this->lastSuccess[renewal.lease];
        last = std::max(last, renewal.sentAt);
    }

    void acquire(milliseconds pause)
    {
        const TimePoint sentAt = this->now;
        this->now += pause;
        const LeaseId lease = this->service.grant(this->now, this->timing.ttl);
        this->now += pause;
        applyLeaseGrant(this->state, lease, sentAt, this->timing.ttl, this->timing.margin);
        this->lastSuccess[lease] = sentAt;
    }

    /** Reads the clock and renews the lease at the service @p pause later. */
    void sendRenewal(milliseconds pause)
    {
        const TimePoint sentAt = this->now;
        recordLeaseAttempt(this->state, sentAt);
        this->now += pause;
        const bool accepted = this->service.renew(this->state.lease, this->now, this->timing.ttl);
        this->pending.push_back({this->state.lease, sentAt, accepted});
    }

    /** Delivers or loses one answer. @param outcome 0: lost; 1: delivered, and may be delivered again; otherwise delivered once. */
    void deliverAnswer(std::size_t index, int outcome)
    {
        if (this->pending.empty()) {
            return;
        }
        const auto chosen = this->pending.begin() + static_cast<std::ptrdiff_t>(index % this->pending.size());
        if (outcome == 0) {
            recordLeaseFailure(this->state);
        } else {
            applyAnswer(*chosen);
        }
        if (outcome != 1) {
            this->pending.erase(chosen);
        }
    }

    /** Checks that the lease really is valid at the service when the state allows an operation. */
    void checkEffects(milliseconds pause)
    {
        if (isLeaseValid(this->state, this->now)) {
            RC_ASSERT(this->now < this->lastSuccess.at(this->state.lease) + this->timing.ttl - this->timing.margin);
            RC_ASSERT(this->service.current == this->state.lease);
            RC_ASSERT(this->now + this->timing.margin < this->service.expiresAt);
        }
        // Pause between check and effect: a target drops an order that arrives later than the duration that the check covers.
        const milliseconds covered = 1000ms;
        const bool checked = leaseOutlasts(this->state, this->now, covered);
        this->now += pause;
        if (checked && pause <= covered) {
            RC_ASSERT(this->now < this->lastSuccess.at(this->state.lease) + this->timing.ttl - this->timing.margin);
        }
    }
};

milliseconds generatePause()
{
    return milliseconds(*rc::gen::oneOf(rc::gen::inRange(0, 50), rc::gen::inRange(0, 500), rc::gen::inRange(0, 3000), rc::gen::inRange(0, 15000)));
}

} // namespace

// Guards Promise::FencedOrder (P11): no operation is allowed after the deadline when renewal answers are late, lost, repeated or reordered, or the host is
// paused at any point.
TEST_CASE_METHOD(LeaseFixture, "isLeaseValid_anyAnswersAndPauses_neverPastDeadline")
{
    int allowed = 0;
    REQUIRE(propertyHolds({.seed = 21, .cases = 500}, [this, &allowed] {
        reset();
        acquire(0ms);
        const int steps = *rc::gen::inRange(20, 80);
        for (int i = 0; i < steps; ++i) {
            const int action = *rc::gen::inRange(0, 10);
            if (action == 0 && (this->state.lease.empty() || this->now >= this->service.expiresAt)) {
                acquire(generatePause());
            } else if (action <= 3 && !this->state.lease.empty()) {
                sendRenewal(generatePause());
            } else if (action <= 6) {
                deliverAnswer(static_cast<std::size_t>(*rc::gen::inRange(0, 100)), *rc::gen::inRange(0, 4));
            } else {
                allowed += isLeaseValid(this->state, this->now) ? 1 : 0;
                checkEffects(generatePause());
            }
        }
    }));
    // The property would also hold for a lease that is never valid.
    CHECK(allowed > 500);
}

// Guards against an answer for a former lease that makes an ended lease valid again, and against a deadline that moves backwards.
TEST_CASE_METHOD(LeaseFixture, "applyLeaseRenewal_lateAnswers_ignoredOrHarmless")
{
    const LeaseId first{"one"};
    CHECK(!isLeaseValid(this->state, this->now));
    applyLeaseGrant(this->state, first, this->now, this->timing.ttl, this->timing.margin);
    applyLeaseRenewal(this->state, first, this->now + 5s, this->timing.ttl, this->timing.margin);
    applyLeaseRenewal(this->state, first, this->now + 3s, this->timing.ttl, this->timing.margin);
    CHECK(isLeaseValid(this->state, this->now + 13s - 1ns));
    CHECK(!isLeaseValid(this->state, this->now + 13s));
    CHECK(leaseOutlasts(this->state, this->now, 12s));
    CHECK(!leaseOutlasts(this->state, this->now, 13s));
    applyLeaseEnd(this->state, LeaseId{"other"});
    CHECK(isLeaseValid(this->state, this->now));
    applyLeaseEnd(this->state, first);
    applyLeaseRenewal(this->state, first, this->now + 6s, this->timing.ttl, this->timing.margin);
    CHECK(!isLeaseValid(this->state, this->now));
    applyLeaseGrant(this->state, LeaseId{"two"}, this->now, this->timing.ttl, this->timing.margin);
    applyLeaseRenewal(this->state, first, this->now + 9s, this->timing.ttl, this->timing.margin);
    CHECK(!isLeaseValid(this->state, this->now + 8s));
}

// Guards against a lease that expires because one or two renewals were lost, and against hosts that renew at the same time.
TEST_CASE_METHOD(LeaseFixture, "nextLeaseAttempt_failures_retriedWithinDeadline")
{
    REQUIRE(propertyHolds({.seed = 22, .cases = 300}, [this] {
        std::uint64_t random = *rc::gen::arbitrary<std::uint64_t>();
        LeaseState held;
        applyLeaseGrant(held, LeaseId{"one"}, this->now, this->timing.ttl, this->timing.margin);
        recordLeaseAttempt(held, this->now);
        const auto first = nextLeaseAttempt(held, this->timing, random) - this->now;
        RC_ASSERT(first >= this->timing.renew * 9 / 10);
        RC_ASSERT(first < this->timing.renew * 11 / 10);
        TimePoint at = this->now + first;
        int attempts = 0;
        for (; at < held.deadline; ++attempts) {
            recordLeaseAttempt(held, at);
            recordLeaseFailure(held);
            const TimePoint due = nextLeaseAttempt(held, this->timing, random);
            RC_ASSERT(due > at);
            RC_ASSERT(due - at <= this->timing.renew * 11 / 10);
            at = due;
        }
        RC_ASSERT(attempts >= 4);
    }));
    LeaseState old;
    old.failures = 1000000;
    std::uint64_t random = 1;
    CHECK(nextLeaseAttempt(old, this->timing, random) - old.lastSentAt <= this->timing.renew * 11 / 10);
}

// Guards against a thundering herd after an outage: the first calls of 360 hosts are spread over 10 s, and each host keeps to its rate.
TEST_CASE("platformThrottle_outageEnds_callsSpread")
{
    const PlatformLimits limits;
    const TimePoint start{5000s};
    std::map<std::int64_t, int> firstCalls;
    std::uint64_t random = 42;
    for (int host = 0; host < 360; ++host) {
        PlatformThrottle throttle;
        CHECK(tryAcquirePlatformCall(throttle, limits, start - 3600s));
        recordPlatformFailure(throttle, start - 3600s);
        recordPlatformFailure(throttle, start - 1s);
        CHECK(!tryAcquirePlatformCall(throttle, limits, start - 1s));
        recordPlatformAnswer(throttle, limits, start, random);
        int calls = 0;
        for (TimePoint now = start; now < start + 20s; now += 10ms) {
            if (tryAcquirePlatformCall(throttle, limits, now) && ++calls == 1) {
                ++firstCalls[std::chrono::duration_cast<std::chrono::seconds>(now - start).count()];
            }
        }
        CHECK(calls <= 20 * 5 + 5);
        CHECK(calls >= 10 * 5);
    }
    CHECK(firstCalls.size() == 10);
    for (const auto &[second, count] : firstCalls) {
        CHECK(count < 72);
    }
}

// Guards against a single lost answer that is treated as an outage and delays background calls such as a configuration watch.
TEST_CASE("platformThrottle_singleFailure_noWait")
{
    const PlatformLimits limits;
    const TimePoint start{5000s};
    std::uint64_t random = 1;
    PlatformThrottle throttle;
    recordPlatformFailure(throttle, start);
    CHECK(!isPlatformDown(throttle, limits, start + 1s));
    CHECK(tryAcquirePlatformCall(throttle, limits, start + 1s));
    recordPlatformAnswer(throttle, limits, start + 1s, random);
    CHECK(tryAcquirePlatformCall(throttle, limits, start + 1s));
    CHECK(!isPlatformDown(throttle, limits, start + 3600s));
}

// Guards against more calls in any time span than the rate and the burst allow.
TEST_CASE("platformThrottle_anyCalls_withinRate")
{
    REQUIRE(propertyHolds({.seed = 23, .cases = 300}, [] {
        const PlatformLimits limits;
        PlatformThrottle throttle;
        TimePoint now{1000s};
        std::vector<TimePoint> callTimes;
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 700))) {
            now += milliseconds(step);
            for (int i = 0; i < 3; ++i) {
                if (tryAcquirePlatformCall(throttle, limits, now)) {
                    callTimes.push_back(now);
                }
            }
        }
        for (std::size_t from = 0; from < callTimes.size(); ++from) {
            for (std::size_t to = from; to < callTimes.size(); ++to) {
                const std::chrono::duration<double> span = callTimes[to] - callTimes[from];
                RC_ASSERT(static_cast<double>(to - from + 1) <= limits.burst + limits.callsPerSecond * span.count() + 1e-6);
            }
        }
    }));
}
