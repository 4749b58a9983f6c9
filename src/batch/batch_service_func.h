/** @file batch_service_func.h Batch jobs: submission, execution, results, cancel. */
#pragma once

#include "blob/blob_store_func.h"
#include "config/config_type.h"
#include "daemon/host_context_base.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace skylark {

/** Batch part of one host; all its coroutines run on the batch thread. */
struct BatchService {
    struct Impl;
    std::shared_ptr<Impl> impl; ///< Hidden state.

    static Result<std::shared_ptr<BatchService>> create(HostContext &context, std::shared_ptr<BlobCluster> blobs);
};

/** Starts claiming and executing groups. */
void startBatch(BatchService &service);

/** Cancels up to @p slots batch streams on @p target, newest first; their items resume later. Call on the batch thread. */
void yieldBatch(BatchService &service, const TargetId &target, unsigned slots);

/**
 * Takes the news that online streams are being sent to @p target, and cancels as many batch streams as they need slots.
 * @param byPeer Whether another host sends them; this host's own streams are counted in the load table.
 */
void announceOnline(BatchService &service, const TargetId &target, unsigned streams, bool byPeer);

/** Planned stop: cancels streams and releases the groups with their partial results. Runs on the batch thread. */
boost::asio::awaitable<void> drainBatch(BatchService &service);

/** Progress of a job. */
struct JobProgress {
    JobRecord job; ///< Record.
    std::uint32_t finished{0}; ///< Items with a recorded result.
    std::uint32_t failed{0}; ///< Of these, items with a typed failure.
    std::uint32_t groupsDone{0}; ///< Groups completed.
    bool dueRisk{false}; ///< Whether the due time will be missed at the present rate.
};

/**
 * Accepts a job. Runs on the batch thread.
 * @param jobKey Key chosen by the caller.
 * @param due Due time, or the workspace's default.
 * @param body JSON lines.
 * @return Progress of the new or already known job; InvalidRequest names the line in Error::param.
 */
boost::asio::awaitable<Result<JobProgress>> submitJob(
    BatchService &service, WorkspaceConfig workspace, std::string jobKey, std::optional<UnixTime> due, std::string body);

/** Reads the progress of a job of @p workspace. Runs on the batch thread. */
boost::asio::awaitable<Result<JobProgress>> jobProgress(BatchService &service, WorkspaceId workspace, JobId job);

/** Lists the jobs of @p workspace. Runs on the batch thread. */
boost::asio::awaitable<Result<std::vector<JobProgress>>> listJobs(BatchService &service, WorkspaceId workspace);

/** Cancels a job. Runs on the batch thread. */
boost::asio::awaitable<Result<JobProgress>> cancelJob(BatchService &service, WorkspaceId workspace, JobId job);

/** Reads the result lines of one group; empty while the group is not done. Runs on the batch thread. */
boost::asio::awaitable<Result<std::string>> readGroupResults(BatchService &service, WorkspaceId workspace, JobId job, std::uint32_t group);

/** @return All jobs with their progress as last known here, as JSON, for the admin address. Any thread. */
[[nodiscard]] std::string batchStatusJson(const BatchService &service);

} // namespace skylark
