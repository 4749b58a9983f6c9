/** @file claims.cpp Claiming groups and giving them up. */
#include "batch/batch_internal_func.h"
#include "batch/batch_record_func.h"
#include "policy/claim_func.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace skylark {

namespace asio = boost::asio;

namespace {

bool isHeld(const BatchState &state, const JobId &job, std::uint32_t group)
{
    return std::any_of(state.held.begin(), state.held.end(), [&job, group](const auto &held) {
        return held->job->id == job && held->index == group;
    });
}

void mark(BatchState &state, const JobId &job, std::uint32_t group, GroupMark mark)
{
    const auto work = state.jobs.find(job);
    if (work != state.jobs.end() && group < work->second.marks.size()) {
        work->second.marks[group] = mark;
    }
}

/** A group that was done unseen may have been the last one of its job. */
void wantScan(BatchState &state, const JobId &job)
{
    const auto work = state.jobs.find(job);
    if (work != state.jobs.end()) {
        work->second.scanWanted = true;
    }
}

void holdGroup(const BatchStatePtr &state, const JobId &job, std::uint32_t index, VersionedGroup claimed, std::uint64_t lapses, std::string_view how)
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
    group->unverified = lapses != state->lapses || state->suspended;
    mark(*state, job, index, GroupMark::Held);
    state->held.push_back(group);
    addCounter(*state->context.metrics, "skylark_batch_groups_claimed_total", {{"how", how}});
    logBatch(*state,
             "group " + std::to_string(index) + " of job " + job.value + " " + std::string(how) + " at epoch " + std::to_string(group->record.epoch.value));
    asio::co_spawn(state->context.batch, loadGroup(state, group), asio::detached);
}

/** @return Whether the present value in a conflict settles the claim; otherwise the record has to be read. */
bool settledByConflict(BatchState &state, const JobId &job, std::uint32_t index, const Error &conflict, const SessionId &own)
{
    const auto present = parseBatchGroup(conflict.detail);
    if (!isOk(present) || valueOf(present).state == GroupState::Released || valueOf(present).session == own) {
        return false;
    }
    mark(state, job, index, valueOf(present).state == GroupState::Done ? GroupMark::Done : GroupMark::Elsewhere);
    return true;
}

asio::awaitable<std::optional<VersionedGroup>> readGroup(BatchStatePtr state, JobId job, std::uint32_t index)
{
    auto entry = co_await kvGet(*state->kv, batchGroupKey(job, index));
    noteKvOutcome(*state, isOk(entry) ? std::nullopt : std::optional(errorOf(entry).code));
    if (!isOk(entry) || !valueOf(entry)) {
        co_return std::nullopt;
    }
    auto record = parseBatchGroup(valueOf(entry)->value);
    if (!isOk(record)) {
        co_return std::nullopt;
    }
    co_return VersionedGroup{std::move(valueOf(record)), valueOf(entry)->version};
}

void noteConflict(BatchState &state, const JobId &job)
{
    const auto work = state.jobs.find(job);
    if (work != state.jobs.end()) {
        ++work->second.conflicts;
    }
    addCounter(*state.context.metrics, "skylark_batch_claim_conflicts_total");
}

/** Writes one claim. @return The error of the write, if any. */
asio::awaitable<std::optional<Error>> tryClaim(BatchStatePtr state, JobId job, std::uint32_t index, std::optional<VersionedGroup> present, bool sessionsKnown)
{
    const std::uint64_t lapses = state->lapses;
    const std::set<SessionId> *live = sessionsKnown ? &state->liveSessions : nullptr;
    ClaimDecision decision = decideClaim(present, live, groupContext(*state, job), newWriteId());
    switch (decision.action) {
    case ClaimAction::Resume:
        holdGroup(state, job, index, *present, lapses, "resumed");
        co_return std::nullopt;
    case ClaimAction::Leave:
        mark(*state, job, index, GroupMark::Elsewhere);
        co_return std::nullopt;
    case ClaimAction::Finished:
        mark(*state, job, index, GroupMark::Done);
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
    holdGroup(state, job, index, {std::move(decision.write), valueOf(version)}, lapses, how);
    co_return std::nullopt;
}

} // namespace

asio::awaitable<void> claimGroup(BatchStatePtr state, JobId job, std::uint32_t group, std::optional<VersionedGroup> present, bool sessionsKnown)
{
    co_await paceKv(state);
    const auto failure = co_await tryClaim(state, job, group, std::move(present), sessionsKnown);
    if (!failure || failure->code != ErrorCode::VersionConflict) {
        co_return;
    }
    noteConflict(*state, job);
    if (settledByConflict(*state, job, group, *failure, snapshotOf(*state)->session)) {
        co_return;
    }
    // A released group, or an own claim whose answer was lost, can be held with the version of its key.
    auto read = co_await readGroup(state, job, group);
    if (read) {
        co_await tryClaim(state, job, group, std::move(read), false);
    }
}

std::optional<std::uint32_t> nextClaim(JobWork &work)
{
    // After a few lost claims most groups are taken, and one range read is cheaper than more attempts.
    constexpr unsigned conflictsBeforeScan = 3;
    if (work.conflicts >= conflictsBeforeScan || BootClock::now() < work.blockedUntil) {
        return std::nullopt;
    }
    while (work.next < work.walk.size() && work.marks[work.walk[work.next]] != GroupMark::Unknown) {
        ++work.next;
    }
    work.claimNeedsScan = false;
    if (work.next == work.walk.size()) {
        return std::nullopt;
    }
    // Another host claims these groups first, and a lost claim counts as a write: a recent read tells which are still free.
    constexpr auto freshScan = std::chrono::seconds(1);
    work.claimNeedsScan = work.next >= work.ownGroups && BootClock::now() - work.scannedAt > freshScan;
    if (work.claimNeedsScan) {
        return std::nullopt;
    }
    return work.walk[work.next];
}

asio::awaitable<void> verifyGroup(BatchStatePtr state, std::shared_ptr<HeldGroup> group)
{
    const std::uint64_t lapses = state->lapses;
    co_await paceKv(state);
    auto entry = co_await kvGet(*state->kv, batchGroupKey(group->job->id, group->index));
    noteKvOutcome(*state, isOk(entry) ? std::nullopt : std::optional(errorOf(entry).code));
    group->verifying = false;
    if (!isOk(entry) || group->phase == GroupPhase::Dropped || lapses != state->lapses) {
        co_return;
    }
    const auto record = valueOf(entry) ? parseBatchGroup(valueOf(entry)->value) : Result<GroupRecord>(makeError(ErrorCode::NotFound, "no record"));
    if (!isOk(record) || !holdsGroup(valueOf(record), snapshotOf(*state)->session, group->record.epoch)) {
        const bool done = isOk(record) && valueOf(record).state == GroupState::Done;
        dropGroup(*state, group, done ? GroupMark::Done : GroupMark::Elsewhere);
        wantScan(*state, group->job->id);
        co_return;
    }
    group->record = valueOf(record);
    group->version = valueOf(entry)->version;
    group->unverified = false;
    wakePump(*state);
}

void dropGroup(BatchState &state, const std::shared_ptr<HeldGroup> &group, GroupMark newMark)
{
    if (group->phase == GroupPhase::Dropped) {
        return;
    }
    abortRuns(state, group.get());
    group->phase = GroupPhase::Dropped;
    std::erase(state.held, group);
    mark(state, group->job->id, group->index, newMark);
    if (newMark != GroupMark::Done) {
        logBatch(state, "group " + std::to_string(group->index) + " of job " + group->job->id.value + " dropped");
    }
}

} // namespace skylark
