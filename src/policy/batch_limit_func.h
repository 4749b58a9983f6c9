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

/**
 * Decides about a yield at the batch owner, the only host that knows the exact number of batch streams on the target.
 * @param input Slots and streams; onlineElsewhere includes streams that were announced since the last status.
 * @param arriving Online streams that are being sent now and are not counted in @p input.
 * @return Batch streams to cancel so that every online stream finds a slot.
 */
[[nodiscard]] unsigned yieldForArrivals(const BatchLimitInput &input, unsigned arriving);

/** Computes the batch limit of one target; the adaptive bound changes once per load report. */
[[nodiscard]] BatchLimit decideBatchLimit(BatchLimitState state, const BatchLimitInput &input);

} // namespace skylark
