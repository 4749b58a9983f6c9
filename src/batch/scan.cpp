/** @file scan.cpp Scans the groups of a job: takes over groups of ended sessions and marks the job done. */
#include "batch/batch_internal_func.h"
#include "batch/batch_record_func.h"

#include <charconv>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr auto sessionListMaxAge = std::chrono::seconds(5); ///< While the list is younger than this, holders that it contains count as alive.
constexpr std::size_t maxTakeOvers = 2; ///< Groups taken over after one scan; more would only wait on this host.

/** Group records of a job at one read. */
struct GroupScan {
    std::map<std::uint32_t, VersionedGroup> groups; ///< Records by group number.
    std::uint32_t done{0}; ///< Number of groups that are done.
    std::uint64_t items{0}; ///< Number of items in done groups.
};

/** Parses the group records of a range read; ignores malformed entries. */
GroupScan readScan(const JobId &job, const KvPage &page)
{
    GroupScan scan;
    const std::size_t skip = batchGroupPrefix(job).size();
    for (const KvEntry &entry : page.entries) {
        std::uint32_t index = 0;
        const char *end = entry.key.data() + entry.key.size();
        auto record = parseBatchGroup(entry.value);
        if (entry.key.size() <= skip || std::from_chars(entry.key.data() + skip, end, index).ptr != end || !isOk(record)) {
            continue;
        }
        scan.done += valueOf(record).state == GroupState::Done ? 1 : 0;
        scan.items += valueOf(record).state == GroupState::Done ? valueOf(record).finished : 0;
        scan.groups[index] = {std::move(valueOf(record)), entry.version};
    }
    return scan;
}

GroupStatus statusFor(const GroupRecord &record)
{
    return record.state == GroupState::Done ? GroupStatus::Done : GroupStatus::HeldElsewhere;
}

void applyScan(JobWork &work, const GroupScan &scan)
{
    work.conflicts = 0;
    work.scanWanted = false;
    work.next = 0;
    work.itemsDone = scan.items;
    for (std::uint32_t i = 0; i < work.groupStatus.size(); ++i) {
        const auto found = scan.groups.find(i);
        if (work.groupStatus[i] != GroupStatus::Held) {
            work.groupStatus[i] = found == scan.groups.end() ? GroupStatus::Unknown : statusFor(found->second.record);
        }
    }
}

/** @return Whether the live sessions must be read: a holder is not among those known, or the list is too old. */
bool needsSessions(const BatchState &state, const GroupScan &scan, const SessionId &own)
{
    for (const auto &[index, group] : scan.groups) {
        if (group.record.state == GroupState::Claimed && group.record.session != own && !state.liveSessions.contains(group.record.session)) {
            return true;
        }
    }
    return !state.liveSessionsAt || BootClock::now() - *state.liveSessionsAt > sessionListMaxAge;
}

/**
 * Reads the keys of the live sessions. Must follow the read of the groups, because a session that began in between would look ended.
 * @return Whether the read succeeded.
 */
asio::awaitable<bool> readSessions(BatchStatePtr state)
{
    constexpr std::string_view prefix = "session/";
    co_await throttleKvCall(state);
    auto page = co_await kvRangeAll(*state->kv, std::string(prefix));
    recordKvOutcome(*state, isOk(page) ? std::nullopt : std::optional(errorOf(page).code));
    if (!isOk(page)) {
        co_return false;
    }
    state->liveSessions.clear();
    for (const KvEntry &entry : valueOf(page).entries) {
        state->liveSessions.insert(SessionId{entry.key.substr(prefix.size())});
    }
    state->liveSessionsAt = BootClock::now();
    co_return true;
}

bool canTakeOver(const BatchState &state, const JobId &job, std::uint32_t index, const GroupRecord &record, const SessionId &own)
{
    const auto work = state.jobs.find(job);
    if (record.state == GroupState::Done || work == state.jobs.end() || work->second.groupStatus[index] == GroupStatus::Held) {
        return false;
    }
    return record.state == GroupState::Released || record.session == own || !state.liveSessions.contains(record.session);
}

asio::awaitable<void> takeOverGroups(BatchStatePtr state, JobId job, GroupScan scan)
{
    const SessionId own = snapshotOf(*state)->session;
    if (needsSessions(*state, scan, own)) {
        const bool known = co_await readSessions(state);
        if (!known) {
            co_return;
        }
    }
    std::size_t takenOver = 0;
    for (const auto &[index, group] : scan.groups) {
        if (takenOver < maxTakeOvers && canTakeOver(*state, job, index, group.record, own)) {
            ++takenOver;
            co_await claimGroup(state, job, index, group, true);
        }
    }
}

/** Writes the state done to the record of a job whose groups are all done, and announces the record. */
asio::awaitable<void> markJobDone(BatchStatePtr state, JobId job)
{
    co_await throttleKvCall(state);
    auto entry = co_await kvGet(*state->kv, batchJobKey(job));
    if (!isOk(entry) || !valueOf(entry)) {
        co_return;
    }
    auto record = parseBatchJob(job, valueOf(entry)->value, valueOf(entry)->version);
    if (!isOk(record)) {
        co_return;
    }
    JobRecord done = std::move(valueOf(record));
    if (done.state == JobState::Active) {
        done.state = JobState::Done;
        done.writeId = newWriteId();
        auto version = co_await writeRecord(state, batchJobKey(job), renderBatchJob(done), done.writeId, done.version);
        if (!isOk(version)) {
            co_return;
        }
        done.version = valueOf(version);
        logBatch(*state, "job " + job.value + " done");
    }
    state->endedJobs.insert(job);
    if (state->context.announceJob) {
        state->context.announceJob(std::move(done));
    }
}

} // namespace

asio::awaitable<void> scanJob(BatchStatePtr state, JobId job, bool takeOver)
{
    co_await throttleKvCall(state);
    auto page = co_await kvRangeAll(*state->kv, batchGroupPrefix(job));
    recordKvOutcome(*state, isOk(page) ? std::nullopt : std::optional(errorOf(page).code));
    const auto work = state->jobs.find(job);
    if (!isOk(page) || work == state->jobs.end()) {
        co_return;
    }
    work->second.scannedAt = BootClock::now();
    GroupScan scan = readScan(job, valueOf(page));
    applyScan(work->second, scan);
    if (scan.done == work->second.record->groupCount) {
        co_await markJobDone(state, job);
    } else if (takeOver) {
        co_await takeOverGroups(state, job, std::move(scan));
    }
    wakeExecutionLoop(*state);
}

} // namespace skylark
