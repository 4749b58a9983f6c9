/** @file job_registry.cpp Registry of known jobs: mirrors the job records of the key-value service, and stores claims, checkpoints and results. */
#include "job/job_registry_base.h"

#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "core/table/error_table.h"
#include "job/job_record_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds mirrorCheckInterval{1000}; ///< Time between two cheap stale reads of all records; more urgent changes are announced by datagram.
constexpr milliseconds confirmationTtl{700}; ///< Validity of an owner's announcement or of a read of a record, because readers may lag by at most a second.
constexpr milliseconds announceDuration{2000}; ///< A host announces a record for so long after changing it.
constexpr milliseconds announcerExpiry{10000}; ///< Time after which a job that is no longer announced has no announcer; several intervals of the largest fleet.
constexpr std::size_t maxResultsPerWrite = kvTransactionEntries - 3; ///< The condition, the record and the checkpoints take three entries of a transaction.
constexpr std::size_t maxCheckpointBytes = std::size_t{500} << 10U; ///< Text in the checkpoints of a job; JSON escaping enlarges it a little.
constexpr std::size_t maxBytesPerWrite = std::size_t{700} << 10U; ///< Maximum of encoded results in one transaction; a single larger result is written alone.
constexpr unsigned maxWriteAttempts = 6; ///< Failed or conflicting attempts before the results wait for a later round of the runner.
constexpr milliseconds firstWriteRetryDelay{250}; ///< Delay after the first failed write; doubles with each further one, up to 2 s.

void wakeWaitingReads(JobRegistry &registry)
{
    for (const auto &timer : registry.waitingReads) {
        timer->cancel();
    }
}

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

/** Reads a record of which another host has announced a newer revision. */
asio::awaitable<void> fetchAnnounced(std::shared_ptr<JobRegistry> registry, JobId job)
{
    co_await fetchJob(registry, job);
    if (const auto found = registry->jobs.find(job); found != registry->jobs.end()) {
        found->second.fetching = false;
    }
}

/** Builds the transaction that stores as many results as fit, and cuts @p decision down to these. */
KvTransaction buildAppendTransaction(const KnownJob &known,
                                     AppendDecision &decision,
                                     const std::map<std::uint32_t, JobResult> &finished,
                                     const ItemCheckpoints &checkpoints)
{
    KvTransaction transaction;
    if (!checkpoints.empty()) {
        transaction.writes.push_back({jobCheckpointKey(known.record.id), encodeCheckpoints(checkpoints, maxCheckpointBytes), 0});
    }
    transaction.conditions.push_back({jobRecordKey(known.record.id), known.revision});
    std::size_t bytes = 0;
    std::uint64_t position = known.record.listed.size();
    std::size_t used = 0;
    for (const std::uint32_t index : decision.added) {
        std::string value = encodeJobResult(finished.at(index));
        if (used == maxResultsPerWrite || (used > 0 && bytes + value.size() > maxBytesPerWrite)) {
            break;
        }
        bytes += value.size();
        transaction.writes.push_back({jobResultKey(known.record.id, position++), std::move(value), 0});
        ++used;
    }
    decision.added.resize(used);
    decision.record.listed.resize(known.record.listed.size() + used);
    transaction.writes.push_back({jobRecordKey(known.record.id), encodeStoredJob(decision.record), 0});
    return transaction;
}

std::map<std::uint32_t, ItemState> statesOf(const std::map<std::uint32_t, JobResult> &finished)
{
    std::map<std::uint32_t, ItemState> states;
    for (const auto &[index, result] : finished) {
        states[index] = result.state;
    }
    return states;
}

/** Caches results that were just stored, up to maxCachedResultBytes. */
void cacheResults(JobRegistry &registry, KnownJob &known, const AppendDecision &decision, const std::map<std::uint32_t, JobResult> &finished)
{
    std::uint64_t position = decision.record.listed.size() - decision.added.size();
    for (const std::uint32_t index : decision.added) {
        const JobResult &result = finished.at(index);
        if (registry.cachedBytes + result.text.size() <= maxCachedResultBytes) {
            registry.cachedBytes += result.text.size();
            known.results[position] = result;
        }
        ++position;
    }
}

} // namespace

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

void announceChange(JobRegistry &registry, const KvItem &item)
{
    registry.recentChanges[JobId{item.key.substr(jobRecordKey({}).size())}] = {item.revision, BootClock::now() + announceDuration};
}

std::vector<std::pair<JobId, std::uint64_t>> jobRevisionsToAnnounce(JobRegistry &registry)
{
    const TimePoint now = BootClock::now();
    std::erase_if(registry.recentChanges, [now](const auto &entry) {
        return entry.second.until < now;
    });
    std::erase_if(registry.announcers, [now](const auto &entry) {
        return now - entry.second.at > announcerExpiry;
    });
    std::map<JobId, std::uint64_t> revisions;
    for (const auto &[job, known] : registry.jobs) {
        if (known.record.owner == registry.session && isOpen(known.record)) {
            revisions[job] = known.revision;
        }
    }
    for (const auto &[job, change] : registry.recentChanges) {
        revisions[job] = std::max(revisions[job], change.revision);
    }
    return {revisions.begin(), revisions.end()};
}

void applyAnnouncedRevisions(const std::shared_ptr<JobRegistry> &registry, const HostStatus &status)
{
    const TimePoint now = BootClock::now();
    for (const auto &[job, revision] : status.jobRevisions) {
        JobAnnouncer &announcer = registry->announcers[job];
        announcer = {status.host, now, std::max(announcer.revision, revision)};
        const auto found = registry->jobs.find(job);
        if (found == registry->jobs.end()) {
            continue;
        }
        KnownJob &known = found->second;
        const bool news = revision > std::max(known.announcedRevision, known.revision);
        known.announcedRevision = std::max(known.announcedRevision, revision);
        if (known.record.owner == status.session) {
            known.ownerAnnouncedAt = now;
            known.ownerRevision = revision;
        }
        const bool mayFetch = known.record.owner == registry->session && !known.fetching;
        if (mayFetch && revision > known.revision) {
            // A caller ended the job elsewhere, or another host claimed it.
            known.fetching = true;
            asio::co_spawn(registry->executor, fetchAnnounced(registry, job), asio::detached);
        }
        if (news) {
            wakeWaitingReads(*registry);
        }
    }
}

bool isCurrent(const JobRegistry &registry, const KnownJob &known)
{
    const TimePoint now = BootClock::now();
    const bool announcedByOwner = known.ownerRevision == known.revision && now - known.ownerAnnouncedAt < confirmationTtl;
    const bool own = known.record.owner == registry.session;
    return known.announcedRevision <= known.revision && (announcedByOwner || own || now - known.confirmedAt < confirmationTtl);
}

asio::awaitable<bool> claimJob(std::shared_ptr<JobRegistry> registry, JobId job)
{
    const auto found = registry->jobs.find(job);
    if (found == registry->jobs.end()) {
        co_return false;
    }
    StoredJob record = found->second.record;
    const SessionId former = record.owner;
    record.owner = registry->session;
    const std::string key = jobRecordKey(job);
    const std::string value = encodeStoredJob(record);
    KvTransaction transaction;
    transaction.conditions.push_back({key, found->second.revision});
    transaction.writes.push_back({key, value, 0});
    auto outcome = co_await registry->store->commit(std::move(transaction));
    if (!isOk(outcome)) {
        if (errorOf(outcome).code == ErrorCode::OutcomeUnknown) {
            co_await fetchJob(registry, job);
        }
        co_return false;
    }
    if (!valueOf(outcome).applied) {
        mergePresentRecords(registry, valueOf(outcome));
        co_return false;
    }
    logEvent(EventKind::JobClaimed, job.value, {{"from", former.value}, {"listed", record.listed.size()}, {"total", record.items.size()}});
    if (const auto again = registry->jobs.find(job); again != registry->jobs.end()) {
        again->second.acceptedHere = false;
    }
    applyOwnWrite(registry, key, value, valueOf(outcome).revision);
    co_return true;
}

asio::awaitable<Result<Done>> saveCheckpoints(std::shared_ptr<JobRegistry> registry, JobId job, ItemCheckpoints checkpoints, bool release)
{
    const auto found = registry->jobs.find(job);
    if (found == registry->jobs.end() || found->second.record.owner != registry->session) {
        co_return makeError(ErrorCode::LeaseExpired, "this host is not the owner of the job");
    }
    StoredJob record = found->second.record;
    if (release) {
        record.owner = SessionId();
    }
    const std::string key = jobRecordKey(job);
    const std::string value = encodeStoredJob(record);
    KvTransaction transaction;
    transaction.conditions.push_back({key, found->second.revision});
    transaction.writes.push_back({jobCheckpointKey(job), encodeCheckpoints(checkpoints, maxCheckpointBytes), 0});
    if (release) {
        transaction.writes.push_back({key, value, 0});
    }
    auto outcome = co_await registry->store->commit(std::move(transaction));
    if (!isOk(outcome)) {
        co_return errorOf(outcome);
    }
    if (!valueOf(outcome).applied) {
        mergePresentRecords(registry, valueOf(outcome));
        co_return makeError(ErrorCode::VersionConflict, "the job record has changed since it was read");
    }
    if (release) {
        applyOwnWrite(registry, key, value, valueOf(outcome).revision);
    }
    co_return Done{};
}

asio::awaitable<Result<ItemCheckpoints>> loadCheckpoints(std::shared_ptr<JobRegistry> registry, JobId job)
{
    auto item = co_await registry->store->get(jobCheckpointKey(job), KvFreshness::Linearizable);
    if (!isOk(item)) {
        co_return errorOf(item);
    }
    if (!valueOf(item)) {
        co_return ItemCheckpoints();
    }
    co_return decodeCheckpoints(valueOf(item)->value);
}

asio::awaitable<Result<Done>> commitResults(std::shared_ptr<JobRegistry> registry,
                                            JobId job,
                                            std::map<std::uint32_t, JobResult> finished,
                                            ItemCheckpoints checkpoints)
{
    const auto states = statesOf(finished);
    milliseconds delay = firstWriteRetryDelay;
    Error last = makeError(ErrorCode::PlatformUnavailable, "every write conflicted with another change of the record");
    for (unsigned attempt = 0; attempt < maxWriteAttempts;) {
        const auto found = registry->jobs.find(job);
        if (found == registry->jobs.end()) {
            co_return makeError(ErrorCode::NotFound, "job is unknown");
        }
        AppendDecision decision = appendResults(found->second.record, registry->session, states);
        if (decision.action == AppendAction::NotOwner) {
            co_return makeError(ErrorCode::LeaseExpired, "owned by " + found->second.record.owner.value);
        }
        if (decision.action == AppendAction::Nothing) {
            co_return Done{};
        }
        KvTransaction transaction = buildAppendTransaction(found->second, decision, finished, checkpoints);
        const std::string key = transaction.writes.back().key;
        const std::string value = transaction.writes.back().value;
        auto outcome = co_await registry->store->commit(std::move(transaction));
        const auto again = registry->jobs.find(job);
        if (again == registry->jobs.end()) {
            co_return makeError(ErrorCode::NotFound, "job is unknown");
        }
        if (isOk(outcome) && valueOf(outcome).applied) {
            cacheResults(*registry, again->second, decision, finished);
            logEvent(EventKind::ResultsListed,
                     job.value,
                     {{"listed", decision.record.listed.size()}, {"total", decision.record.items.size()}, {"revision", valueOf(outcome).revision}});
            applyOwnWrite(registry, key, value, valueOf(outcome).revision);
            continue;
        }
        ++attempt;
        if (isOk(outcome)) {
            mergePresentRecords(registry, valueOf(outcome));
            if (valueOf(outcome).currentItems.empty()) {
                co_return makeError(ErrorCode::NotFound, "job record is gone");
            }
            continue;
        }
        last = errorOf(outcome);
        addCounter(*registry->metrics, "skylark_job_write_failures_total", {{"error", errorInfo(last.code).name}});
        co_await sleepFor(delay);
        delay = std::min(delay * 2, milliseconds(2000));
        if (last.code == ErrorCode::OutcomeUnknown) {
            co_await fetchJob(registry, job);
        }
    }
    co_return last;
}

} // namespace skylark
