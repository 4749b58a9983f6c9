/** @file sender_clock_func.h Delay of messages whose sender states its own steady clock. */
#pragma once

#include "core/clock_func.h"

#include <chrono>
#include <cstdint>

namespace skylark {

/** What a receiver knows of the steady clock of one sender. */
struct SenderClock {
    std::uint64_t incarnation{0}; ///< Run of the sender's process; another run may have another clock.
    std::chrono::milliseconds least{0}; ///< Smallest difference so far between the receiver's clock on arrival and the sender's clock.
    bool known{false}; ///< Whether a message of this incarnation has arrived.
};

/**
 * Adds one message. A receiver that was suspended reads old messages late; the ages in them have to be corrected by the result.
 * @param sentAt Clock of the sender; 0 when the message does not state it.
 * @return By how much the message took longer than the fastest one of the same sender.
 */
[[nodiscard]] std::chrono::milliseconds excessDelay(SenderClock &clock, std::uint64_t incarnation, std::chrono::milliseconds sentAt, TimePoint now);

} // namespace skylark
