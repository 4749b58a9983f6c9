/** @file job_owner_writes.cpp Writes of the owner of a job: the claim, checkpoints and results. */
#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/table/error_table.h"
#include "job/job_record_func.h"
#include "job/job_registry_base.h"

#include <algorithm>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t maxResultsPerWrite = kvTransactionEntries - 3; ///< The condition, the record and the checkpoints take three entries of a transaction.
constexpr std::size_t maxCheckpointBytes = std::size_t{500} << 10U; ///< Text in the checkpoints of a job; JSON escaping enlarges it a little.
constexpr std::size_t maxBytesPerWrite = std::size_t{700} << 10U; ///< Maximum of encoded results in one transaction; a single larger result is written alone.
constexpr unsigned maxWriteAttempts = 6; ///< Failed or conflicting attempts before the results wait for a later round of the runner.
constexpr milliseconds firstWriteRetryDelay{250}; ///< Delay after the first failed write; doubles with each further one, up to 2 s.

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
    const TimePoint startedAt = BootClock::now();
    auto outcome = co_await registry->store->commit(std::move(transaction));
    if (!isOk(outcome)) {
        if (errorOf(outcome).code == ErrorCode::OutcomeUnknown) {
            co_await fetchJob(registry, job);
        }
        co_return false;
    }
    if (!valueOf(outcome).applied) {
        mergePresentRecords(registry, valueOf(outcome), startedAt);
        co_return false;
    }
    logEvent(EventKind::JobClaimed, job.value, {{"from", former.value}, {"listed", record.listed.size()}, {"total", record.items.size()}});
    if (const auto again = registry->jobs.find(job); again != registry->jobs.end()) {
        again->second.acceptedHere = false;
    }
    applyOwnWrite(registry, key, value, valueOf(outcome).revision, startedAt);
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
    const std::uint64_t revision = found->second.revision;
    transaction.conditions.push_back({key, revision});
    transaction.writes.push_back({jobCheckpointKey(job), encodeCheckpoints(checkpoints, maxCheckpointBytes), 0});
    if (release) {
        transaction.writes.push_back({key, value, 0});
    }
    const TimePoint startedAt = BootClock::now();
    auto outcome = co_await registry->store->commit(std::move(transaction));
    if (!isOk(outcome)) {
        co_return errorOf(outcome);
    }
    if (!valueOf(outcome).applied) {
        mergePresentRecords(registry, valueOf(outcome), startedAt);
        co_return makeError(ErrorCode::VersionConflict, "the job record has changed since it was read");
    }
    if (release) {
        applyOwnWrite(registry, key, value, valueOf(outcome).revision, startedAt);
    }
    confirmRecord(*registry, job, revision, startedAt);
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
        const TimePoint startedAt = BootClock::now();
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
            applyOwnWrite(registry, key, value, valueOf(outcome).revision, startedAt);
            continue;
        }
        ++attempt;
        if (isOk(outcome)) {
            mergePresentRecords(registry, valueOf(outcome), startedAt);
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
