/** @file job_registry_base.h Registry of the jobs that this host knows, and the requests of callers on them; used on the traffic thread only. */
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

/** Record of a job as this host last read or wrote it, how recently it was confirmed, and cached items and results. */
struct KnownJob {
    StoredJob record;
    std::uint64_t revision{0}; ///< Revision of the record's key; 0 if the record has not been read yet.
    TimePoint knownSince{}; ///< When this host first read or wrote the record: the acceptance, or up to a few seconds later.
    TimePoint closedSince{}; ///< When this host first found the job closed; valid while it is.
    bool acceptedHere{false}; ///< Whether this host accepted the job and has owned it since, so that no stored checkpoint exists that it lacks.
    TimePoint confirmedAt{}; ///< Start of the last call to the service that returned or wrote the present record; changes made before then are in it.
    std::uint64_t announcedRevision{0}; ///< Highest revision that any host has announced.
    std::uint64_t ownerRevision{0}; ///< Revision in the owner's last announcement.
    TimePoint ownerAnnouncedAt{}; ///< When that announcement arrived.
    bool fetching{false}; ///< Whether a read by refreshRecord() is in progress.
    std::map<std::uint64_t, JobResult> results; ///< Cached results that this host stored, by position.
    std::vector<JobItem> items; ///< Empty until this host has loaded them; freed when the job is closed.
};

/** Recent change of a record by this host. */
struct RecentChange {
    std::uint64_t revision{0}; ///< Revision that the change made.
    TimePoint until{}; ///< Announcements of the change stop then.
};

/** Maximum of result texts held in memory, in bytes. */
inline constexpr std::size_t maxCachedResultBytes = std::size_t{6} << 20U;

/** Host whose status announced a job last. */
struct JobAnnouncer {
    HostId host;
    TimePoint at{}; ///< When the status arrived.
    std::uint64_t revision{0}; ///< Highest revision of the record that any host has announced.
};

/** Jobs that this host knows: a mirror of the job records in the key-value service, with caches of items and results. */
struct JobRegistry {
    boost::asio::any_io_executor executor; ///< Executor of the traffic thread.
    std::shared_ptr<const KvStore> store;
    std::shared_ptr<KeyMirror> mirror; ///< Keys under jobPrefix.
    std::shared_ptr<MetricsRegistry> metrics;
    SessionId session; ///< Session of this host process.
    std::map<JobId, KnownJob> jobs;
    std::map<JobId, RecentChange> recentChanges; ///< Records that this host has changed and still announces.
    std::set<std::shared_ptr<boost::asio::steady_timer>> waitingReads; ///< Timers of reads that wait for a result; cancelling one wakes its read.
    std::function<Result<JobSubmission>(const ProxyCall &call)> decodeSubmission; ///< Parses the body of a submission.
    std::map<JobId, JobAnnouncer> announcers; ///< Hosts that probably own the jobs; entries that are no longer announced are dropped after a while.
    /** Reads a job at another host, in the form of encodeOwnedJob(); empty where hosts cannot be asked. */
    std::function<boost::asio::awaitable<Result<std::string>>(HostId host, JobId job, std::uint64_t after)> readFromHost;
    std::function<void(const JobId &job)> onJobChanged; ///< Called when a newer record was applied or a record was deleted; may be empty.
    std::function<void()> onJobEnded; ///< Called when this host has ended a job at the request of a caller; may be empty.
    TimePoint nextRefreshAt{}; ///< No earlier read by refreshRecord(), because the last one failed.
    std::size_t cachedBytes{0}; ///< Bytes of result texts held in memory.

    /** Creates a registry, which stays empty until startJobRegistry() or a call reads records. */
    static std::shared_ptr<JobRegistry> create(const boost::asio::any_io_executor &executor,
                                               std::shared_ptr<const KvStore> store,
                                               std::shared_ptr<MetricsRegistry> metrics,
                                               SessionId session,
                                               std::function<Result<JobSubmission>(const ProxyCall &call)> decodeSubmission);
};

/** Starts to mirror the job records of the key-value service. */
void startJobRegistry(const std::shared_ptr<JobRegistry> &registry);

/** Answer to a request on a job. */
struct JobAnswer {
    int status{503}; ///< HTTP status code.
    std::optional<std::chrono::milliseconds> retryAfter; ///< Value for the Retry-After header; none to omit the header.
    std::string_view reason; ///< Machine-readable reason of the status.
    JobPage page; ///< Results; set by readJob().
    std::string body; ///< Body of the item; set by readJobItem().
};

/**
 * Accepts a job exactly once.
 * @return 202 if the job is stored, also when the same submission is repeated; 409 if the identifier is taken by other content; 404 if by another workspace;
 *         429 if the token limit of the route would be exceeded; 503 if nothing was stored; 504 if the outcome of the write is unknown.
 */
boost::asio::awaitable<JobAnswer> acceptJob(std::shared_ptr<JobRegistry> registry, const RouteRule &route, ProxyCall call, JobSubmission submission);

/**
 * Finds the workspace of a job, in the registry, at its owner or in the store.
 * @return The workspace, which is empty for a job that needs no key; nothing when there is no such job; an error when it cannot be read.
 */
boost::asio::awaitable<Result<std::optional<WorkspaceId>>> workspaceOfJob(std::shared_ptr<JobRegistry> registry, JobId job);

/**
 * @return Whether a repeated submission by @p workspace may refer to the job: it is of the same workspace, or one of both needs no key because the route is
 * public or the job older than the workspaces.
 */
[[nodiscard]] bool mayResubmit(const StoredJob &record, const WorkspaceId &workspace);

/** Reads results from a position on, and waits for one up to the time given in the call. @return 200, 404, or 503 if the store cannot be read. */
boost::asio::awaitable<JobAnswer> readJob(std::shared_ptr<JobRegistry> registry, JobReadCall call);

/** Reads the body of an item. @return 200, 404, or 503 if the store cannot be read. */
boost::asio::awaitable<JobAnswer> readJobItem(std::shared_ptr<JobRegistry> registry, JobItemCall call);

/** Ends a job: its results stay readable, its remaining items are not run. @return 200, 404, 503, or 504 if the outcome of the write is unknown. */
boost::asio::awaitable<JobAnswer> endJob(std::shared_ptr<JobRegistry> registry, JobEndCall call);

/** Loads the items of a job into the registry, unless it holds them. */
boost::asio::awaitable<Result<Done>> loadJobItems(std::shared_ptr<JobRegistry> registry, JobId job);

/**
 * Stores results of items that this host finished, at the next free positions.
 * @param finished Results by the index of the item; items that have a position already are skipped.
 * @param checkpoints Checkpoints of unfinished items, stored by the same transaction.
 * @return LeaseExpired if this host does not own the job; NotFound if the job is gone; after too many failed
 *         attempts the error of the last one, or PlatformUnavailable if every write conflicted with another change of the record.
 */
boost::asio::awaitable<Result<Done>> commitResults(std::shared_ptr<JobRegistry> registry,
                                                   JobId job,
                                                   std::map<std::uint32_t, JobResult> finished,
                                                   ItemCheckpoints checkpoints);

/**
 * Stores checkpoints of unfinished items while this host owns the job.
 * @param release Whether to give up the ownership in the same transaction, so that another host resumes the job at once.
 * @return LeaseExpired if this host does not own the job; VersionConflict if the record has changed meanwhile.
 */
boost::asio::awaitable<Result<Done>> saveCheckpoints(std::shared_ptr<JobRegistry> registry, JobId job, ItemCheckpoints checkpoints, bool release);

/** @return The stored checkpoints of a job; empty if there are none. */
boost::asio::awaitable<Result<ItemCheckpoints>> loadCheckpoints(std::shared_ptr<JobRegistry> registry, JobId job);

/** Makes this host the owner of a job if the record is still at the known revision. @return Whether the claim was stored. */
boost::asio::awaitable<bool> claimJob(std::shared_ptr<JobRegistry> registry, JobId job);

/** Applies the present records that a transaction returned because its conditions failed. @param startedAt Start of the transaction. */
void mergePresentRecords(const std::shared_ptr<JobRegistry> &registry, const KvTransactionResult &refused, TimePoint startedAt);

/** Reads one record into the registry, linearizably. @return Whether it exists. */
boost::asio::awaitable<Result<bool>> fetchJob(std::shared_ptr<JobRegistry> registry, JobId job);

/**
 * Starts a linearizable read of one record unless one is in progress or the last one of any job has just failed. A record that is gone is removed from the
 * registry. @return Whether a read was started.
 */
bool refreshRecord(const std::shared_ptr<JobRegistry> &registry, const JobId &job);

/** Updates the registry and its mirror with a record that this host has just written, and announces it. @param startedAt Start of the write. */
void applyOwnWrite(const std::shared_ptr<JobRegistry> &registry, const std::string &key, const std::string &value, std::uint64_t revision, TimePoint startedAt);

/** Schedules the announcement of a record that this host has changed. */
void announceChange(JobRegistry &registry, const KvItem &item);

/** @return Revisions that the status of this host announces: of open jobs that it owns and of records that it has changed recently. */
[[nodiscard]] std::vector<std::pair<JobId, std::uint64_t>> jobRevisionsToAnnounce(JobRegistry &registry);

/** Applies the revisions that another host's status announces. */
void applyAnnouncedRevisions(const std::shared_ptr<JobRegistry> &registry, const HostStatus &status);

/** @return Whether the registry holds the present record of a job: no newer revision was announced, and this host owns the job, or the owner's announcement or
 * a read confirmed the record recently. */
[[nodiscard]] bool isCurrent(const JobRegistry &registry, const KnownJob &known);

/** Wakes the reads that wait for a result, so that they look at the registry again. */
void wakeWaitingReads(JobRegistry &registry);

/** Applies a record to the registry if it is newer than what the registry holds. */
void applyJobRecord(const std::shared_ptr<JobRegistry> &registry, const KvItem &item);

/** Records that a call to the service, begun at @p startedAt, showed that the record of @p job has @p revision. Without effect if the registry holds an older
 * one. */
void confirmRecord(JobRegistry &registry, const JobId &job, std::uint64_t revision, TimePoint startedAt);

} // namespace skylark
