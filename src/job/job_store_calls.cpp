/** @file job_store_calls.cpp Schedules the store calls for the jobs that this host owns: loading, results, checkpoints. */
#include "job/job_record_func.h"
#include "job/job_runner_base.h"

#include <algorithm>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds checkpointInterval{4000}; ///< Least time between two checkpoints of a job; about half of an item's run time is lost with its host.
constexpr std::uint64_t minNewEvents = 20; ///< Up to so many new events are not worth the write of a checkpoint.
constexpr milliseconds storeRetryDelay{1000}; ///< Pause of the store calls for a job after one that ended with an exception.

/** Fails the unfinished items of a job whose retention is over or whose route was removed or is no batch route any more. */
void failExpiredItems(JobRunner::Impl &runner, const KnownJob &known, OwnedJob &owned)
{
    if (!runner.proxy->fleet->config) {
        return;
    }
    const RouteRule *route = routeOf(runner, known.record);
    const bool gone = route == nullptr || route->kind != CallKind::Batch;
    const bool expired = !gone && route->retention.count() > 0 && BootClock::now() - known.knownSince > route->retention;
    if (!gone && !expired) {
        return;
    }
    for (auto &[index, run] : owned.runs) {
        if (run->phase != ItemPhase::Finished) {
            run->yielded = run->phase == ItemPhase::Running;
            interruptRun(*run);
            run->phase = ItemPhase::Finished;
            run->state = ItemState::Failed;
            run->text.clear();
            owned.firstFinishedAt = BootClock::now();
        }
    }
}

/** @return For how long the finished items of a job wait for others before their results are stored. */
milliseconds resultDelayOf(const JobRunner::Impl &runner, const KnownJob &known, const OwnedJob &owned)
{
    const auto unfinished = std::count_if(owned.runs.begin(), owned.runs.end(), [](const auto &entry) {
        return entry.second->phase != ItemPhase::Finished;
    });
    const RouteRule *route = routeOf(runner, known.record);
    const auto untilDue = route != nullptr ? known.knownSince + route->completionTarget - BootClock::now() : std::chrono::nanoseconds(0);
    return resultDelay(static_cast<std::size_t>(unfinished), std::chrono::duration_cast<milliseconds>(untilDue));
}

/** Starts @p task, which calls the store for @p job. If an exception ends it, the next call for the job follows after a pause. */
void startStoreCall(const RunnerPtr &runner, std::string_view name, const JobId &job, std::function<asio::awaitable<void>()> task)
{
    spawnLater(runner, name, std::move(task), [runner, job] {
        if (const auto owned = runner->owned.find(job); owned != runner->owned.end()) {
            owned->second.loading = false;
            owned->second.writing = false;
            owned->second.storeRetryAt = BootClock::now() + storeRetryDelay;
        }
    });
}

} // namespace

void scheduleStoreCalls(const RunnerPtr &runner)
{
    const TimePoint now = BootClock::now();
    for (auto &[job, owned] : runner->owned) {
        const KnownJob &known = runner->registry->jobs.at(job);
        failExpiredItems(*runner, known, owned);
        if (now < owned.storeRetryAt) {
            continue;
        }
        const bool checkpointDue = unfinishedEvents(owned) > owned.checkpointedEvents + minNewEvents && now - owned.checkpointedAt >= checkpointInterval;
        if (!owned.loaded && !owned.loading) {
            owned.loading = true;
            startStoreCall(runner, "load of a job", job, [runner, id = job] {
                return loadOwnedJob(runner, id);
            });
        }
        if (owned.firstFinishedAt != TimePoint{} && !owned.writing && now - owned.firstFinishedAt >= resultDelayOf(*runner, known, owned)) {
            owned.writing = true;
            startStoreCall(runner, "write of results", job, [runner, id = job] {
                return storeFinishedItems(runner, id);
            });
        } else if (checkpointDue && !owned.writing) {
            owned.writing = true;
            startStoreCall(runner, "write of checkpoints", job, [runner, id = job] {
                return checkpointOwnedJob(runner, id, false);
            });
        }
    }
}

} // namespace skylark
