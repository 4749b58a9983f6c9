/** @file wait_bound.cpp Bound on the predicted wait of a request, and the order in which refused callers return. */
#include "policy/wait_bound_func.h"

#include <algorithm>
#include <cmath>

namespace skylark {

using std::chrono::milliseconds;

namespace {

constexpr double averageWeight = 0.05; ///< Weight of a new value in a moving average.
constexpr double recentSeconds = 0.5; ///< Time constant of the rate that notices a rise at once.
constexpr double longerSeconds = 3.0; ///< Time constant of the rate that outlasts short gaps.
constexpr double maxHostScale = 400.0; ///< Largest number of hosts whose requests are inferred from this host's own.
constexpr double maxLateLoad = 0.7; ///< Offered load up to which a request may be late: the queue is gone before other requests need the room.
constexpr double urgencyStep = 0.2; ///< Share of the wait that each step of the priority takes away.
constexpr double minUrgencyShare = 0.4; ///< Share of the wait that even the least urgent request has.
constexpr double minFreeShare = 0.25; ///< Share of the capacity that returning callers are taken to get in an overload, which lasts some seconds.
constexpr double minRoomShare = 0.1; ///< Share of the latency target that a request may wait even if targets usually take longer than it.
constexpr double usualServiceMs = 700.0; ///< Time that a request holds a slot, while nothing was measured.
constexpr milliseconds minReturnDelay{100}; ///< Shortest delay: the age of the other hosts' counts.

void count(EventRate &rate, double seconds, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - rate.countedAt).count();
    rate.count = 1.0 + rate.count * std::exp(-elapsed / seconds);
    rate.countedAt = now;
}

/** @return Events a second. */
double perSecond(const EventRate &rate, double seconds, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - rate.countedAt).count();
    return rate.count * std::exp(-elapsed / seconds) / seconds;
}

/** @return Requests of all hosts for each request of this host, at least 1. */
double hostScale(const ServiceLoad &load)
{
    return std::clamp((load.allOnline + 0.5) / (load.ownOnline + 0.5), 1.0, maxHostScale);
}

void average(double &value, double sample)
{
    value = value <= 0 ? sample : value + averageWeight * (sample - value);
}

double serviceMsOf(const ServiceLoad &load)
{
    return load.serviceMs > 0 ? load.serviceMs : usualServiceMs;
}

milliseconds toMilliseconds(double value)
{
    return milliseconds(std::llround(value));
}

} // namespace

void recordArrival(ServiceLoad &load, unsigned ownOnline, unsigned allOnline, TimePoint now)
{
    count(load.recent, recentSeconds, now);
    count(load.longer, longerSeconds, now);
    load.ownOnline += averageWeight * (ownOnline - load.ownOnline);
    load.allOnline += averageWeight * (allOnline - load.allOnline);
}

void recordServiceTime(ServiceLoad &load, std::chrono::nanoseconds first, std::chrono::nanoseconds whole)
{
    average(load.firstMs, std::max(1.0, std::chrono::duration<double, std::milli>(first).count()));
    average(load.serviceMs, std::max(1.0, std::chrono::duration<double, std::milli>(whole).count()));
}

double offeredLoad(const ServiceLoad &load, unsigned slots, TimePoint now)
{
    const double rate = std::max(perSecond(load.recent, recentSeconds, now), perSecond(load.longer, longerSeconds, now));
    return rate * hostScale(load) * serviceMsOf(load) / 1000.0 / std::max(1U, slots);
}

AllowedWait allowedWait(const ServiceLoad &load, const WaitBoundInput &input, TimePoint now)
{
    const double left = static_cast<double>((input.latencyTarget - input.elapsed).count()) - load.firstMs;
    const double room =
        std::max(left, minRoomShare * static_cast<double>(input.latencyTarget.count())) * std::max(minUrgencyShare, 1.0 - urgencyStep * input.priority);
    if (offeredLoad(load, input.slots, now) > maxLateLoad) {
        return {toMilliseconds(room), milliseconds(0)};
    }
    // Half of the time is left for a wait that is longer than predicted.
    const double late = (static_cast<double>(input.timeLeft.count()) - load.firstMs - serviceMsOf(load)) / 2;
    return {toMilliseconds(room), toMilliseconds(std::max(0.0, late))};
}

milliseconds returnDelay(ServiceLoad &load, const ReturnInput &input, TimePoint now)
{
    const double freeShare = std::clamp(1.0 - offeredLoad(load, input.slots, now), minFreeShare, 1.0);
    const double distance = serviceMsOf(load) * hostScale(load) / std::max(1U, input.slots) / freeShare;
    const TimePoint room = now + std::max(minReturnDelay, input.shortestWait - input.allowedWait);
    const TimePoint latest = now + std::max(minReturnDelay, input.timeLeft / 3);
    const TimePoint next = load.promisedUntil + std::chrono::microseconds(std::llround(distance * 1000));
    load.promisedUntil = std::min(std::max(room, next), latest);
    return std::chrono::duration_cast<milliseconds>(load.promisedUntil - now);
}

} // namespace skylark
