/** @file clock_func.h Clocks. */
#pragma once

#include <chrono>

namespace skylark {

/** Clock for leases and timeouts. It counts suspended time, which std::chrono::steady_clock does not on Linux. */
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): named by the standard's clock requirements.

    /** @return Present time since boot. */
    static time_point now() noexcept;
};

using TimePoint = BootClock::time_point; ///< Point in time on the boot clock; the argument of all decisions.
using UnixTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>; ///< Wall clock time, for due times and history.

/** @return Present wall clock time in milliseconds. */
[[nodiscard]] UnixTime unixNow();

} // namespace skylark
