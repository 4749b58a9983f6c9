/** @file forwarding_base.h State of one request on its way to a target; shared by the parts of the forwarding. */
#pragma once

#include "proxy/event_splitter_base.h"
#include "proxy/proxy_base.h"

#include <optional>

namespace skylark {

/** One request on its way. */
struct Forwarding {
    std::shared_ptr<Proxy> proxy; ///< Traffic thread's state.
    HttpResponder &responder; ///< Caller.
    ProxyCall call; ///< Request.
    DomainId domain; ///< The host's failure domain.
    std::shared_ptr<const RoutingConfig> config; ///< Configuration by which it is handled.
    const RouteRule *route{nullptr}; ///< Its route in @c config.
    ServiceId service; ///< Chosen service.
    TimePoint arrivedAt{}; ///< Time of arrival.
    TimePoint limit{}; ///< Time at which it gets its final answer.
    TargetId target; ///< Target of the present or last attempt.
    std::vector<TargetId> tried; ///< Targets that did not serve it.
    unsigned runs{0}; ///< Targets on which it may have run.
    unsigned refusals{0}; ///< Targets that said that they did not run it.
    EventSplitter splitter; ///< Events passed on so far.
    std::uint64_t events{0}; ///< Number of events passed on.
    TimePoint lastEventAt{}; ///< Time of the last event.
    std::chrono::milliseconds longestGap{0}; ///< Longest time between two events.
    bool started{false}; ///< Whether a part of the answer was sent to the caller.
    std::optional<TimePoint> firstAt; ///< Time of the first event or of the answer.
    std::shared_ptr<HttpAbortHandle> abort; ///< Cuts the exchange being opened.
    HttpExchange *reading{nullptr}; ///< Exchange being read.
    bool callerGone{false}; ///< Whether the caller has left.
};

/** How one attempt on a target ended. */
enum class AttemptEnd : std::uint8_t {
    Answered, ///< The caller has the whole answer.
    NotRun, ///< The target did not run the request.
    Failed, ///< It may have run; the answer is not whole.
    CallerGone, ///< The caller has left.
};

/** Outcome of one attempt on a target. */
struct Attempt {
    AttemptEnd end{AttemptEnd::Failed}; ///< Outcome.
    Error error; ///< Reason, unless answered.
    std::optional<HttpResponse> answer; ///< Failure that the target itself reported, to be passed on if nobody does better.
};

/** @return Time since @p then. */
[[nodiscard]] std::chrono::milliseconds since(TimePoint then);

/** @return Time left until the request gets its final answer; negative once it is over. */
[[nodiscard]] std::chrono::milliseconds leftOf(const Forwarding &forwarding);

/** Writes the log line and the metrics of a request that has its final answer. @param status Status sent to the caller; 0 for none. */
void logAnswered(const Forwarding &forwarding, int status, std::string_view outcome);

/** Refuses a request because no target can take it in time. */
boost::asio::awaitable<void> refuseFull(Forwarding &forwarding, const std::vector<SpreadCandidate> &candidates, SpreadReason reason);

/** Passes a whole answer on to the caller. */
boost::asio::awaitable<Attempt> deliverWhole(Forwarding &forwarding, HttpResponse answer);

/** Answers a request that failed for good. @param last Last attempt. */
boost::asio::awaitable<void> giveUp(Forwarding &forwarding, const Attempt &last);

/** Sends the request to @p target and passes the answer on. */
boost::asio::awaitable<Attempt> attemptOn(Forwarding &forwarding, TargetEntry target);

} // namespace skylark
