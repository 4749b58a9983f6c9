/** @file item_trial.cpp When batch items with a quarantined prompt part are run. */
#include "policy/item_trial_func.h"

#include "core/hash_func.h"

#include <algorithm>

namespace skylark {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds firstTrialDelay{2000}; ///< Time in which a run that is in progress may end the quarantine without a trial.
constexpr milliseconds trialSpread{1000}; ///< Hosts begin their trials at different times within this span, so that most know the outcome of the first one.
constexpr unsigned maxDelayDoublings = 4; ///< The longest interval is shorter than the time for which crashes are remembered.

bool carriesPart(const TargetCrash &crash, PromptPartId part)
{
    return std::any_of(crash.runs.begin(), crash.runs.end(), [part](const SuspectRun &run) {
        return std::find(run.prompt.shared.begin(), run.prompt.shared.end(), part) != run.prompt.shared.end();
    });
}

/** @return Times of the crashes with a quarantined part after those that led to its quarantine, in order; one for those that hosts report about one target. */
std::vector<TimePoint> laterCrashes(const CrashQuarantine &state, const QuarantinedPart &entry)
{
    std::vector<TimePoint> times;
    for (const auto &[host, crashes] : state.crashes) {
        for (const TargetCrash &crash : crashes) {
            if (crash.at > entry.since + state.settings.crashSpacing && carriesPart(crash, entry.part)) {
                times.push_back(crash.at);
            }
        }
    }
    std::sort(times.begin(), times.end());
    const auto last = std::unique(times.begin(), times.end(), [&state](TimePoint left, TimePoint right) {
        return right - left < state.settings.crashSpacing;
    });
    times.erase(last, times.end());
    return times;
}

TimePoint partTrialTime(const CrashQuarantine &state, const QuarantinedPart &entry)
{
    const std::vector<TimePoint> crashes = laterCrashes(state, entry);
    const TimePoint last = crashes.empty() ? entry.since : crashes.back();
    const bool repeated = entry.rounds > 1;
    const unsigned doublings = repeated ? maxDelayDoublings : std::min(static_cast<unsigned>(crashes.size()), maxDelayDoublings);
    const std::uint64_t draw = rendezvousScore(hexText(entry.part.value), state.host.value);
    return last + firstTrialDelay * (1U << doublings) + milliseconds(static_cast<std::int64_t>(draw % static_cast<std::uint64_t>(trialSpread.count())));
}

} // namespace

ItemTrials findItemTrials(const CrashQuarantine &state)
{
    ItemTrials trials;
    for (const auto &[part, entry] : state.parts) {
        trials.earliest[part] = partTrialTime(state, entry);
    }
    return trials;
}

void addRunningItem(ItemTrials &trials, const PromptParts &prompt)
{
    for (const PromptPartId part : prompt.shared) {
        if (trials.earliest.contains(part)) {
            trials.running.insert(part);
        }
    }
}

bool mayRunItem(const ItemTrials &trials, const PromptParts &prompt, TimePoint now)
{
    return std::all_of(prompt.shared.begin(), prompt.shared.end(), [&trials, now](PromptPartId part) {
        const auto found = trials.earliest.find(part);
        return found == trials.earliest.end() || (now >= found->second && !trials.running.contains(part));
    });
}

} // namespace skylark
