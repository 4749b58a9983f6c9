/** @file proxy_base.h State of the traffic thread, which forwards requests to targets. */
#pragma once

#include "fleet/fleet_controller_func.h"
#include "fleet/leaving_targets_base.h"
#include "fleet/load_tracker_base.h"
#include "fleet/stored_origins_func.h"
#include "http/http_client_func.h"
#include "http/http_server_func.h"
#include "metrics/metrics_func.h"
#include "policy/crash_quarantine_func.h"
#include "policy/kept_prompt_func.h"
#include "policy/link_state_type.h"
#include "policy/load_balance_func.h"
#include "policy/rate_limit_func.h"
#include "policy/silence_func.h"
#include "policy/wait_bound_type.h"
#include "proxy/call_type.h"
#include "proxy/link_watch_base.h"
#include "proxy/origin_table_base.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>

namespace skylark {

/**
 * Timeout for opening a connection to a target. Covers many round trips between failure domains, plus 100 ms in which this host may not be scheduled.
 * After a target that does not respond, another one can still answer the request within the usual latency target of 300 ms.
 */
constexpr std::chrono::milliseconds targetConnectTimeout{120};

/** Recent results of this host's requests to a target. */
struct TargetHealth {
    unsigned failures{0}; ///< Consecutive failures.
    TimePoint suspectUntil{}; ///< The target is avoided until this time.
    TargetSilence silence; ///< Whether it responds to online requests.
    double firstAnswerMs{0}; ///< Moving average of the time to the first answer, over requests that found a free slot; 0 when unknown.
};

/** A change of this host's requests in flight that is announced to the other hosts. */
enum class LoadChange : std::uint8_t {
    FreeSlotTaken, ///< An online request took a free slot.
    SlotNeeded, ///< An online request needs a slot that a batch item or another request holds, or batch items took free slots.
};

/** What other hosts and the key-value service know of the versions that began streams. Empty functions know nothing. */
struct OriginSources {
    std::function<void(std::uint64_t stream, const ServiceVersion &origin)> announce; ///< Sends a record to its keepers.
    std::function<boost::asio::awaitable<std::optional<ServiceVersion>>(std::uint64_t stream)> askHosts; ///< Asks the keepers of a stream's record.
    std::function<boost::asio::awaitable<Result<StoredOrigins>>()> readStore; ///< Reads what the key-value service holds.
};

/** Another host that can run requests for this one. */
struct RelayPeer {
    RelayCandidate candidate;
    Endpoint endpoint; ///< Address for relayed requests.
};

/** State of the proxy; owned by the traffic thread. */
struct Proxy {
    boost::asio::any_io_executor executor; ///< Executor of the traffic thread.
    CallWire wire; ///< Wire format of callers and targets.
    std::shared_ptr<HttpClient> http; ///< Connection pool for targets.
    std::shared_ptr<MetricsRegistry> metrics;
    SnapshotPtr fleet; ///< Latest snapshot published by the control thread; never null.
    LoadTracker loadTracker; ///< Requests in flight on each target, of all hosts.
    std::map<TargetId, TargetHealth> health; ///< Health of the targets that requests were sent to.
    LeavingTargets leavingTargets; ///< Targets that have said in an answer that they are leaving.
    RateLimitTable rateLimits; ///< Rate limits that targets have named.
    CrashQuarantine quarantine; ///< Prompt parts that crash targets.
    std::map<ServiceId, KeptPrompts> keptPrompts; ///< Prompt parts that targets probably hold; only of services with a route that has session affinity.
    std::map<ServiceId, ServiceLoad> serviceLoads; ///< Only of services whose requests have a bounded wait or session affinity.
    LinkWatch links; ///< Whether this host reaches the targets.
    std::function<std::vector<RelayPeer>()> relayPeers; ///< Lists the other hosts; may be empty.
    OriginTable origins; ///< Records of the versions that began streams.
    OriginSources originSources; ///< Where else they are known.
    std::function<void()> onUrgentNews; ///< Schedules an early announcement to the hosts of all failure domains; may be empty.
    std::function<void(const QuarantineChange &change)> onQuarantine; ///< Stores a change that this host decided; may be empty.
    std::function<void(LoadChange change)> onLoadChange; ///< Schedules an early announcement of this host's requests in flight.
    std::uint64_t random{1}; ///< State of the pseudorandom generator.
    bool stopping{false}; ///< Whether a planned shutdown has begun.
};

/** @return The load tracker of @p proxy, sharing ownership of the proxy, because an InFlightGuard may outlive its other users. */
[[nodiscard]] inline std::shared_ptr<LoadTracker> loadTrackerOf(const std::shared_ptr<Proxy> &proxy)
{
    return {proxy, &proxy->loadTracker};
}

/**
 * Records a successful answer of a target and ends its avoidance.
 * @param firstAnswer Time to the first answer; empty when it is not to be averaged, because the request was queued or had been tried on another target.
 */
void recordTargetSuccess(Proxy &proxy, const TargetId &target, std::optional<std::chrono::milliseconds> firstAnswer);

/**
 * Records a failure of a target. The target is avoided for a time that doubles with each consecutive failure, up to a bound. Idle connections to its
 * address are closed.
 */
void recordTargetFailure(Proxy &proxy, const TargetEntry &target);

/** Records that a request ended while its target was silent, which a sound target can be. Idle connections to its address are closed if it was for long. */
void recordSilence(Proxy &proxy, const TargetEntry &target, std::chrono::milliseconds silence);

/** Divides the rate limits of targets among all registered hosts that are not about to stop. */
void updateSenders(Proxy &proxy);

/**
 * @return The targets of @p service that accept new requests, with their load and health.
 * @param tried Targets on which the request has failed.
 * @param domain Failure domain of this host.
 */
[[nodiscard]] std::vector<BalanceCandidate> candidatesOf(Proxy &proxy, const ServiceId &service, const std::vector<TargetId> &tried, const DomainId &domain);

/** Replaces the snapshot of the fleet, and forgets what was learned of targets that are not listed any more or were replaced. */
void applyFleet(Proxy &proxy, SnapshotPtr snapshot);

/**
 * @return Whether an answer with @p status belongs to request @p id. A success has to prove it by the signature and the id, because additional bytes of a
 * target can look like one. A failure that names no request belongs to the present one if it has no signature, a refusal in any case.
 */
[[nodiscard]] bool answersRequest(const AnswerHead &head, int status, const RequestId &id);

/**
 * Reads the head of an answer and records what @p target says of itself in it, unless it belongs to another request than @p id: its rate limit, and whether
 * it is leaving.
 * @param sentAt When the request was sent.
 */
[[nodiscard]] AnswerHead readAnswer(Proxy &proxy, const TargetEntry &target, HttpExchange &exchange, const RequestId &id, TimePoint sentAt);

/** Records that @p target has sent bytes that belong to no request, which counts as a failure of it. @param request Request during which they were found. */
void recordUnsolicitedBytes(Proxy &proxy, const TargetEntry &target, const std::string &request);

/**
 * Records the rate limit that an answer names, or that it names none.
 * @param sentAt When the request was sent.
 */
void recordLimit(Proxy &proxy, const TargetId &target, const AnswerHead &head, TimePoint sentAt);

/** Adds a limit that another host announced; ignored for a target that is not known. */
void applyLimit(Proxy &proxy, const LimitObservation &observation);

/** Schedules an early announcement of evidence or limits to the hosts of all failure domains. */
void announceToAll(const Proxy &proxy);

/** Records a run that failed with @p error; it is suspect if its target ended. */
void recordFailedRun(Proxy &proxy, const TargetId &target, const PromptParts &prompt, const RunProgress &progress, const Error &error);

/** Records a run whose answer was complete and successful, or that has gone on for a while. */
void recordSoundRun(Proxy &proxy, const PromptParts &prompt);

/** Counts an event of a run, which makes the run sound when it is the one with the number soundEvents. */
void recordEvents(Proxy &proxy, const PromptParts &prompt, RunProgress &progress, unsigned events);

/** Adds what another host announced. */
void applyQuarantineReport(Proxy &proxy, const HostId &from, const QuarantineReport &report);

/** Adds a quarantine that the key-value service has an entry of. @param duration Duration of the quarantine. @param rounds Number of quarantines of the part.
 */
void applyStoredQuarantine(Proxy &proxy, PromptPartId part, std::chrono::milliseconds duration, unsigned rounds);

/** @return The first shared parts of @p prompt for a log line: hexadecimal numbers as in the request, separated by commas, and the number of further ones. */
[[nodiscard]] std::string promptPartsText(const PromptParts &prompt);

/** @return Whether the host can serve callers: it has a configuration and a list of targets, and is not shutting down. */
[[nodiscard]] bool isReady(const Proxy &proxy);

/** @return Whether this host is to get new callers: it is ready, and has links to the targets unless no other host has them either. */
[[nodiscard]] bool acceptsCallers(const Proxy &proxy);

/** @return @p headers without the hop-by-hop headers, which apply to one connection only. */
[[nodiscard]] HttpHeaders endToEndHeaders(const HttpHeaders &headers);

/** A route, with the configuration that owns it. */
struct MatchedRoute {
    std::shared_ptr<const RoutingConfig> config; ///< Configuration in force when the request was matched.
    const RouteRule *route{nullptr}; ///< Route of the request; points into @c config, never null.
};

/** Forwards one request to a target, retrying on others as the route allows, and answers the caller. @param domain Failure domain of this host. */
boost::asio::awaitable<void> forwardCall(std::shared_ptr<Proxy> proxy, HttpResponder &responder, ProxyCall call, DomainId domain, MatchedRoute matched);

/**
 * Sends an error response that this host generates itself.
 * @param reason Value of "error" in the JSON body, and of the metric's label.
 * @param retryAfter Value of the Retry-After header, which is left out when empty.
 */
boost::asio::awaitable<void> sendFailure(
    Proxy &proxy, HttpResponder &responder, int status, std::string_view reason, std::optional<std::chrono::milliseconds> retryAfter);

} // namespace skylark
