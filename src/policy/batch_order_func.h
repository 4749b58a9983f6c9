/** @file batch_order_func.h Order of batch work: jobs, groups, due times. */
#pragma once

#include "policy/batch_order_type.h"

#include <vector>

namespace skylark {

/** @return Time left to the due time after @p itemsLeft items at @p itemsPerSecond; a rate of 0 counts as unknown. */
[[nodiscard]] std::chrono::milliseconds slackOf(UnixTime due, UnixTime now, std::uint64_t itemsLeft, double itemsPerSecond);

/** @return Indices of @p jobs, the most urgent first: least slack, weighted by the share of the workspace. */
[[nodiscard]] std::vector<std::size_t> orderJobs(const std::vector<JobDemand> &jobs, UnixTime now, double itemsPerSecond);

/** @return The order in which @p host walks the groups of @p job; differs between hosts, so that they rarely claim the same group. */
[[nodiscard]] std::vector<std::uint32_t> walkOrder(const HostId &host, const JobId &job, std::uint32_t groupCount);

/**
 * Moves the groups for which @p host has the highest rendezvous score among @p hosts to the front of @p walk, in their order.
 * Each group is at the front of exactly one host's walk, so that first claims do not collide.
 * @return Number of groups at the front.
 */
[[nodiscard]] std::size_t moveOwnGroupsFirst(std::vector<std::uint32_t> &walk, const HostId &host, const std::vector<HostId> &hosts, const JobId &job);

/** @return Whether the due time will be missed at the present rate. */
[[nodiscard]] bool isDueAtRisk(UnixTime due, UnixTime now, std::uint64_t itemsLeft, double itemsPerSecond);

} // namespace skylark
