/** @file batch_service_func.h Service for batch jobs: submission, execution, results and cancellation. */
#pragma once

#include "blob/blob_store_func.h"
#include "config/config_type.h"
#include "daemon/host_context_base.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace skylark {

/** Batch service of one host; all its coroutines run on the batch thread. */
struct BatchService {
    struct Impl;
    std::shared_ptr<Impl> impl;

    /** @return The service, not yet started; an error when no client for the key-value service can be created. @param context Must outlive the service. */
    static Result<std::shared_ptr<BatchService>> create(HostContext &context, std::shared_ptr<BlobCluster> blobs);
};

/** Starts the execution loop, which claims and runs groups. Further calls have no effect. Any thread. */
void startBatch(BatchService &service);

/** Cancels up to @p slots batch streams on @p target, newest first; their items resume later. Call on the batch thread. */
void yieldBatch(BatchService &service, const TargetId &target, unsigned slots);

/**
 * Cancels as many batch streams on @p target as arriving online streams need slots. Call on the batch thread.
 * @param streams Online streams that are being sent to the target.
 * @param byPeer Whether another host sends them; this host's own streams are counted in the load table.
 */
void preemptForOnline(BatchService &service, const TargetId &target, unsigned streams, bool byPeer);

/** Planned shutdown: cancels all streams and releases the held groups with their partial results. Runs on the batch thread. */
boost::asio::awaitable<void> drainBatch(BatchService &service);

/** Progress of a job. */
struct JobProgress {
    JobRecord job;
    std::uint32_t finished{0}; ///< Items with a recorded result or typed failure.
    std::uint32_t failed{0}; ///< Those of finished that have a typed failure.
    std::uint32_t groupsDone{0};
    bool dueRisk{false}; ///< Whether the job would miss its due time at the current rate.
};

/**
 * Checks a job, stores its input durably and writes its record. Runs on the batch thread.
 * @param jobKey Idempotency key chosen by the caller; must not be empty.
 * @param due Due time; nothing for the workspace's default.
 * @param body One JSON object per line, one per item.
 * @return Progress of the new job, or of the existing one with the same key and content. Errors in a line name it in Error::param;
 * JobKeyConflict when the key was used with different content; InsufficientReplicas with retryAfter when the input could not be stored.
 */
boost::asio::awaitable<Result<JobProgress>> submitJob(
    BatchService &service, WorkspaceConfig workspace, std::string jobKey, std::optional<UnixTime> due, std::string body);

/** Reads the progress of a job; values up to a second old are reused. Runs on the batch thread. @return NotFound when @p workspace has no such job. */
boost::asio::awaitable<Result<JobProgress>> jobProgress(BatchService &service, WorkspaceId workspace, JobId job);

/** Lists the jobs of @p workspace in the current snapshot with their progress. Runs on the batch thread. */
boost::asio::awaitable<Result<std::vector<JobProgress>>> listJobs(BatchService &service, WorkspaceId workspace);

/** Cancels a job; a job that has ended stays as it is. Runs on the batch thread. @return Its progress, or NotFound. */
boost::asio::awaitable<Result<JobProgress>> cancelJob(BatchService &service, WorkspaceId workspace, JobId job);

/** Reads the result lines of one group. Runs on the batch thread. @return The lines, empty while the group is not done, or NotFound. */
boost::asio::awaitable<Result<std::string>> readGroupResults(BatchService &service, WorkspaceId workspace, JobId job, std::uint32_t group);

/** @return JSON array of the active jobs with their progress as known to this host, for the admin API. Any thread. */
[[nodiscard]] std::string batchStatusJson(const BatchService &service);

} // namespace skylark
