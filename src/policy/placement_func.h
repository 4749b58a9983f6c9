/** @file placement_func.h Decides which models to load where. */
#pragma once

#include "core/clock_func.h"
#include "core/result_type.h"
#include "policy/placement_type.h"

#include <chrono>
#include <vector>

namespace skylark {

/**
 * Plans the next orders of a failure domain.
 * A version that is being replaced is unloaded only where the wanted version already has all its replicas elsewhere or in the same
 * engine, so that a change of version never leaves callers without a loaded model.
 * @param maxLoads Loads that the weight store's rate allows now.
 */
[[nodiscard]] std::vector<PlacementOrder> planPlacement(const std::vector<WantedModel> &wanted, const std::vector<PlacementTarget> &targets, unsigned maxLoads);

/**
 * Decides whether an order may be sent now, after the target has taken its head. The order must take effect before the lease ends:
 * the target drops it when its body does not arrive within @p orderTimeout.
 * @return LeaseExpired when the lease does not outlast the order.
 */
[[nodiscard]] Result<Done> orderAllowed(TimePoint leaseDeadline, std::chrono::milliseconds orderTimeout, TimePoint now);

} // namespace skylark
