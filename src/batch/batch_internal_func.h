/** @file batch_internal_func.h Functions that the files of the batch part share; all run on the batch thread. */
#pragma once

#include "batch/batch_state_base.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylark {

// Common (batch_service.cpp).

/** @return The present snapshot. */
[[nodiscard]] std::shared_ptr<const ControlSnapshot> snapshotOf(const BatchState &state);

/** @return State of @p job by the newest snapshot and what this host learned itself. */
[[nodiscard]] JobState jobStateOf(const BatchState &state, const JobId &job);

/** @return Conditions for an effect on a group of @p job at this moment. */
[[nodiscard]] GroupContext groupContext(const BatchState &state, const JobId &job);

/** @return A new write id. */
[[nodiscard]] WriteId newWriteId();

/** Waits for @p delay. */
boost::asio::awaitable<void> pauseFor(boost::asio::any_io_executor executor, std::chrono::nanoseconds delay);

/** Runs the next turn of the execution loop at once. */
void wakePump(BatchState &state);

/** Notes the outcome of a call to the key-value service, which sets the pause before the next background call. */
void noteKvOutcome(BatchState &state, const std::optional<ErrorCode> &failure);

/** @return Whether a background call to the key-value service may be made now. */
[[nodiscard]] bool mayCallKv(const BatchState &state);

/** Waits for this host's share of background calls. */
boost::asio::awaitable<void> paceKv(BatchStatePtr state);

/** Writes a job or group record; recognises lost answers. */
boost::asio::awaitable<Result<KvVersion>> writeRecord(BatchStatePtr state, std::string key, std::string value, WriteId writeId, KvVersion expected);

/** Keeps a decision with the prefix "batch". */
void logBatch(BatchState &state, std::string text);

// Claims (claims.cpp, scan.cpp).

/** Claims the group if it is free and holds it on success. @param present Record as read, or nothing to create it. */
boost::asio::awaitable<void> claimGroup(BatchStatePtr state, JobId job, std::uint32_t group, std::optional<VersionedGroup> present, bool sessionsKnown);

/** @return A group of @p work to claim next, or nothing. */
[[nodiscard]] std::optional<std::uint32_t> nextClaim(JobWork &work);

/** Reads the group range of @p job once: takes over groups of vanished sessions, and marks the job done when all groups are. */
boost::asio::awaitable<void> scanJob(BatchStatePtr state, JobId job, bool takeOver);

/** Reads the record of a held group after a lapse and drops the group if it is no longer this session's. */
boost::asio::awaitable<void> verifyGroup(BatchStatePtr state, std::shared_ptr<HeldGroup> group);

/** Forgets a held group; its streams are cancelled. */
void dropGroup(BatchState &state, const std::shared_ptr<HeldGroup> &group, GroupMark mark);

// Results (results.cpp).

/** Reads the input and the partial results of a claimed group. */
boost::asio::awaitable<void> loadGroup(BatchStatePtr state, std::shared_ptr<HeldGroup> group);

/** Stores the result blob and writes the completion. */
boost::asio::awaitable<void> finishGroup(BatchStatePtr state, std::shared_ptr<HeldGroup> group);

/** @return Result line of a finished item. */
[[nodiscard]] std::string renderItemResult(const BatchItem &item, const ModelId &model);

/** @return Line of an item with a typed failure. */
[[nodiscard]] std::string renderItemFailure(const BatchItem &item, ErrorCode code, std::string_view message);

/** @return Partial results of a group as JSON lines; empty when nothing was produced. */
[[nodiscard]] std::string renderPartial(const HeldGroup &group);

/** Applies partial results to freshly loaded items. */
void applyPartial(HeldGroup &group, std::string_view lines);

// Streams (item_run.cpp).

/** Starts an item on a target. @return Whether it was started; false when the job or the lease forbids it. */
bool startItem(const BatchStatePtr &state, const TargetView &view, const std::shared_ptr<HeldGroup> &group, std::size_t item, bool alone);

/** Cancels a stream at once; its item goes back to the front of its group with its text. */
void abortRun(BatchState &state, const std::shared_ptr<RunningItem> &run);

/** Cancels all streams of @p group, or of all groups when it is null. @return Streams cancelled. */
unsigned abortRuns(BatchState &state, const HeldGroup *group);

/** Cancels up to @p count streams of a target, newest first. @return Streams cancelled. */
unsigned yieldStreams(BatchState &state, const TargetId &target, unsigned count);

/** Counts online streams that are being sent to @p target and makes room for them. */
void noteOnlineArrival(BatchState &state, const TargetId &target, unsigned streams, bool byPeer);

// Execution (execution.cpp, planning.cpp).

/** Execution loop. */
boost::asio::awaitable<void> pumpLoop(BatchStatePtr state);

/** Recomputes the limits of the owned targets. @return Views of the targets that may take batch. */
[[nodiscard]] std::vector<const TargetView *> planTargets(BatchState &state, const ControlSnapshot &snapshot);

/** @return Whether @p view has the model version that @p workspace uses. */
[[nodiscard]] bool servesModel(const TargetView &view, const ControlSnapshot &snapshot, const WorkspaceId &workspace, const ModelId &model);

/** @return Active jobs, the most urgent first. */
[[nodiscard]] const std::vector<JobWork *> &jobsByUrgency(BatchState &state, const ControlSnapshot &snapshot);

// Progress (progress.cpp).

/** Takes a job record into the working set if it is active. */
void adoptJob(BatchState &state, const std::shared_ptr<const JobRecord> &record);

/** @return Items of a job without a recorded result, as far as known. */
[[nodiscard]] std::uint64_t itemsLeft(const JobWork &work);

/** Removes a job from the working set. */
void forgetJob(BatchState &state, const JobId &job);

/** @return Items finished a second by the whole fleet, estimated from this host; 0 when unknown. */
[[nodiscard]] double fleetRate(const BatchState &state);

/** Refreshes the answer of batchStatusJson(). */
void refreshStatus(BatchState &state);

} // namespace skylark
