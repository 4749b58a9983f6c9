/** @file crash_suspect.cpp Decides which prompt part to blame for crashes, from the reports of all hosts. */
#include "policy/crash_suspect_func.h"

#include "policy/crash_series_func.h"

#include <algorithm>

namespace skylark {

namespace {

using std::chrono::milliseconds;

constexpr unsigned maxCrashesPerRequest = 2; ///< Crashes of one request that count against its parts: those of its attempts at one host.

/** @return Whether @p run tells of its parts: where a quarantined request was on the target, only the runs of that request do. */
bool countsAgainstParts(const CrashQuarantine &state, const MergedCrash &crash, const ReportedRun &run)
{
    const bool isRequestToBlame = std::any_of(crash.runs.begin(), crash.runs.end(), [&](const ReportedRun &other) {
        return isQuarantinedRequest(state, other, crash.at);
    });
    return !isRequestToBlame || isQuarantinedRequest(state, run, crash.at);
}

/** Adds a run unless its request came again: that tells of the request, not of what it shares with others. */
void addOncePerRequest(CrashSeries &series, const QuarantineSettings &settings, const ReportedRun &run, TimePoint at)
{
    const auto earlier = series.requests.find(requestOf(run));
    const bool cameAgain = earlier != series.requests.end() && (*earlier->second.host != *run.host || earlier->second.counted >= maxCrashesPerRequest);
    if (!cameAgain) {
        addToSeries(series, settings, run, at);
    }
}

/** Adds the runs that may have caused @p crash. */
void addEvidence(std::map<PromptPartId, PartEvidence> &evidence, CrashSeries &all, const CrashQuarantine &state, const MergedCrash &crash)
{
    for (const ReportedRun &reported : crash.likely) {
        if (!countsAgainstParts(state, crash, reported)) {
            continue;
        }
        addOncePerRequest(all, state.settings, reported, crash.at);
        const std::vector<PromptPartId> &parts = reported.run->prompt.shared;
        for (std::size_t i = 0; i < parts.size(); ++i) {
            if (crash.at <= soundTime(state, parts[i])) {
                continue;
            }
            PartEvidence &entry = evidence[parts[i]];
            addOncePerRequest(entry.series, state.settings, reported, crash.at);
            entry.depth = std::max(entry.depth, i);
        }
    }
}

/** @return Share of the separate crashes @p all from the first to the last one of @p series that the part was in. */
double shareOfCrashes(const CrashSeries &all, const CrashSeries &series)
{
    const auto first = std::lower_bound(all.crashes.begin(), all.crashes.end(), series.crashes.front());
    const auto last = std::upper_bound(all.crashes.begin(), all.crashes.end(), series.crashes.back());
    const auto count = std::max<std::ptrdiff_t>(1, last - first);
    return std::min(1.0, static_cast<double>(series.crashes.size()) / static_cast<double>(count));
}

/** @return Number of separate crashes that quarantine a part that was in @p share of all crashes. */
unsigned neededCrashes(const QuarantineSettings &settings, double share)
{
    const double smaller = share >= 0.5 ? 0.0 : share >= 1.0 / 3.0 ? 1.0 : 2.0;
    return std::min(settings.maxCrashes, settings.minCrashes + static_cast<unsigned>(smaller));
}

/** @return Whether @p series suffices to quarantine @p part. @param all All separate crashes that no quarantined part explains. */
bool isSufficient(const CrashQuarantine &state, const CrashSeries &all, PromptPartId part, const CrashSeries &series)
{
    const QuarantineSettings &settings = state.settings;
    const auto earlier = state.parts.find(part);
    if (earlier != state.parts.end()) {
        return series.crashes.back() >= earlier->second.until;
    }
    const double share = shareOfCrashes(all, series);
    const TimePoint maybeSound = std::max(soundTime(state, part), state.startedAt);
    const bool soundBefore = maybeSound != TimePoint{} && series.crashes.front() - maybeSound < settings.soundMemory;
    const unsigned needed = soundBefore ? settings.maxCrashes : neededCrashes(settings, share);
    const bool severalRequests = series.requests.size() >= settings.minRequests;
    return share >= settings.minShare && series.crashes.size() >= needed && severalRequests;
}

/** @return Whether @p left is blamed before @p right: the part that was sound longest ago or never, then that in more crashes, then the less shared one. */
bool isMoreSuspect(const SuspectPart &left, const SuspectPart &right)
{
    if (left.soundAt != right.soundAt) {
        return left.soundAt < right.soundAt;
    }
    if (left.evidence.series.crashes.size() != right.evidence.series.crashes.size()) {
        return left.evidence.series.crashes.size() > right.evidence.series.crashes.size();
    }
    return left.evidence.depth > right.evidence.depth;
}

/** @return How many of @p crashes are no further than @p spacing from one of @p others. */
std::size_t countCommon(const std::vector<TimePoint> &crashes, const std::vector<TimePoint> &others, milliseconds spacing)
{
    return static_cast<std::size_t>(std::count_if(crashes.begin(), crashes.end(), [&](TimePoint at) {
        return std::any_of(others.begin(), others.end(), [&](TimePoint other) {
            return std::chrono::abs(at - other) < spacing;
        });
    }));
}

/** @return Whether a part further back in the prompt was in most crashes of @p candidate, and the rest may be coincidence. */
bool isBetterExplained(const std::map<PromptPartId, PartEvidence> &evidence, const QuarantineSettings &settings, const PartEvidence &candidate)
{
    const std::vector<TimePoint> &crashes = candidate.series.crashes;
    return std::any_of(evidence.begin(), evidence.end(), [&](const auto &other) {
        const std::size_t common = countCommon(crashes, other.second.series.crashes, settings.crashSpacing);
        return other.second.depth > candidate.depth && 2 * common > crashes.size() && crashes.size() - common < settings.minCrashes;
    });
}

} // namespace

std::optional<SuspectPart> mostSuspectPart(const CrashQuarantine &state, const std::vector<MergedCrash> &crashes)
{
    std::map<PromptPartId, PartEvidence> evidence;
    CrashSeries all;
    for (const MergedCrash &crash : crashes) {
        if (isExplainedByPart(state, crash)) {
            continue;
        }
        addEvidence(evidence, all, state, crash);
    }
    std::optional<SuspectPart> best;
    for (const auto &[part, found] : evidence) {
        const bool isNew = !state.parts.contains(part);
        if (!isSufficient(state, all, part, found.series) || (isNew && isBetterExplained(evidence, state.settings, found))) {
            continue;
        }
        SuspectPart candidate{part, soundTime(state, part), found};
        if (!best || isMoreSuspect(candidate, *best)) {
            best = std::move(candidate);
        }
    }
    return best;
}

} // namespace skylark
