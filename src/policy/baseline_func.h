/** @file baseline_func.h Decisions of the baseline policies. */
#pragma once

#include "policy/baseline_type.h"
#include "policy/routing_type.h"

namespace skylark {

/** @return The engines of one failure domain that a static split gives to batch: the last third by id, at least one of two or more. */
[[nodiscard]] std::vector<TargetId> batchOnlyTargets(std::vector<TargetId> engines);

/** @return The decision of @p mode. @p turn Number of the request, for targets in turn. */
[[nodiscard]] RouteDecision chooseByMode(PolicyMode mode, const RouteQuestion &question, std::uint64_t turn);

/**
 * @return Batch streams that @p mode lets a target carry.
 * @param adaptive Limit of the adaptive policy.
 * @param slots Concurrent streams of the target.
 * @param batchOnly Whether a static split gives the target to batch.
 */
[[nodiscard]] unsigned batchLimitByMode(PolicyMode mode, unsigned adaptive, unsigned slots, bool batchOnly);

} // namespace skylark
