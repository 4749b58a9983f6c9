/** @file job_end.cpp Ends jobs on request of their callers. */
#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "job/job_answer_func.h"
#include "job/job_record_func.h"

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr unsigned maxEndAttempts = 6; ///< Attempts to end a job; more than one because results that are stored meanwhile cause conflicts.

/** Has a change that was announced sent to all hosts at once, so that the owner of the job need not find it out by reading the record. */
void announceEnd(const JobRegistry &registry)
{
    if (registry.onJobEnded) {
        registry.onJobEnded();
    }
}

} // namespace

asio::awaitable<JobAnswer> endJob(std::shared_ptr<JobRegistry> registry, JobEndCall call)
{
    const std::string key = jobRecordKey(call.job);
    bool mayBeStored = false;
    for (unsigned attempt = 0; attempt < maxEndAttempts; ++attempt) {
        const auto found = registry->jobs.find(call.job);
        if (found == registry->jobs.end() || found->second.revision == 0) {
            auto exists = co_await fetchJob(registry, call.job);
            if (!isOk(exists) || !valueOf(exists)) {
                co_return missingJob(exists);
            }
            continue;
        }
        if (found->second.record.ended) {
            if (mayBeStored) {
                announceChange(*registry, {key, {}, found->second.revision, false});
                announceEnd(*registry);
            }
            co_return makeJobAnswer(200, "ended_before");
        }
        StoredJob record = found->second.record;
        record.ended = true;
        KvTransaction transaction;
        transaction.conditions.push_back({key, found->second.revision});
        const std::string value = encodeStoredJob(record);
        transaction.writes.push_back({key, value, 0});
        const TimePoint startedAt = BootClock::now();
        auto outcome = co_await registry->store->commit(std::move(transaction));
        if (isOk(outcome) && valueOf(outcome).applied) {
            logEvent(EventKind::JobEnded, call.job.value, {{"listed", record.listed.size()}, {"total", record.items.size()}});
            applyOwnWrite(registry, key, value, valueOf(outcome).revision, startedAt);
            announceEnd(*registry);
            co_return makeJobAnswer(200, "ended");
        }
        if (isOk(outcome)) {
            mergePresentRecords(registry, valueOf(outcome), startedAt);
            continue;
        }
        mayBeStored = mayBeStored || errorOf(outcome).code == ErrorCode::OutcomeUnknown;
        co_await sleepFor(jobWriteRetryDelay);
        co_await fetchJob(registry, call.job);
    }
    co_return mayBeStored ? makeJobAnswer(504, "outcome_unknown") : storeUnavailable();
}

} // namespace skylark
