/** @file job_controller.cpp Known jobs: watch of their records, exchange with peers and announcement. */
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
constexpr auto watchTimeout = 2500ms;
constexpr auto roleCheckInterval = 500ms;
constexpr auto retryDelay = 200ms;
constexpr std::size_t maxFinishedJobs = 2000; // About one day of jobs. Older ones are read from the key-value service on demand.

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

/** Serialises a job for peers: its record with the id and key version. */
json::object relayedJobToJson(const JobRecord &job)
{
    return {{"id", job.id.value}, {"version", job.version.value}, {"record", renderBatchJob(job)}};
}

/** Parses the result of relayedJobToJson(). */
Result<JobRecord> relayedJobFromJson(const json::value &value)
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

/** Removes the oldest jobs that are not active, beyond maxFinishedJobs. */
void dropOldJobs(Control::Impl &control)
{
    std::vector<std::pair<UnixTime, JobId>> finished;
    for (const auto &[id, job] : control.jobs) {
        if (job.record->state != JobState::Active) {
            finished.emplace_back(job.record->created, id);
        }
    }
    if (finished.size() <= maxFinishedJobs) {
        return;
    }
    std::sort(finished.begin(), finished.end());
    finished.resize(finished.size() - maxFinishedJobs);
    for (const auto &[created, id] : finished) {
        control.jobs.erase(id);
    }
}

/** Applies a job record from the key-value service. Ignores deleted keys and records that cannot be parsed. */
void applyJobEntry(const ControlPtr &control, const KvEntry &entry)
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
    applyJob(control, std::move(valueOf(job)), true);
}

/** Reads and applies all job records. @return The event cursor from which to watch them. */
asio::awaitable<Result<std::uint64_t>> readJobs(ControlPtr control)
{
    co_await acquirePlatformCall(control);
    const auto page = co_await kvRangeAll(*control->kv, std::string(jobPrefix));
    recordPlatformResult(*control);
    if (!isOk(page)) {
        co_return errorOf(page);
    }
    for (const KvEntry &entry : valueOf(page).entries) {
        applyJobEntry(control, entry);
    }
    dropOldJobs(*control);
    co_return valueOf(page).cursor;
}

/** Watches the job records from @p cursor until a call fails, events are missing or this host is no longer a watcher. */
asio::awaitable<void> watchJobs(ControlPtr control, std::uint64_t cursor)
{
    while (isWatcher(*control)) {
        co_await acquirePlatformCall(control);
        const auto events = co_await kvWatch(*control->kv, std::string(jobPrefix), cursor, watchTimeout);
        recordPlatformResult(*control);
        if (!isOk(events) || valueOf(events).gap) {
            co_return;
        }
        cursor = valueOf(events).cursor;
        for (const KvEntry &entry : valueOf(events).events) {
            applyJobEntry(control, entry);
        }
    }
}

} // namespace

bool applyJob(const ControlPtr &control, JobRecord job, bool direct)
{
    JobEntry &entry = control->jobs[job.id];
    if (entry.record && entry.record->version >= job.version) {
        if (direct && entry.serial == 0) {
            // A peer relayed this record first. With a serial number, this host also offers it to hosts that start later.
            entry.serial = ++control->jobSerial;
        }
        return false;
    }
    if (!entry.record || entry.record->state != job.state) {
        LOG(INFO) << "[batch] job " << job.id.value << " is " << jobStateName(job.state);
    }
    entry.record = std::make_shared<const JobRecord>(std::move(job));
    entry.serial = direct ? ++control->jobSerial : 0;
    dropOldJobs(*control);
    publishSoon(control);
    if (direct) {
        sendStatusSoon(control);
    }
    return true;
}

std::string jobsSince(const Control::Impl &control, std::uint64_t cursor)
{
    json::array jobs;
    for (const auto &[id, job] : control.jobs) {
        if (job.serial > cursor) {
            jobs.emplace_back(relayedJobToJson(*job.record));
        }
    }
    return jobs.empty() ? std::string() : json::serialize(jobs);
}

void applyPeerJobs(const ControlPtr &control, std::string_view text)
{
    if (text.empty()) {
        return;
    }
    json::error_code error;
    const json::value jobs = json::parse(json::string_view(text.data(), text.size()), error);
    if (error || !jobs.is_array()) {
        LOG(WARNING) << "[peer] job list of a peer is malformed and is ignored";
        return;
    }
    for (const json::value &value : jobs.get_array()) {
        auto job = relayedJobFromJson(value);
        if (isOk(job)) {
            applyJob(control, std::move(valueOf(job)), false);
        } else {
            LOG(WARNING) << "[peer] " << errorOf(job).detail;
        }
    }
}

void announceJob(Control &handle, JobRecord job)
{
    ControlPtr control = handle.impl;
    asio::post(control->context.control, [control, job = std::move(job)]() mutable {
        applyJob(control, std::move(job), true);
    });
}

asio::awaitable<void> runJobWatch(ControlPtr control)
{
    while (!control->sessionEnded) {
        if (!isWatcher(*control)) {
            co_await pauseFor(control, roleCheckInterval);
            continue;
        }
        const auto cursor = co_await readJobs(control);
        if (isOk(cursor)) {
            co_await watchJobs(control, valueOf(cursor));
        }
        co_await pauseFor(control, retryDelay + randomBelow(*control, retryDelay));
    }
}

} // namespace skylark
