/** @file control_util.cpp Timing, wake-ups and the gate to the key-value service. */
#include "control/controller_func.h"
#include "core/hash_func.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::nanoseconds longestSpread = 10s; // Spreads 360 hosts over the service's 2,000 reads a second.
constexpr std::chrono::nanoseconds shortOutage = 5s; // A single lost answer must not delay the configuration beyond the 5 s of P9.
constexpr auto outagePoll = 100ms;

/** @return The time to wait before the next background call, zero when it may be made now. */
std::chrono::nanoseconds gateDelay(PlatformGate &gate, double rate, TimePoint now)
{
    if (gate.down) {
        return outagePoll;
    }
    if (now < gate.openAt) {
        return gate.openAt - now;
    }
    const double elapsed = std::chrono::duration<double>(now - gate.refilledAt).count();
    gate.tokens = std::min(rate, gate.tokens + elapsed * rate);
    gate.refilledAt = now;
    if (gate.tokens >= 1.0) {
        gate.tokens -= 1.0;
        return 0ns;
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>((1.0 - gate.tokens) / rate)) + 1ms;
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
    return std::chrono::nanoseconds(static_cast<std::int64_t>(nextRandom(control.random) % bound));
}

asio::awaitable<void> awaitPlatform(ControlPtr control)
{
    const double rate = std::max(1U, control->context.settings->platformCallsPerSecond);
    for (;;) {
        const auto delay = gateDelay(control->gate, rate, BootClock::now());
        if (delay <= 0ns) {
            co_return;
        }
        co_await pauseFor(control, delay);
    }
}

void notePlatform(Control::Impl &control)
{
    PlatformGate &gate = control.gate;
    const TimePoint now = BootClock::now();
    if (!control.kv->reachable && !gate.down) {
        gate.down = true;
        gate.downSince = now;
        signal(control.leaseWakeup); // The lease controller makes the only calls during an outage.
        LOG(WARNING) << "[config] key-value service does not answer; configuration revision " << control.config.revision.value << " stays in force";
    } else if (control.kv->reachable && gate.down) {
        gate.down = false;
        const auto outage = now - gate.downSince;
        gate.openAt = outage < shortOutage ? now : now + randomBelow(control, std::min<std::chrono::nanoseconds>(longestSpread, outage));
        LOG(WARNING) << "[config] key-value service answers again after " << std::chrono::duration_cast<std::chrono::seconds>(outage).count() << " s";
    }
}

} // namespace skylark
