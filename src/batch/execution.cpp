/** @file execution.cpp Execution loop: checks the lease, starts items, claims groups and writes completions. */
#include "batch/batch_internal_func.h"
#include "batch/batch_record_func.h"
#include "batch/job_parse_func.h"
#include "core/task_func.h"
#include "policy/item_attempt_func.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr auto loopInterval = std::chrono::milliseconds(20); ///< Bounds the delay until a cancellation or a new limit takes effect on this host.
constexpr std::size_t queueSearchDepth = 16; ///< Items at the front of a queue, without delayed ones, that are searched for one that may run on the target.

void suspendStreams(BatchState &state)
{
    const unsigned streams = abortRuns(state, nullptr);
    addCounter(*state.context.metrics, "skylark_batch_suspended_total");
    logBatch(state, "session lease expired: " + std::to_string(streams) + " streams cancelled; they resume after the lease is renewed");
}

/** Detects expiry of the session lease; then cancels all streams and marks the held groups as unverified. @return Whether the lease is valid now. */
bool checkLease(BatchState &state, const ControlSnapshot &snapshot)
{
    const TimePoint now = BootClock::now();
    const bool hadLease = state.lastLeaseDeadline != TimePoint{};
    const bool expired = hadLease && now >= state.lastLeaseDeadline;
    state.lastLeaseDeadline = std::max(state.lastLeaseDeadline, snapshot.leaseDeadline);
    const bool holds = now < snapshot.leaseDeadline;
    // A renewal is due long before the deadline. If a deadline passed before a newer one was seen, the session key may have been deleted meanwhile.
    if ((expired || !holds) && !state.suspended) {
        state.suspended = true;
        ++state.leaseExpiries;
        if (hadLease) {
            suspendStreams(state);
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

void dropEndedJobs(BatchState &state)
{
    std::vector<JobId> ended;
    for (const auto &[id, work] : state.jobs) {
        if (state.endedJobs.contains(id)) {
            ended.push_back(id);
        }
    }
    for (const JobId &id : ended) {
        removeActiveJob(state, id);
    }
    const auto held = state.held;
    for (const auto &group : held) {
        if (state.endedJobs.contains(group->job->id)) {
            dropGroup(state, group, GroupStatus::HeldElsewhere);
        }
    }
}

/** Adds the new jobs of the snapshot and ends work on those that are cancelled or done. */
void syncJobs(BatchState &state, const std::shared_ptr<const ControlSnapshot> &snapshot)
{
    if (state.syncedSnapshot != snapshot) {
        state.syncedSnapshot = snapshot;
        for (const auto &record : snapshot->jobs) {
            if (record->state == JobState::Active) {
                addActiveJob(state, record);
            } else {
                state.endedJobs.insert(record->id);
            }
        }
    }
    dropEndedJobs(state);
}

void verifyGroups(const BatchStatePtr &state)
{
    for (const auto &group : state->held) {
        if (group->unverified && !group->verifying && mayCallKv(*state)) {
            group->verifying = true;
            startTask(state->context.batch.get_executor(), "verification of a group", verifyGroup(state, group), [group] {
                group->verifying = false;
            });
        }
    }
}

void finishGroups(const BatchStatePtr &state)
{
    for (const auto &group : state->held) {
        if (group->phase == GroupPhase::Running && group->left == 0) {
            group->phase = GroupPhase::Finishing;
            startLoop(state->context.batch.get_executor(), "completion of a group", [state, group] {
                return finishGroup(state, group);
            });
        }
    }
}

bool isStartable(const HeldGroup &group)
{
    return group.phase == GroupPhase::Running && !group.unverified;
}

std::vector<TargetId> targetsFor(const Iteration &iteration, const HeldGroup &group)
{
    std::vector<TargetId> ids;
    for (const TargetView *view : iteration.targets) {
        if (servesModel(*view, *iteration.snapshot, group.job->workspace, group.model)) {
            ids.push_back(view->info.id);
        }
    }
    return ids;
}

using ItemQueue = std::deque<std::size_t>; ///< Indices of items of a held group.

/** @return The first item in @p queue that may run on @p target now, or the end of the queue. @param usable Targets on which the group can run. */
ItemQueue::const_iterator findItem(const HeldGroup &group, const ItemQueue &queue, const TargetId &target, const std::vector<TargetId> &usable)
{
    const TimePoint now = BootClock::now();
    std::size_t searched = 0;
    for (auto place = queue.begin(); place != queue.end() && searched < queueSearchDepth; ++place) {
        const BatchItem &item = group.items[*place];
        if (now < item.notBefore) {
            continue;
        }
        if (mayTryTarget(item.history, target, usable)) {
            return place;
        }
        ++searched;
    }
    return queue.end();
}

/** Removes the first item from @p queue that may run on @p target now. @param usable Targets on which the group can run. */
std::optional<std::size_t> popItem(const HeldGroup &group, ItemQueue &queue, const TargetId &target, const std::vector<TargetId> &usable)
{
    const auto place = findItem(group, queue, target, usable);
    if (place == queue.end()) {
        return std::nullopt;
    }
    const std::size_t item = *place;
    queue.erase(place);
    return item;
}

/**
 * Starts an item of the first group that has one for the target.
 * @param isolated Whether to start an isolated item, as the only batch stream of the target.
 * @return Whether one was started.
 */
bool startNext(const BatchStatePtr &state, const Iteration &iteration, const TargetView &view, bool isolated)
{
    for (const auto &group : iteration.groups) {
        ItemQueue &queue = isolated ? group->isolated : group->waiting;
        if (!isStartable(*group) || queue.empty() || !servesModel(view, *iteration.snapshot, group->job->workspace, group->model)) {
            continue;
        }
        const auto item = popItem(*group, queue, view.info.id, targetsFor(iteration, *group));
        if (!item) {
            continue;
        }
        if (startItem(state, view, group, *item, isolated)) {
            return true;
        }
        queue.push_front(*item);
    }
    return false;
}

bool hasIsolatedFor(const Iteration &iteration, const TargetView &view)
{
    return std::any_of(iteration.groups.begin(), iteration.groups.end(), [&iteration, &view](const auto &group) {
        if (!isStartable(*group) || !servesModel(view, *iteration.snapshot, group->job->workspace, group->model)) {
            return false;
        }
        return findItem(*group, group->isolated, view.info.id, targetsFor(iteration, *group)) != group->isolated.end();
    });
}

/**
 * Decides which targets are reserved for isolated items: at most half of them but at least one, so that other work goes on.
 * Targets that are reserved already come first.
 */
void reserveTargets(BatchState &state, const Iteration &iteration)
{
    const std::size_t most = std::max<std::size_t>(1, iteration.targets.size() / 2);
    std::size_t reserved = 0;
    for (const bool keep : {true, false}) {
        for (const TargetView *view : iteration.targets) {
            BatchTarget &target = state.targets[view->info.id];
            if (target.reserved == keep) {
                target.reserved = reserved < most && hasIsolatedFor(iteration, *view);
                reserved += target.reserved ? 1 : 0;
            }
        }
    }
}

void fillTarget(const BatchStatePtr &state, const Iteration &iteration, const TargetView &view)
{
    BatchTarget &target = state->targets[view.info.id];
    const bool occupied = std::any_of(target.running.begin(), target.running.end(), [](const auto &run) {
        return run->exclusive;
    });
    if (occupied) {
        return;
    }
    if (target.reserved) {
        if (target.running.empty() && target.limit > 0) {
            startNext(state, iteration, view, true);
        }
        return;
    }
    while (target.running.size() < target.limit && startNext(state, iteration, view, false)) {
    }
}

/** @return The held groups in the order of @p jobs; within a job in the order of their claims. */
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

void runIteration(const BatchStatePtr &state)
{
    Iteration iteration;
    iteration.snapshot = snapshotOf(*state);
    syncJobs(*state, iteration.snapshot);
    refreshStatus(*state);
    if (!checkLease(*state, *iteration.snapshot)) {
        return;
    }
    verifyGroups(state);
    finishGroups(state);
    if (state->draining || iteration.snapshot->stopping) {
        return;
    }
    iteration.targets = planTargets(*state, *iteration.snapshot);
    iteration.jobs = jobsByUrgency(*state, *iteration.snapshot);
    iteration.groups = orderGroups(*state, iteration.jobs);
    reserveTargets(*state, iteration);
    for (const TargetView *view : iteration.targets) {
        fillTarget(state, iteration, *view);
    }
    acquireWork(state, iteration);
}

} // namespace

asio::awaitable<void> executionLoop(BatchStatePtr state)
{
    for (;;) {
        runIteration(state);
        state->loopTimer.expires_after(loopInterval);
        co_await state->loopTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace skylark
