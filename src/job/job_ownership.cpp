/** @file job_ownership.cpp Jobs that this host owns: following their records, loading them, storing results and outputs. */
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "job/job_record_func.h"
#include "job/job_runner_base.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/** Stops what runs of a job that is no longer this host's. */
void dropOwned(JobRunner::Impl &runner, const JobId &job)
{
    const auto found = runner.owned.find(job);
    if (found == runner.owned.end()) {
        return;
    }
    for (auto &[index, run] : found->second.runs) {
        run->cancelled = true;
        cutRun(*run);
    }
    runner.owned.erase(found);
}

/** Takes kept outputs into items that have not run here. */
void takeOutputs(OwnedJob &owned, const SavedOutputs &outputs)
{
    for (const auto &[index, output] : outputs) {
        const auto found = owned.runs.find(index);
        if (found == owned.runs.end() || found->second->phase != ItemPhase::Pending || found->second->events > 0) {
            continue;
        }
        ItemRun &run = *found->second;
        run.splitter.last = output.lastEventId;
        run.events = output.events;
        run.failures = output.failures;
        run.text = output.text;
    }
}

/** @return Outputs of the items of a job that have made some and are not finished. */
SavedOutputs outputsOf(const OwnedJob &owned)
{
    SavedOutputs outputs;
    for (const auto &[index, run] : owned.runs) {
        if (run->phase != ItemPhase::Finished && (run->events > 0 || run->failures > 0)) {
            outputs[index] = {run->splitter.last, run->events, run->failures, run->text};
        }
    }
    return outputs;
}

/** Notes that the present outputs are being stored. */
void noteSaved(OwnedJob &owned)
{
    owned.savedAt = BootClock::now();
    owned.savedEvents = eventsOf(owned);
}

} // namespace

void spawnLater(const RunnerPtr &runner, std::function<asio::awaitable<void>()> task)
{
    asio::post(runner->book->executor, [runner, task = std::move(task)] {
        asio::co_spawn(runner->book->executor, task(), asio::detached);
    });
}

void followRecord(JobRunner::Impl &runner, const JobId &job)
{
    const auto known = runner.book->jobs.find(job);
    const bool own = known != runner.book->jobs.end() && known->second.record.owner == runner.book->session && isOpen(known->second.record);
    const auto owned = runner.owned.find(job);
    if (!own) {
        if (owned != runner.owned.end() && known != runner.book->jobs.end() && known->second.record.owner != runner.book->session) {
            logEvent(EventKind::JobDropped, job.value, {{"owner", known->second.record.owner.value}});
        }
        dropOwned(runner, job);
        return;
    }
    OwnedJob &entry = runner.owned[job];
    if (owned == runner.owned.end()) {
        entry.loaded = known->second.acceptedHere;
        entry.savedAt = BootClock::now();
        for (std::uint32_t i = 0; i < known->second.record.items.size(); ++i) {
            entry.runs[i] = std::make_shared<ItemRun>();
        }
    }
    for (const ListedItem &listed : known->second.record.listed) {
        const auto run = entry.runs.find(listed.index);
        if (run != entry.runs.end()) {
            run->second->cancelled = true;
            cutRun(*run->second);
            entry.runs.erase(run);
        }
    }
}

asio::awaitable<void> loadOwned(RunnerPtr runner, JobId job)
{
    const Result<SavedOutputs> outputs = co_await loadOutputs(runner->book, job);
    Result<Done> loaded = Done{};
    if (isOk(outputs)) {
        loaded = co_await loadJobItems(runner->book, job);
    }
    const auto owned = runner->owned.find(job);
    if (owned != runner->owned.end()) {
        owned->second.loading = false;
    }
    if (!isOk(outputs) || !isOk(loaded)) {
        const Error &error = isOk(outputs) ? errorOf(loaded) : errorOf(outputs);
        logEvent(EventKind::ItemFailed, {}, {{"job", job.value}, {"error", "load"}, {"detail", error.detail}});
    } else if (owned != runner->owned.end()) {
        takeOutputs(owned->second, valueOf(outputs));
        owned->second.loaded = true;
    }
}

std::uint64_t eventsOf(const OwnedJob &owned)
{
    std::uint64_t events = 0;
    for (const auto &[index, run] : owned.runs) {
        events += run->phase == ItemPhase::Finished ? 0 : run->events;
    }
    return events;
}

asio::awaitable<void> listOwned(RunnerPtr runner, JobId job)
{
    const auto owned = runner->owned.find(job);
    const auto known = runner->book->jobs.find(job);
    if (owned == runner->owned.end() || known == runner->book->jobs.end()) {
        co_return;
    }
    std::map<std::uint32_t, JobResult> finished;
    for (const auto &[index, run] : owned->second.runs) {
        if (run->phase == ItemPhase::Finished) {
            finished[index] = JobResult{known->second.record.items[index].id, run->state, run->text};
        }
    }
    SavedOutputs outputs = outputsOf(owned->second);
    noteSaved(owned->second);
    co_await listResults(runner->book, job, std::move(finished), std::move(outputs));
    const auto again = runner->owned.find(job);
    if (again != runner->owned.end()) {
        again->second.writing = false;
        followRecord(*runner, job);
    }
    if (const auto rest = runner->owned.find(job); rest != runner->owned.end()) {
        const bool waiting = std::any_of(rest->second.runs.begin(), rest->second.runs.end(), [](const auto &entry) {
            return entry.second->phase == ItemPhase::Finished;
        });
        rest->second.firstFinished = waiting ? BootClock::now() : TimePoint{};
    }
}

asio::awaitable<void> saveOwned(RunnerPtr runner, JobId job, bool release)
{
    const auto owned = runner->owned.find(job);
    if (owned == runner->owned.end()) {
        co_return;
    }
    SavedOutputs outputs = outputsOf(owned->second);
    noteSaved(owned->second);
    const auto saved = co_await saveOutputs(runner->book, job, std::move(outputs), release);
    addCounter(*runner->proxy->metrics, "skylark_job_saves_total", {{"outcome", isOk(saved) ? "stored" : "failed"}});
    if (const auto again = runner->owned.find(job); again != runner->owned.end()) {
        again->second.writing = false;
        followRecord(*runner, job);
    }
}

} // namespace skylark
