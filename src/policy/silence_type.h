/** @file silence_type.h Input of the decision how long a silent target is waited for. */
#pragma once

#include "core/clock_func.h"

#include <chrono>
#include <optional>

namespace skylark {

constexpr std::chrono::milliseconds maxSoundSilence{1500}; ///< Longest silence that is normal for a target; a longer one counts as a failure.

constexpr std::chrono::milliseconds doubtfulSilence{500}; ///< Silence after which new requests prefer other targets and other connections.

/** Silence of a target during all requests of this host. */
struct TargetSilence {
    TimePoint since{}; ///< When the first request was sent after which the target did not respond; TimePoint{} when it has responded since the last one.
};

/** A request that waits for its target. */
struct SilenceInput {
    bool mayMove{false}; ///< Whether the route allows a further run.
    bool moved{false}; ///< Whether it has run on a target before.
    bool stream{false}; ///< Whether the answer is a stream of events.
    std::optional<std::chrono::milliseconds> moveAfter; ///< Configured silence after which the request moves; empty for the default.
    std::chrono::milliseconds timeLeft{0}; ///< Time from the beginning of the silence until the deadline of the request.
};

} // namespace skylark
