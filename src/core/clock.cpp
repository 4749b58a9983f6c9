/** @file clock.cpp Boot clock and wall clock. */
#include "core/clock_func.h"

#include <ctime>

namespace skylark {

BootClock::time_point BootClock::now() noexcept
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

UnixTime unixNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace skylark
