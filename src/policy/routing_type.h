/** @file routing_type.h Inputs and outcome of an online routing decision. */
#pragma once

#include "core/id_type.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylark {

/** One target that has the model, with its load as estimated by the caller of the decision. */
struct RouteCandidate {
    TargetId id; ///< Target.
    bool leaving{false}; ///< Whether it is leaving by any source.
    bool blocked{false}; ///< Whether its circuit breaker is open.
    bool tried{false}; ///< Whether an attempt of this request failed on it.
    unsigned slots{0}; ///< Concurrent streams; 0 when no report has arrived.
    unsigned occupied{0}; ///< Estimated running and waiting streams of all hosts.
    unsigned online{0}; ///< Of these, known online streams of all hosts.
    unsigned ownBatch{0}; ///< Own batch streams in flight.
    double tokenRatio{1.0}; ///< Time per token over the median of the model's targets.
    double declineFactor{1.0}; ///< Slow decline against peers; 1 when healthy.
    double affinity{0}; ///< Share of the prompt that its prefix cache probably holds, 0 to 1.
    std::chrono::milliseconds serviceTime{2000}; ///< Usual time that a stream holds a slot.
};

/** Another failure domain that can take the request. */
struct RemoteDomain {
    DomainId domain; ///< Failure domain.
    unsigned freeSlots{0}; ///< Free slots for the model, as its hosts report.
    std::chrono::milliseconds roundTrip{0}; ///< Round trip.
    double costFactor{1.0}; ///< Relative cost of the link; 1 is free.
    bool tried{false}; ///< Whether an attempt of this request failed there.
};

/** Question: where does this request go? */
struct RouteQuestion {
    std::vector<RouteCandidate> candidates; ///< Targets of this failure domain.
    std::vector<RemoteDomain> remotes; ///< Other failure domains.
    bool mayForward{true}; ///< False for a request that was forwarded already.
    std::uint64_t seed{0}; ///< Seed of the sample.
};

/** Kind of a routing decision. */
enum class RouteKind : std::uint8_t {
    Target, ///< Send to a target of this failure domain.
    Forward, ///< Send to a host of another failure domain.
    None, ///< No target can take it.
};

/** Answer with its reason. */
struct RouteDecision {
    RouteKind kind{RouteKind::None}; ///< Kind.
    TargetId target; ///< Target, for RouteKind::Target.
    DomainId domain; ///< Failure domain, for RouteKind::Forward.
    unsigned yieldSlots{0}; ///< Batch streams that have to release their slot for this request.
    std::chrono::milliseconds wait{0}; ///< Estimated wait for a slot behind other online streams.
    std::string reason; ///< Short text for the decision log.
};

} // namespace skylark
