/** @file job_registry.cpp Registry of known jobs: mirrors the job records of the key-value service. */
#include "job/job_registry_base.h"

#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "job/job_record_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

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

void onMirrorUpdate(const std::shared_ptr<JobRegistry> &registry, const KeyMirrorUpdate &update)
{
    for (const KvItem &item : update.changed) {
        if (!isJobRecordKey(item.key)) {
            continue;
        }
        if (item.deleted) {
            const JobId id{item.key.substr(jobRecordKey({}).size())};
            eraseJobEntry(*registry, id);
            if (registry->onJobChanged) {
                registry->onJobChanged(id);
            }
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
    asio::co_spawn(registry->executor, runKeyMirror(registry->mirror), asio::detached);
    asio::co_spawn(registry->executor, pollKeyMirror(registry->mirror), asio::detached);
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

void mergePresentRecords(const std::shared_ptr<JobRegistry> &registry, const KvTransactionResult &refused)
{
    for (const KvItem &item : refused.currentItems) {
        if (isJobRecordKey(item.key)) {
            applyJobRecord(registry, item);
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
    const auto found = registry->jobs.find(job);
    if (found != registry->jobs.end()) {
        found->second.confirmedAt = startedAt;
    }
    co_return found != registry->jobs.end();
}

void applyOwnWrite(const std::shared_ptr<JobRegistry> &registry, const std::string &key, const std::string &value, std::uint64_t revision)
{
    const KvItem item{key, value, revision, false};
    applyItem(*registry->mirror, item);
    applyJobRecord(registry, item);
    announceChange(*registry, item);
}

} // namespace skylark
