/** @file batch_state_base.h State of the batch service of one host; accessed only on the batch thread, except where noted. */
#pragma once

#include "batch/batch_service_func.h"
#include "engine/engine_client_func.h"
#include "keyvalue/kv_client_func.h"
#include "policy/batch_limit_type.h"
#include "policy/claim_type.h"
#include "policy/item_attempt_type.h"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <set>

namespace skylark {

/** One item of a held group. */
struct BatchItem {
    std::string customId; ///< The item's "custom_id", unique within its job.
    std::string body; ///< JSON body of the model call.
    std::string text; ///< Text produced so far; the next attempt continues after it.
    unsigned tokens{0}; ///< Number of tokens in text.
    unsigned promptTokens{0}; ///< Tokens of the prompt; 0 until the engine reports them.
    std::string finishReason; ///< Why generation ended, as reported by the engine; empty until then.
    std::string resultLine; ///< Line with the result or the typed failure; empty while unfinished.
    bool failed{false}; ///< Whether resultLine is a typed failure.
    ItemHistory history; ///< Failed attempts so far.
    TimePoint notBefore{}; ///< Earliest time of the next attempt.
};

/** Phases of a held group. */
enum class GroupPhase : std::uint8_t {
    Loading, ///< Input is being read.
    Running, ///< Items may be started.
    Finishing, ///< All items have a result; the result blob and the done record are being written.
    Dropped, ///< No longer held.
};

/** A group that this session holds. */
struct HeldGroup {
    std::shared_ptr<const JobRecord> job;
    std::uint32_t index{0}; ///< Number of the group in its job, from 0.
    ModelId model; ///< Model that all its items call.
    GroupRecord record; ///< Record as written by the claim.
    KvVersion version; ///< Version of that record.
    std::vector<BatchItem> items; ///< Items in the order of the submission.
    std::deque<std::size_t> waiting; ///< Indices of items to start, in this order; isolated ones are queued apart.
    std::deque<std::size_t> isolated; ///< Indices of items that were in flight on a target that ended; each runs as the only batch stream of a target.
    std::size_t left{0}; ///< Items without a result.
    GroupPhase phase{GroupPhase::Loading};
    bool unverified{false}; ///< Whether the record must be read again before the next effect, because the lease expired or a write failed.
    bool verifying{false}; ///< Whether the read for unverified is running.
    unsigned loadFailures{0}; ///< Consecutive failed reads of the input.
};

/** One item in flight on a target. */
struct RunningItem {
    std::uint64_t number{0}; ///< Sequence number; grows in the order of start.
    TargetId target;
    Endpoint endpoint; ///< Address of the target.
    std::shared_ptr<HeldGroup> group;
    std::size_t item{0}; ///< Index in HeldGroup::items.
    GenerateStream stream; ///< Valid only when opened is set.
    bool opened{false};
    bool ended{false}; ///< Whether the stream was taken off its target; the item may already run elsewhere, so the coroutine must not change it.
    bool exclusive{false}; ///< Whether the target runs no other batch stream during this run.
    boost::asio::cancellation_signal cancel; ///< Cancels the opening of the stream.
};

/** State of the batch service for one target. */
struct BatchTarget {
    BatchLimitState limitState; ///< State of the adaptive limit.
    unsigned limit{0}; ///< Batch streams allowed at the same time.
    std::vector<std::shared_ptr<RunningItem>> running; ///< Streams in order of start.
    TimePoint yieldCapUntil{}; ///< After a yield, limit is at most yieldCap until this time.
    unsigned yieldCap{0}; ///< Streams that remained after the last yield.
    TimePoint pausedUntil{}; ///< No item is started before this time; set when the target refuses work or fails.
    std::vector<TimePoint> announced; ///< Arrival times of online streams announced by other hosts and not yet counted in their status.
    bool reserved{false}; ///< Whether no ordinary item is started, so that the target becomes empty for an isolated item.
    double tailWeight{0.5}; ///< Largest weight of the online tail, 0 to 1, among the workspaces that use its models.
    TimePoint tailWeightAt{}; ///< When tailWeight was computed.
};

/** What this host knows of a group. */
enum class GroupStatus : std::uint8_t {
    Unknown, ///< Not claimed yet, as far as known.
    Held, ///< Held by this session.
    HeldElsewhere, ///< Not to be claimed before the next scan: held by another session, or dropped by this one.
    Done, ///< Its result is recorded.
};

/** An active job and this host's view of its groups. */
struct JobWork {
    std::shared_ptr<const JobRecord> record; ///< Record with all its input blobs.
    std::vector<std::uint32_t> claimOrder; ///< Group numbers in the order in which this host claims them; differs between hosts.
    bool claimNeedsScan{false}; ///< Whether nextClaim() found that the groups must be read before the next claim.
    std::size_t preferredGroups{0}; ///< Number of groups at the front of claimOrder; no other host has them at the front of its order.
    std::size_t next{0}; ///< Next position in claimOrder.
    std::vector<GroupStatus> groupStatus; ///< Indexed by group number.
    unsigned conflicts{0}; ///< Claims lost to other hosts since the last scan.
    bool scanWanted{false}; ///< Whether the last open group may have been done since the last scan.
    TimePoint scannedAt{}; ///< Time of the last scan.
    TimePoint blockedUntil{}; ///< No claims before this time; set when this host cannot read an input blob.
    std::uint64_t itemsDone{0}; ///< Items with a recorded result, by the last scan and this host's completions since.
};

/** Progress of a job with the time of its read. */
struct CachedProgress {
    JobProgress progress;
    TimePoint readAt{};
};

/** State of the batch service. */
struct BatchService::Impl : std::enable_shared_from_this<BatchService::Impl> {
    Impl(HostContext &hostContext, std::shared_ptr<BlobCluster> blobCluster, std::shared_ptr<HttpClient> client, std::shared_ptr<KvClient> service)
        : context(hostContext)
        , blobs(std::move(blobCluster))
        , http(std::move(client))
        , kv(std::move(service))
        , loopTimer(hostContext.batch)
    {
    }

    HostContext &context; ///< Settings, snapshot, metrics and executors of the host; outlives this object.
    std::shared_ptr<BlobCluster> blobs; ///< Replicated store of input, partial and result blobs.
    std::shared_ptr<HttpClient> http; ///< Client for streams to engines and for load reports.
    std::shared_ptr<KvClient> kv; ///< Client for job and group records; used by the batch thread only, so that calls need no locks.
    boost::asio::steady_timer loopTimer; ///< Delay before the next iteration of the execution loop; cancelled to start it at once.
    std::map<TargetId, BatchTarget> targets; ///< Targets that this host owns or has streams on.
    std::map<JobId, JobWork> jobs;
    std::vector<JobWork *> jobOrder; ///< The active jobs, the most urgent first; points into jobs.
    TimePoint jobOrderAt{}; ///< Time of the last sort; zero after a job was added or removed.
    std::shared_ptr<const ControlSnapshot> syncedSnapshot; ///< Snapshot whose jobs are reflected in jobs and endedJobs.
    TimePoint nextIdleScan{}; ///< No scan for groups of ended sessions before this time.
    std::set<JobId> fetching; ///< Jobs whose record is being read because the snapshot lacks its input blobs.
    std::set<JobId> endedJobs; ///< Jobs known to be cancelled or done.
    std::vector<std::shared_ptr<HeldGroup>> held; ///< Groups that this session holds, in the order of their claims.
    std::set<SessionId> liveSessions; ///< Sessions whose keys existed at the last read.
    std::optional<TimePoint> liveSessionsAt; ///< Time of that read; nothing before the first one.
    std::map<JobId, CachedProgress> progress; ///< Cache of jobProgress() and listJobs().
    std::uint64_t lastRunNumber{0}; ///< RunningItem::number of the last started item.
    std::uint64_t randomState{0}; ///< State of the random number generator, for jitter.
    TimePoint lastLeaseDeadline{}; ///< Latest lease deadline seen in a snapshot; zero before the first lease.
    std::uint64_t leaseExpiries{0}; ///< How often the lease has expired; a change during a call means that its outcome may be out of date.
    bool suspended{false}; ///< Whether the lease has expired and was not renewed yet.
    bool claiming{false}; ///< Whether a claim or a scan is running; only one runs at a time.
    bool draining{false}; ///< Whether a planned shutdown is in progress.
    bool started{false}; ///< Whether the execution loop was started.
    TimePoint kvRetryAt{}; ///< End of the backoff: no background call to the key-value service before this time.
    TimePoint nextKvCallAt{}; ///< Earliest time of the next background call by the rate limit.
    TimePoint kvOutageBegin{}; ///< Start of the current outage of the key-value service; valid while kvUnavailable is set.
    bool kvUnavailable{false}; ///< Whether the last recorded call to the key-value service failed by an outage.
    std::uint64_t itemsFinished{0}; ///< Items that got a result or a typed failure on this host.
    std::uint64_t recordWrites{0}; ///< Writes of job and group records by this host.
    double itemsPerSecond{0}; ///< Moving average of the rate of itemsFinished.
    std::uint64_t itemsAtRefresh{0}; ///< itemsFinished at the last status refresh.
    TimePoint refreshedAt{}; ///< Time of the last status refresh.
    mutable std::mutex statusMutex; ///< Guards statusJson.
    std::string statusJson{"[]"}; ///< Value of batchStatusJson(); any thread.
};

using BatchState = BatchService::Impl; ///< Alias for use inside the batch service.
using BatchStatePtr = std::shared_ptr<BatchState>; ///< Every coroutine keeps one, so that the state outlives it.

} // namespace skylark
