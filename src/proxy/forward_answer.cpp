/** @file forward_answer.cpp Final answers to forwarded requests: error responses of this host, logging and metrics. */
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "core/invariant_func.h"
#include "core/table/error_table.h"
#include "proxy/forwarding_base.h"

#include <array>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds noTargetRetryDelay{500}; ///< Retry-After when no target is known; targets send a heartbeat about once a second.
constexpr milliseconds usualServiceTime{700}; ///< Typical time that an online stream occupies a slot.

/** @return Value of a Retry-After header, in seconds with three decimals. */
std::string retryAfterText(milliseconds delay)
{
    std::array<char, 32> text{};
    const int length = std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(delay.count()) / 1000.0);
    return {text.data(), static_cast<std::size_t>(length)};
}

/** Load because of which a request is refused. */
struct RefusalLoad {
    unsigned online{0}; ///< Online requests on all candidate targets.
    unsigned slots{0}; ///< Slots of all candidate targets.
    milliseconds wait{0}; ///< Shortest predicted wait at any target, where the wait is bounded.
    milliseconds allowedWait{0}; ///< Longest predicted wait with which the request would have been placed.
};

/**
 * Answers 503 to a request that ran on no target.
 * @param delay Value of the Retry-After header.
 * @param load Load for the log line; zeros when it did not matter.
 */
asio::awaitable<void> refuse(Forwarding &forwarding, std::string_view reason, milliseconds delay, RefusalLoad load)
{
    SKY_INVARIANT(Promise::NotRun, forwarding.runs == 0);
    logEvent(EventKind::Refused,
             forwarding.call.id.value,
             {{"route", forwarding.route->name},
              {"reason", reason},
              {"online", load.online},
              {"slots", load.slots},
              {"wait_ms", load.wait.count()},
              {"allowed_wait_ms", load.allowedWait.count()},
              {"retry_after_ms", delay.count()},
              {"config", forwarding.config->version.value},
              {"left_ms", timeLeft(forwarding).count()}});
    addCounter(*forwarding.proxy->metrics, "skylark_refusals_total", {{"route", forwarding.route->name}, {"reason", reason}});
    co_await sendFailure(*forwarding.proxy, forwarding.responder, 503, reason, delay);
}

} // namespace

milliseconds elapsedSince(TimePoint then)
{
    return std::chrono::duration_cast<milliseconds>(BootClock::now() - then);
}

milliseconds timeLeft(const Forwarding &forwarding)
{
    return std::chrono::duration_cast<milliseconds>(forwarding.deadline - BootClock::now());
}

void recordOutcome(const Forwarding &forwarding, int status, std::string_view outcome)
{
    const auto &route = forwarding.route != nullptr ? forwarding.route->name : std::string();
    const auto took = elapsedSince(forwarding.arrivedAt);
    const std::int64_t firstMs = forwarding.firstAt ? std::chrono::duration_cast<milliseconds>(*forwarding.firstAt - forwarding.arrivedAt).count() : -1;
    addCounter(*forwarding.proxy->metrics, "skylark_requests_total", {{"route", route}, {"outcome", outcome}});
    observe(*forwarding.proxy->metrics, "skylark_request_seconds", {{"route", route}}, took);
    if (forwarding.firstAt) {
        observe(*forwarding.proxy->metrics, "skylark_first_answer_seconds", {{"route", route}}, milliseconds(firstMs));
    }
    const auto write = outcome == "ok" ? logSampled : logEvent;
    write(EventKind::Answered,
          forwarding.call.id.value,
          {{"route", route},
           {"status", status},
           {"outcome", outcome},
           {"took_ms", took.count()},
           {"first_ms", firstMs},
           {"attempts", forwarding.runs},
           {"events", forwarding.events},
           {"longest_gap_ms", forwarding.longestGap.count()},
           {"target", forwarding.target.value}});
}

asio::awaitable<void> refuseUnplaced(Forwarding &forwarding,
                                     const std::vector<BalanceCandidate> &candidates,
                                     const BalanceChoice &choice,
                                     const BalanceLimits &limits)
{
    const BalanceReason reason = choice.reason;
    RefusalInput input{.serviceTime = usualServiceTime, .remaining = timeLeft(forwarding), .draw = nextRandom(forwarding.proxy->random)};
    input.rateLimited = reason == BalanceReason::RateLimited;
    for (const BalanceCandidate &candidate : candidates) {
        input.limitPerSecond += limitOf(forwarding.proxy->rateLimits, candidate.id).value_or(0);
        input.online += candidate.online;
        input.slots += candidate.slots;
    }
    milliseconds delay = reason == BalanceReason::NoTarget ? noTargetRetryDelay : refusalDelay(input);
    if (reason == BalanceReason::LateStart) {
        delay = returnDelayOf(forwarding, candidates, choice, limits);
    }
    co_await refuse(forwarding, balanceReasonName(reason), delay, {input.online, input.slots, choice.wait, limits.maxWait.value_or(milliseconds(0))});
}

asio::awaitable<void> refuseQuarantined(Forwarding &forwarding, const Attempt &last, milliseconds left)
{
    if (forwarding.runs > 0) {
        co_await failRequest(forwarding, last);
        co_return;
    }
    co_await refuse(forwarding, "quarantined", left, {});
    recordOutcome(forwarding, 503, "refused");
}

asio::awaitable<void> refuseContinuation(Forwarding &forwarding, std::string_view reason)
{
    co_await refuse(forwarding, reason, noTargetRetryDelay, {});
    recordOutcome(forwarding, 503, "refused");
}

asio::awaitable<Attempt> sendWholeAnswer(Forwarding &forwarding, HttpResponse answer)
{
    forwarding.started = true;
    const int status = answer.status;
    const auto sent = co_await sendResponse(forwarding.responder, std::move(answer));
    recordOutcome(forwarding, status, !isOk(sent) ? "caller_gone" : status < 500 ? "ok" : "target_failure");
    co_return Attempt{AttemptEnd::Answered, {}, {}};
}

asio::awaitable<void> failRequest(Forwarding &forwarding, const Attempt &last)
{
    if (forwarding.started) {
        abortConnection(forwarding.responder);
        recordOutcome(forwarding, 0, "broken_off");
        co_return;
    }
    if (last.answer) {
        co_await sendWholeAnswer(forwarding, *last.answer);
        co_return;
    }
    const bool late = timeLeft(forwarding).count() <= 0;
    if (forwarding.runs == 0) {
        co_await refuse(forwarding,
                        late ? "deadline" : "targets_refused",
                        refusalDelay({.remaining = timeLeft(forwarding), .draw = nextRandom(forwarding.proxy->random)}),
                        {});
        recordOutcome(forwarding, 503, "refused");
        co_return;
    }
    co_await sendFailure(*forwarding.proxy, forwarding.responder, late ? 504 : 502, errorInfo(last.error.code).name, {});
    recordOutcome(forwarding, late ? 504 : 502, late ? "timeout" : "failed");
}

asio::awaitable<void> sendFailure(Proxy &proxy, HttpResponder &responder, int status, std::string_view reason, std::optional<milliseconds> retryAfter)
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back({"Content-Type", "application/json"});
    if (retryAfter) {
        response.headers.push_back({"Retry-After", retryAfterText(*retryAfter)});
    }
    response.body = boost::json::serialize(boost::json::object{{"error", reason}});
    // The text of a malformed request's refusal may repeat what its caller sent, so it must not become a series of its own.
    constexpr int statusBadRequest = 400;
    const std::string_view label = status == statusBadRequest ? "invalid" : reason;
    addCounter(*proxy.metrics, "skylark_own_failures_total", {{"status", std::to_string(status)}, {"reason", label}});
    co_await sendResponse(responder, std::move(response));
}

} // namespace skylark
