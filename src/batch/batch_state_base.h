/** @file batch_state_base.h State of the batch part of one host; touched by the batch thread only, except where noted. */
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
    std::string customId; ///< Caller's id.
    std::string body; ///< Call body.
    std::string text; ///< Text produced so far; the next attempt continues after it.
    unsigned tokens{0}; ///< Tokens in text.
    unsigned promptTokens{0}; ///< Prompt tokens, once reported.
    std::string finishReason; ///< Reason of the end.
    std::string resultLine; ///< Result or typed failure; empty while unfinished.
    bool failed{false}; ///< Whether resultLine is a typed failure.
    ItemHistory history; ///< Failed attempts.
};

/** Life of a held group. */
enum class GroupPhase : std::uint8_t {
    Loading, ///< Input is being read.
    Running, ///< Items may be started.
    Finishing, ///< All items have a result; the completion is being written.
    Dropped, ///< No longer held.
};

/** A group that this session holds. */
struct HeldGroup {
    std::shared_ptr<const JobRecord> job; ///< Job.
    std::uint32_t index{0}; ///< Group number.
    ModelId model; ///< Model that its items call.
    GroupRecord record; ///< Record as written by the claim.
    KvVersion version; ///< Version of that record.
    std::vector<BatchItem> items; ///< Items in order.
    std::deque<std::size_t> waiting; ///< Items to start, the first first.
    std::deque<std::size_t> suspects; ///< Items that met a dying target; each runs as the only batch stream of a target.
    std::size_t left{0}; ///< Items without a result.
    GroupPhase phase{GroupPhase::Loading}; ///< Phase.
    bool unverified{false}; ///< Whether the record has to be read again after a lapse of the lease.
    bool verifying{false}; ///< Whether that read is running.
    unsigned loadFailures{0}; ///< Failed reads of the input.
};

/** One item in flight on a target. */
struct RunningItem {
    std::uint64_t number{0}; ///< Order of start.
    TargetId target; ///< Target.
    Endpoint endpoint; ///< Its address.
    std::shared_ptr<HeldGroup> group; ///< Group.
    std::size_t item{0}; ///< Item in the group.
    GenerateStream stream; ///< Stream, once opened.
    bool opened{false}; ///< Whether stream is valid.
    bool ended{false}; ///< Whether the item was given back; the coroutine must not touch it any more.
    bool shared{false}; ///< Whether another batch stream was on the target meanwhile.
    bool alone{false}; ///< Whether the target is kept for this item.
    boost::asio::cancellation_signal cancel; ///< Cancels the opening of the stream.
};

/** What the batch part knows of a target. */
struct BatchTarget {
    BatchLimitState limitState; ///< Adaptive limit.
    unsigned limit{0}; ///< Present limit.
    std::vector<std::shared_ptr<RunningItem>> running; ///< Streams in order of start.
    TimePoint holdUntil{}; ///< After a yield no more than holdAt streams run before this time.
    unsigned holdAt{0}; ///< See holdUntil.
    TimePoint pausedUntil{}; ///< Nothing is started before; set when the target refuses work.
    std::vector<TimePoint> announced; ///< Arrival times of online streams that other hosts have announced lately.
    bool reserved{false}; ///< Whether it is being emptied for a suspect item.
    double tailWeight{0.5}; ///< Largest weight of the online tail of its workspaces.
    TimePoint tailWeightAt{}; ///< Time of that value.
};

/** What is known of a group that this session does not hold. */
enum class GroupMark : std::uint8_t {
    Unknown, ///< Not tried yet.
    Held, ///< Held by this session.
    Elsewhere, ///< Held by another session.
    Done, ///< Done.
};

/** One active job as this host works on it. */
struct JobWork {
    std::shared_ptr<const JobRecord> record; ///< Record; its input blobs are complete.
    std::vector<std::uint32_t> walk; ///< Order of groups.
    bool claimNeedsScan{false}; ///< Whether the groups must be read before the next claim.
    std::size_t ownGroups{0}; ///< Groups at the front of the walk that no other host claims first.
    std::size_t next{0}; ///< Next position in the walk.
    std::vector<GroupMark> marks; ///< By group.
    unsigned conflicts{0}; ///< Claims lost since the last scan.
    bool scanWanted{false}; ///< Whether a scan could find all groups done.
    TimePoint scannedAt{}; ///< Last scan.
    TimePoint blockedUntil{}; ///< No claims before; set when input blobs cannot be read.
    std::uint64_t itemsDone{0}; ///< Items with a recorded result, as far as known.
};

/** Progress as last read. */
struct CachedProgress {
    JobProgress progress; ///< Value.
    TimePoint readAt{}; ///< Time of the read.
};

/** State of the batch part. */
struct BatchService::Impl : std::enable_shared_from_this<BatchService::Impl> {
    Impl(HostContext &hostContext, std::shared_ptr<BlobCluster> blobCluster, std::shared_ptr<HttpClient> client, std::shared_ptr<KvClient> service)
        : context(hostContext)
        , blobs(std::move(blobCluster))
        , http(std::move(client))
        , kv(std::move(service))
        , pumpTimer(hostContext.batch)
    {
    }

    HostContext &context; ///< Facilities.
    std::shared_ptr<BlobCluster> blobs; ///< Bulk data.
    std::shared_ptr<HttpClient> http; ///< Streams to engines.
    std::shared_ptr<KvClient> kv; ///< Records; a client of its own, so that calls need no locks.
    boost::asio::steady_timer pumpTimer; ///< Next turn of the execution loop; cancelled to wake it.
    std::map<TargetId, BatchTarget> targets; ///< Targets that this host owns or has streams on.
    std::map<JobId, JobWork> jobs; ///< Active jobs.
    std::vector<JobWork *> jobOrder; ///< Active jobs, the most urgent first.
    TimePoint jobOrderAt{}; ///< Time of that order; zero after a job came or went.
    std::shared_ptr<const ControlSnapshot> seenSnapshot; ///< Snapshot whose jobs were taken over.
    TimePoint nextIdleScan{}; ///< No scan for lost groups before.
    std::set<JobId> fetching; ///< Jobs whose record is being read because the snapshot lacks its input blobs.
    std::set<JobId> stopped; ///< Jobs known as cancelled or done.
    std::vector<std::shared_ptr<HeldGroup>> held; ///< Groups in order of claim.
    std::set<SessionId> liveSessions; ///< Sessions as last read.
    std::optional<TimePoint> liveSessionsAt; ///< Time of that read.
    std::map<JobId, CachedProgress> progress; ///< Progress as last read.
    std::uint64_t nextNumber{0}; ///< Numbers streams.
    std::uint64_t seed{0}; ///< State of the random numbers.
    TimePoint seenDeadline{}; ///< Lease deadline in the last snapshot.
    std::uint64_t lapses{0}; ///< Lapses of the lease.
    bool suspended{false}; ///< Whether the lease deadline has passed.
    bool claiming{false}; ///< Whether a claim or a scan is running.
    bool draining{false}; ///< Whether a planned stop is under way.
    bool started{false}; ///< Whether the execution loop runs.
    TimePoint kvRetryAt{}; ///< No background call to the key-value service before.
    TimePoint kvNextCall{}; ///< Pace of background calls.
    TimePoint kvLostAt{}; ///< Begin of the present outage of the key-value service.
    bool kvLost{false}; ///< Whether the service is out.
    std::uint64_t itemsFinished{0}; ///< Items with a result made here.
    std::uint64_t recordWrites{0}; ///< Writes of job and group records.
    double itemsPerSecond{0}; ///< Moving average of items finished here.
    std::uint64_t itemsAtTick{0}; ///< itemsFinished at the last tick.
    TimePoint tickedAt{}; ///< Last tick.
    mutable std::mutex statusMutex; ///< Guards statusJson.
    std::string statusJson{"[]"}; ///< Answer of batchStatusJson().
};

using BatchState = BatchService::Impl; ///< Short name inside the batch part.
using BatchStatePtr = std::shared_ptr<BatchState>; ///< Held by every coroutine.

} // namespace skylark
