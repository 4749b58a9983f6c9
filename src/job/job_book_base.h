/** @file job_book_base.h Jobs as this host knows them, and the calls of callers about them; belongs to the traffic thread. */
#pragma once

#include "fleet/fleet_type.h"
#include "job/job_policy_func.h"
#include "job/job_type.h"
#include "metrics/metrics_func.h"
#include "peer/status_type.h"
#include "proxy/call_type.h"
#include "store/key_mirror_func.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>

namespace skylark {

/** A job with the revision of its record. */
struct KnownJob {
    StoredJob record; ///< Record.
    std::uint64_t revision{0}; ///< Revision of its key.
    bool acceptedHere{false}; ///< Whether this host accepted the job and has owned it since, so that no outputs are kept that it lacks.
    TimePoint confirmedAt{}; ///< Begin of the last read of this record alone.
    std::uint64_t announcedRevision{0}; ///< Highest revision that a host has announced.
    std::uint64_t vouchedRevision{0}; ///< Revision that the owner announced last.
    TimePoint vouchedAt{}; ///< When it did.
    bool fetching{false}; ///< Whether the record is being read because of an announcement.
    std::map<std::uint64_t, JobResult> results; ///< Results held in memory, by position.
    std::vector<JobItem> items; ///< Items, when this host has loaded them.
};

/** A record that this host has changed. */
struct ChangedRecord {
    std::uint64_t revision{0}; ///< Its revision.
    TimePoint until{}; ///< It is announced until then.
};

/** Book. */
struct JobBook {
    boost::asio::any_io_executor executor; ///< Traffic thread.
    std::shared_ptr<const KvStore> store; ///< Service.
    std::shared_ptr<KeyMirror> mirror; ///< Keys under the prefix of jobs.
    std::shared_ptr<MetricsRegistry> metrics; ///< Metrics.
    SessionId session; ///< This run of the process.
    std::map<JobId, KnownJob> jobs; ///< Known jobs.
    std::map<JobId, ChangedRecord> changedHere; ///< Records that this host has changed lately.
    std::set<std::shared_ptr<boost::asio::steady_timer>> readers; ///< Reads that wait for a result.
    std::function<Result<JobSubmission>(const ProxyCall &call)> decodeSubmission; ///< Reads a stored submission.
    std::function<void(const JobId &job)> onJobChanged; ///< Called when a record or its owner may have changed.
    std::size_t cachedBytes{0}; ///< Bytes of texts and bodies held in memory.

    static std::shared_ptr<JobBook> create(const boost::asio::any_io_executor &executor,
                                           std::shared_ptr<const KvStore> store,
                                           std::shared_ptr<MetricsRegistry> metrics,
                                           SessionId session,
                                           std::function<Result<JobSubmission>(const ProxyCall &call)> decodeSubmission);
};

/** Begins to follow the service. */
void startJobBook(const std::shared_ptr<JobBook> &book);

/** Answer to a call about a job. */
struct JobAnswer {
    int status{503}; ///< HTTP status.
    std::optional<std::chrono::milliseconds> retryAfter; ///< When to come back.
    std::string_view reason; ///< Reason of a failure.
    JobPage page; ///< Results, for a read.
    std::string body; ///< Body, for an item.
};

/** Accepts a job once: 202 also when it comes again. */
boost::asio::awaitable<JobAnswer> acceptJob(std::shared_ptr<JobBook> book, const RouteRule &route, ProxyCall call, JobSubmission submission);

/** Reads results. */
boost::asio::awaitable<JobAnswer> readJob(std::shared_ptr<JobBook> book, JobReadCall call);

/** Reads the body of an item. */
boost::asio::awaitable<JobAnswer> readJobItem(std::shared_ptr<JobBook> book, JobItemCall call);

/** Ends a job. */
boost::asio::awaitable<JobAnswer> endJob(std::shared_ptr<JobBook> book, JobEndCall call);

/** Loads the items of a job into the book. */
boost::asio::awaitable<Result<Done>> loadJobItems(std::shared_ptr<JobBook> book, JobId job);

/**
 * Stores results of items that this host finished, at the next positions. NotOwner is reported as LeaseExpired.
 * @param outputs Outputs of unfinished items, kept by the same write.
 */
boost::asio::awaitable<Result<Done>> listResults(std::shared_ptr<JobBook> book, JobId job, std::map<std::uint32_t, JobResult> finished, SavedOutputs outputs);

/**
 * Keeps the outputs of unfinished items while this host owns the job.
 * @param release Whether the host gives the job up, so that another one goes on at once.
 */
boost::asio::awaitable<Result<Done>> saveOutputs(std::shared_ptr<JobBook> book, JobId job, SavedOutputs outputs, bool release);

/** @return The kept outputs; none when there are none. */
boost::asio::awaitable<Result<SavedOutputs>> loadOutputs(std::shared_ptr<JobBook> book, JobId job);

/** Makes this host the owner of a job if the record is still at the known revision. @return Whether it is. */
boost::asio::awaitable<bool> claimJob(std::shared_ptr<JobBook> book, JobId job);

/** Takes the records that a refused transaction names into the book. */
void notePresent(const std::shared_ptr<JobBook> &book, const KvDecision &refused);

/** Reads one record into the book. @return Whether it exists. */
boost::asio::awaitable<Result<bool>> fetchJob(std::shared_ptr<JobBook> book, JobId job);

/** Takes a record that this host has written into the book, and announces it. */
void noteOwnWrite(const std::shared_ptr<JobBook> &book, const std::string &key, const std::string &value, std::uint64_t revision);

/** Notes that this host has changed a record, so that it is announced. */
void noteChangedHere(JobBook &book, const KvItem &item);

/** @return Revisions for the host's status: of jobs that it owns and of records that it has changed lately. */
[[nodiscard]] std::vector<std::pair<JobId, std::uint64_t>> announcedJobs(JobBook &book);

/** Takes the revisions in another host's status. */
void noteAnnouncedJobs(const std::shared_ptr<JobBook> &book, const HostStatus &status);

/** @return Whether what the book holds of a job is the present record: its owner says so, or it was just read. */
[[nodiscard]] bool isCurrent(const JobBook &book, const KnownJob &known);

/** Takes a record into the book if it is newer than what the book holds. */
void noteJobItem(const std::shared_ptr<JobBook> &book, const KvItem &item);

} // namespace skylark
