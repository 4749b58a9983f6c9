/** @file job_accept.cpp Accepts submissions of jobs, each exactly once and within the token limit of its route. */
#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "core/table/error_table.h"
#include "fleet/route_match_func.h"
#include "job/job_answer_func.h"
#include "job/job_record_func.h"

#include <algorithm>
#include <numeric>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t maxBodyPartBytes = std::size_t{600} << 10U; ///< Bytes of a submission's body in one key; the store limits a value to 1 MiB.
constexpr unsigned maxAcceptAttempts = 4; ///< Attempts to store one submission; all of them together stay within the time that a caller waits.
constexpr milliseconds quotaRetryAfter{1000}; ///< Retry-After when a job exceeds the token limit; items finish several times a second.

/** @return Tokens that wait on @p route, as far as this host knows. */
std::uint64_t waitingTokensOn(const JobRegistry &registry, const RouteRule &route)
{
    std::uint64_t tokens = 0;
    for (const auto &[id, known] : registry.jobs) {
        if (known.record.host == route.host && known.record.path.starts_with(route.prefix)) {
            tokens += waitingTokens(known.record);
        }
    }
    return tokens;
}

StoredJob makeRecord(const JobRegistry &registry, const RouteRule &route, const ProxyCall &call, const JobSubmission &submission)
{
    StoredJob record;
    record.id = JobId{call.id.value};
    record.workspace = call.workspace;
    record.host = route.host;
    record.path = std::string(targetPath(call.target));
    record.digest = hash128Hex(call.body);
    record.created = unixNow();
    record.owner = registry.session;
    record.bodyParts = static_cast<std::uint32_t>((call.body.size() + maxBodyPartBytes - 1) / maxBodyPartBytes);
    for (const JobItem &item : submission.items) {
        record.items.push_back({item.id, item.tokens});
    }
    return record;
}

/** Answers the submission of a job that is stored already: accepted if the content is the same, otherwise a conflict. */
JobAnswer answerResubmission(const StoredJob &known, const StoredJob &record)
{
    if (!mayResubmit(known, record.workspace)) {
        return makeJobAnswer(404, "no_job");
    }
    return known.digest == record.digest ? makeJobAnswer(202, "accepted_before") : makeJobAnswer(409, "other_content");
}

/** Reads all records from the store, because another host may have changed some. */
asio::awaitable<Result<Done>> refreshJobs(std::shared_ptr<JobRegistry> registry)
{
    const TimePoint startedAt = BootClock::now();
    auto page = co_await readAllKeys(registry->store, std::string(jobPrefix), KvFreshness::Linearizable);
    if (!isOk(page)) {
        co_return errorOf(page);
    }
    for (const KvItem &item : valueOf(page).items) {
        applyItem(*registry->mirror, item);
        if (isJobRecordKey(item.key)) {
            applyJobRecord(registry, item);
            confirmRecord(*registry, jobOfRecordKey(item.key), item.revision, startedAt);
        }
    }
    co_return Done{};
}

/** @param serialized Whether the write must fail if another job was accepted on the route meanwhile. */
KvTransaction buildAcceptTransaction(const JobRegistry &registry, const StoredJob &record, const ProxyCall &call, const std::string &quotaKey, bool serialized)
{
    KvTransaction transaction;
    transaction.conditions.push_back({jobRecordKey(record.id), 0});
    if (serialized) {
        const auto found = registry.mirror->items.find(quotaKey);
        transaction.conditions.push_back({quotaKey, found == registry.mirror->items.end() ? 0 : found->second.revision});
    }
    transaction.writes.push_back({jobRecordKey(record.id), encodeStoredJob(record), 0});
    transaction.writes.push_back({quotaKey, record.id.value, 0});
    for (std::uint32_t part = 0; part < record.bodyParts; ++part) {
        transaction.writes.push_back({jobBodyKey(record.id, part), call.body.substr(part * maxBodyPartBytes, maxBodyPartBytes), 0});
    }
    return transaction;
}

/** Adds a job that this host has accepted to the registry. @param startedAt Start of the write. */
void addAcceptedJob(const std::shared_ptr<JobRegistry> &registry,
                    const StoredJob &record,
                    const std::string &quotaKey,
                    std::uint64_t revision,
                    TimePoint startedAt,
                    JobSubmission submission)
{
    applyItem(*registry->mirror, {quotaKey, record.id.value, revision, false});
    KnownJob &known = registry->jobs[record.id];
    known.items = std::move(submission.items);
    known.acceptedHere = true;
    applyOwnWrite(registry, jobRecordKey(record.id), encodeStoredJob(record), revision, startedAt);
}

} // namespace

asio::awaitable<JobAnswer> acceptJob(std::shared_ptr<JobRegistry> registry, const RouteRule &route, ProxyCall call, JobSubmission submission)
{
    const TimePoint startedAt = BootClock::now();
    const RouteRule rule = route;
    StoredJob record = makeRecord(*registry, rule, call, submission);
    const std::string quotaKey = jobQuotaKey(rule.host, rule.prefix);
    const std::uint64_t tokens = std::accumulate(record.items.begin(), record.items.end(), std::uint64_t{0}, [](std::uint64_t sum, const ItemHead &item) {
        return sum + item.tokens;
    });
    bool mayBeStored = false;
    bool refreshed = false;
    Error last = makeError(ErrorCode::PlatformUnavailable, "every write conflicted with another acceptance on the route");
    for (unsigned attempt = 0; attempt < maxAcceptAttempts; ++attempt) {
        if (const auto found = registry->jobs.find(record.id); found != registry->jobs.end() && found->second.revision > 0) {
            co_return answerResubmission(found->second.record, record);
        }
        const std::uint64_t waiting = waitingTokensOn(*registry, rule);
        const JobAdmission admission = decideJobAdmission(waiting, tokens, rule.maxWaitingTokens);
        if (admission == JobAdmission::Refuse && !mayBeStored && !refreshed) {
            // Items may have finished on other hosts, or the job itself may be stored already, without this host knowing yet.
            const auto current = co_await refreshJobs(registry);
            refreshed = isOk(current);
            last = isOk(current) ? last : errorOf(current);
            continue;
        }
        if (admission == JobAdmission::Refuse && !mayBeStored) {
            logEvent(EventKind::JobRefused,
                     record.id.value,
                     {{"route", rule.name}, {"reason", "limit"}, {"tokens", tokens}, {"waiting", waiting}, {"limit", rule.maxWaitingTokens}});
            co_return makeJobAnswer(429, "token_limit", quotaRetryAfter);
        }
        KvTransaction transaction = buildAcceptTransaction(*registry, record, call, quotaKey, admission != JobAdmission::Accept);
        const TimePoint writeStartedAt = BootClock::now();
        auto outcome = co_await registry->store->commit(std::move(transaction));
        if (isOk(outcome) && valueOf(outcome).applied) {
            const auto took = std::chrono::duration_cast<milliseconds>(BootClock::now() - startedAt);
            logEvent(EventKind::JobAccepted,
                     record.id.value,
                     {{"route", rule.name}, {"items", record.items.size()}, {"tokens", tokens}, {"waiting", waiting}, {"took_ms", took.count()}});
            addAcceptedJob(registry, record, quotaKey, valueOf(outcome).revision, writeStartedAt, std::move(submission));
            co_return makeJobAnswer(202, "accepted");
        }
        if (isOk(outcome)) {
            mergePresentRecords(registry, valueOf(outcome), writeStartedAt);
            if (!registry->jobs.contains(record.id)) {
                co_await refreshJobs(registry);
            }
            continue;
        }
        last = errorOf(outcome);
        mayBeStored = mayBeStored || last.code == ErrorCode::OutcomeUnknown;
        co_await sleepFor(jobWriteRetryDelay);
        if (mayBeStored) {
            co_await fetchJob(registry, record.id);
        }
    }
    if (const auto found = registry->jobs.find(record.id); found != registry->jobs.end() && found->second.revision > 0) {
        co_return answerResubmission(found->second.record, record);
    }
    logEvent(
        EventKind::JobRefused, record.id.value, {{"route", rule.name}, {"reason", errorInfo(last.code).name}, {"tokens", tokens}, {"detail", last.detail}});
    co_return mayBeStored ? makeJobAnswer(504, "outcome_unknown") : storeUnavailable();
}

} // namespace skylark
