/** @file scan.cpp Reading a job's groups: takeover of groups of vanished sessions, and the end of the job. */
#include "batch/batch_internal_func.h"
#include "batch/batch_record_func.h"

#include <charconv>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr auto sessionCache = std::chrono::seconds(5); ///< A list this old may still show that all holders live.
constexpr std::size_t maxTakeOvers = 2; ///< Groups taken over by one scan; more would only lie ahead.

/** Groups of a job as read. */
struct GroupScan {
    std::map<std::uint32_t, VersionedGroup> groups; ///< Records by number.
    std::uint32_t done{0}; ///< Groups done.
    std::uint64_t items{0}; ///< Items in done groups.
};

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

GroupMark markFor(const GroupRecord &record)
{
    return record.state == GroupState::Done ? GroupMark::Done : GroupMark::Elsewhere;
}

void applyScan(JobWork &work, const GroupScan &scan)
{
    work.conflicts = 0;
    work.scanWanted = false;
    work.next = 0;
    work.itemsDone = scan.items;
    for (std::uint32_t i = 0; i < work.marks.size(); ++i) {
        const auto found = scan.groups.find(i);
        if (work.marks[i] != GroupMark::Held) {
            work.marks[i] = found == scan.groups.end() ? GroupMark::Unknown : markFor(found->second.record);
        }
    }
}

bool needsSessions(const BatchState &state, const GroupScan &scan, const SessionId &own)
{
    for (const auto &[index, group] : scan.groups) {
        if (group.record.state == GroupState::Claimed && group.record.session != own && !state.liveSessions.contains(group.record.session)) {
            return true;
        }
    }
    return !state.liveSessionsAt || BootClock::now() - *state.liveSessionsAt > sessionCache;
}

/** Reads the session keys. The read follows that of the groups, because a session may have begun in between. */
asio::awaitable<bool> readSessions(BatchStatePtr state)
{
    constexpr std::string_view prefix = "session/";
    co_await paceKv(state);
    auto page = co_await kvRangeAll(*state->kv, std::string(prefix));
    noteKvOutcome(*state, isOk(page) ? std::nullopt : std::optional(errorOf(page).code));
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
    if (record.state == GroupState::Done || work == state.jobs.end() || work->second.marks[index] == GroupMark::Held) {
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
    std::size_t taken = 0;
    for (const auto &[index, group] : scan.groups) {
        if (taken < maxTakeOvers && canTakeOver(*state, job, index, group.record, own)) {
            ++taken;
            co_await claimGroup(state, job, index, group, true);
        }
    }
}

/** Marks a job done once all its groups are. */
asio::awaitable<void> markJobDone(BatchStatePtr state, JobId job)
{
    co_await paceKv(state);
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
    state->stopped.insert(job);
    if (state->context.announceJob) {
        state->context.announceJob(std::move(done));
    }
}

} // namespace

asio::awaitable<void> scanJob(BatchStatePtr state, JobId job, bool takeOver)
{
    co_await paceKv(state);
    auto page = co_await kvRangeAll(*state->kv, batchGroupPrefix(job));
    noteKvOutcome(*state, isOk(page) ? std::nullopt : std::optional(errorOf(page).code));
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
    wakePump(*state);
}

} // namespace skylark
