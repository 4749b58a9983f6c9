/** @file batch_internal_func.h Functions shared by the source files of the batch service; all run on the batch thread. */
#pragma once

#include "batch/batch_state_base.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylark {

// Acquisition of work (acquisition.cpp).

/** Data of one iteration of the execution loop. */
struct Iteration {
    std::shared_ptr<const ControlSnapshot> snapshot; ///< Control snapshot used throughout the iteration.
    std::vector<const TargetView *> targets; ///< Targets that accept batch streams.
    std::vector<JobWork *> jobs; ///< Active jobs, the most urgent first.
    std::map<std::pair<WorkspaceId, ModelId>, bool> wants; ///< Cached results of wantsGroup().
    std::vector<std::shared_ptr<HeldGroup>> groups; ///< Held groups in the order of jobs.
};

/** Starts a claim or a scan if one is due. Only one runs at a time, which bounds the load on the key-value service. */
void acquireWork(const BatchStatePtr &state, Iteration &iteration);

// Common (batch_service.cpp).

/** @return The current control snapshot. */
[[nodiscard]] std::shared_ptr<const ControlSnapshot> snapshotOf(const BatchState &state);

/** @return State of @p job: Cancelled if this host knows that it ended, otherwise the state in the current snapshot; Active when the snapshot lacks it. */
[[nodiscard]] JobState jobStateOf(const BatchState &state, const JobId &job);

/** @return Current session, time, lease deadline and job state, on which a write or an item start for a group of @p job depends. */
[[nodiscard]] GroupContext groupContext(const BatchState &state, const JobId &job);

[[nodiscard]] WriteId newWriteId();

boost::asio::awaitable<void> pauseFor(boost::asio::any_io_executor executor, std::chrono::nanoseconds delay);

/** Starts the next iteration of the execution loop without waiting for its timer. */
void wakeExecutionLoop(BatchState &state);

/**
 * Records the outcome of a call to the key-value service and updates the backoff of background calls.
 * @param failure Error of the call, or nothing on success.
 */
void recordKvOutcome(BatchState &state, const std::optional<ErrorCode> &failure);

/** @return Whether the backoff after failed calls to the key-value service has passed. */
[[nodiscard]] bool mayCallKv(const BatchState &state);

/** Delays a background call to the key-value service to keep to the host's limit Settings::platformCallsPerSecond. */
boost::asio::awaitable<void> throttleKvCall(BatchStatePtr state);

/** Writes a job or group record by compare-and-swap; if the answer is lost, reads the key back and compares the write id. */
boost::asio::awaitable<Result<KvVersion>> writeRecord(BatchStatePtr state, std::string key, std::string value, WriteId writeId, KvVersion expected);

/** Logs @p text and keeps it in the decision log, both under "batch". */
void logBatch(BatchState &state, std::string text);

// Claims (claims.cpp, scan.cpp).

/**
 * Claims the group if it is free and holds it on success.
 * @param present Record as last read, or nothing to create it.
 * @param sessionsKnown Whether BatchState::liveSessions may be used to tell if the session that holds the group has ended.
 */
boost::asio::awaitable<void> claimGroup(BatchStatePtr state, JobId job, std::uint32_t group, std::optional<VersionedGroup> present, bool sessionsKnown);

/** @return The next group of @p work to claim, or nothing if there is none, a scan must come first or claims are blocked. */
[[nodiscard]] std::optional<std::uint32_t> nextClaim(JobWork &work);

/**
 * Reads all group records of @p job once and marks the job done when all its groups are done.
 * @param takeOver Whether to claim released groups and those of ended sessions.
 */
boost::asio::awaitable<void> scanJob(BatchStatePtr state, JobId job, bool takeOver);

/** Reads the record of a held group after the lease expired and drops the group if this session no longer holds it. */
boost::asio::awaitable<void> verifyGroup(BatchStatePtr state, std::shared_ptr<HeldGroup> group);

/** Cancels the streams of a held group and removes it from the held groups, without a write. @param status What is now known of the group. */
void dropGroup(BatchState &state, const std::shared_ptr<HeldGroup> &group, GroupStatus status);

// Results (results.cpp).

/** Reads the input and the partial results of a claimed group; retries, and releases the group after repeated failures. */
boost::asio::awaitable<void> loadGroup(BatchStatePtr state, std::shared_ptr<HeldGroup> group);

/** Stores the result blob of a group and writes its done record; retries until the group is done or no longer held. */
boost::asio::awaitable<void> finishGroup(BatchStatePtr state, std::shared_ptr<HeldGroup> group);

/** @return Result line of a finished item. */
[[nodiscard]] std::string renderItemResult(const BatchItem &item, const ModelId &model);

/** @return Result line of an item that failed with @p code. */
[[nodiscard]] std::string renderItemFailure(const BatchItem &item, ErrorCode code, std::string_view message);

/** @return Partial results of a group as JSON lines; empty when no item has a result, text or a failed attempt. */
[[nodiscard]] std::string renderPartial(const HeldGroup &group);

/** Applies partial results to items that were just loaded; malformed lines are logged and ignored. */
void applyPartial(HeldGroup &group, std::string_view lines);

// Streams (item_run.cpp).

/**
 * Starts an item on a target.
 * @param exclusive Whether the target runs no other batch stream meanwhile.
 * @return Whether it was started; false when the job is not active or the lease has expired.
 */
bool startItem(const BatchStatePtr &state, const TargetView &view, const std::shared_ptr<HeldGroup> &group, std::size_t item, bool exclusive);

/** Cancels a stream at once; its item returns to the front of its queue with the text produced so far. */
void abortRun(BatchState &state, const std::shared_ptr<RunningItem> &run);

/** Cancels all streams of @p group, or of all groups when it is null. @return Streams cancelled. */
unsigned abortRuns(BatchState &state, const HeldGroup *group);

/** Cancels up to @p count streams of a target, newest first. @return Streams cancelled. */
unsigned yieldStreams(BatchState &state, const TargetId &target, unsigned count);

/**
 * Cancels as many batch streams on @p target as the arriving online streams need slots.
 * @param byPeer Whether another host sends them; such streams are remembered until the sender's status counts them.
 */
void preemptForArrivals(BatchState &state, const TargetId &target, unsigned streams, bool byPeer);

// Execution (execution.cpp, planning.cpp).

/** Execution loop: starts items, claims groups and writes completions, every 20 ms or when woken. Never returns. */
boost::asio::awaitable<void> executionLoop(BatchStatePtr state);

/**
 * Recomputes the batch limits of the targets that this host owns and cancels streams where online requests need their slots.
 * Also cancels the streams on targets that other hosts own now.
 * @return The owned targets that accept batch streams now.
 */
[[nodiscard]] std::vector<const TargetView *> planTargets(BatchState &state, const ControlSnapshot &snapshot);

/** @return Whether the target has loaded the version of @p model that @p workspace uses. */
[[nodiscard]] bool servesModel(const TargetView &view, const ControlSnapshot &snapshot, const WorkspaceId &workspace, const ModelId &model);

/** @return Active jobs, the most urgent first; sorted again at intervals, not in each call. */
[[nodiscard]] const std::vector<JobWork *> &jobsByUrgency(BatchState &state, const ControlSnapshot &snapshot);

// Progress (progress.cpp).

/** Adds a job to the active jobs unless it has ended; if @p record lacks input blobs, reads the whole record first. */
void addActiveJob(BatchState &state, const std::shared_ptr<const JobRecord> &record);

/** @return Items of a job without a recorded result, by the last scan and the completions of this host since. */
[[nodiscard]] std::uint64_t itemsLeft(const JobWork &work);

/** Removes a job from the active jobs. */
void removeActiveJob(BatchState &state, const JobId &job);

/** @return Items that the fleet finishes per second, estimated as the rate of this host times the live hosts; 0 when unknown. */
[[nodiscard]] double fleetRate(const BatchState &state);

/** Updates the item rate, the gauges and the value of batchStatusJson(), once a second. */
void refreshStatus(BatchState &state);

} // namespace skylark
