/** @file batch_limit_func.h How many batch streams a target may carry. */
#pragma once

#include "config/config_type.h"
#include "core/clock_func.h"
#include "policy/batch_limit_type.h"

namespace skylark {

/** @return The weight of the online tail at @p now: 1 within the shop hours, the configured weight otherwise. */
[[nodiscard]] double effectiveTailWeight(const BatchPolicy &policy, UnixTime now);

/** @return Slots kept free for online requests. */
[[nodiscard]] unsigned batchHeadroom(double onlineMean, double onlinePeak, double tailWeight);

/** Computes the batch limit of one target; the adaptive bound changes once per load report. */
[[nodiscard]] BatchLimit decideBatchLimit(BatchLimitState state, const BatchLimitInput &input);

} // namespace skylark
