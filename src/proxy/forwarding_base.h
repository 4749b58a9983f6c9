/** @file forwarding_base.h State of one request that is being forwarded to a target, and the steps of forwarding it. */
#pragma once

#include "policy/run_progress_type.h"
#include "proxy/event_splitter_base.h"
#include "proxy/proxy_base.h"

#include <optional>

namespace skylark {

/** State of one request that is being forwarded. */
struct Forwarding {
    std::shared_ptr<Proxy> proxy; ///< State of the traffic thread.
    HttpResponder &responder; ///< Sends the answer to the caller.
    ProxyCall call;
    DomainId domain; ///< Failure domain of this host.
    std::shared_ptr<const RoutingConfig> config; ///< Configuration that was in force when the request arrived.
    const RouteRule *route{nullptr}; ///< Route of the request; points into @c config.
    ServiceId service; ///< Service of the route that was chosen for the request.
    TimePoint arrivedAt{};
    TimePoint deadline{}; ///< When the caller must have the final answer.
    TimePoint lateUntil{}; ///< End of the time for reading what had arrived by the deadline; TimePoint{} before it begins.
    TargetId target; ///< Target of the current or most recent attempt.
    ServiceVersion targetVersion; ///< Version of that target when the attempt began.
    bool relaying{false}; ///< Whether the current or most recent attempt was relayed to another host.
    std::optional<ServiceVersion> origin; ///< Version that began the stream; empty before its first event, and for requests that cannot be continued.
    std::vector<TargetId> tried; ///< Targets that are no candidates because an attempt on them failed; reduced or cleared while the request waits for a target.
    std::vector<TargetId> ranOn; ///< Targets on which it may have run without a complete answer.
    bool leftSilentTarget{false}; ///< Whether a run was given up because its target was silent.
    unsigned runs{0}; ///< Failed attempts that may have run on their target.
    unsigned refusals{0}; ///< Failed attempts that did not run on their target.
    EventSplitter splitter; ///< Parser of the stream; keeps its position across attempts.
    std::uint64_t events{0}; ///< Number of events forwarded to the caller.
    TimePoint lastEventAt{}; ///< When the last event was forwarded.
    std::chrono::milliseconds longestGap{0}; ///< Longest time between two writes of events to the caller.
    /** Last progress of the current attempt: sending the request, the head of the answer, or an event; other bytes are none. */
    TimePoint progressAt{};
    std::optional<SentPrompt> sentPrompt; ///< What was expected of the prompt at the target of the current attempt; empty where that is not estimated.
    RunProgress progress; ///< Progress of the current or most recent attempt.
    bool started{false}; ///< Whether sending the answer to the caller has begun.
    std::optional<TimePoint> firstAt; ///< When the first event or the complete answer was received; empty before.
    std::shared_ptr<HttpAbortHandle> abort; ///< Aborts the sending of the request.
    HttpExchange *currentExchange{nullptr}; ///< Exchange whose response is being read; null when there is none.
    bool callerGone{false}; ///< Whether the caller has closed its connection.
};

/** How one attempt on a target ended. */
enum class AttemptEnd : std::uint8_t {
    Answered, ///< The complete answer was received and written to the caller, also when the caller closed its connection during the last write.
    NotRun, ///< The target did not run the request.
    Failed, ///< The target may have run the request, but gave no complete and successful answer.
    CallerGone, ///< The caller has closed its connection.
};

/** Result of one attempt on a target. */
struct Attempt {
    AttemptEnd end{AttemptEnd::Failed};
    Error error; ///< Why the attempt failed; unused when it was answered.
    bool unsolicitedBytes{false}; ///< Whether the target sent bytes that belong to no request.
    std::optional<HttpResponse> answer; ///< Error response of the target; sent to the caller if this is the last attempt and no stream has begun.
};

/** @return Time since @p then. */
[[nodiscard]] std::chrono::milliseconds elapsedSince(TimePoint then);

/** @return Time left until the deadline of the request; negative after it. */
[[nodiscard]] std::chrono::milliseconds timeLeft(const Forwarding &forwarding);

/**
 * Logs and counts a request that has its final answer.
 * @param status HTTP status sent to the caller; 0 when none was sent.
 * @param outcome Value of the outcome label in logs and metrics.
 */
void recordOutcome(const Forwarding &forwarding, int status, std::string_view outcome);

/** Answers 503 to a request that no target can serve in time. @param choice Its reason is Full, LateStart, RateLimited or NoTarget. */
boost::asio::awaitable<void> refuseUnplaced(Forwarding &forwarding,
                                            const std::vector<BalanceCandidate> &candidates,
                                            const BalanceChoice &choice,
                                            const BalanceLimits &limits);

/**
 * Answers a request with a quarantined prompt part: 503 if it has run on no target, otherwise like failRequest().
 * @param last Most recent attempt; unused when there was none.
 * @param left Time for which the quarantine lasts.
 */
boost::asio::awaitable<void> refuseQuarantined(Forwarding &forwarding, const Attempt &last, std::chrono::milliseconds left);

/** Sends a complete answer to the caller and records the outcome. */
boost::asio::awaitable<Attempt> sendWholeAnswer(Forwarding &forwarding, HttpResponse answer);

/** Sends the final answer to a request that is not tried again, or closes the connection when a stream has begun. @param last Most recent attempt. */
boost::asio::awaitable<void> failRequest(Forwarding &forwarding, const Attempt &last);

/** @return How long to wait for the target of the current attempt until leaveSilentTarget() is to be called. */
[[nodiscard]] std::chrono::milliseconds silenceWait(const Forwarding &forwarding);

/**
 * Decides whether the current attempt ends because its target is silent: at the deadline, or for another target that has room now. That target becomes a
 * candidate of the next attempt.
 */
[[nodiscard]] bool leaveSilentTarget(Forwarding &forwarding);

/** @return This host's online requests in flight on the targets of @p service. */
[[nodiscard]] unsigned ownOnline(const Proxy &proxy, const ServiceId &service);

/**
 * @return The limits for placing the request: a bound on its predicted wait where the configuration has workspaces and the route a latency target; otherwise,
 * and after a first attempt, a bound on the number that waits. Counts the request.
 */
[[nodiscard]] BalanceLimits limitsOf(const Forwarding &forwarding, const std::vector<BalanceCandidate> &candidates);

/** @return Delay after which the caller of a request that is refused for its predicted wait should return. */
[[nodiscard]] std::chrono::milliseconds returnDelayOf(const Forwarding &forwarding,
                                                      const std::vector<BalanceCandidate> &candidates,
                                                      const BalanceChoice &choice,
                                                      const BalanceLimits &limits);

/** Records the time that a request which found a free slot took, where it is needed. @param begun When its attempt began. */
void recordServiceTime(const Forwarding &forwarding, TimePoint begun);

/**
 * Estimates which candidates hold parts of the request's prompt. Does nothing unless the route has session affinity.
 * @param serviceTime Time that a request holds a slot.
 */
void weighKeptPrompt(const Forwarding &forwarding, std::chrono::milliseconds serviceTime, std::vector<BalanceCandidate> &candidates);

/** Records that the request is sent to the chosen target, which will hold its prompt. Does nothing unless the route has session affinity. */
void recordPromptSent(Forwarding &forwarding, const BalanceChoice &choice);

/** Records that an attempt failed, so that @p target may not hold the prompt. */
void recordPromptFailure(const Forwarding &forwarding, const TargetId &target);

/**
 * Records the time to the first event of a request that found a free slot.
 * @param firstAnswer Time from the beginning of the attempt to the first event or the complete answer.
 * @return The time by which targets are compared; empty when it depends on a guess.
 */
std::optional<std::chrono::milliseconds> recordPromptRead(const Forwarding &forwarding, std::chrono::nanoseconds firstAnswer);

/** @return The host that gets the request because this one has lost its links, in the form of a target; empty if it is not to be relayed. */
[[nodiscard]] std::optional<TargetEntry> chooseRelay(const Forwarding &forwarding);

/** @return Whether the request was relayed to this host, which has lost its links too. */
[[nodiscard]] bool isRelayedWithoutLinks(const Forwarding &forwarding);

/** Relays the request to the host @p relay and its answer to the caller. The whole answer of a host is final. */
boost::asio::awaitable<Attempt> relayTo(Forwarding &forwarding, TargetEntry relay);

/** Sends @p request to @p target and relays its answer to the caller. */
boost::asio::awaitable<Attempt> exchangeWith(Forwarding &forwarding, TargetEntry target, HttpRequest request);

/** @return The targets that accept new requests and may answer this one: for the rest of a stream, those of the version that began it. */
[[nodiscard]] std::vector<BalanceCandidate> candidatesFor(const Forwarding &forwarding);

/** @return Whether only targets of other versions than the one that began the stream accept requests. */
[[nodiscard]] bool isVersionGone(const Forwarding &forwarding);

/** Records the version that begins or continues the stream, before the first event of this answer is sent to the caller. */
void beginStream(Forwarding &forwarding);

/**
 * Finds the version that began the stream, if the caller resumes one.
 * @return Why the request must be refused because the version is unknown or no longer serves the route; empty if it may go on.
 */
boost::asio::awaitable<std::string_view> resolveOrigin(Forwarding &forwarding);

/** Answers 503 to a request that resumes a stream and has run on no target. @param reason Why nothing can continue the stream. */
boost::asio::awaitable<void> refuseContinuation(Forwarding &forwarding, std::string_view reason);

/** Sends the request to @p target and relays its answer to the caller. */
boost::asio::awaitable<Attempt> attemptOn(Forwarding &forwarding, TargetEntry target);

} // namespace skylark
