/** @file clock_func.h Boot clock and wall clock. */
#pragma once

#include <chrono>

namespace skylark {

/** Monotonic clock for leases and timeouts. It includes the time the machine is suspended, unlike std::chrono::steady_clock on Linux. */
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): named by the standard's clock requirements.

    /** @return Time since boot. */
    static time_point now() noexcept;
};

using TimePoint = BootClock::time_point; ///< Point in time on the boot clock; decision functions receive it as an argument.
using UnixTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>; ///< Wall clock time, for due times and history.

/** @return Current wall clock time, in milliseconds. */
[[nodiscard]] UnixTime unixNow();

} // namespace skylark
