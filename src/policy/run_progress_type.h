/** @file run_progress_type.h How far a target has come with one run of a request. */
#pragma once

#include <cstdint>
#include <string_view>

namespace skylark {

/** Progress of one run on one target. */
struct RunProgress {
    bool answerBegun{false}; ///< Whether the head of the answer has arrived.
    unsigned events{0}; ///< Events of the stream that have arrived from this target.
};

/** Phase of a run when its target ended. */
enum class RunPhase : std::uint8_t {
    Begun, ///< The answer had just begun.
    Waiting, ///< No answer had begun: the run was queued, or its prompt was being read.
    Streaming, ///< Several events had arrived.
};

/** @return Phase of a run with @p progress. */
[[nodiscard]] inline RunPhase phaseOf(const RunProgress &progress)
{
    constexpr unsigned maxBegunEvents = 2; // The first events can be on their way when the target ends.
    if (!progress.answerBegun) {
        return RunPhase::Waiting;
    }
    return progress.events <= maxBegunEvents ? RunPhase::Begun : RunPhase::Streaming;
}

constexpr unsigned soundEvents = 8; ///< Events after which a run counts as sound before its end; a target that it crashes would have ended by then.

/** @return Name of @p phase in logs. */
[[nodiscard]] inline std::string_view runPhaseName(RunPhase phase)
{
    switch (phase) {
    case RunPhase::Begun:
        return "begun";
    case RunPhase::Waiting:
        return "waiting";
    case RunPhase::Streaming:
        return "streaming";
    }
    return "unknown";
}

} // namespace skylark
