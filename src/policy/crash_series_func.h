/** @file crash_series_func.h Crashes as all hosts saw them, and how many of them count as separate ones. */
#pragma once

#include "policy/crash_suspect_type.h"

namespace skylark {

/** @return Time of the last sound run with @p part at any host; TimePoint{} for none. */
[[nodiscard]] TimePoint soundTime(const CrashQuarantine &state, PromptPartId part);

/** @return The crashes that all hosts saw, in order of time. */
[[nodiscard]] std::vector<MergedCrash> mergeCrashes(const CrashQuarantine &state);

/** @return Whether a quarantined prompt part was on the target: nothing else needs to be blamed for the crash. */
[[nodiscard]] bool isExplainedByPart(const CrashQuarantine &state, const MergedCrash &crash);

/** @return Whether the request of @p run is quarantined for its crash at @p at or an earlier one. */
[[nodiscard]] bool isQuarantinedRequest(const CrashQuarantine &state, const ReportedRun &run, TimePoint at);

/** @return What tells the request of @p run from others. */
[[nodiscard]] PromptPartId requestOf(const ReportedRun &run);

/** Adds a run in the crash at @p at, which is separate from the last one when enough time has passed or the same request ended both in turn. */
void addToSeries(CrashSeries &series, const QuarantineSettings &settings, const ReportedRun &run, TimePoint at);

} // namespace skylark
