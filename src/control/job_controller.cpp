/** @file job_controller.cpp Known jobs: watch, relay and announcement. */
#include "batch/batch_record_func.h"
#include "control/controller_func.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <exception>
#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view jobPrefix = "job/";
constexpr auto watchWait = 2500ms;
constexpr auto idleCheck = 500ms;
constexpr auto retryPause = 200ms;
constexpr std::size_t mostFinishedJobs = 2000; // About one day of jobs; older ones are read from the service on demand.

std::string_view jobStateName(JobState state)
{
    switch (state) {
    case JobState::Active:
        return "active";
    case JobState::Cancelled:
        return "cancelled";
    case JobState::Done:
        return "done";
    }
    return "active";
}

/** @return A job as peers relay it: its record with the id and version. */
json::object relayedJob(const JobRecord &job)
{
    return {{"id", job.id.value}, {"version", job.version.value}, {"record", renderBatchJob(job)}};
}

/** Parses a relayed job. */
Result<JobRecord> jobFromRelay(const json::value &value)
{
    try {
        const json::object &object = value.as_object();
        const auto id = json::value_to<std::string>(object.at("id"));
        const auto record = json::value_to<std::string>(object.at("record"));
        return parseBatchJob(JobId{id}, record, KvVersion{object.at("version").to_number<std::uint64_t>()});
    } catch (const std::exception &problem) {
        return makeError(ErrorCode::ProtocolError, std::string("relayed job: ") + problem.what());
    }
}

/** Drops the oldest finished jobs beyond the bound. */
void dropOldJobs(Control::Impl &control)
{
    std::vector<std::pair<UnixTime, JobId>> finished;
    for (const auto &[id, job] : control.jobs) {
        if (job.record->state != JobState::Active) {
            finished.emplace_back(job.record->created, id);
        }
    }
    if (finished.size() <= mostFinishedJobs) {
        return;
    }
    std::sort(finished.begin(), finished.end());
    finished.resize(finished.size() - mostFinishedJobs);
    for (const auto &[created, id] : finished) {
        control.jobs.erase(id);
    }
}

void takeEntry(const ControlPtr &control, const KvEntry &entry)
{
    const std::string_view key = entry.key;
    if (!key.starts_with(jobPrefix) || entry.version.value == 0) {
        return;
    }
    auto job = parseBatchJob(JobId{std::string(key.substr(jobPrefix.size()))}, entry.value, entry.version);
    if (!isOk(job)) {
        LOG(ERROR) << "[batch] job record cannot be parsed and is ignored; " << errorOf(job).detail;
        return;
    }
    takeJob(control, std::move(valueOf(job)), true);
}

/** Reads all job records. @return The cursor for a watch. */
asio::awaitable<Result<std::uint64_t>> readJobs(ControlPtr control)
{
    co_await awaitPlatform(control);
    const auto page = co_await kvRangeAll(*control->kv, std::string(jobPrefix));
    notePlatform(*control);
    if (!isOk(page)) {
        co_return errorOf(page);
    }
    for (const KvEntry &entry : valueOf(page).entries) {
        takeEntry(control, entry);
    }
    dropOldJobs(*control);
    co_return valueOf(page).cursor;
}

asio::awaitable<void> watchJobs(ControlPtr control, std::uint64_t cursor)
{
    while (isWatcher(*control)) {
        co_await awaitPlatform(control);
        const auto events = co_await kvWatch(*control->kv, std::string(jobPrefix), cursor, watchWait);
        notePlatform(*control);
        if (!isOk(events) || valueOf(events).gap) {
            co_return;
        }
        cursor = valueOf(events).cursor;
        for (const KvEntry &entry : valueOf(events).events) {
            takeEntry(control, entry);
        }
    }
}

} // namespace

bool takeJob(const ControlPtr &control, JobRecord job, bool firstHand)
{
    JobEntry &entry = control->jobs[job.id];
    if (entry.record && entry.record->version >= job.version) {
        if (firstHand && entry.serial == 0) {
            // The relayed copy came first; this host now vouches for the job towards hosts that start later.
            entry.serial = ++control->jobSerial;
        }
        return false;
    }
    if (!entry.record || entry.record->state != job.state) {
        LOG(INFO) << "[batch] job " << job.id.value << " is " << jobStateName(job.state);
    }
    entry.record = std::make_shared<const JobRecord>(std::move(job));
    entry.serial = firstHand ? ++control->jobSerial : 0;
    dropOldJobs(*control);
    markChanged(control);
    if (firstHand) {
        pushStatus(control);
    }
    return true;
}

std::string jobsSince(const Control::Impl &control, std::uint64_t cursor)
{
    json::array jobs;
    for (const auto &[id, job] : control.jobs) {
        if (job.serial > cursor) {
            jobs.emplace_back(relayedJob(*job.record));
        }
    }
    return jobs.empty() ? std::string() : json::serialize(jobs);
}

void takeJobs(const ControlPtr &control, std::string_view text)
{
    if (text.empty()) {
        return;
    }
    json::error_code error;
    const json::value jobs = json::parse(json::string_view(text.data(), text.size()), error);
    if (error || !jobs.is_array()) {
        LOG(WARNING) << "[peer] job list of a peer is malformed";
        return;
    }
    for (const json::value &value : jobs.get_array()) {
        auto job = jobFromRelay(value);
        if (isOk(job)) {
            takeJob(control, std::move(valueOf(job)), false);
        } else {
            LOG(WARNING) << "[peer] " << errorOf(job).detail;
        }
    }
}

void announceJob(Control &handle, JobRecord job)
{
    ControlPtr control = handle.impl;
    asio::post(control->context.control, [control, job = std::move(job)]() mutable {
        takeJob(control, std::move(job), true);
    });
}

asio::awaitable<void> runJobWatch(ControlPtr control)
{
    while (!control->ended) {
        if (!isWatcher(*control)) {
            co_await pauseFor(control, idleCheck);
            continue;
        }
        const auto cursor = co_await readJobs(control);
        if (isOk(cursor)) {
            co_await watchJobs(control, valueOf(cursor));
        }
        co_await pauseFor(control, retryPause + randomBelow(*control, retryPause));
    }
}

} // namespace skylark
