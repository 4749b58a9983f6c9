/** @file job_calls.cpp Calls of callers about jobs: submission, results, bodies of items, end. */
#include "job/job_book_base.h"

#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "core/table/error_table.h"
#include "fleet/route_match_func.h"
#include "job/job_record_func.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <numeric>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t bodyPartBytes = std::size_t{600} << 10U; ///< Bytes of a submission in one key; below the service's limit of 1 MiB for a value.
constexpr unsigned acceptAttempts = 4; ///< Writes of one submission, together within a caller's patience.
constexpr unsigned endAttempts = 6; ///< Writes of one end; results may be stored meanwhile.
constexpr milliseconds storeRetryAfter{700}; ///< Return of a caller while the service cannot be reached.
constexpr milliseconds quotaRetryAfter{1000}; ///< Return of a caller whose job does not fit: items finish several times a second.
constexpr milliseconds shortWait{150}; ///< Delay before a write is repeated.
constexpr std::size_t pageBytes = std::size_t{1000} << 10U; ///< Bytes of results in one read.

JobAnswer failure(int status, std::string_view reason, std::optional<milliseconds> retryAfter = {})
{
    JobAnswer answer;
    answer.status = status;
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    return answer;
}

/** @return Tokens that wait on @p route by what this host knows. */
std::uint64_t waitingOn(const JobBook &book, const RouteRule &route)
{
    std::uint64_t tokens = 0;
    for (const auto &[id, known] : book.jobs) {
        if (known.record.host == route.host && known.record.path.starts_with(route.prefix)) {
            tokens += waitingTokens(known.record);
        }
    }
    return tokens;
}

StoredJob makeRecord(const JobBook &book, const RouteRule &route, const ProxyCall &call, const JobSubmission &submission)
{
    StoredJob record;
    record.id = JobId{call.id.value};
    record.host = route.host;
    record.path = std::string(targetPath(call.target));
    record.digest = hash128Hex(call.body);
    record.created = unixNow();
    record.owner = book.session;
    record.bodyParts = static_cast<std::uint32_t>((call.body.size() + bodyPartBytes - 1) / bodyPartBytes);
    for (const JobItem &item : submission.items) {
        record.items.push_back({item.id, item.tokens});
    }
    return record;
}

/** Takes part of a job that is known already. */
JobAnswer answerKnown(const StoredJob &known, const std::string &digest)
{
    return known.digest == digest ? failure(202, "accepted_before") : failure(409, "other_content");
}

/** Reads all records again, after another host accepted a job. */
asio::awaitable<Result<Done>> refreshJobs(std::shared_ptr<JobBook> book)
{
    auto page = co_await readAllKeys(book->store, std::string(jobPrefix), KvFreshness::Linearizable);
    if (!isOk(page)) {
        co_return errorOf(page);
    }
    for (const KvItem &item : valueOf(page).items) {
        mirrorItem(*book->mirror, item);
        if (isJobRecordKey(item.key)) {
            noteJobItem(book, item);
        }
    }
    co_return Done{};
}

KvTransaction acceptTransaction(const JobBook &book, const StoredJob &record, const ProxyCall &call, const std::string &quotaKey, bool inTurn)
{
    KvTransaction transaction;
    transaction.conditions.push_back({jobRecordKey(record.id), 0});
    if (inTurn) {
        const auto found = book.mirror->items.find(quotaKey);
        transaction.conditions.push_back({quotaKey, found == book.mirror->items.end() ? 0 : found->second.revision});
    }
    transaction.writes.push_back({jobRecordKey(record.id), encodeStoredJob(record), 0});
    transaction.writes.push_back({quotaKey, record.id.value, 0});
    for (std::uint32_t part = 0; part < record.bodyParts; ++part) {
        transaction.writes.push_back({jobBodyKey(record.id, part), call.body.substr(part * bodyPartBytes, bodyPartBytes), 0});
    }
    return transaction;
}

/** Takes an accepted job into the book. */
void noteAccepted(const std::shared_ptr<JobBook> &book, const StoredJob &record, const std::string &quotaKey, std::uint64_t revision, JobSubmission submission)
{
    mirrorItem(*book->mirror, {quotaKey, record.id.value, revision, false});
    KnownJob &known = book->jobs[record.id];
    known.items = std::move(submission.items);
    known.acceptedHere = true;
    noteOwnWrite(book, jobRecordKey(record.id), encodeStoredJob(record), revision);
}

/** Waits until the book changes or @p wait is over. */
asio::awaitable<void> waitForChange(std::shared_ptr<JobBook> book, milliseconds wait)
{
    auto timer = std::make_shared<asio::steady_timer>(book->executor);
    timer->expires_after(wait);
    book->readers.insert(timer);
    boost::system::error_code ignored;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    book->readers.erase(timer);
}

/** Adds results from position @p page.next on, from memory and from the service. */
asio::awaitable<Result<Done>> fillPage(std::shared_ptr<JobBook> book, JobId job, JobPage &page)
{
    std::size_t bytes = 0;
    const std::uint64_t listed = book->jobs.at(job).record.listed.size();
    KvFreshness freshness = KvFreshness::Stale;
    while (page.next < listed && bytes < pageBytes) {
        const auto found = book->jobs.find(job);
        if (found == book->jobs.end()) {
            co_return makeError(ErrorCode::NotFound, "job record is gone");
        }
        if (const auto held = found->second.results.find(page.next); held != found->second.results.end()) {
            bytes += held->second.text.size();
            page.results.push_back(held->second);
            ++page.next;
            continue;
        }
        const std::string after = page.next == 0 ? std::string() : jobResultKey(job, page.next - 1);
        auto range = co_await book->store->range(jobResultPrefix(job), after, freshness);
        if (!isOk(range)) {
            co_return errorOf(range);
        }
        // A stale read may miss results that the record names.
        if (valueOf(range).items.empty() && freshness == KvFreshness::Linearizable) {
            co_return makeError(ErrorCode::Internal, "result is missing");
        }
        freshness = valueOf(range).items.empty() ? KvFreshness::Linearizable : freshness;
        for (const KvItem &item : valueOf(range).items) {
            auto result = decodeJobResult(item.value);
            if (!isOk(result) || item.key != jobResultKey(job, page.next) || page.next >= listed) {
                break;
            }
            bytes += valueOf(result).text.size();
            page.results.push_back(std::move(valueOf(result)));
            ++page.next;
        }
    }
    co_return Done{};
}

} // namespace

asio::awaitable<JobAnswer> acceptJob(std::shared_ptr<JobBook> book, const RouteRule &route, ProxyCall call, JobSubmission submission)
{
    const TimePoint begun = BootClock::now();
    const RouteRule rule = route;
    StoredJob record = makeRecord(*book, rule, call, submission);
    const std::string quotaKey = jobQuotaKey(rule.host, rule.prefix);
    const std::uint64_t tokens = std::accumulate(record.items.begin(), record.items.end(), std::uint64_t{0}, [](std::uint64_t sum, const ItemHead &item) {
        return sum + item.tokens;
    });
    bool mayBeStored = false;
    bool refreshed = false;
    Error last = makeError(ErrorCode::PlatformUnavailable, "no attempt");
    for (unsigned attempt = 0; attempt < acceptAttempts; ++attempt) {
        if (const auto found = book->jobs.find(record.id); found != book->jobs.end() && found->second.revision > 0) {
            co_return answerKnown(found->second.record, record.digest);
        }
        const std::uint64_t waiting = waitingOn(*book, rule);
        const AcceptVerdict verdict = decideAccept(waiting, tokens, rule.maxWaitingTokens);
        if (verdict == AcceptVerdict::Refuse && !mayBeStored && !refreshed) {
            // Items may have finished elsewhere, and the job itself may be stored, without this host having heard of it yet.
            const auto current = co_await refreshJobs(book);
            refreshed = isOk(current);
            last = isOk(current) ? last : errorOf(current);
            continue;
        }
        if (verdict == AcceptVerdict::Refuse && !mayBeStored) {
            logEvent(EventKind::JobRefused,
                     record.id.value,
                     {{"route", rule.name}, {"reason", "limit"}, {"tokens", tokens}, {"waiting", waiting}, {"limit", rule.maxWaitingTokens}});
            co_return failure(429, "token_limit", quotaRetryAfter);
        }
        KvTransaction transaction = acceptTransaction(*book, record, call, quotaKey, verdict != AcceptVerdict::Accept);
        auto outcome = co_await book->store->commit(std::move(transaction));
        if (isOk(outcome) && valueOf(outcome).applied) {
            const auto took = std::chrono::duration_cast<milliseconds>(BootClock::now() - begun);
            logEvent(EventKind::JobAccepted,
                     record.id.value,
                     {{"route", rule.name}, {"items", record.items.size()}, {"tokens", tokens}, {"waiting", waiting}, {"took_ms", took.count()}});
            noteAccepted(book, record, quotaKey, valueOf(outcome).revision, std::move(submission));
            co_return failure(202, "accepted");
        }
        if (isOk(outcome)) {
            notePresent(book, valueOf(outcome));
            if (!book->jobs.contains(record.id)) {
                co_await refreshJobs(book);
            }
            continue;
        }
        last = errorOf(outcome);
        mayBeStored = mayBeStored || last.code == ErrorCode::OutcomeUnknown;
        co_await sleepFor(shortWait);
        if (mayBeStored) {
            co_await fetchJob(book, record.id);
        }
    }
    if (const auto found = book->jobs.find(record.id); found != book->jobs.end() && found->second.revision > 0) {
        co_return answerKnown(found->second.record, record.digest);
    }
    logEvent(
        EventKind::JobRefused, record.id.value, {{"route", rule.name}, {"reason", errorInfo(last.code).name}, {"tokens", tokens}, {"detail", last.detail}});
    co_return mayBeStored ? failure(504, "outcome_unknown") : failure(503, "store_unavailable", storeRetryAfter);
}

namespace {

constexpr milliseconds neverConfirmed{-1}; ///< Age in log lines while no record has been read yet.

/** @return When this host last knew that its record of the job was the present one; no other host changes the results of an own job. */
TimePoint confirmedAt(const JobBook &book, const KnownJob &known)
{
    const bool own = known.record.owner == book.session;
    return own ? BootClock::now() : std::max({known.vouchedAt, known.confirmedAt, book.mirror->confirmedAt});
}

/** Logs what a reader gets, and how old the host's knowledge of the job is. */
JobAnswer logRead(const JobBook &book, const JobReadCall &call, JobAnswer answer)
{
    const auto known = book.jobs.find(call.job);
    const bool exists = known != book.jobs.end();
    const TimePoint heard = exists ? confirmedAt(book, known->second) : book.mirror->confirmedAt;
    const auto age = heard == TimePoint{} ? neverConfirmed : std::chrono::duration_cast<milliseconds>(BootClock::now() - heard);
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

/** Reads results; the public function adds the log line. */
asio::awaitable<JobAnswer> readJobNow(std::shared_ptr<JobBook> book, JobReadCall call)
{
    const TimePoint until = BootClock::now() + call.wait;
    for (;;) {
        auto found = book->jobs.find(call.job);
        if (found == book->jobs.end() || found->second.revision == 0) {
            auto exists = co_await fetchJob(book, call.job);
            if (!isOk(exists) || !valueOf(exists)) {
                co_return isOk(exists) ? failure(404, "no_job") : failure(503, "store_unavailable", storeRetryAfter);
            }
            found = book->jobs.find(call.job);
        }
        const StoredJob &record = found->second.record;
        JobAnswer answer = failure(200, "results");
        answer.page.total = record.items.size();
        answer.page.next = std::min<std::uint64_t>(call.after, record.listed.size());
        if (call.after < record.listed.size()) {
            const auto filled = co_await fillPage(book, call.job, answer.page);
            const bool some = isOk(filled) || !answer.page.results.empty();
            co_return some ? answer : failure(503, "store_unavailable", storeRetryAfter);
        }
        answer.page.next = call.after;
        if (isComplete(record) || (BootClock::now() >= until && isCurrent(*book, found->second))) {
            co_return answer;
        }
        const bool outdated = found->second.announcedRevision > found->second.revision;
        if (outdated || BootClock::now() >= until) {
            auto exists = co_await fetchJob(book, call.job);
            if (!isOk(exists)) {
                co_return failure(503, "not_current", storeRetryAfter);
            }
            continue;
        }
        co_await waitForChange(book, std::chrono::duration_cast<milliseconds>(until - BootClock::now()) + milliseconds(1));
    }
}

} // namespace

asio::awaitable<JobAnswer> readJob(std::shared_ptr<JobBook> book, JobReadCall call)
{
    JobAnswer answer = co_await readJobNow(book, call);
    co_return logRead(*book, call, std::move(answer));
}

asio::awaitable<Result<Done>> loadJobItems(std::shared_ptr<JobBook> book, JobId job)
{
    const auto found = book->jobs.find(job);
    if (found == book->jobs.end()) {
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
        auto item = co_await book->store->get(jobBodyKey(job, part), KvFreshness::Linearizable);
        if (!isOk(item)) {
            co_return errorOf(item);
        }
        if (!valueOf(item)) {
            co_return makeError(ErrorCode::BlobNotFound, "part " + std::to_string(part) + " of the submission is gone");
        }
        call.body += valueOf(item)->value;
    }
    auto submission = book->decodeSubmission(call);
    if (!isOk(submission)) {
        co_return errorOf(submission);
    }
    book->jobs[job].items = std::move(valueOf(submission).items);
    co_return Done{};
}

asio::awaitable<JobAnswer> readJobItem(std::shared_ptr<JobBook> book, JobItemCall call)
{
    const auto known = book->jobs.find(call.job);
    if (known == book->jobs.end() || known->second.revision == 0) {
        auto exists = co_await fetchJob(book, call.job);
        if (!isOk(exists) || !valueOf(exists)) {
            co_return isOk(exists) ? failure(404, "no_job") : failure(503, "store_unavailable", storeRetryAfter);
        }
    }
    const auto loaded = co_await loadJobItems(book, call.job);
    if (!isOk(loaded)) {
        co_return failure(503, "store_unavailable", storeRetryAfter);
    }
    for (const JobItem &item : book->jobs.at(call.job).items) {
        if (item.id == call.item) {
            JobAnswer answer = failure(200, "body");
            answer.body = item.body;
            co_return answer;
        }
    }
    co_return failure(404, "no_item");
}

asio::awaitable<JobAnswer> endJob(std::shared_ptr<JobBook> book, JobEndCall call)
{
    const std::string key = jobRecordKey(call.job);
    bool mayBeStored = false;
    for (unsigned attempt = 0; attempt < endAttempts; ++attempt) {
        const auto found = book->jobs.find(call.job);
        if (found == book->jobs.end() || found->second.revision == 0) {
            auto exists = co_await fetchJob(book, call.job);
            if (!isOk(exists) || !valueOf(exists)) {
                co_return isOk(exists) ? failure(404, "no_job") : failure(503, "store_unavailable", storeRetryAfter);
            }
            continue;
        }
        if (found->second.record.ended) {
            co_return failure(200, "ended_before");
        }
        StoredJob record = found->second.record;
        record.ended = true;
        KvTransaction transaction;
        transaction.conditions.push_back({key, found->second.revision});
        const std::string value = encodeStoredJob(record);
        transaction.writes.push_back({key, value, 0});
        auto outcome = co_await book->store->commit(std::move(transaction));
        if (isOk(outcome) && valueOf(outcome).applied) {
            logEvent(EventKind::JobEnded, call.job.value, {{"listed", record.listed.size()}, {"total", record.items.size()}});
            noteOwnWrite(book, key, value, valueOf(outcome).revision);
            co_return failure(200, "ended");
        }
        if (isOk(outcome)) {
            notePresent(book, valueOf(outcome));
            continue;
        }
        mayBeStored = mayBeStored || errorOf(outcome).code == ErrorCode::OutcomeUnknown;
        co_await sleepFor(shortWait);
        co_await fetchJob(book, call.job);
    }
    co_return mayBeStored ? failure(504, "outcome_unknown") : failure(503, "store_unavailable", storeRetryAfter);
}

} // namespace skylark
