/** @file crash_suspect_func.h Decides which prompt part to blame for crashes, from the reports of all hosts. */
#pragma once

#include "policy/crash_suspect_type.h"

#include <optional>

namespace skylark {

/** @return The part to blame first for those of @p crashes that no quarantined part explains; empty if the evidence against none suffices. */
[[nodiscard]] std::optional<SuspectPart> mostSuspectPart(const CrashQuarantine &state, const std::vector<MergedCrash> &crashes);

} // namespace skylark
