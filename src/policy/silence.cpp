/** @file silence.cpp How long a silent target is waited for. */
#include "policy/silence_func.h"

#include <algorithm>

namespace skylark {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds schedulingMargin{100}; ///< Delay of an answer in either process and on the way.

constexpr milliseconds decisionInterval{100}; ///< Between two decisions whether to leave a target that is silent beyond the limit.

constexpr milliseconds silenceMemory{3200}; ///< Age at which a silence is forgotten; the longest time for which a target is avoided after failures.

} // namespace

milliseconds silenceLimit(const SilenceInput &input)
{
    if (!input.mayMove) {
        return input.timeLeft;
    }
    const milliseconds available = input.stream || input.moved ? input.timeLeft : input.timeLeft * 4 / 5;
    return std::min(available, input.moveAfter.value_or(maxSoundSilence + schedulingMargin));
}

milliseconds silenceWait(const SilenceInput &input, milliseconds silence)
{
    const milliseconds limit = silenceLimit(input);
    const milliseconds wait = silence < limit ? limit - silence : std::min(decisionInterval, input.timeLeft - silence);
    return std::max(milliseconds(1), wait);
}

bool leavesSilentTarget(const SilenceInput &input, milliseconds silence, BalanceReason elsewhere)
{
    const bool hasRoom = elsewhere == BalanceReason::FreeSlot || elsewhere == BalanceReason::BatchYields || elsewhere == BalanceReason::Queued;
    return input.mayMove && hasRoom && silence >= silenceLimit(input);
}

bool isSilence(const Error &error)
{
    return error.code == ErrorCode::FirstByteTimeout || error.code == ErrorCode::IdleTimeout;
}

bool isSoundSilence(const Error &error, milliseconds silence)
{
    return isSilence(error) && silence <= maxSoundSilence;
}

void beginWait(TargetSilence &silence, TimePoint now)
{
    if (silence.since == TimePoint{} || now - silence.since >= silenceMemory) {
        silence.since = now;
    }
}

void endWait(TargetSilence &silence)
{
    silence.since = {};
}

bool isSilent(const TargetSilence &silence, TimePoint now)
{
    return silence.since != TimePoint{} && now - silence.since >= doubtfulSilence && now - silence.since < silenceMemory;
}

} // namespace skylark
