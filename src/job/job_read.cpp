/** @file job_read.cpp Reads of the results of jobs by callers. */
#include "core/event_log_func.h"
#include "job/job_answer_func.h"
#include "job/job_peer_func.h"
#include "job/job_record_func.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t maxPageBytes = std::size_t{1000} << 10U; ///< Results are added to a page until their texts reach this size.
constexpr milliseconds neverConfirmed{-1}; ///< Logged age of a record that no read or announcement has confirmed yet.

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
                co_return missingJob(exists);
            }
            continue;
        }
        const StoredJob &record = found->second.record;
        JobAnswer answer = makeJobAnswer(200, "results");
        answer.page.total = record.items.size();
        answer.page.next = std::min<std::uint64_t>(call.after, record.listed.size());
        if (call.after < record.listed.size()) {
            const auto filled = co_await fillPage(registry, call.job, answer.page);
            const bool anyResults = isOk(filled) || !answer.page.results.empty();
            co_return anyResults ? answer : storeUnavailable();
        }
        answer.page.next = call.after;
        if (isComplete(record) || (BootClock::now() >= until && isCurrent(*registry, found->second))) {
            co_return answer;
        }
        const bool outdated = found->second.announcedRevision > found->second.revision;
        if (outdated || BootClock::now() >= until) {
            auto exists = co_await refreshJob(registry, call.job, call.after);
            if (!isOk(exists)) {
                co_return makeJobAnswer(503, "not_current", storeRetryAfter);
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

} // namespace skylark
