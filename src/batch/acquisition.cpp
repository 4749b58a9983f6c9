/** @file acquisition.cpp Claims groups and scans jobs when this host could soon run out of items. */
#include "batch/batch_internal_func.h"
#include "batch/batch_record_func.h"
#include "batch/job_parse_func.h"
#include "core/task_func.h"

#include <algorithm>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr auto scanInterval = std::chrono::seconds(3); ///< Minimum between scans of a job for groups to take over; bounds the reads of idle hosts.
constexpr auto finalScanInterval = std::chrono::milliseconds(500); ///< Minimum between scans of a job that may be done or needs a scan before a claim.
constexpr std::size_t maxUnstartedGroups = 2; ///< Groups claimed without a started item, per model; more would be withheld from other hosts.

/** Capacity of the owned targets for a model, and the items in held groups that can use it. */
struct Supply {
    unsigned free{0}; ///< Batch streams that could be started now.
    unsigned limit{0}; ///< Sum of the batch limits.
    std::size_t waiting{0}; ///< Items to start in held groups; an estimate for groups that are loading.
    std::size_t unstarted{0}; ///< Held groups without a started item, or still loading.
};

/** @return Number of waiting items of a held group that are not delayed. */
std::size_t startableItems(const HeldGroup &group)
{
    const TimePoint now = BootClock::now();
    return static_cast<std::size_t>(std::count_if(group.waiting.begin(), group.waiting.end(), [&group, now](std::size_t item) {
        return now >= group.items[item].notBefore;
    }));
}

Supply supplyFor(const BatchState &state, const Iteration &iteration, const WorkspaceId &workspace, const ModelId &model)
{
    Supply supply;
    for (const TargetView *view : iteration.targets) {
        if (servesModel(*view, *iteration.snapshot, workspace, model)) {
            const BatchTarget &target = state.targets.at(view->info.id);
            supply.limit += target.limit;
            supply.free += target.limit - std::min<unsigned>(target.limit, static_cast<unsigned>(target.running.size()));
        }
    }
    for (const auto &group : state.held) {
        if (group->model == model) {
            // A loading group counts as full; counting it as empty led to the claim of a second group that idle hosts could have run.
            supply.waiting += group->phase == GroupPhase::Loading ? itemsPerGroup : startableItems(*group);
            supply.unstarted += group->phase == GroupPhase::Loading || group->waiting.size() == group->items.size() ? 1 : 0;
        }
    }
    return supply;
}

/** @return Whether this host should claim another group with @p model, because it could soon run out of items to start. */
bool wantsGroup(const BatchState &state, Iteration &iteration, const WorkspaceId &workspace, const ModelId &model)
{
    const auto [known, isNew] = iteration.wants.try_emplace({workspace, model}, false);
    if (isNew) {
        const Supply supply = supplyFor(state, iteration, workspace, model);
        known->second = supply.limit > 0 && supply.unstarted < maxUnstartedGroups && supply.waiting < supply.limit;
    }
    return known->second;
}

bool wantsAnyGroup(const BatchState &state, Iteration &iteration, const JobRecord &job)
{
    return std::any_of(job.models.begin(), job.models.end(), [&](const ModelId &model) {
        return wantsGroup(state, iteration, job.workspace, model);
    });
}

/** @return Minimum time between scans of an idle host; 10 ms per host of the fleet, so that all hosts together make at most about 100 scans per second. */
std::chrono::nanoseconds idleScanInterval(const ControlSnapshot &snapshot)
{
    return std::max<std::chrono::nanoseconds>(std::chrono::milliseconds(100), std::chrono::milliseconds(10) * snapshot.hosts.size());
}

/**
 * @return Whether the groups of @p work should be read now.
 * @param claimable Whether nextClaim() returned a group.
 * @param wanted Whether this host wants another group of the job.
 */
bool isScanDue(const BatchState &state, const JobWork &work, bool claimable, bool wanted, TimePoint now)
{
    if (claimable || now < work.blockedUntil) {
        return false;
    }
    const bool conflicted = work.next < work.claimOrder.size() && !work.claimNeedsScan;
    if (work.scanWanted || conflicted || (work.claimNeedsScan && wanted)) {
        return now - work.scannedAt >= finalScanInterval;
    }
    return wanted && now - work.scannedAt >= scanInterval && now >= state.nextIdleScan;
}

asio::awaitable<void> runClaim(BatchStatePtr state, JobId job, std::uint32_t group)
{
    co_await claimGroup(state, std::move(job), group, std::nullopt, false);
    state->claiming = false;
    wakeExecutionLoop(*state);
}

asio::awaitable<void> runScan(BatchStatePtr state, JobId job, bool takeOver)
{
    co_await scanJob(state, std::move(job), takeOver);
    state->claiming = false;
}

/** @return Function that ends the claim or scan that is running. */
std::function<void()> endOfClaim(const BatchStatePtr &state)
{
    return [state] {
        state->claiming = false;
    };
}

} // namespace

void acquireWork(const BatchStatePtr &state, Iteration &iteration)
{
    if (state->claiming || !mayCallKv(*state)) {
        return;
    }
    const TimePoint now = BootClock::now();
    for (JobWork *work : iteration.jobs) {
        const auto group = nextClaim(*work);
        if (group && wantsGroup(*state, iteration, work->record->workspace, modelOfGroup(*work->record, *group))) {
            state->claiming = true;
            startTask(state->context.batch.get_executor(), "claim of a group", runClaim(state, work->record->id, *group), endOfClaim(state));
            return;
        }
        const bool wanted = wantsAnyGroup(*state, iteration, *work->record);
        if (isScanDue(*state, *work, group.has_value(), wanted, now)) {
            work->scannedAt = now;
            state->nextIdleScan = now + idleScanInterval(*iteration.snapshot);
            state->claiming = true;
            startTask(state->context.batch.get_executor(), "scan of a job", runScan(state, work->record->id, wanted), endOfClaim(state));
            return;
        }
    }
}

} // namespace skylark
