/** @file routing_func.h Routing of online requests. */
#pragma once

#include "policy/routing_type.h"

namespace skylark {

/** @return Running and waiting streams of a target: the load report, corrected by the streams that this host has started and ended since. */
[[nodiscard]] unsigned estimateOccupied(unsigned running, unsigned waiting, std::uint64_t startedSince, std::uint64_t endedSince, unsigned ownInFlight);

/** @return Number of batch streams on @p candidate that can be preempted. */
[[nodiscard]] unsigned cancellableBatch(const RouteCandidate &candidate);

/** @return Number of batch streams to preempt so that one more online stream can start at once; at most all batch streams. */
[[nodiscard]] unsigned requiredYields(const RouteCandidate &candidate);

/** @return Estimated wait behind other online streams after all batch streams are preempted. */
[[nodiscard]] std::chrono::milliseconds estimateWait(const RouteCandidate &candidate);

/** @return Score of @p candidate; lower is better. */
[[nodiscard]] double routeScore(const RouteCandidate &candidate);

/** @return Cost of forwarding one request to @p remote, comparable with a waiting time. */
[[nodiscard]] std::chrono::milliseconds forwardCost(const RemoteDomain &remote);

/** @return Whether another target, or another failure domain, than the one of @p decision can take the request at once.
 * @param resumed Whether the answer has begun, so that targets are usable again on which an attempt failed. */
[[nodiscard]] bool hasAlternative(const RouteInput &input, const RouteDecision &decision, bool resumed);

/** Chooses the target or the failure domain for one request. */
[[nodiscard]] RouteDecision chooseTarget(const RouteInput &input);

} // namespace skylark
