/** @file job_trials.cpp Holds back batch items with a quarantined prompt part, but for the one that is the trial of the part. */
#include "job/job_runner_base.h"
#include "policy/item_trial_func.h"

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

void holdBackItems(const JobRunner::Impl &runner, std::vector<PendingItem> &pending, TimePoint now)
{
    if (runner.proxy->quarantine.parts.empty()) {
        return;
    }
    ItemTrials trials = findItemTrials(runner.proxy->quarantine);
    addRunningItems(runner, trials);
    std::erase_if(pending, [&](const PendingItem &item) {
        const PromptParts prompt = promptOf(runner, item.job, item.index);
        if (!mayRunItem(trials, prompt, now)) {
            return true;
        }
        addRunningItem(trials, prompt);
        return false;
    });
}

} // namespace skylark
