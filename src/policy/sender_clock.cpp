/** @file sender_clock.cpp Delay of messages whose sender states its own steady clock. */
#include "policy/sender_clock_func.h"

#include <algorithm>

namespace skylark {

std::chrono::milliseconds excessDelay(SenderClock &clock, std::uint64_t incarnation, std::chrono::milliseconds sentAt, TimePoint now)
{
    using std::chrono::milliseconds;
    if (sentAt == milliseconds(0)) {
        return milliseconds(0);
    }
    const auto difference = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) - sentAt;
    if (!clock.known || clock.incarnation != incarnation) {
        clock = {incarnation, difference, true};
    }
    clock.least = std::min(clock.least, difference);
    return difference - clock.least;
}

} // namespace skylark
