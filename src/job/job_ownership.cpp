/** @file job_ownership.cpp Jobs that this host owns: reconciling them with their records, loading them, storing results and checkpoints. */
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "core/task_func.h"
#include "job/job_record_func.h"
#include "job/job_runner_base.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/** Drops a job that this host must no longer run, and interrupts its items. */
void dropOwnedJob(JobRunner::Impl &runner, const JobId &job)
{
    const auto found = runner.owned.find(job);
    if (found == runner.owned.end()) {
        return;
    }
    for (auto &[index, run] : found->second.runs) {
        run->cancelled = true;
        interruptRun(*run);
    }
    runner.owned.erase(found);
}

/** Restores checkpoints into items that have produced nothing on this host yet. */
void restoreCheckpoints(OwnedJob &owned, const ItemCheckpoints &checkpoints)
{
    for (const auto &[index, checkpoint] : checkpoints) {
        const auto found = owned.runs.find(index);
        if (found == owned.runs.end() || found->second->phase != ItemPhase::Pending || found->second->events > 0) {
            continue;
        }
        ItemRun &run = *found->second;
        run.failures = checkpoint.failures;
        if (!checkpoint.origin) {
            continue; // No version is known that could continue the text.
        }
        run.splitter.lastId = checkpoint.lastEventId;
        run.events = checkpoint.events;
        run.text = checkpoint.text;
        run.origin = checkpoint.origin;
    }
}

/** @return Checkpoints of the unfinished items that have received events or counted failures. */
ItemCheckpoints checkpointsOf(const OwnedJob &owned)
{
    ItemCheckpoints checkpoints;
    for (const auto &[index, run] : owned.runs) {
        if (run->phase != ItemPhase::Finished && (run->events > 0 || run->failures > 0)) {
            checkpoints[index] = {run->splitter.lastId, run->events, run->failures, run->text, run->origin};
        }
    }
    return checkpoints;
}

/** Records that the present checkpoints are being stored. */
void markCheckpointed(OwnedJob &owned)
{
    owned.checkpointedAt = BootClock::now();
    owned.checkpointedEvents = unfinishedEvents(owned);
}

} // namespace

void spawnLater(const RunnerPtr &runner, std::string_view name, std::function<asio::awaitable<void>()> task, std::function<void()> onFailure)
{
    asio::post(runner->registry->executor, [runner, name, task = std::move(task), onFailure = std::move(onFailure)] {
        startTask(runner->registry->executor, name, task(), onFailure);
    });
}

void reconcileOwnedJob(JobRunner::Impl &runner, const JobId &job)
{
    const auto known = runner.registry->jobs.find(job);
    const bool own = known != runner.registry->jobs.end() && known->second.record.owner == runner.registry->session && isOpen(known->second.record);
    const auto owned = runner.owned.find(job);
    if (!own) {
        if (owned != runner.owned.end() && known != runner.registry->jobs.end() && !isComplete(known->second.record)) {
            const StoredJob &record = known->second.record;
            logEvent(EventKind::JobDropped, job.value, {{"owner", record.owner.value}, {"ended", record.ended}});
        }
        dropOwnedJob(runner, job);
        return;
    }
    OwnedJob &entry = runner.owned[job];
    if (owned == runner.owned.end()) {
        entry.loaded = known->second.acceptedHere;
        entry.checkpointedAt = BootClock::now();
        for (std::uint32_t i = 0; i < known->second.record.items.size(); ++i) {
            entry.runs[i] = std::make_shared<ItemRun>();
        }
    }
    for (const ResultEntry &listed : known->second.record.listed) {
        const auto run = entry.runs.find(listed.index);
        if (run != entry.runs.end()) {
            run->second->cancelled = true;
            interruptRun(*run->second);
            entry.runs.erase(run);
        }
    }
}

asio::awaitable<void> loadOwnedJob(RunnerPtr runner, JobId job)
{
    const Result<ItemCheckpoints> checkpoints = co_await loadCheckpoints(runner->registry, job);
    Result<Done> loaded = Done{};
    if (isOk(checkpoints)) {
        loaded = co_await loadJobItems(runner->registry, job);
    }
    const auto owned = runner->owned.find(job);
    if (owned != runner->owned.end()) {
        owned->second.loading = false;
    }
    if (!isOk(checkpoints) || !isOk(loaded)) {
        const Error &error = isOk(checkpoints) ? errorOf(loaded) : errorOf(checkpoints);
        logEvent(EventKind::ItemFailed, {}, {{"job", job.value}, {"error", "load"}, {"detail", error.detail}});
    } else if (owned != runner->owned.end()) {
        restoreCheckpoints(owned->second, valueOf(checkpoints));
        owned->second.loaded = true;
    }
}

std::uint64_t unfinishedEvents(const OwnedJob &owned)
{
    std::uint64_t events = 0;
    for (const auto &[index, run] : owned.runs) {
        events += run->phase == ItemPhase::Finished ? 0 : run->events;
    }
    return events;
}

asio::awaitable<void> storeFinishedItems(RunnerPtr runner, JobId job)
{
    const auto owned = runner->owned.find(job);
    const auto known = runner->registry->jobs.find(job);
    if (owned == runner->owned.end() || known == runner->registry->jobs.end()) {
        co_return;
    }
    std::map<std::uint32_t, JobResult> finished;
    for (const auto &[index, run] : owned->second.runs) {
        if (run->phase == ItemPhase::Finished) {
            finished[index] = JobResult{known->second.record.items[index].id, run->state, run->text};
        }
    }
    ItemCheckpoints checkpoints = checkpointsOf(owned->second);
    markCheckpointed(owned->second);
    co_await commitResults(runner->registry, job, std::move(finished), std::move(checkpoints));
    const auto again = runner->owned.find(job);
    if (again != runner->owned.end()) {
        again->second.writing = false;
        reconcileOwnedJob(*runner, job);
    }
    if (const auto rest = runner->owned.find(job); rest != runner->owned.end()) {
        const bool waiting = std::any_of(rest->second.runs.begin(), rest->second.runs.end(), [](const auto &entry) {
            return entry.second->phase == ItemPhase::Finished;
        });
        rest->second.firstFinishedAt = waiting ? BootClock::now() : TimePoint{};
    }
}

asio::awaitable<void> checkpointOwnedJob(RunnerPtr runner, JobId job, bool release)
{
    const auto owned = runner->owned.find(job);
    if (owned == runner->owned.end()) {
        co_return;
    }
    ItemCheckpoints checkpoints = checkpointsOf(owned->second);
    markCheckpointed(owned->second);
    const auto saved = co_await saveCheckpoints(runner->registry, job, std::move(checkpoints), release);
    addCounter(*runner->proxy->metrics, "skylark_job_saves_total", {{"outcome", isOk(saved) ? "stored" : "failed"}});
    if (const auto again = runner->owned.find(job); again != runner->owned.end()) {
        again->second.writing = false;
        reconcileOwnedJob(*runner, job);
    }
}

} // namespace skylark
