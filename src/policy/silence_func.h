/** @file silence_func.h How long a silent target is waited for. */
#pragma once

#include "core/error_type.h"
#include "policy/load_balance_type.h"
#include "policy/silence_type.h"

namespace skylark {

/**
 * @return How long the target may be silent before the request moves to another one, at most the time left. A whole answer for which little time is left moves
 * once while there is still time for another target.
 */
[[nodiscard]] std::chrono::milliseconds silenceLimit(const SilenceInput &input);

/** @return How long to wait for the silent target until the next decision whether to leave it. @param silence How long it has been silent. */
[[nodiscard]] std::chrono::milliseconds silenceWait(const SilenceInput &input, std::chrono::milliseconds silence);

/**
 * @return Whether the request leaves its silent target for another one.
 * @param silence How long the target has been silent.
 * @param elsewhere Whether one of the other targets has room for the request now.
 */
[[nodiscard]] bool leavesSilentTarget(const SilenceInput &input, std::chrono::milliseconds silence, BalanceReason elsewhere);

/** @return Whether @p error means that a target sent nothing, or nothing of use, in time. */
[[nodiscard]] bool isSilence(const Error &error);

/** @return Whether @p error is a silence that is normal for a target. @param silence How long the target had been silent. */
[[nodiscard]] bool isSoundSilence(const Error &error, std::chrono::milliseconds silence);

/** Records that a request is sent. */
void beginWait(TargetSilence &silence, TimePoint now);

/** Records that the target has responded to a request: with the head of an answer or an event. */
void endWait(TargetSilence &silence);

/** @return Whether the target has been silent for so long that new requests should prefer others; for a few seconds, after which it is tried again. */
[[nodiscard]] bool isSilent(const TargetSilence &silence, TimePoint now);

} // namespace skylark
