/** @file batch_order_func.h Scheduling order of batch jobs and their groups. */
#pragma once

#include "policy/batch_order_type.h"

#include <vector>

namespace skylark {

/**
 * Computes the slack of a job.
 * @param itemsPerSecond Processing rate; 0 if unknown, then the remaining work is not subtracted.
 * @return Time from the expected end of the remaining items to @p due; negative if the job is expected to be late.
 */
[[nodiscard]] std::chrono::milliseconds slackOf(UnixTime due, UnixTime now, std::uint64_t itemsLeft, double itemsPerSecond);

/** @return Indices of @p jobs, most urgent first: by slack weighted with the share of the workspace, then by creation time, then by id. */
[[nodiscard]] std::vector<std::size_t> orderJobs(const std::vector<JobDemand> &jobs, UnixTime now, double itemsPerSecond);

/** @return The order in which @p host tries to claim the groups of @p job. It differs between hosts, so that they rarely claim the same group. */
[[nodiscard]] std::vector<std::uint32_t> groupClaimOrder(const HostId &host, const JobId &job, std::uint32_t groupCount);

/**
 * Moves the groups for which @p host has the highest rendezvous score among @p hosts to the front of @p claimOrder, keeping their order.
 * Each group is moved to the front on exactly one host, so that the first claims of the hosts do not conflict.
 * @return Number of groups moved to the front.
 */
[[nodiscard]] std::size_t movePreferredGroupsFirst(std::vector<std::uint32_t> &claimOrder,
                                                   const HostId &host,
                                                   const std::vector<HostId> &hosts,
                                                   const JobId &job);

/** @return Whether the job has items left and will miss its due time at @p itemsPerSecond. */
[[nodiscard]] bool isDueAtRisk(UnixTime due, UnixTime now, std::uint64_t itemsLeft, double itemsPerSecond);

} // namespace skylark
