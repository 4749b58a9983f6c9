/** @file crash_quarantine_func.h Decides which prompt part or request crashes targets, and rejects it for a time. */
#pragma once

#include "core/error_type.h"
#include "policy/crash_quarantine_type.h"

#include <optional>

namespace skylark {

/** @return Whether a run that failed with @p error shows that its target closed the connection. A target that is only silent may be behind a cut. */
[[nodiscard]] bool isTargetEnd(const Error &error);

/** Adds a run of this host that its target ended with. @return Quarantines that begin. */
[[nodiscard]] std::vector<QuarantineChange> recordSuspectRun(CrashQuarantine &state, const TargetId &target, SuspectRun run, TimePoint now);

/** @return Whether this host announced a crash with the request or a part of @p prompt and no sound run since; the others need to know at once of the next one.
 */
[[nodiscard]] bool isUnderSuspicion(const CrashQuarantine &state, const PromptParts &prompt);

/** Records that a run with @p prompt was sound. @return Quarantines that end. */
[[nodiscard]] std::vector<QuarantineChange> recordSoundRun(CrashQuarantine &state, const PromptParts &prompt, TimePoint now);

/** Adds what another host announced. @return Quarantines that begin or end. */
[[nodiscard]] std::vector<QuarantineChange> mergeReport(CrashQuarantine &state, const HostId &from, const QuarantineReport &report, TimePoint now);

/**
 * Adopts a quarantine that the key-value service has an entry of. Its age is unknown, so that it begins now.
 * @param duration Duration of the quarantine.
 * @param rounds Number of quarantines of the part; ignored unless it is higher than what this host knows.
 */
[[nodiscard]] std::vector<QuarantineChange> adoptStored(
    CrashQuarantine &state, PromptPartId part, std::chrono::milliseconds duration, unsigned rounds, TimePoint now);

/** Moves all times of @p report into the past by @p delay, which its transmission took longer than usual. */
void correctDelay(QuarantineReport &report, std::chrono::milliseconds delay);

/** @return What this host announces, within bounds; the newest crashes first. */
[[nodiscard]] QuarantineReport reportOf(const CrashQuarantine &state, TimePoint now);

/** @return The time for which the request with @p prompt must not be sent to a target; empty when it may be. */
[[nodiscard]] std::optional<std::chrono::milliseconds> quarantineLeft(const CrashQuarantine &state, const PromptParts &prompt, TimePoint now);

/**
 * Records that a request with @p prompt is about to be sent to a target. After a quarantine, a part is on trial: until one run with it was sound, this host
 * sends no second one before the outcome of the first is known or trialTime has passed.
 */
void recordTrial(CrashQuarantine &state, const PromptParts &prompt, TimePoint now);

} // namespace skylark
