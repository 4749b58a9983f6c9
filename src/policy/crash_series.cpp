/** @file crash_series.cpp Crashes as all hosts saw them, and how many of them count as separate ones. */
#include "policy/crash_series_func.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>

namespace skylark {

namespace {

bool isBegun(const ReportedRun &reported)
{
    return reported.run->phase == RunPhase::Begun;
}

/** @return Those of @p runs whose answer had just begun; all where there are none. */
std::vector<ReportedRun> likelyRuns(const std::vector<ReportedRun> &runs)
{
    std::vector<ReportedRun> begun;
    std::copy_if(runs.begin(), runs.end(), std::back_inserter(begun), isBegun);
    return begun.empty() ? runs : begun;
}

/** Adds the report of @p host to the crashes of its target. */
void mergeInto(std::vector<MergedCrash> &ofTarget, const HostId &host, const TargetCrash &crash, const QuarantineSettings &settings)
{
    auto same = std::find_if(ofTarget.begin(), ofTarget.end(), [&](const MergedCrash &other) {
        return std::chrono::abs(other.at - crash.at) < settings.reportSpread;
    });
    if (same == ofTarget.end()) {
        same = ofTarget.insert(ofTarget.end(), MergedCrash{crash.at, {}, {}});
    }
    same->at = std::min(same->at, crash.at);
    for (const SuspectRun &run : crash.runs) {
        same->runs.push_back({&run, &host});
    }
}

/** @return Whether the request of @p run was in the last crash of @p series already: it ended two targets in turn, which no cause in common explains. */
bool isRepeated(const CrashSeries &series, const ReportedRun &run, TimePoint at)
{
    const auto earlier = series.requests.find(requestOf(run));
    const bool endedLast = earlier != series.requests.end() && earlier->second.last >= series.crashes.back() && earlier->second.last < at;
    return endedLast && isBegun(run) && series.lastRepeated != requestOf(run);
}

} // namespace

TimePoint soundTime(const CrashQuarantine &state, PromptPartId part)
{
    const auto found = state.soundAt.find(part);
    return found == state.soundAt.end() ? TimePoint{} : found->second.any;
}

std::vector<MergedCrash> mergeCrashes(const CrashQuarantine &state)
{
    std::unordered_map<TargetId, std::vector<MergedCrash>> byTarget;
    for (const auto &[host, crashes] : state.crashes) {
        for (const TargetCrash &crash : crashes) {
            mergeInto(byTarget[crash.target], host, crash, state.settings);
        }
    }
    std::vector<MergedCrash> merged;
    for (auto &[target, ofTarget] : byTarget) {
        std::move(ofTarget.begin(), ofTarget.end(), std::back_inserter(merged));
    }
    std::sort(merged.begin(), merged.end(), [](const MergedCrash &left, const MergedCrash &right) {
        return left.at < right.at;
    });
    for (MergedCrash &crash : merged) {
        crash.likely = likelyRuns(crash.runs);
    }
    return merged;
}

bool isExplainedByPart(const CrashQuarantine &state, const MergedCrash &crash)
{
    return std::any_of(crash.runs.begin(), crash.runs.end(), [&](const ReportedRun &reported) {
        const std::vector<PromptPartId> &parts = reported.run->prompt.shared;
        return std::any_of(parts.begin(), parts.end(), [&](PromptPartId part) {
            const auto found = state.parts.find(part);
            return found != state.parts.end() && crash.at < found->second.until;
        });
    });
}

bool isQuarantinedRequest(const CrashQuarantine &state, const ReportedRun &reported, TimePoint at)
{
    const auto found = state.parts.find(reported.run->prompt.request);
    return found != state.parts.end() && at < found->second.until;
}

PromptPartId requestOf(const ReportedRun &reported)
{
    const PromptParts &prompt = reported.run->prompt;
    return prompt.request == PromptPartId{} ? prompt.own : prompt.request;
}

void addToSeries(CrashSeries &series, const QuarantineSettings &settings, const ReportedRun &run, TimePoint at)
{
    const bool isSpaced = series.crashes.empty() || at - series.crashes.back() >= settings.crashSpacing;
    const bool isRepeat = !isSpaced && isRepeated(series, run, at);
    RequestCrashes &request = series.requests.try_emplace(requestOf(run), RequestCrashes{{}, 0, run.host}).first->second;
    request.last = at;
    if (!isSpaced && !isRepeat) {
        return;
    }
    ++request.counted;
    series.crashes.push_back(at);
    if (isRepeat) {
        series.lastRepeated = requestOf(run);
    }
}

} // namespace skylark
