/** @file batch_limit_func.h Limit of concurrent batch streams on a target. */
#pragma once

#include "config/config_type.h"
#include "core/clock_func.h"
#include "policy/batch_limit_type.h"

namespace skylark {

/** @return Weight of online tail latency at @p now, 0 to 1: 1 within the shop hours (UTC), the configured weight otherwise. */
[[nodiscard]] double effectiveTailWeight(const BatchPolicy &policy, UnixTime now);

/**
 * Computes the headroom for bursts of online requests.
 * @param onlineMean Recent mean of online streams in flight.
 * @param onlinePeak Recent peak of online streams in flight.
 * @param tailWeight Weight of online tail latency, 0 to 1.
 * @return Slots to keep free for online requests.
 */
[[nodiscard]] unsigned batchHeadroom(double onlineMean, double onlinePeak, double tailWeight);

/**
 * Computes how many batch streams must yield to online streams. Runs at the batch owner of the target, the only host that knows the exact number of
 * batch streams on it.
 * @param input Slots and streams; onlineElsewhere includes streams that were announced since the last status datagram.
 * @param arriving Online streams that are being sent now and are not counted in @p input.
 * @return Batch streams to cancel so that every online stream gets a slot.
 */
[[nodiscard]] unsigned streamsToYield(const BatchLimitInput &input, unsigned arriving);

/** Computes the batch limit of one target. The adaptive limit changes at most once per load report. */
[[nodiscard]] BatchLimit decideBatchLimit(BatchLimitState state, const BatchLimitInput &input);

} // namespace skylark
