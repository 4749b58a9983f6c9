/** @file crash_request_func.h Decides which request crashes each target that runs it, from the reports of all hosts. */
#pragma once

#include "policy/crash_suspect_type.h"

#include <optional>

namespace skylark {

/** @return The request to blame first for those of @p crashes that nothing quarantined explains; empty if the evidence against none suffices. */
[[nodiscard]] std::optional<SuspectPart> mostSuspectRequest(const CrashQuarantine &state, const std::vector<MergedCrash> &crashes, TimePoint now);

} // namespace skylark
