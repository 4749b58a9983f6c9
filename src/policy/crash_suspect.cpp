/** @file crash_suspect.cpp Decides which prompt part to blame for crashes, from the reports of all hosts. */
#include "policy/crash_suspect_func.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>

namespace skylark {

namespace {

using std::chrono::milliseconds;

/** One crash of a target, merged from the reports of several hosts. */
struct MergedCrash {
    TimePoint at{}; ///< Earliest report.
    std::vector<const SuspectRun *> runs;
};

/** @return The crashes that all hosts saw, in order of time. */
std::vector<MergedCrash> mergeCrashes(const CrashQuarantine &state)
{
    std::unordered_map<TargetId, std::vector<MergedCrash>> byTarget;
    for (const auto &[host, crashes] : state.crashes) {
        for (const TargetCrash &crash : crashes) {
            std::vector<MergedCrash> &ofTarget = byTarget[crash.target];
            auto same = std::find_if(ofTarget.begin(), ofTarget.end(), [&](const MergedCrash &other) {
                return std::chrono::abs(other.at - crash.at) < state.settings.reportSpread;
            });
            if (same == ofTarget.end()) {
                same = ofTarget.insert(ofTarget.end(), MergedCrash{crash.at, {}});
            }
            same->at = std::min(same->at, crash.at);
            for (const SuspectRun &run : crash.runs) {
                same->runs.push_back(&run);
            }
        }
    }
    std::vector<MergedCrash> merged;
    for (auto &[target, ofTarget] : byTarget) {
        std::move(ofTarget.begin(), ofTarget.end(), std::back_inserter(merged));
    }
    std::sort(merged.begin(), merged.end(), [](const MergedCrash &left, const MergedCrash &right) {
        return left.at < right.at;
    });
    return merged;
}

/** @return Whether a part that is quarantined already was on the target: no other part needs to be blamed for the crash. */
bool isExplained(const CrashQuarantine &state, const MergedCrash &crash)
{
    return std::any_of(crash.runs.begin(), crash.runs.end(), [&](const SuspectRun *run) {
        return std::any_of(run->prompt.shared.begin(), run->prompt.shared.end(), [&](PromptPartId part) {
            const auto found = state.parts.find(part);
            return found != state.parts.end() && crash.at < found->second.until;
        });
    });
}

/** @return Whether the request of @p run was in the last crash of @p series already: it ended two targets in turn, which no cause in common explains. */
bool isRepeated(const CrashSeries &series, const SuspectRun &run, TimePoint at)
{
    const auto earlier = series.requests.find(run.prompt.own);
    const bool endedLast = earlier != series.requests.end() && earlier->second >= series.crashes.back() && earlier->second < at;
    return endedLast && run.phase == RunPhase::Begun && series.lastRepeated != run.prompt.own;
}

/** Adds a run in the crash at @p at, which is separate from the last one when enough time has passed or the same request was in both. */
void addToSeries(CrashSeries &series, const QuarantineSettings &settings, const SuspectRun &run, TimePoint at)
{
    if (series.crashes.empty() || at - series.crashes.back() >= settings.crashSpacing) {
        series.crashes.push_back(at);
    } else if (isRepeated(series, run, at)) {
        series.crashes.push_back(at);
        series.lastRepeated = run.prompt.own;
    }
    series.requests[run.prompt.own] = at;
}

/** Adds the runs that may have caused @p crash: those whose answer had just begun, or, where there are none, those that waited. */
void addEvidence(std::map<PromptPartId, PartEvidence> &evidence, CrashSeries &all, const CrashQuarantine &state, const MergedCrash &crash)
{
    const bool anyBegun = std::any_of(crash.runs.begin(), crash.runs.end(), [](const SuspectRun *run) {
        return run->phase == RunPhase::Begun;
    });
    for (const SuspectRun *run : crash.runs) {
        if (anyBegun && run->phase != RunPhase::Begun) {
            continue;
        }
        addToSeries(all, state.settings, *run, crash.at);
        for (std::size_t i = 0; i < run->prompt.shared.size(); ++i) {
            const PromptPartId part = run->prompt.shared[i];
            if (crash.at <= soundTime(state, part)) {
                continue;
            }
            PartEvidence &entry = evidence[part];
            addToSeries(entry.series, state.settings, *run, crash.at);
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
    const bool severalRequests = series.requests.size() >= settings.minRequests || series.crashes.size() >= settings.maxCrashes;
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

TimePoint soundTime(const CrashQuarantine &state, PromptPartId part)
{
    const auto found = state.soundAt.find(part);
    return found == state.soundAt.end() ? TimePoint{} : found->second.any;
}

std::optional<SuspectPart> mostSuspect(const CrashQuarantine &state)
{
    std::map<PromptPartId, PartEvidence> evidence;
    CrashSeries all;
    for (const MergedCrash &crash : mergeCrashes(state)) {
        if (isExplained(state, crash)) {
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
