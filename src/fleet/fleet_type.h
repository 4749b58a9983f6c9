/** @file fleet_type.h Routes, targets and hosts that a proxying host knows. */
#pragma once

#include "core/id_type.h"
#include "http/http_type.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylark {

using ServiceId = StrongId<struct ServiceIdTag>; ///< A group of interchangeable targets.

/** What may be done with the requests of a route. */
enum class CallKind : std::uint8_t {
    Safe, ///< Idempotent; may run more than once.
    Unsafe, ///< May run at most once for each attempt of the caller.
    Stream, ///< Server-sent events; idempotent only when the route is resumable.
    Batch, ///< Submission of batch jobs.
};

/** One of the services that share the requests of a route. */
struct WeightedService {
    ServiceId service; ///< Service.
    unsigned weight{1}; ///< Relative share of requests.
};

/** One route of the configuration. */
struct RouteRule {
    std::string name; ///< Name in logs and metrics.
    std::string host; ///< Host header in lower case.
    std::string prefix; ///< Path prefix; begins and ends with a slash.
    CallKind kind{CallKind::Unsafe}; ///< What may be repeated.
    std::vector<WeightedService> services; ///< Where requests go; at least one.
    std::chrono::milliseconds timeout{0}; ///< Longest time that a request may take; 0 for no limit.
    std::chrono::milliseconds latencyTarget{0}; ///< Time to the whole answer or the first event that counts as quick; 0 when not given.
    unsigned priority{0}; ///< Rank; 0 is the most urgent.
    unsigned maxAttempts{1}; ///< Targets on which one attempt of the caller may run.
    bool resumable{false}; ///< Whether a stream may be continued on another target.
    std::chrono::milliseconds completionTarget{0}; ///< Batch: time from submission until all results are due.
    std::chrono::milliseconds retention{0}; ///< Batch: time after which unfinished items may be given up.
    std::uint64_t maxWaitingTokens{0}; ///< Batch: tokens of unfinished items that callers may have on the route; 0 for no limit.
};

/** @return Whether a request of @p route may run more than once. */
[[nodiscard]] inline bool isRepeatable(const RouteRule &route)
{
    return route.kind == CallKind::Safe || route.kind == CallKind::Batch || (route.kind == CallKind::Stream && route.resumable);
}

/** Limits on what callers may send. */
struct CallerLimits {
    std::size_t maxHeaderBytes{16384}; ///< Largest request head.
    std::size_t maxBodyBytes{std::size_t{4} << 20U}; ///< Largest request body.
    std::chrono::milliseconds headerTimeout{3000}; ///< Time for a request head once its first byte arrived.
    std::chrono::milliseconds idleTimeout{15000}; ///< Time that an idle connection is kept.
};

/** Configuration in force; immutable. */
struct RoutingConfig {
    Revision version; ///< Increases with each configuration; 0 for none.
    std::vector<RouteRule> routes; ///< Routes.
    CallerLimits limits; ///< Limits on callers.
};

/** One live target. */
struct TargetEntry {
    TargetId id; ///< Identifier of this run of the target.
    ServiceId service; ///< Service that it belongs to.
    Endpoint endpoint; ///< Address.
    DomainId domain; ///< Failure domain.
    unsigned slots{1}; ///< Requests that it runs at once.
    bool leaving{false}; ///< Whether it takes no new work.
};

/** Targets by identifier; immutable once published. */
using TargetMap = std::map<TargetId, TargetEntry>;

/** Another host of the system. */
struct PeerEntry {
    HostId host; ///< Host.
    SessionId session; ///< Run of its process.
    DomainId domain; ///< Failure domain.
    Endpoint endpoint; ///< Address for status datagrams and state pulls.
};

/** What the control thread knows, published to the traffic thread; immutable. */
struct FleetSnapshot {
    std::shared_ptr<const RoutingConfig> config; ///< Configuration; null until one is known.
    std::shared_ptr<const std::string> configDocument; ///< Document behind @c config, for peers that cannot reach the service.
    std::shared_ptr<const TargetMap> targets; ///< Targets; null until the list was read once.
    std::vector<PeerEntry> peers; ///< Other hosts, from the service.
    bool storeReachable{false}; ///< Whether the last call to the service was answered.
};

} // namespace skylark
