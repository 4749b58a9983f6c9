/** @file routing_func.h Online routing. */
#pragma once

#include "policy/routing_type.h"

namespace skylark {

/** @return Running and waiting streams of a target: the report, corrected by the streams this host started and ended since. */
[[nodiscard]] unsigned estimateOccupied(unsigned running, unsigned waiting, std::uint64_t startedSince, std::uint64_t endedSince, unsigned ownInFlight);

/** @return Batch streams of @p candidate that can release a slot. */
[[nodiscard]] unsigned batchOn(const RouteCandidate &candidate);

/** @return Batch streams that have to go so that one more online stream runs at once, as far as batch can give way. */
[[nodiscard]] unsigned yieldNeeded(const RouteCandidate &candidate);

/** @return Estimated wait behind other online streams once batch has given way. */
[[nodiscard]] std::chrono::milliseconds estimateWait(const RouteCandidate &candidate);

/** @return Score of @p candidate; the lowest wins. */
[[nodiscard]] double routeScore(const RouteCandidate &candidate);

/** @return Cost of sending one request to @p remote, to be compared with a wait. */
[[nodiscard]] std::chrono::milliseconds forwardCost(const RemoteDomain &remote);

/** Chooses the target or failure domain of one request. */
[[nodiscard]] RouteDecision chooseTarget(const RouteQuestion &question);

} // namespace skylark
