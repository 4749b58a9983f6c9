/** @file progress.cpp Progress, list, cancellation and results of jobs for callers, and their status for operators. */
#include "batch/batch_internal_func.h"
#include "batch/batch_record_func.h"
#include "core/task_func.h"
#include "policy/batch_order_func.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto progressCacheTime = std::chrono::seconds(1); ///< Bounds the reads of the key-value service by callers that poll.
constexpr auto refreshInterval = std::chrono::seconds(1); ///< Interval at which the item rate, the gauges and the status are updated.
constexpr double rateWeight = 0.1; ///< Weight of a new sample; averages the item rate over about ten seconds.
constexpr int cancelAttempts = 5; ///< Sufficient, because a conflict means that the record changed, which happens at most twice in its lifetime.

Error notFound(const JobId &job)
{
    return makeError(ErrorCode::NotFound, "no job " + job.value);
}

/** Reads the record of a job. @return NotFound when it does not exist or belongs to another workspace. */
asio::awaitable<Result<JobRecord>> readJob(BatchStatePtr state, WorkspaceId workspace, JobId job)
{
    auto entry = co_await kvGet(*state->kv, batchJobKey(job));
    if (!isOk(entry)) {
        co_return errorOf(entry);
    }
    if (!valueOf(entry)) {
        co_return notFound(job);
    }
    auto record = parseBatchJob(job, valueOf(entry)->value, valueOf(entry)->version);
    if (isOk(record) && valueOf(record).workspace != workspace) {
        co_return notFound(job);
    }
    co_return record;
}

/** Reads the group records of a job, sums up the done ones and caches the progress. */
asio::awaitable<Result<JobProgress>> countGroups(BatchStatePtr state, JobRecord record)
{
    auto page = co_await kvRangeAll(*state->kv, batchGroupPrefix(record.id));
    if (!isOk(page)) {
        co_return errorOf(page);
    }
    JobProgress progress;
    progress.job = std::move(record);
    for (const KvEntry &entry : valueOf(page).entries) {
        const auto group = parseBatchGroup(entry.value);
        if (isOk(group) && valueOf(group).state == GroupState::Done) {
            ++progress.groupsDone;
            progress.finished += valueOf(group).finished;
            progress.failed += valueOf(group).failed;
        }
    }
    const std::uint64_t left = progress.job.itemCount - std::min(progress.finished, progress.job.itemCount);
    progress.dueRisk = progress.job.state == JobState::Active && isDueAtRisk(progress.job.due, unixNow(), left, fleetRate(*state));
    state->progress[progress.job.id] = {progress, BootClock::now()};
    co_return progress;
}

/** @return Whether the job belongs to @p workspace; nothing when this host does not know the job. */
std::optional<bool> belongsTo(const BatchState &state, const WorkspaceId &workspace, const JobId &job)
{
    const auto snapshot = snapshotOf(state);
    for (const auto &record : snapshot->jobs) {
        if (record->id == job) {
            return record->workspace == workspace;
        }
    }
    const auto cached = state.progress.find(job);
    return cached == state.progress.end() ? std::nullopt : std::optional(cached->second.progress.job.workspace == workspace);
}

/** Stops work on a job that this host cancelled, without waiting for the next snapshot of the job list. */
void stopJob(BatchState &state, const JobRecord &record)
{
    state.endedJobs.insert(record.id);
    removeActiveJob(state, record.id);
    state.progress.erase(record.id);
    const auto held = state.held;
    for (const auto &group : held) {
        if (group->job->id == record.id) {
            dropGroup(state, group, GroupStatus::HeldElsewhere);
        }
    }
    if (state.context.announceJob) {
        state.context.announceJob(record);
    }
}

/** Reads a job record whose copy in the snapshot lacks input blobs, and adds the job; at most one read per job and second. */
asio::awaitable<void> fetchJob(BatchStatePtr state, JobId job)
{
    co_await throttleKvCall(state);
    auto entry = co_await kvGet(*state->kv, batchJobKey(job));
    recordKvOutcome(*state, isOk(entry) ? std::nullopt : std::optional(errorOf(entry).code));
    if (isOk(entry) && valueOf(entry)) {
        auto record = parseBatchJob(job, valueOf(entry)->value, valueOf(entry)->version);
        if (isOk(record) && valueOf(record).state != JobState::Active) {
            state->endedJobs.insert(job);
        } else if (isOk(record) && valueOf(record).inputBlobs.size() == valueOf(record).groupCount) {
            addActiveJob(*state, std::make_shared<const JobRecord>(std::move(valueOf(record))));
        }
    }
    co_await pauseFor(state->context.batch.get_executor(), std::chrono::seconds(1));
    state->fetching.erase(job);
}

json::object statusOf(const BatchState &state, const JobWork &work)
{
    json::object job;
    job["id"] = work.record->id.value;
    job["workspace"] = work.record->workspace.value;
    job["items"] = work.record->itemCount;
    job["groups"] = work.record->groupCount;
    job["itemsDone"] = work.record->itemCount - itemsLeft(work);
    job["dueUnixMs"] = work.record->due.time_since_epoch().count();
    job["groupsHeldHere"] = std::count_if(state.held.begin(), state.held.end(), [&work](const auto &group) {
        return group->job->id == work.record->id;
    });
    job["dueRisk"] = isDueAtRisk(work.record->due, unixNow(), itemsLeft(work), fleetRate(state));
    return job;
}

} // namespace

void addActiveJob(BatchState &state, const std::shared_ptr<const JobRecord> &record)
{
    if (state.endedJobs.contains(record->id) || state.jobs.contains(record->id)) {
        return;
    }
    if (record->inputBlobs.size() != record->groupCount) {
        if (mayCallKv(state) && state.fetching.insert(record->id).second) {
            const BatchStatePtr shared = state.shared_from_this();
            startTask(state.context.batch.get_executor(), "read of a job record", fetchJob(shared, record->id), [shared, id = record->id] {
                shared->fetching.erase(id);
            });
        }
        return;
    }
    JobWork work;
    work.record = record;
    const auto snapshot = snapshotOf(state);
    std::vector<HostId> hosts;
    for (const HostView &host : snapshot->hosts) {
        hosts.push_back(host.info.id);
    }
    work.claimOrder = groupClaimOrder(snapshot->self.id, record->id, record->groupCount);
    work.preferredGroups = movePreferredGroupsFirst(work.claimOrder, snapshot->self.id, hosts, record->id);
    work.groupStatus.assign(record->groupCount, GroupStatus::Unknown);
    state.jobs.emplace(record->id, std::move(work));
    state.jobOrderAt = {};
}

void removeActiveJob(BatchState &state, const JobId &job)
{
    // jobOrder holds pointers into jobs.
    state.jobOrder.clear();
    state.jobOrderAt = {};
    state.jobs.erase(job);
}

std::uint64_t itemsLeft(const JobWork &work)
{
    return work.record->itemCount - std::min<std::uint64_t>(work.itemsDone, work.record->itemCount);
}

double fleetRate(const BatchState &state)
{
    const auto snapshot = snapshotOf(state);
    const auto live = std::count_if(snapshot->hosts.begin(), snapshot->hosts.end(), [](const HostView &host) {
        return host.state == HostState::Live;
    });
    return state.itemsPerSecond * static_cast<double>(std::max<std::ptrdiff_t>(1, live));
}

void refreshStatus(BatchState &state)
{
    const TimePoint now = BootClock::now();
    if (now - state.refreshedAt < refreshInterval) {
        return;
    }
    const double seconds = std::chrono::duration<double>(now - state.refreshedAt).count();
    const double rate = static_cast<double>(state.itemsFinished - state.itemsAtRefresh) / seconds;
    state.itemsPerSecond = state.refreshedAt == TimePoint{} ? 0 : state.itemsPerSecond + rateWeight * (rate - state.itemsPerSecond);
    state.itemsAtRefresh = state.itemsFinished;
    state.refreshedAt = now;
    if (state.itemsFinished > 0) {
        const double writes = static_cast<double>(state.recordWrites) / static_cast<double>(state.itemsFinished);
        setGauge(*state.context.metrics, "skylark_batch_writes_per_item", {}, writes);
    }
    setGauge(*state.context.metrics, "skylark_batch_groups_held", {}, static_cast<double>(state.held.size()));
    json::array jobs;
    for (const auto &[id, work] : state.jobs) {
        jobs.emplace_back(statusOf(state, work));
    }
    std::string text = json::serialize(jobs);
    const std::scoped_lock lock(state.statusMutex);
    state.statusJson = std::move(text);
}

asio::awaitable<Result<JobProgress>> jobProgress(BatchService &service, WorkspaceId workspace, JobId job)
{
    const BatchStatePtr state = service.impl;
    const auto cached = state->progress.find(job);
    const bool known = cached != state->progress.end() && cached->second.progress.job.workspace == workspace;
    if (known && BootClock::now() - cached->second.readAt < progressCacheTime) {
        co_return cached->second.progress;
    }
    auto record = co_await readJob(state, workspace, job);
    if (!isOk(record)) {
        co_return errorOf(record);
    }
    co_return co_await countGroups(state, std::move(valueOf(record)));
}

asio::awaitable<Result<std::vector<JobProgress>>> listJobs(BatchService &service, WorkspaceId workspace)
{
    const BatchStatePtr state = service.impl;
    const auto snapshot = snapshotOf(*state);
    std::vector<JobProgress> list;
    for (const auto &record : snapshot->jobs) {
        if (record->workspace != workspace) {
            continue;
        }
        const auto cached = state->progress.find(record->id);
        const bool fresh = cached != state->progress.end() && BootClock::now() - cached->second.readAt < progressCacheTime;
        if (fresh) {
            list.push_back(cached->second.progress);
            continue;
        }
        auto progress = co_await countGroups(state, *record);
        if (!isOk(progress)) {
            co_return errorOf(progress);
        }
        list.push_back(std::move(valueOf(progress)));
    }
    co_return list;
}

asio::awaitable<Result<JobProgress>> cancelJob(BatchService &service, WorkspaceId workspace, JobId job)
{
    const BatchStatePtr state = service.impl;
    for (int attempt = 0; attempt < cancelAttempts; ++attempt) {
        auto read = co_await readJob(state, workspace, job);
        if (!isOk(read)) {
            co_return errorOf(read);
        }
        JobRecord record = std::move(valueOf(read));
        if (record.state != JobState::Active) {
            co_return co_await countGroups(state, std::move(record));
        }
        record.state = JobState::Cancelled;
        record.writeId = newWriteId();
        auto version = co_await writeRecord(state, batchJobKey(job), renderBatchJob(record), record.writeId, record.version);
        if (isOk(version)) {
            record.version = valueOf(version);
            logBatch(*state, "job " + job.value + " cancelled");
            stopJob(*state, record);
            co_return co_await countGroups(state, std::move(record));
        }
        if (errorOf(version).code != ErrorCode::VersionConflict) {
            co_return errorOf(version);
        }
    }
    co_return makeError(ErrorCode::PlatformUnavailable, "the record of job " + job.value + " changed during every attempt to cancel the job; retry later");
}

asio::awaitable<Result<std::string>> readGroupResults(BatchService &service, WorkspaceId workspace, JobId job, std::uint32_t group)
{
    const BatchStatePtr state = service.impl;
    auto belongs = belongsTo(*state, workspace, job);
    if (!belongs) {
        auto record = co_await readJob(state, workspace, job);
        if (!isOk(record)) {
            co_return errorOf(record);
        }
        belongs = true;
    }
    if (!*belongs) {
        co_return notFound(job);
    }
    auto entry = co_await kvGet(*state->kv, batchGroupKey(job, group));
    if (!isOk(entry)) {
        co_return errorOf(entry);
    }
    if (!valueOf(entry)) {
        co_return std::string();
    }
    const auto record = parseBatchGroup(valueOf(entry)->value);
    if (!isOk(record)) {
        co_return errorOf(record);
    }
    if (valueOf(record).state != GroupState::Done) {
        co_return std::string();
    }
    co_return co_await readReplicated(*state->blobs, valueOf(record).resultBlob);
}

} // namespace skylark
