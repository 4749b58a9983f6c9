/** @file execution.cpp Execution loop: lease, item starts, claims, completions. */
#include "batch/batch_internal_func.h"
#include "batch/batch_record_func.h"
#include "batch/job_parse_func.h"
#include "policy/item_attempt_func.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr auto pumpInterval = std::chrono::milliseconds(20); ///< Longest time in which a cancel or a new limit goes unnoticed here.
constexpr auto scanInterval = std::chrono::seconds(3); ///< Per job; bounds the reads of idle hosts.
constexpr auto finalScanInterval = std::chrono::milliseconds(500); ///< Per job that may have become done.
constexpr std::size_t maxGroupsAhead = 2; ///< Groups claimed but not begun; more would be missing on other hosts.
constexpr std::size_t lookAhead = 16; ///< Items of a group that are looked at for one that was not tried on the target.

/** One turn of the loop. */
struct Turn {
    std::shared_ptr<const ControlSnapshot> snapshot; ///< Control state.
    std::vector<const TargetView *> targets; ///< Targets that may take batch.
    std::vector<JobWork *> jobs; ///< The most urgent first.
    std::map<std::pair<WorkspaceId, ModelId>, bool> wants; ///< Whether another group with a model is wanted.
    std::vector<std::shared_ptr<HeldGroup>> groups; ///< Held groups in the order of their jobs.
};

void suspend(BatchState &state)
{
    const unsigned streams = abortRuns(state, nullptr);
    addCounter(*state.context.metrics, "skylark_batch_suspended_total");
    logBatch(state, "lease deadline passed: " + std::to_string(streams) + " streams suspended");
}

/** Detects lapses of the lease. @return Whether effects are allowed now. */
bool checkLease(BatchState &state, const ControlSnapshot &snapshot)
{
    const TimePoint now = BootClock::now();
    const bool hadLease = state.seenDeadline != TimePoint{};
    const bool lapsed = hadLease && now >= state.seenDeadline;
    state.seenDeadline = std::max(state.seenDeadline, snapshot.leaseDeadline);
    const bool holds = now < snapshot.leaseDeadline;
    // A renewal is due long before the deadline, so a deadline that passed unreplaced means that the session key may have been gone meanwhile.
    if ((lapsed || !holds) && !state.suspended) {
        state.suspended = true;
        ++state.lapses;
        if (hadLease) {
            suspend(state);
        }
        for (const auto &group : state.held) {
            group->unverified = true;
            group->verifying = false;
        }
    }
    if (holds) {
        state.suspended = false;
    }
    return holds;
}

void dropStopped(BatchState &state)
{
    std::vector<JobId> ended;
    for (const auto &[id, work] : state.jobs) {
        if (state.stopped.contains(id)) {
            ended.push_back(id);
        }
    }
    for (const JobId &id : ended) {
        forgetJob(state, id);
    }
    const auto held = state.held;
    for (const auto &group : held) {
        if (state.stopped.contains(group->job->id)) {
            dropGroup(state, group, GroupMark::Elsewhere);
        }
    }
}

/** Takes over new jobs and ends work on those that are cancelled or done. */
void syncJobs(BatchState &state, const std::shared_ptr<const ControlSnapshot> &snapshot)
{
    if (state.seenSnapshot != snapshot) {
        state.seenSnapshot = snapshot;
        for (const auto &record : snapshot->jobs) {
            if (record->state == JobState::Active) {
                adoptJob(state, record);
            } else {
                state.stopped.insert(record->id);
            }
        }
    }
    dropStopped(state);
}

void verifyGroups(const BatchStatePtr &state)
{
    for (const auto &group : state->held) {
        if (group->unverified && !group->verifying && mayCallKv(*state)) {
            group->verifying = true;
            asio::co_spawn(state->context.batch, verifyGroup(state, group), asio::detached);
        }
    }
}

void finishGroups(const BatchStatePtr &state)
{
    for (const auto &group : state->held) {
        if (group->phase == GroupPhase::Running && group->left == 0) {
            group->phase = GroupPhase::Finishing;
            asio::co_spawn(state->context.batch, finishGroup(state, group), asio::detached);
        }
    }
}

bool isStartable(const HeldGroup &group)
{
    return group.phase == GroupPhase::Running && !group.unverified;
}

std::vector<TargetId> targetsFor(const Turn &turn, const HeldGroup &group)
{
    std::vector<TargetId> ids;
    for (const TargetView *view : turn.targets) {
        if (servesModel(*view, *turn.snapshot, group.job->workspace, group.model)) {
            ids.push_back(view->info.id);
        }
    }
    return ids;
}

/** Takes an item of @p queue that may run on @p target. */
std::optional<std::size_t> takeItem(const HeldGroup &group, std::deque<std::size_t> &queue, const TargetId &target, const std::vector<TargetId> &usable)
{
    const std::size_t looked = std::min(queue.size(), lookAhead);
    for (std::size_t i = 0; i < looked; ++i) {
        const std::size_t item = queue[i];
        if (mayTryTarget(group.items[item].history, target, usable)) {
            queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(i));
            return item;
        }
    }
    return std::nullopt;
}

/** Starts an item of the first group that has one for the target. @return Whether one was started. */
bool startNext(const BatchStatePtr &state, const Turn &turn, const TargetView &view, bool suspects)
{
    for (const auto &group : turn.groups) {
        auto &queue = suspects ? group->suspects : group->waiting;
        if (!isStartable(*group) || queue.empty() || !servesModel(view, *turn.snapshot, group->job->workspace, group->model)) {
            continue;
        }
        const auto item = takeItem(*group, queue, view.info.id, targetsFor(turn, *group));
        if (!item) {
            continue;
        }
        if (startItem(state, view, group, *item, suspects)) {
            return true;
        }
        queue.push_front(*item);
    }
    return false;
}

bool hasSuspectFor(const Turn &turn, const TargetView &view)
{
    return std::any_of(turn.groups.begin(), turn.groups.end(), [&turn, &view](const auto &group) {
        if (!isStartable(*group) || !servesModel(view, *turn.snapshot, group->job->workspace, group->model)) {
            return false;
        }
        const auto usable = targetsFor(turn, *group);
        const std::size_t looked = std::min(group->suspects.size(), lookAhead);
        return std::any_of(group->suspects.begin(), group->suspects.begin() + static_cast<std::ptrdiff_t>(looked), [&](std::size_t item) {
            return mayTryTarget(group->items[item].history, view.info.id, usable);
        });
    });
}

/** Decides which targets are emptied for suspect items: at most half of them, so that other work goes on. */
void reserveTargets(BatchState &state, const Turn &turn)
{
    const std::size_t most = std::max<std::size_t>(1, turn.targets.size() / 2);
    std::size_t reserved = 0;
    for (const bool keep : {true, false}) {
        for (const TargetView *view : turn.targets) {
            BatchTarget &target = state.targets[view->info.id];
            if (target.reserved == keep) {
                target.reserved = reserved < most && hasSuspectFor(turn, *view);
                reserved += target.reserved ? 1 : 0;
            }
        }
    }
}

void fillTarget(const BatchStatePtr &state, const Turn &turn, const TargetView &view)
{
    BatchTarget &target = state->targets[view.info.id];
    const bool occupied = std::any_of(target.running.begin(), target.running.end(), [](const auto &run) {
        return run->alone;
    });
    if (occupied) {
        return;
    }
    if (target.reserved) {
        if (target.running.empty() && target.limit > 0) {
            startNext(state, turn, view, true);
        }
        return;
    }
    while (target.running.size() < target.limit && startNext(state, turn, view, false)) {
    }
}

/** Items that could be started, by what the owned targets could take. */
struct Supply {
    unsigned free{0}; ///< Free batch slots.
    unsigned limit{0}; ///< All batch slots.
    std::size_t waiting{0}; ///< Items waiting in held groups.
    std::size_t ahead{0}; ///< Held groups without a started item, or still loading.
};

Supply supplyFor(const BatchState &state, const Turn &turn, const WorkspaceId &workspace, const ModelId &model)
{
    Supply supply;
    for (const TargetView *view : turn.targets) {
        if (servesModel(*view, *turn.snapshot, workspace, model)) {
            const BatchTarget &target = state.targets.at(view->info.id);
            supply.limit += target.limit;
            supply.free += target.limit - std::min<unsigned>(target.limit, static_cast<unsigned>(target.running.size()));
        }
    }
    for (const auto &group : state.held) {
        if (group->model == model) {
            // A group that is still loading will bring its items; counting none claimed a second group that idle hosts could run.
            supply.waiting += group->phase == GroupPhase::Loading ? itemsPerGroup : group->waiting.size();
            supply.ahead += group->phase == GroupPhase::Loading || group->waiting.size() == group->items.size() ? 1 : 0;
        }
    }
    return supply;
}

/** @return Whether this host should claim another group with @p model: it could soon run out of items. */
bool wantsGroup(const BatchState &state, Turn &turn, const WorkspaceId &workspace, const ModelId &model)
{
    const auto [known, isNew] = turn.wants.try_emplace({workspace, model}, false);
    if (isNew) {
        const Supply supply = supplyFor(state, turn, workspace, model);
        known->second = supply.limit > 0 && supply.ahead < maxGroupsAhead && supply.waiting < supply.limit;
    }
    return known->second;
}

bool wantsAny(const BatchState &state, Turn &turn, const JobRecord &job)
{
    return std::any_of(job.models.begin(), job.models.end(), [&](const ModelId &model) {
        return wantsGroup(state, turn, job.workspace, model);
    });
}

/** @return Time between two scans of idle hosts here; it grows with the fleet, so that all hosts together stay below some 100 scans a second. */
std::chrono::nanoseconds idleScanInterval(const ControlSnapshot &snapshot)
{
    return std::max<std::chrono::nanoseconds>(std::chrono::milliseconds(100), std::chrono::milliseconds(10) * snapshot.hosts.size());
}

/** @return Whether the groups of @p work should be read now. @param claimable Whether it has a group to claim. */
bool isScanDue(const BatchState &state, const JobWork &work, bool claimable, bool wanted, TimePoint now)
{
    if (claimable || now < work.blockedUntil) {
        return false;
    }
    const bool conflicted = work.next < work.walk.size() && !work.claimNeedsScan;
    if (work.scanWanted || conflicted || (work.claimNeedsScan && wanted)) {
        return now - work.scannedAt >= finalScanInterval;
    }
    return wanted && now - work.scannedAt >= scanInterval && now >= state.nextIdleScan;
}

asio::awaitable<void> acquire(BatchStatePtr state, JobId job, std::uint32_t group)
{
    co_await claimGroup(state, std::move(job), group, std::nullopt, false);
    state->claiming = false;
    wakePump(*state);
}

asio::awaitable<void> scan(BatchStatePtr state, JobId job, bool takeOver)
{
    co_await scanJob(state, std::move(job), takeOver);
    state->claiming = false;
}

/** Starts one claim or scan if there is a need; one at a time bounds the load on the key-value service. */
void acquireWork(const BatchStatePtr &state, Turn &turn)
{
    if (state->claiming || !mayCallKv(*state)) {
        return;
    }
    const TimePoint now = BootClock::now();
    for (JobWork *work : turn.jobs) {
        const auto group = nextClaim(*work);
        if (group && wantsGroup(*state, turn, work->record->workspace, modelOfGroup(*work->record, *group))) {
            state->claiming = true;
            asio::co_spawn(state->context.batch, acquire(state, work->record->id, *group), asio::detached);
            return;
        }
        const bool wanted = wantsAny(*state, turn, *work->record);
        if (isScanDue(*state, *work, group.has_value(), wanted, now)) {
            work->scannedAt = now;
            state->nextIdleScan = now + idleScanInterval(*turn.snapshot);
            state->claiming = true;
            asio::co_spawn(state->context.batch, scan(state, work->record->id, wanted), asio::detached);
            return;
        }
    }
}

/** Held groups of urgent jobs first; within a job those claimed first. */
std::vector<std::shared_ptr<HeldGroup>> orderGroups(const BatchState &state, const std::vector<JobWork *> &jobs)
{
    std::map<JobId, std::size_t> rank;
    for (const JobWork *work : jobs) {
        rank.emplace(work->record->id, rank.size());
    }
    auto groups = state.held;
    std::stable_sort(groups.begin(), groups.end(), [&rank](const auto &left, const auto &right) {
        return rank[left->job->id] < rank[right->job->id];
    });
    return groups;
}

void turnOnce(const BatchStatePtr &state)
{
    Turn turn;
    turn.snapshot = snapshotOf(*state);
    syncJobs(*state, turn.snapshot);
    refreshStatus(*state);
    if (!checkLease(*state, *turn.snapshot)) {
        return;
    }
    verifyGroups(state);
    finishGroups(state);
    if (state->draining || turn.snapshot->stopping) {
        return;
    }
    turn.targets = planTargets(*state, *turn.snapshot);
    turn.jobs = jobsByUrgency(*state, *turn.snapshot);
    turn.groups = orderGroups(*state, turn.jobs);
    reserveTargets(*state, turn);
    for (const TargetView *view : turn.targets) {
        fillTarget(state, turn, *view);
    }
    acquireWork(state, turn);
}

} // namespace

asio::awaitable<void> pumpLoop(BatchStatePtr state)
{
    for (;;) {
        turnOnce(state);
        state->pumpTimer.expires_after(pumpInterval);
        co_await state->pumpTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace skylark
