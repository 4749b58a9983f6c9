/** @file job_calls.cpp Requests of callers on jobs: submission, reads of results and item bodies, end. */
#include "job/job_registry_base.h"

#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "core/table/error_table.h"
#include "fleet/route_match_func.h"
#include "job/job_peer_func.h"
#include "job/job_record_func.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <numeric>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t maxBodyPartBytes = std::size_t{600} << 10U; ///< Bytes of a submission's body in one key; the store limits a value to 1 MiB.
constexpr unsigned maxAcceptAttempts = 4; ///< Attempts to store one submission; all of them together stay within the time that a caller waits.
constexpr unsigned maxEndAttempts = 6; ///< Attempts to end a job; more than one because results that are stored meanwhile cause conflicts.
constexpr milliseconds storeRetryAfter{700}; ///< Retry-After while the store cannot be reached.
constexpr milliseconds quotaRetryAfter{1000}; ///< Retry-After when a job exceeds the token limit; items finish several times a second.
constexpr milliseconds writeRetryDelay{150}; ///< Delay after a failed write.
constexpr std::size_t maxPageBytes = std::size_t{1000} << 10U; ///< Results are added to a page until their texts reach this size.

JobAnswer makeAnswer(int status, std::string_view reason, std::optional<milliseconds> retryAfter = {})
{
    JobAnswer answer;
    answer.status = status;
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    return answer;
}

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
JobAnswer answerResubmission(const StoredJob &known, const std::string &digest)
{
    return known.digest == digest ? makeAnswer(202, "accepted_before") : makeAnswer(409, "other_content");
}

/** Reads all records from the store, because another host may have changed some. */
asio::awaitable<Result<Done>> refreshJobs(std::shared_ptr<JobRegistry> registry)
{
    auto page = co_await readAllKeys(registry->store, std::string(jobPrefix), KvFreshness::Linearizable);
    if (!isOk(page)) {
        co_return errorOf(page);
    }
    for (const KvItem &item : valueOf(page).items) {
        applyItem(*registry->mirror, item);
        if (isJobRecordKey(item.key)) {
            applyJobRecord(registry, item);
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

/** Adds a job that this host has accepted to the registry. */
void addAcceptedJob(
    const std::shared_ptr<JobRegistry> &registry, const StoredJob &record, const std::string &quotaKey, std::uint64_t revision, JobSubmission submission)
{
    applyItem(*registry->mirror, {quotaKey, record.id.value, revision, false});
    KnownJob &known = registry->jobs[record.id];
    known.items = std::move(submission.items);
    known.acceptedHere = true;
    applyOwnWrite(registry, jobRecordKey(record.id), encodeStoredJob(record), revision);
}

/** Waits until any record in the registry changes or is announced, or @p wait is over. */
asio::awaitable<void> waitForChange(std::shared_ptr<JobRegistry> registry, milliseconds wait)
{
    auto timer = std::make_shared<asio::steady_timer>(registry->executor);
    timer->expires_after(wait);
    registry->waitingReads.insert(timer);
    boost::system::error_code ignored;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    registry->waitingReads.erase(timer);
}

/** Adds results from position @p page.next on, from the cache or the store. */
asio::awaitable<Result<Done>> fillPage(std::shared_ptr<JobRegistry> registry, JobId job, JobPage &page)
{
    std::size_t bytes = 0;
    const std::uint64_t listed = registry->jobs.at(job).record.listed.size();
    KvFreshness freshness = KvFreshness::Stale;
    while (page.next < listed && bytes < maxPageBytes) {
        const std::uint64_t before = page.next;
        const auto found = registry->jobs.find(job);
        if (found == registry->jobs.end()) {
            co_return makeError(ErrorCode::NotFound, "job record is gone");
        }
        if (const auto cached = found->second.results.find(page.next); cached != found->second.results.end()) {
            bytes += cached->second.text.size();
            page.results.push_back(cached->second);
            ++page.next;
            continue;
        }
        const std::string after = page.next == 0 ? std::string() : jobResultKey(job, page.next - 1);
        auto range = co_await registry->store->range(jobResultPrefix(job), after, freshness);
        if (!isOk(range)) {
            co_return errorOf(range);
        }
        for (const KvItem &item : valueOf(range).items) {
            auto result = decodeJobResult(item.value);
            if (!isOk(result) || item.key != jobResultKey(job, page.next) || page.next >= listed) {
                break;
            }
            bytes += valueOf(result).text.size();
            page.results.push_back(std::move(valueOf(result)));
            ++page.next;
        }
        if (page.next == before && freshness == KvFreshness::Linearizable) {
            co_return makeError(ErrorCode::Internal, "a listed result is missing in the store or cannot be decoded");
        }
        // A stale read may miss results that the record lists: it is repeated as a linearizable one.
        freshness = page.next == before ? KvFreshness::Linearizable : freshness;
    }
    co_return Done{};
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
            co_return answerResubmission(found->second.record, record.digest);
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
            co_return makeAnswer(429, "token_limit", quotaRetryAfter);
        }
        KvTransaction transaction = buildAcceptTransaction(*registry, record, call, quotaKey, admission != JobAdmission::Accept);
        auto outcome = co_await registry->store->commit(std::move(transaction));
        if (isOk(outcome) && valueOf(outcome).applied) {
            const auto took = std::chrono::duration_cast<milliseconds>(BootClock::now() - startedAt);
            logEvent(EventKind::JobAccepted,
                     record.id.value,
                     {{"route", rule.name}, {"items", record.items.size()}, {"tokens", tokens}, {"waiting", waiting}, {"took_ms", took.count()}});
            addAcceptedJob(registry, record, quotaKey, valueOf(outcome).revision, std::move(submission));
            co_return makeAnswer(202, "accepted");
        }
        if (isOk(outcome)) {
            mergePresentRecords(registry, valueOf(outcome));
            if (!registry->jobs.contains(record.id)) {
                co_await refreshJobs(registry);
            }
            continue;
        }
        last = errorOf(outcome);
        mayBeStored = mayBeStored || last.code == ErrorCode::OutcomeUnknown;
        co_await sleepFor(writeRetryDelay);
        if (mayBeStored) {
            co_await fetchJob(registry, record.id);
        }
    }
    if (const auto found = registry->jobs.find(record.id); found != registry->jobs.end() && found->second.revision > 0) {
        co_return answerResubmission(found->second.record, record.digest);
    }
    logEvent(
        EventKind::JobRefused, record.id.value, {{"route", rule.name}, {"reason", errorInfo(last.code).name}, {"tokens", tokens}, {"detail", last.detail}});
    co_return mayBeStored ? makeAnswer(504, "outcome_unknown") : makeAnswer(503, "store_unavailable", storeRetryAfter);
}

namespace {

constexpr milliseconds neverConfirmed{-1}; ///< Logged age of a record that no read or announcement has confirmed yet.

/** @return When this host last knew that its record of the job was the present one: now for an own job, since no other host changes its results. */
TimePoint confirmedAt(const JobRegistry &registry, const KnownJob &known)
{
    const bool own = known.record.owner == registry.session;
    return own ? BootClock::now() : std::max({known.ownerAnnouncedAt, known.confirmedAt, registry.mirror->confirmedAt});
}

/** Logs what a reader receives, and how old this host's knowledge of the job is. */
JobAnswer logRead(const JobRegistry &registry, const JobReadCall &call, JobAnswer answer)
{
    const auto known = registry.jobs.find(call.job);
    const bool exists = known != registry.jobs.end();
    const TimePoint lastConfirmed = exists ? confirmedAt(registry, known->second) : registry.mirror->confirmedAt;
    const auto age = lastConfirmed == TimePoint{} ? neverConfirmed : std::chrono::duration_cast<milliseconds>(BootClock::now() - lastConfirmed);
    const auto write = answer.status == 200 ? logSampled : logEvent;
    write(EventKind::JobRead,
          call.job.value,
          {{"after", call.after},
           {"results", answer.page.results.size()},
           {"listed", exists ? known->second.record.listed.size() : 0},
           {"total", exists ? known->second.record.items.size() : 0},
           {"revision", exists ? known->second.revision : 0},
           {"followed_age_ms", age.count()},
           {"status", answer.status}});
    return answer;
}

/** Reads results as readJob(), without the log line. */
asio::awaitable<JobAnswer> readJobPage(std::shared_ptr<JobRegistry> registry, JobReadCall call)
{
    const TimePoint until = BootClock::now() + call.wait;
    for (;;) {
        auto found = registry->jobs.find(call.job);
        if (found == registry->jobs.end() || found->second.revision == 0) {
            auto exists = co_await refreshJob(registry, call.job, call.after);
            if (!isOk(exists) || !valueOf(exists)) {
                co_return isOk(exists) ? makeAnswer(404, "no_job") : makeAnswer(503, "store_unavailable", storeRetryAfter);
            }
            continue;
        }
        const StoredJob &record = found->second.record;
        JobAnswer answer = makeAnswer(200, "results");
        answer.page.total = record.items.size();
        answer.page.next = std::min<std::uint64_t>(call.after, record.listed.size());
        if (call.after < record.listed.size()) {
            const auto filled = co_await fillPage(registry, call.job, answer.page);
            const bool anyResults = isOk(filled) || !answer.page.results.empty();
            co_return anyResults ? answer : makeAnswer(503, "store_unavailable", storeRetryAfter);
        }
        answer.page.next = call.after;
        if (isComplete(record) || (BootClock::now() >= until && isCurrent(*registry, found->second))) {
            co_return answer;
        }
        const bool outdated = found->second.announcedRevision > found->second.revision;
        if (outdated || BootClock::now() >= until) {
            auto exists = co_await refreshJob(registry, call.job, call.after);
            if (!isOk(exists)) {
                co_return makeAnswer(503, "not_current", storeRetryAfter);
            }
            continue;
        }
        co_await waitForChange(registry, std::chrono::duration_cast<milliseconds>(until - BootClock::now()) + milliseconds(1));
    }
}

} // namespace

asio::awaitable<JobAnswer> readJob(std::shared_ptr<JobRegistry> registry, JobReadCall call)
{
    JobAnswer answer = co_await readJobPage(registry, call);
    co_return logRead(*registry, call, std::move(answer));
}

asio::awaitable<Result<Done>> loadJobItems(std::shared_ptr<JobRegistry> registry, JobId job)
{
    const auto found = registry->jobs.find(job);
    if (found == registry->jobs.end()) {
        co_return makeError(ErrorCode::NotFound, "job is unknown");
    }
    if (!found->second.items.empty()) {
        co_return Done{};
    }
    ProxyCall call;
    call.id.value = job.value;
    call.target = found->second.record.path;
    const std::uint32_t parts = found->second.record.bodyParts;
    for (std::uint32_t part = 0; part < parts; ++part) {
        auto item = co_await registry->store->get(jobBodyKey(job, part), KvFreshness::Linearizable);
        if (!isOk(item)) {
            co_return errorOf(item);
        }
        if (!valueOf(item)) {
            co_return makeError(ErrorCode::BlobNotFound, "part " + std::to_string(part) + " of the submission is gone");
        }
        call.body += valueOf(item)->value;
    }
    auto submission = registry->decodeSubmission(call);
    if (!isOk(submission)) {
        co_return errorOf(submission);
    }
    registry->jobs[job].items = std::move(valueOf(submission).items);
    co_return Done{};
}

asio::awaitable<JobAnswer> readJobItem(std::shared_ptr<JobRegistry> registry, JobItemCall call)
{
    const auto known = registry->jobs.find(call.job);
    if (known == registry->jobs.end() || known->second.revision == 0) {
        auto exists = co_await refreshJob(registry, call.job, 0);
        if (!isOk(exists) || !valueOf(exists)) {
            co_return isOk(exists) ? makeAnswer(404, "no_job") : makeAnswer(503, "store_unavailable", storeRetryAfter);
        }
    }
    const auto loaded = co_await loadJobItems(registry, call.job);
    if (!isOk(loaded)) {
        co_return makeAnswer(503, "store_unavailable", storeRetryAfter);
    }
    for (const JobItem &item : registry->jobs.at(call.job).items) {
        if (item.id == call.item) {
            JobAnswer answer = makeAnswer(200, "body");
            answer.body = item.body;
            co_return answer;
        }
    }
    co_return makeAnswer(404, "no_item");
}

asio::awaitable<JobAnswer> endJob(std::shared_ptr<JobRegistry> registry, JobEndCall call)
{
    const std::string key = jobRecordKey(call.job);
    bool mayBeStored = false;
    for (unsigned attempt = 0; attempt < maxEndAttempts; ++attempt) {
        const auto found = registry->jobs.find(call.job);
        if (found == registry->jobs.end() || found->second.revision == 0) {
            auto exists = co_await fetchJob(registry, call.job);
            if (!isOk(exists) || !valueOf(exists)) {
                co_return isOk(exists) ? makeAnswer(404, "no_job") : makeAnswer(503, "store_unavailable", storeRetryAfter);
            }
            continue;
        }
        if (found->second.record.ended) {
            co_return makeAnswer(200, "ended_before");
        }
        StoredJob record = found->second.record;
        record.ended = true;
        KvTransaction transaction;
        transaction.conditions.push_back({key, found->second.revision});
        const std::string value = encodeStoredJob(record);
        transaction.writes.push_back({key, value, 0});
        auto outcome = co_await registry->store->commit(std::move(transaction));
        if (isOk(outcome) && valueOf(outcome).applied) {
            logEvent(EventKind::JobEnded, call.job.value, {{"listed", record.listed.size()}, {"total", record.items.size()}});
            applyOwnWrite(registry, key, value, valueOf(outcome).revision);
            co_return makeAnswer(200, "ended");
        }
        if (isOk(outcome)) {
            mergePresentRecords(registry, valueOf(outcome));
            continue;
        }
        mayBeStored = mayBeStored || errorOf(outcome).code == ErrorCode::OutcomeUnknown;
        co_await sleepFor(writeRetryDelay);
        co_await fetchJob(registry, call.job);
    }
    co_return mayBeStored ? makeAnswer(504, "outcome_unknown") : makeAnswer(503, "store_unavailable", storeRetryAfter);
}

} // namespace skylark
