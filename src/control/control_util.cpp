/** @file control_util.cpp Timers, wake-ups and the rate limit of calls to the key-value service. */
#include "control/controller_func.h"
#include "core/hash_func.h"
#include "policy/lease_func.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto throttlePollInterval = 50ms; // Short against the 200 ms between two calls at the default rate of 5 calls a second.

PlatformLimits limitsOf(const Control::Impl &control)
{
    PlatformLimits limits;
    limits.callsPerSecond = std::max(1U, control.context.settings->platformCallsPerSecond);
    limits.burst = limits.callsPerSecond;
    return limits;
}

} // namespace

asio::awaitable<void> pauseFor(ControlPtr control, std::chrono::nanoseconds duration)
{
    asio::steady_timer timer(control->context.control, duration);
    co_await timer.async_wait(awaitTuple);
}

asio::awaitable<void> waitFor([[maybe_unused]] ControlPtr control, Wakeup &wakeup, std::chrono::nanoseconds limit)
{
    if (!wakeup.signalled) {
        wakeup.timer.expires_after(limit);
        co_await wakeup.timer.async_wait(awaitTuple);
    }
    wakeup.signalled = false;
}

void signal(Wakeup &wakeup)
{
    wakeup.signalled = true;
    wakeup.timer.cancel();
}

std::chrono::nanoseconds randomBelow(Control::Impl &control, std::chrono::nanoseconds limit)
{
    const auto bound = static_cast<std::uint64_t>(std::max<std::int64_t>(limit.count(), 1));
    return std::chrono::nanoseconds(static_cast<std::int64_t>(nextRandom(control.randomState) % bound));
}

asio::awaitable<void> acquirePlatformCall(ControlPtr control)
{
    const PlatformLimits limits = limitsOf(*control);
    while (!tryAcquirePlatformCall(control->platformThrottle, limits, BootClock::now())) {
        co_await pauseFor(control, throttlePollInterval);
    }
}

void recordPlatformResult(Control::Impl &control)
{
    const bool failing = control.platformThrottle.failingSince.has_value();
    const TimePoint now = BootClock::now();
    if (control.kv->reachable) {
        if (failing) {
            const auto outage = std::chrono::duration_cast<std::chrono::milliseconds>(now - *control.platformThrottle.failingSince);
            LOG(WARNING) << "[config] key-value service answers again after an outage of " << outage.count() << " ms";
        }
        recordPlatformAnswer(control.platformThrottle, limitsOf(control), now, control.randomState);
        return;
    }
    if (!failing) {
        LOG(WARNING) << "[config] key-value service does not answer; configuration revision " << control.config.revision.value << " stays in force";
    }
    recordPlatformFailure(control.platformThrottle, now);
}

} // namespace skylark
