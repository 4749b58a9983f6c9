/** @file silence.cpp How long a silent target is waited for. */
#include "policy/silence_func.h"

#include <algorithm>

namespace skylark {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds schedulingMargin{100}; ///< Delay of an answer in either process and on the way.

} // namespace

milliseconds silenceLimit(const SilenceInput &input)
{
    if (!input.mayMove) {
        return input.timeLeft;
    }
    const milliseconds available = input.stream ? input.timeLeft : input.timeLeft * 2 / 3;
    return std::min(available, maxSoundSilence + schedulingMargin);
}

bool isSilence(const Error &error)
{
    return error.code == ErrorCode::FirstByteTimeout || error.code == ErrorCode::IdleTimeout;
}

bool isSoundSilence(const Error &error, milliseconds silence)
{
    return isSilence(error) && silence <= maxSoundSilence;
}

} // namespace skylark
