/** @file job_registry.cpp Registry of known jobs: mirrors the job records of the key-value service. */
#include "job/job_registry_base.h"

#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "core/task_func.h"
#include "job/job_record_func.h"

#include <boost/asio/post.hpp>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds refreshRetryDelay{250}; ///< Pause of all reads by refreshRecord() after a failed one.
constexpr milliseconds mirrorCheckInterval{1000}; ///< Time between two cheap stale reads of all records; more urgent changes are announced by datagram.

void eraseJobEntry(JobRegistry &registry, const JobId &id)
{
    const auto found = registry.jobs.find(id);
    if (found != registry.jobs.end()) {
        for (const auto &[position, result] : found->second.results) {
            registry.cachedBytes -= result.text.size();
        }
        registry.jobs.erase(found);
    }
}

void removeRecord(JobRegistry &registry, const JobId &id)
{
    eraseJobEntry(registry, id);
    if (registry.onJobChanged) {
        registry.onJobChanged(id);
    }
}

/** Ends the read of a record that refreshRecord() has started. */
void endRefresh(JobRegistry &registry, const JobId &job)
{
    if (const auto found = registry.jobs.find(job); found != registry.jobs.end()) {
        found->second.fetching = false;
    }
}

asio::awaitable<void> readRecord(std::shared_ptr<JobRegistry> registry, JobId job)
{
    const auto exists = co_await fetchJob(registry, job);
    if (!isOk(exists)) {
        registry->nextRefreshAt = BootClock::now() + refreshRetryDelay;
    } else if (!valueOf(exists)) {
        removeRecord(*registry, job);
    }
    endRefresh(*registry, job);
}

void onMirrorUpdate(const std::shared_ptr<JobRegistry> &registry, const KeyMirrorUpdate &update)
{
    for (const KvItem &item : update.changed) {
        if (!isJobRecordKey(item.key)) {
            continue;
        }
        if (item.deleted) {
            removeRecord(*registry, jobOfRecordKey(item.key));
        } else {
            applyJobRecord(registry, item);
        }
    }
    wakeWaitingReads(*registry);
}

} // namespace

void wakeWaitingReads(JobRegistry &registry)
{
    for (const auto &timer : registry.waitingReads) {
        timer->cancel();
    }
}

std::shared_ptr<JobRegistry> JobRegistry::create(const asio::any_io_executor &executor,
                                                 std::shared_ptr<const KvStore> store,
                                                 std::shared_ptr<MetricsRegistry> metrics,
                                                 SessionId session,
                                                 std::function<Result<JobSubmission>(const ProxyCall &call)> decodeSubmission)
{
    auto registry = std::make_shared<JobRegistry>();
    registry->executor = executor;
    registry->store = std::move(store);
    registry->metrics = std::move(metrics);
    registry->session = std::move(session);
    registry->decodeSubmission = std::move(decodeSubmission);
    registry->mirror = KeyMirror::create(
        registry->store, {.prefix = std::string(jobPrefix), .watchEnabled = false, .pollInterval = mirrorCheckInterval}, hash64(registry->session.value));
    return registry;
}

void startJobRegistry(const std::shared_ptr<JobRegistry> &registry)
{
    const std::weak_ptr<JobRegistry> weak = registry;
    registry->mirror->onUpdate = [weak](const KeyMirrorUpdate &update) {
        if (const auto strong = weak.lock()) {
            onMirrorUpdate(strong, update);
        }
    };
    startLoop(registry->executor, "watch of job records", [mirror = registry->mirror] {
        return runKeyMirror(mirror);
    });
    startLoop(registry->executor, "reads of job records", [mirror = registry->mirror] {
        return pollKeyMirror(mirror);
    });
}

void applyJobRecord(const std::shared_ptr<JobRegistry> &registry, const KvItem &item)
{
    auto record = decodeStoredJob(item.value);
    if (!isOk(record)) {
        addCounter(*registry->metrics, "skylark_job_records_refused_total");
        logEvent(EventKind::ConfigRefused, item.key, {{"in_force", 0}, {"detail", errorOf(record).detail}});
        return;
    }
    const JobId id = valueOf(record).id;
    KnownJob &known = registry->jobs[id];
    if (known.revision >= item.revision) {
        return;
    }
    const TimePoint now = BootClock::now();
    const bool wasOpen = known.revision == 0 || isOpen(known.record);
    known.knownSince = known.revision == 0 ? now : known.knownSince;
    known.revision = item.revision;
    known.record = std::move(valueOf(record));
    known.closedSince = wasOpen ? now : known.closedSince;
    if (registry->onJobChanged) {
        registry->onJobChanged(id);
    }
    wakeWaitingReads(*registry);
}

void confirmRecord(JobRegistry &registry, const JobId &job, std::uint64_t revision, TimePoint startedAt)
{
    if (const auto found = registry.jobs.find(job); found != registry.jobs.end() && found->second.revision >= revision) {
        found->second.confirmedAt = std::max(found->second.confirmedAt, startedAt);
    }
}

void mergePresentRecords(const std::shared_ptr<JobRegistry> &registry, const KvTransactionResult &refused, TimePoint startedAt)
{
    for (const KvItem &item : refused.currentItems) {
        if (isJobRecordKey(item.key)) {
            applyJobRecord(registry, item);
            confirmRecord(*registry, jobOfRecordKey(item.key), item.revision, startedAt);
        }
    }
}

asio::awaitable<Result<bool>> fetchJob(std::shared_ptr<JobRegistry> registry, JobId job)
{
    const TimePoint startedAt = BootClock::now();
    auto item = co_await registry->store->get(jobRecordKey(job), KvFreshness::Linearizable);
    if (!isOk(item)) {
        co_return errorOf(item);
    }
    if (!valueOf(item)) {
        co_return false;
    }
    applyJobRecord(registry, *valueOf(item));
    confirmRecord(*registry, job, valueOf(item)->revision, startedAt);
    co_return registry->jobs.contains(job);
}

bool refreshRecord(const std::shared_ptr<JobRegistry> &registry, const JobId &job)
{
    const auto found = registry->jobs.find(job);
    if (found == registry->jobs.end() || found->second.fetching || BootClock::now() < registry->nextRefreshAt) {
        return false;
    }
    found->second.fetching = true;
    // Later, because the caller may iterate over jobs, which the read can change.
    asio::post(registry->executor, [registry, job] {
        startTask(registry->executor, "read of a job record", readRecord(registry, job), [registry, job] {
            endRefresh(*registry, job);
            registry->nextRefreshAt = BootClock::now() + refreshRetryDelay;
        });
    });
    return true;
}

void applyOwnWrite(const std::shared_ptr<JobRegistry> &registry, const std::string &key, const std::string &value, std::uint64_t revision, TimePoint startedAt)
{
    const KvItem item{key, value, revision, false};
    applyItem(*registry->mirror, item);
    applyJobRecord(registry, item);
    confirmRecord(*registry, jobOfRecordKey(key), revision, startedAt);
    announceChange(*registry, item);
}

} // namespace skylark
