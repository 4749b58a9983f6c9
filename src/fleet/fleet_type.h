/** @file fleet_type.h Routes, targets and hosts as known to a host that forwards requests. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"
#include "fleet/workspace_type.h"
#include "http/http_type.h"
#include "policy/stream_origin_type.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylark {

/** How the requests of a route are handled and whether they may be repeated. */
enum class CallKind : std::uint8_t {
    Safe, ///< Idempotent; a request may run more than once.
    Unsafe, ///< A request may run at most once for each attempt of the caller.
    Stream, ///< Server-sent events; idempotent only when the route is resumable.
    Batch, ///< Submission of batch jobs.
};

/** One of the services that share the requests of a route. */
struct WeightedService {
    ServiceId service;
    unsigned weight{1}; ///< Share of the requests, relative to the sum of the route's weights.
};

/** One route of the configuration. */
struct RouteRule {
    std::string name; ///< Name in logs and metrics.
    std::string host; ///< Host header that the route matches, in lower case and without a port.
    std::string prefix; ///< Path prefix; begins and ends with a slash.
    CallKind kind{CallKind::Unsafe};
    std::vector<WeightedService> services; ///< Services that serve the requests; at least one.
    std::chrono::milliseconds timeout{0}; ///< Maximum duration of a request; 0 for no limit.
    std::chrono::milliseconds latencyTarget{0}; ///< Intended maximum time to the complete answer, or to the first event of a stream; 0 when not given.
    unsigned priority{0}; ///< 0 is the most urgent.
    unsigned maxAttempts{1}; ///< Maximum number of targets on which one attempt of the caller may run.
    bool resumable{false}; ///< Whether a stream may be continued on another target.
    std::chrono::milliseconds completionTarget{0}; ///< Batch: time from the submission of a job until all of its results are due.
    std::chrono::milliseconds retention{0}; ///< Batch: time from the submission of a job after which its unfinished items may be abandoned.
    std::uint64_t maxWaitingTokens{0}; ///< Batch: maximum tokens of all unfinished items on the route, of each workspace if there are any; 0 for no limit.
    bool isPublic{false}; ///< Whether requests need no API key.
    bool sessionAffinity{false}; ///< Whether requests name the parts of their prompts, which targets may still hold.
};

/** @return Whether a request of @p route may run more than once. */
[[nodiscard]] inline bool isRepeatable(const RouteRule &route)
{
    return route.kind == CallKind::Safe || route.kind == CallKind::Batch || (route.kind == CallKind::Stream && route.resumable);
}

/** A workspace whose callers may use the routes that are not public. */
struct WorkspaceRule {
    WorkspaceId id;
    std::vector<std::string> keys; ///< API keys of its callers.
    unsigned priority{0}; ///< 0 is the most urgent; goes before the priority of the route.
    double ratePerSecond{0}; ///< Requests a second that it may send to all hosts together; 0 for no limit.
    double burst{0}; ///< Requests that it may send at once beyond the rate.
};

/** A service of the configuration. */
struct ServiceRule {
    std::uint64_t cacheTokens{0}; ///< Tokens that the memory of a target holds for running requests and kept prompt parts; 0 when unknown.
};

/** Limits on the requests and connections of callers. */
struct CallerLimits {
    std::size_t maxHeaderBytes{16384}; ///< Maximum size of a request head.
    std::size_t maxBodyBytes{std::size_t{4} << 20U}; ///< Maximum size of a request body.
    std::chrono::milliseconds headerTimeout{3000}; ///< Time within which a request head must be complete, from its first byte.
    std::chrono::milliseconds idleTimeout{15000}; ///< Time after which an idle connection is closed.
};

/** Configuration in force; immutable. */
struct RoutingConfig {
    Revision version; ///< Increases with each configuration; 0 when there is none.
    std::vector<RouteRule> routes;
    CallerLimits limits;
    std::optional<std::vector<WorkspaceRule>> workspaces; ///< Empty when callers need no API key.
    std::shared_ptr<const KeyTable> keys; ///< Keys of the workspaces; null until indexWorkspaces() was called, so that no key is known.
    std::map<ServiceId, ServiceRule> services; ///< Services that the configuration describes.
};

/** One live target. */
struct TargetEntry {
    TargetId id; ///< Identifier of this instance of the target; mostly new at each start.
    ServiceId service; ///< Service that the target belongs to.
    Endpoint endpoint; ///< Address for requests.
    DomainId domain; ///< Failure domain of the target.
    SoftwareVersion version; ///< Version of the target's software.
    unsigned slots{1}; ///< Requests that the target runs concurrently.
    bool leaving{false}; ///< Whether the entry says that the target is shutting down and accepts no new requests.
    std::optional<UnixTime> born{}; ///< Start of the target, which tells two lifetimes under one identifier apart; empty when the entry does not say.

    bool operator==(const TargetEntry &other) const = default;
};

/** @return Whether two entries under one identifier are of the same target: one with another service, address or start is a new one. */
[[nodiscard]] inline bool isSameTarget(const TargetEntry &left, const TargetEntry &right)
{
    return left.service == right.service && left.endpoint == right.endpoint && left.born == right.born;
}

/** @return The service of @p target and the version of its software. */
[[nodiscard]] inline ServiceVersion versionOf(const TargetEntry &target)
{
    return {target.service, target.version};
}

/** Targets by identifier; immutable once published. */
using TargetMap = std::map<TargetId, TargetEntry>;

/** A host's entry in the key-value service. */
struct PeerEntry {
    HostId host;
    SessionId session; ///< Identifier of its process; new at each start.
    DomainId domain; ///< Failure domain of the host.
    Endpoint endpoint; ///< Address for status datagrams and configuration pulls.
};

/** State of the fleet that the control thread publishes to the traffic thread; immutable once published. */
struct FleetSnapshot {
    std::shared_ptr<const RoutingConfig> config; ///< Configuration in force; null until one was read.
    std::shared_ptr<const std::string> configDocument; ///< Document from which @c config was decoded, for peers that cannot reach the service.
    std::shared_ptr<const TargetMap> targets; ///< Null until the list was read for the first time.
    std::shared_ptr<const std::set<ServiceVersion>> listedVersions; ///< Versions in the registry; null until it was read for the first time.
    std::vector<PeerEntry> peers; ///< Other hosts with an entry in the service.
    bool peersKnown{false}; ///< Whether the hosts' entries have been read.
    bool storeReachable{false}; ///< Whether the last call to the service succeeded; false also after one failed call among answered ones.
    bool storeAway{false}; ///< Whether the service is in an outage, as isStoreAway() tells it.
};

} // namespace skylark
