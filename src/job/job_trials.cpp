/** @file job_trials.cpp Decides which batch items with a quarantined prompt part run, as the trials of their parts. */
#include "job/job_runner_base.h"

namespace skylark {

namespace {

PromptParts promptOf(const JobRunner::Impl &runner, const JobId &job, std::uint32_t index)
{
    const std::vector<JobItem> &items = runner.registry->jobs.at(job).items;
    return index < items.size() ? runner.proxy->wire.readPromptParts(items[index].headers) : PromptParts{};
}

void addRunningItems(const JobRunner::Impl &runner, ItemTrials &trials)
{
    for (const auto &[job, owned] : runner.owned) {
        for (const auto &[index, run] : owned.runs) {
            if (run->phase == ItemPhase::Running) {
                addRunningItem(trials, promptOf(runner, job, index));
            }
        }
    }
}

} // namespace

ItemTrials findTrials(const JobRunner::Impl &runner)
{
    ItemTrials trials = findItemTrials(runner.proxy->quarantine);
    if (!trials.earliest.empty()) {
        addRunningItems(runner, trials);
    }
    return trials;
}

bool mayStartItem(const JobRunner::Impl &runner, const ItemTrials &trials, const PendingItem &item, TimePoint now)
{
    return trials.earliest.empty() || mayRunItem(trials, promptOf(runner, item.job, item.index), now);
}

void recordItemStart(const JobRunner::Impl &runner, ItemTrials &trials, const PendingItem &item)
{
    if (!trials.earliest.empty()) {
        addRunningItem(trials, promptOf(runner, item.job, item.index));
    }
}

} // namespace skylark
