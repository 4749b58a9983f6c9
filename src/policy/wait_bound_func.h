/** @file wait_bound_func.h Bound on the predicted wait of a request, and the order in which refused callers return. */
#pragma once

#include "policy/wait_bound_type.h"

namespace skylark {

/** Counts a request that arrived. @param ownOnline Online requests of this host in flight. @param allOnline Those of all hosts. */
void recordArrival(ServiceLoad &load, unsigned ownOnline, unsigned allOnline, TimePoint now);

/** Records a request that found a free slot and was answered. @param first Time to the first event or whole answer. @param whole Time that it held the slot. */
void recordServiceTime(ServiceLoad &load, std::chrono::nanoseconds first, std::chrono::nanoseconds whole);

/** @return Requests offered by all hosts, relative to what @p slots serve; the larger one of the last half second and the last three seconds. */
[[nodiscard]] double offeredLoad(const ServiceLoad &load, unsigned slots, TimePoint now);

/**
 * @return The longest predicted waits with which a request is placed: what the latency target leaves after the usual time to the first event, less for a less
 * urgent request. A request with a long deadline may wait longer, and be late, while fewer requests are offered than the targets can serve, because then no
 * other one wants the room. The size of the request has no influence, so that large ones are refused as often as small ones. Designed for arrivals between
 * 0.38 and 1.85 of their mean in steps of some seconds, up to 1.6 times the capacity.
 */
[[nodiscard]] AllowedWait allowedWait(const ServiceLoad &load, const WaitBoundInput &input, TimePoint now);

/**
 * @return Delay after which a refused caller should return: when the wait is predicted to be short enough, and after all callers that were refused before, at
 * distances that the free capacity serves; at most a third of the time left, up to which callers honour it. It is at least 100 ms.
 */
[[nodiscard]] std::chrono::milliseconds returnDelay(ServiceLoad &load, const ReturnInput &input, TimePoint now);

} // namespace skylark
