/** @file crash_suspect_func.h Decides which prompt part to blame for crashes, from the reports of all hosts. */
#pragma once

#include "policy/crash_suspect_type.h"

#include <optional>

namespace skylark {

/** @return Time of the last sound run with @p part at any host; TimePoint{} for none. */
[[nodiscard]] TimePoint soundTime(const CrashQuarantine &state, PromptPartId part);

/** @return The part to blame first for the crashes that no quarantined part explains; empty if the evidence against none suffices. */
[[nodiscard]] std::optional<SuspectPart> mostSuspect(const CrashQuarantine &state);

} // namespace skylark
