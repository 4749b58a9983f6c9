/** @file proxy_base.h State of the traffic thread that passes requests on to targets. */
#pragma once

#include "fleet/fleet_controller_func.h"
#include "fleet/load_board_base.h"
#include "http/http_client_func.h"
#include "http/http_server_func.h"
#include "metrics/metrics_func.h"
#include "policy/spread_func.h"
#include "proxy/call_type.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>

namespace skylark {

/**
 * Opening a connection to a target: many round trips between failure domains, and a tenth of a second in which the host itself may get no processor.
 * A request that met a silent target can still be answered elsewhere within the usual latency target of 300 ms.
 */
constexpr std::chrono::milliseconds targetConnectTimeout{120};

/** What this host has seen of a target lately. */
struct TargetHealth {
    unsigned failures{0}; ///< Failures since the last success.
    TimePoint suspectUntil{}; ///< The target is avoided until then.
    double firstAnswerMs{0}; ///< Average time to the first answer of requests that found a free slot; 0 when unknown.
};

/** A change of the host's requests in flight that other hosts should hear of. */
enum class LoadChange : std::uint8_t {
    FreeSlotTaken, ///< A request took a free slot.
    SlotNeeded, ///< A request needs a slot that batch or another request holds, or batch took free slots.
};

/** State; belongs to the traffic thread. */
struct Proxy {
    boost::asio::any_io_executor executor; ///< Traffic thread.
    CallWire wire; ///< Wire form of callers and targets.
    std::shared_ptr<HttpClient> http; ///< Connections to targets.
    std::shared_ptr<MetricsRegistry> metrics; ///< Metrics.
    SnapshotPtr fleet; ///< Last snapshot of the control thread; never null.
    LoadBoard board; ///< Requests in flight.
    std::map<TargetId, TargetHealth> health; ///< Targets seen lately.
    std::function<void(LoadChange change)> announceLoad; ///< Sends the host's counts to the others soon.
    std::uint64_t random{1}; ///< State of the random sequence.
    bool stopping{false}; ///< Whether a planned stop has begun.
};

/** @return The board of @p proxy, for tickets that may outlive other users of the proxy. */
[[nodiscard]] inline std::shared_ptr<LoadBoard> boardOf(const std::shared_ptr<Proxy> &proxy)
{
    return {proxy, &proxy->board};
}

/** Notes that a target answered as expected. @param firstAnswer Time to the first answer, if the request found a free slot. */
void noteTargetSuccess(Proxy &proxy, const TargetId &target, std::optional<std::chrono::milliseconds> firstAnswer);

/** Notes that a target failed; it is avoided for a while that doubles with each failure in a row. */
void noteTargetFailure(Proxy &proxy, const TargetEntry &target);

/** @return The targets of @p service that take new work, with what is known of their load. */
[[nodiscard]] std::vector<SpreadCandidate> candidatesOf(const Proxy &proxy,
                                                        const ServiceId &service,
                                                        const std::vector<TargetId> &tried,
                                                        const DomainId &domain);

/** @return Whether the host can serve: it knows the configuration and the targets, and is not stopping. */
[[nodiscard]] bool isReady(const Proxy &proxy);

/** @return @p headers without those that concern one connection only. */
[[nodiscard]] HttpHeaders endToEndHeaders(const HttpHeaders &headers);

/** A route with the configuration that holds it. */
struct MatchedRoute {
    std::shared_ptr<const RoutingConfig> config; ///< Configuration by which the request is handled.
    const RouteRule *route{nullptr}; ///< Its route in @c config; never null.
};

/** Passes one request on and answers it. */
boost::asio::awaitable<void> forwardCall(std::shared_ptr<Proxy> proxy, HttpResponder &responder, ProxyCall call, DomainId domain, MatchedRoute matched);

/** Answers @p responder with a failure of our own; the body names the reason. */
boost::asio::awaitable<void> sendFailure(
    Proxy &proxy, HttpResponder &responder, int status, std::string_view reason, std::optional<std::chrono::milliseconds> retryAfter);

} // namespace skylark
