/** @file routing_type.h Input and outcome of the routing of an online request. */
#pragma once

#include "core/id_type.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylark {

/** One target that has the model, with its estimated load. */
struct RouteCandidate {
    TargetId id;
    bool leaving{false}; ///< Whether any source reports it as leaving.
    bool blocked{false}; ///< Whether its circuit breaker is open.
    bool tried{false}; ///< Whether an attempt of this request failed on it.
    unsigned slots{0}; ///< Maximum number of concurrent streams; 0 before the first load report.
    unsigned occupied{0}; ///< Estimated number of running and waiting streams of all hosts.
    unsigned online{0}; ///< Known online streams of all hosts, included in occupied.
    unsigned ownBatch{0}; ///< Batch streams in flight from this host.
    double tokenRatio{1.0}; ///< Time per token divided by the median of the model's targets; 1 when unknown.
    double declineFactor{1.0}; ///< Step time divided by that of its peers, or by its own earlier one if it has too few peers; smoothed, at least 1.
    double affinity{0}; ///< Estimated share of the prompt that is in its prefix cache, 0 to 1.
    std::chrono::milliseconds serviceTime{2000}; ///< Typical time that a stream holds a slot.
};

/** Another failure domain to which the request can be forwarded. */
struct RemoteDomain {
    DomainId domain;
    unsigned freeSlots{0}; ///< Free slots for the model, as reported by its hosts.
    std::chrono::milliseconds roundTrip{0};
    double costFactor{1.0}; ///< Relative cost of the link; 1 adds nothing.
    bool tried{false}; ///< Whether an attempt of this request failed there.
};

/** Input of the routing of one request. */
struct RouteInput {
    std::vector<RouteCandidate> candidates; ///< Targets of this failure domain.
    std::vector<RemoteDomain> remotes; ///< Other failure domains.
    bool mayForward{true}; ///< False when the request was forwarded already.
    std::uint64_t seed{0}; ///< Seed of the random sample of candidates.
};

/** Kind of a routing decision. */
enum class RouteKind : std::uint8_t {
    Target, ///< Send to a target of this failure domain.
    Forward, ///< Send to a host of another failure domain.
    None, ///< No target can serve the request.
};

/** Outcome of the routing of one request. */
struct RouteDecision {
    RouteKind kind{RouteKind::None};
    TargetId target; ///< Set for RouteKind::Target only.
    DomainId domain; ///< Set for RouteKind::Forward only.
    unsigned yieldSlots{0}; ///< Number of batch streams to preempt for this request.
    std::chrono::milliseconds wait{0}; ///< Estimated wait for a slot behind other online streams.
    std::string reason; ///< Free text for the decision log.
};

} // namespace skylark
