/** @file baseline_func.h Decisions of the baseline policies that the adaptive policy is measured against. */
#pragma once

#include "policy/baseline_type.h"
#include "policy/routing_type.h"

namespace skylark {

/**
 * Selects the engines that a static split reserves for batch.
 * @param engines All engines of one failure domain.
 * @return The last third by id, but at least one; none if there are fewer than two engines.
 */
[[nodiscard]] std::vector<TargetId> batchOnlyTargets(std::vector<TargetId> engines);

/**
 * Routes an online request under @p mode.
 * @param input Candidates; for StaticSplit the caller leaves out the targets that are reserved for batch.
 * @param requestNumber Sequence number of the request; only round robin uses it, to select the next target.
 */
[[nodiscard]] RouteDecision chooseTargetByMode(PolicyMode mode, const RouteInput &input, std::uint64_t requestNumber);

/**
 * Limits the batch streams of a target under @p mode.
 * @param adaptive Limit of the adaptive policy.
 * @param slots Concurrent streams that the target runs.
 * @param batchOnly Whether a static split reserves the target for batch.
 * @return Maximum number of batch streams on the target.
 */
[[nodiscard]] unsigned batchLimitByMode(PolicyMode mode, unsigned adaptive, unsigned slots, bool batchOnly);

} // namespace skylark
