/** @file drain.cpp Planned shutdown: releases the held groups with their partial results. */
#include "batch/batch_internal_func.h"
#include "batch/batch_record_func.h"
#include "core/task_func.h"
#include "policy/claim_func.h"

namespace skylark {

namespace asio = boost::asio;

namespace {

/** Longest wait for completions and releases. Groups that are still held then are taken over by other hosts when the session ends. */
constexpr auto groupDrainTimeout = std::chrono::seconds(5);
constexpr auto groupDrainPollInterval = std::chrono::milliseconds(20); ///< Interval of the checks during groupDrainTimeout.

asio::awaitable<void> releaseGroup(BatchStatePtr state, std::shared_ptr<HeldGroup> group)
{
    const std::string lines = renderPartial(*group);
    BlobId partial;
    if (!lines.empty()) {
        partial = makeBlobId(group->job->id, group->index, "partial", lines);
        const auto stored = co_await storeReplicated(*state->blobs, partial, lines);
        // The record must not name a blob that lacks its copies; without partial results the next holder runs the items again.
        partial = isOk(stored) ? partial : BlobId{};
    }
    const GroupContext context = groupContext(*state, group->job->id);
    if (group->phase == GroupPhase::Dropped || group->unverified || context.now >= context.leaseDeadline) {
        dropGroup(*state, group, GroupStatus::HeldElsewhere);
        co_return;
    }
    const GroupRecord release = makeRelease(group->record, partial, newWriteId());
    checkGroupWrite(group->record, release, context);
    const auto written = co_await writeRecord(state, batchGroupKey(group->job->id, group->index), renderBatchGroup(release), release.writeId, group->version);
    logBatch(*state,
             "group " + std::to_string(group->index) + " of job " + group->job->id.value + (isOk(written) ? " released" : " not released")
                 + (partial.empty() ? "" : " with partial results"));
    dropGroup(*state, group, GroupStatus::HeldElsewhere);
}

} // namespace

asio::awaitable<void> drainBatch(BatchService &service)
{
    const BatchStatePtr state = service.impl;
    state->draining = true;
    abortRuns(*state, nullptr);
    const auto held = state->held;
    for (const auto &group : held) {
        const bool finishing = group->phase == GroupPhase::Finishing || (group->phase == GroupPhase::Running && group->left == 0);
        if (!finishing) {
            startTask(state->context.batch.get_executor(), "release of a group", releaseGroup(state, group), [state, group] {
                dropGroup(*state, group, GroupStatus::HeldElsewhere);
            });
        }
    }
    const TimePoint deadline = BootClock::now() + groupDrainTimeout;
    while ((!state->held.empty() || state->claiming) && BootClock::now() < deadline) {
        wakeExecutionLoop(*state);
        co_await pauseFor(state->context.batch.get_executor(), groupDrainPollInterval);
    }
}

} // namespace skylark
