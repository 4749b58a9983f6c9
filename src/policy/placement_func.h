/** @file placement_func.h Plans which models to load on which engines. */
#pragma once

#include "core/clock_func.h"
#include "core/result_type.h"
#include "policy/placement_type.h"

#include <chrono>
#include <vector>

namespace skylark {

/**
 * Plans the next orders of a failure domain: loads of models; if there are none, loads of adapters; if there are none either, unloads.
 * A replaced version is unloaded only once the wanted version has all its replicas, on the same engine or on others, so that a change
 * of version never leaves callers without a loaded model.
 * @param maxLoads Number of model and adapter loads that the rate limit of the weight store allows now.
 */
[[nodiscard]] std::vector<PlacementOrder> planPlacement(const std::vector<WantedModel> &wanted, const std::vector<PlacementTarget> &targets, unsigned maxLoads);

/**
 * Checks whether the body of an order may be sent now, after the target has received its head. The order must take effect before the
 * lease expires: the target drops an order whose body does not arrive within @p orderTimeout.
 * @return LeaseExpired when the lease may expire before the order takes effect.
 */
[[nodiscard]] Result<Done> orderAllowed(TimePoint leaseDeadline, std::chrono::milliseconds orderTimeout, TimePoint now);

} // namespace skylark
