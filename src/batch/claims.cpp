/** @file claims.cpp Claims groups, verifies them after a lease expiry and drops them. */
#include "batch/batch_internal_func.h"
#include "batch/batch_record_func.h"
#include "core/task_func.h"
#include "policy/claim_func.h"

#include <algorithm>

namespace skylark {

namespace asio = boost::asio;

namespace {

bool isHeld(const BatchState &state, const JobId &job, std::uint32_t group)
{
    return std::any_of(state.held.begin(), state.held.end(), [&job, group](const auto &held) {
        return held->job->id == job && held->index == group;
    });
}

void setGroupStatus(BatchState &state, const JobId &job, std::uint32_t group, GroupStatus status)
{
    const auto work = state.jobs.find(job);
    if (work != state.jobs.end() && group < work->second.groupStatus.size()) {
        work->second.groupStatus[group] = status;
    }
}

/** Requests a scan of the job, because a group that another host completed may have been the last one of the job. */
void requestScan(BatchState &state, const JobId &job)
{
    const auto work = state.jobs.find(job);
    if (work != state.jobs.end()) {
        work->second.scanWanted = true;
    }
}

void holdGroup(const BatchStatePtr &state, const JobId &job, std::uint32_t index, VersionedGroup claimed, std::uint64_t leaseExpiries, std::string_view how)
{
    const auto work = state->jobs.find(job);
    if (work == state->jobs.end() || isHeld(*state, job, index)) {
        return;
    }
    auto group = std::make_shared<HeldGroup>();
    group->job = work->second.record;
    group->index = index;
    group->model = modelOfGroup(*group->job, index);
    group->record = std::move(claimed.record);
    group->version = claimed.version;
    group->unverified = leaseExpiries != state->leaseExpiries || state->suspended;
    setGroupStatus(*state, job, index, GroupStatus::Held);
    state->held.push_back(group);
    addCounter(*state->context.metrics, "skylark_batch_groups_claimed_total", {{"how", how}});
    logBatch(*state,
             "group " + std::to_string(index) + " of job " + job.value + " " + std::string(how) + " at epoch " + std::to_string(group->record.epoch.value));
    startTask(state->context.batch.get_executor(), "load of a group", loadGroup(state, group));
}

/** @return Whether the current record, as contained in the conflict error, rules out the claim; otherwise the record and its version must be read. */
bool settledByConflict(BatchState &state, const JobId &job, std::uint32_t index, const Error &conflict, const SessionId &own)
{
    const auto present = parseBatchGroup(conflict.detail);
    if (!isOk(present) || valueOf(present).state == GroupState::Released || valueOf(present).session == own) {
        return false;
    }
    setGroupStatus(state, job, index, valueOf(present).state == GroupState::Done ? GroupStatus::Done : GroupStatus::HeldElsewhere);
    return true;
}

asio::awaitable<std::optional<VersionedGroup>> readGroup(BatchStatePtr state, JobId job, std::uint32_t index)
{
    auto entry = co_await kvGet(*state->kv, batchGroupKey(job, index));
    recordKvOutcome(*state, isOk(entry) ? std::nullopt : std::optional(errorOf(entry).code));
    if (!isOk(entry) || !valueOf(entry)) {
        co_return std::nullopt;
    }
    auto record = parseBatchGroup(valueOf(entry)->value);
    if (!isOk(record)) {
        co_return std::nullopt;
    }
    co_return VersionedGroup{std::move(valueOf(record)), valueOf(entry)->version};
}

void recordClaimConflict(BatchState &state, const JobId &job)
{
    const auto work = state.jobs.find(job);
    if (work != state.jobs.end()) {
        ++work->second.conflicts;
    }
    addCounter(*state.context.metrics, "skylark_batch_claim_conflicts_total");
}

/** @return Whether the record of @p job in the key-value service is active; nothing when it could not be read. */
asio::awaitable<std::optional<bool>> readJobActive(BatchStatePtr state, JobId job)
{
    co_await throttleKvCall(state);
    auto entry = co_await kvGet(*state->kv, batchJobKey(job));
    recordKvOutcome(*state, isOk(entry) ? std::nullopt : std::optional(errorOf(entry).code));
    if (!isOk(entry)) {
        co_return std::nullopt;
    }
    const auto record =
        valueOf(entry) ? parseBatchJob(job, valueOf(entry)->value, valueOf(entry)->version) : Result<JobRecord>(makeError(ErrorCode::NotFound, "no record"));
    co_return isOk(record) && valueOf(record).state == JobState::Active;
}

/** Decides about a claim and writes it if need be. @return The error of the write, if any. */
asio::awaitable<std::optional<Error>> tryClaim(BatchStatePtr state, JobId job, std::uint32_t index, std::optional<VersionedGroup> present, bool sessionsKnown)
{
    const std::uint64_t leaseExpiries = state->leaseExpiries;
    const std::set<SessionId> *live = sessionsKnown ? &state->liveSessions : nullptr;
    ClaimDecision decision = decideClaim(present, live, groupContext(*state, job), newWriteId());
    switch (decision.action) {
    case ClaimAction::Resume:
        holdGroup(state, job, index, *present, leaseExpiries, "resumed");
        co_return std::nullopt;
    case ClaimAction::Leave:
        setGroupStatus(*state, job, index, GroupStatus::HeldElsewhere);
        co_return std::nullopt;
    case ClaimAction::Finished:
        setGroupStatus(*state, job, index, GroupStatus::Done);
        co_return std::nullopt;
    case ClaimAction::Suspend:
    case ClaimAction::Stop:
        co_return std::nullopt;
    case ClaimAction::Create:
    case ClaimAction::TakeOver:
        break;
    }
    const std::string_view how = decision.action == ClaimAction::Create ? "claimed" : "taken over";
    auto version = co_await writeRecord(state, batchGroupKey(job, index), renderBatchGroup(decision.write), decision.write.writeId, decision.expected);
    if (!isOk(version)) {
        co_return errorOf(version);
    }
    holdGroup(state, job, index, {std::move(decision.write), valueOf(version)}, leaseExpiries, how);
    co_return std::nullopt;
}

} // namespace

asio::awaitable<void> claimGroup(BatchStatePtr state, JobId job, std::uint32_t group, std::optional<VersionedGroup> present, bool sessionsKnown)
{
    co_await throttleKvCall(state);
    const auto failure = co_await tryClaim(state, job, group, std::move(present), sessionsKnown);
    if (!failure || failure->code != ErrorCode::VersionConflict) {
        co_return;
    }
    recordClaimConflict(*state, job);
    if (settledByConflict(*state, job, group, *failure, snapshotOf(*state)->session)) {
        co_return;
    }
    // The group was released, or this session claimed it and the answer was lost: it can be claimed or resumed with the current version of its key.
    auto read = co_await readGroup(state, job, group);
    if (read) {
        co_await tryClaim(state, job, group, std::move(read), false);
    }
}

std::optional<std::uint32_t> nextClaim(JobWork &work)
{
    // After a few lost claims most groups are held by other hosts, and one range read is cheaper than more attempts.
    constexpr unsigned conflictsBeforeScan = 3;
    if (work.conflicts >= conflictsBeforeScan || BootClock::now() < work.blockedUntil) {
        return std::nullopt;
    }
    while (work.next < work.claimOrder.size() && work.groupStatus[work.claimOrder[work.next]] != GroupStatus::Unknown) {
        ++work.next;
    }
    work.claimNeedsScan = false;
    if (work.next == work.claimOrder.size()) {
        return std::nullopt;
    }
    // The groups after the own ones are claimed by other hosts first, and a lost claim counts as a write, so a recent scan must show which are still free.
    constexpr auto freshScan = std::chrono::seconds(1);
    work.claimNeedsScan = work.next >= work.preferredGroups && BootClock::now() - work.scannedAt > freshScan;
    if (work.claimNeedsScan) {
        return std::nullopt;
    }
    return work.claimOrder[work.next];
}

asio::awaitable<void> verifyGroup(BatchStatePtr state, std::shared_ptr<HeldGroup> group)
{
    const std::uint64_t leaseExpiries = state->leaseExpiries;
    co_await throttleKvCall(state);
    auto entry = co_await kvGet(*state->kv, batchGroupKey(group->job->id, group->index));
    recordKvOutcome(*state, isOk(entry) ? std::nullopt : std::optional(errorOf(entry).code));
    group->verifying = false;
    if (!isOk(entry) || group->phase == GroupPhase::Dropped || leaseExpiries != state->leaseExpiries) {
        co_return;
    }
    const auto record = valueOf(entry) ? parseBatchGroup(valueOf(entry)->value) : Result<GroupRecord>(makeError(ErrorCode::NotFound, "no record"));
    if (!isOk(record) || !holdsGroup(valueOf(record), snapshotOf(*state)->session, group->record.epoch)) {
        const bool done = isOk(record) && valueOf(record).state == GroupState::Done;
        dropGroup(*state, group, done ? GroupStatus::Done : GroupStatus::HeldElsewhere);
        requestScan(*state, group->job->id);
        co_return;
    }
    // The job may have been cancelled while this host was cut off or paused; a cancel does not change the records of groups.
    group->verifying = true;
    const std::optional<bool> active = co_await readJobActive(state, group->job->id);
    group->verifying = false;
    if (!active || group->phase == GroupPhase::Dropped || leaseExpiries != state->leaseExpiries) {
        co_return;
    }
    if (!*active) {
        state->endedJobs.insert(group->job->id);
        wakeExecutionLoop(*state);
        co_return;
    }
    group->record = valueOf(record);
    group->version = valueOf(entry)->version;
    group->unverified = false;
    wakeExecutionLoop(*state);
}

void dropGroup(BatchState &state, const std::shared_ptr<HeldGroup> &group, GroupStatus newStatus)
{
    if (group->phase == GroupPhase::Dropped) {
        return;
    }
    abortRuns(state, group.get());
    group->phase = GroupPhase::Dropped;
    std::erase(state.held, group);
    setGroupStatus(state, group->job->id, group->index, newStatus);
    if (newStatus != GroupStatus::Done) {
        logBatch(state, "group " + std::to_string(group->index) + " of job " + group->job->id.value + " is no longer held by this host");
    }
}

} // namespace skylark
