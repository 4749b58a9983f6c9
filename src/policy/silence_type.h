/** @file silence_type.h Input of the decision how long a silent target is waited for. */
#pragma once

#include <chrono>

namespace skylark {

constexpr std::chrono::milliseconds maxSoundSilence{1500}; ///< Longest silence that is normal for a target; a longer one counts as a failure.

/** A request that waits for its target. */
struct SilenceInput {
    bool mayMove{false}; ///< Whether another target may run the request after this one.
    bool stream{false}; ///< Whether the answer is a stream of events.
    std::chrono::milliseconds timeLeft{0}; ///< Time left until the deadline of the request.
};

} // namespace skylark
