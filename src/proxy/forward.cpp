/** @file forward.cpp Passing one request on to a target: placement, retries and resumption. */
#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "core/table/error_table.h"
#include "fleet/route_match_func.h"
#include "proxy/forwarding_base.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds defaultPatience{30000}; ///< Time that a caller waits when neither it nor the route says.
constexpr milliseconds placeAgain{20}; ///< Time between two looks for a target that goes on with a stream.
constexpr unsigned maxRefusalsByTargets = 6; ///< Targets that may say that they did not run one request before it is refused.

/** Notes how an attempt ended. */
void settle(Forwarding &forwarding, const TargetEntry &target, const Attempt &attempt, TimePoint begun, SpreadReason reason)
{
    Proxy &proxy = *forwarding.proxy;
    if (attempt.end == AttemptEnd::Answered) {
        const bool first = forwarding.tried.empty() && reason == SpreadReason::FreeSlot && forwarding.firstAt;
        noteTargetSuccess(proxy, target.id, first ? std::optional(std::chrono::duration_cast<milliseconds>(*forwarding.firstAt - begun)) : std::nullopt);
        return;
    }
    if (attempt.end == AttemptEnd::CallerGone) {
        return;
    }
    forwarding.tried.push_back(target.id);
    forwarding.runs += attempt.end == AttemptEnd::Failed ? 1 : 0;
    forwarding.refusals += attempt.end == AttemptEnd::NotRun ? 1 : 0;
    if (!attempt.answer) {
        noteTargetFailure(proxy, target);
    }
    logEvent(EventKind::AttemptFailed,
             forwarding.call.id.value,
             {{"target", target.id.value},
              {"error", errorInfo(attempt.error.code).name},
              {"run", attempt.end == AttemptEnd::NotRun ? "no" : "maybe"},
              {"detail", attempt.error.detail},
              {"ran_ms", since(begun).count()},
              {"events", forwarding.events}});
}

bool mayGoOn(const Forwarding &forwarding)
{
    if (leftOf(forwarding).count() <= 0 || forwarding.refusals >= maxRefusalsByTargets) {
        return false;
    }
    return forwarding.runs == 0 || (isRepeatable(*forwarding.route) && forwarding.runs < forwarding.route->maxAttempts);
}

/** Tries targets until the request has its final answer. */
asio::awaitable<void> runAttempts(Forwarding &forwarding)
{
    Proxy &proxy = *forwarding.proxy;
    Attempt last;
    while (!forwarding.callerGone) {
        const auto candidates = candidatesOf(proxy, forwarding.service, forwarding.tried, forwarding.domain);
        const SpreadChoice choice = spreadRequest(candidates, {}, nextRandom(proxy.random));
        const bool none = choice.reason == SpreadReason::Full || choice.reason == SpreadReason::NoTarget;
        if (none && forwarding.runs == 0 && forwarding.refusals == 0) {
            co_await refuseFull(forwarding, candidates, choice.reason);
            logAnswered(forwarding, 503, "refused");
            co_return;
        }
        if (none && forwarding.started && mayGoOn(forwarding)) {
            // The caller has a part of the answer: wait for a target that can go on.
            forwarding.tried.clear();
            co_await sleepFor(placeAgain);
            continue;
        }
        if (none) {
            co_await giveUp(forwarding, last);
            co_return;
        }
        const TargetEntry target = proxy.fleet->targets->at(choice.target);
        const TimePoint begun = BootClock::now();
        forwarding.target = target.id;
        {
            const LoadTicket ticket(boardOf(forwarding.proxy), target.id, false);
            proxy.announceLoad(choice.reason == SpreadReason::FreeSlot ? LoadChange::FreeSlotTaken : LoadChange::SlotNeeded);
            logSampled(EventKind::Placed,
                       forwarding.call.id.value,
                       {{"route", forwarding.route->name},
                        {"target", target.id.value},
                        {"reason", spreadReasonName(choice.reason)},
                        {"online", choice.online},
                        {"batch", choice.batch},
                        {"peers_age_ms", oldestStatusAge(proxy.board, begun).count()},
                        {"attempt", forwarding.runs + forwarding.refusals + 1},
                        {"config", forwarding.config->version.value},
                        {"left_ms", leftOf(forwarding).count()}});
            last = co_await attemptOn(forwarding, target);
        }
        settle(forwarding, target, last, begun, choice.reason);
        if (last.end == AttemptEnd::Answered) {
            co_return;
        }
        if (last.end == AttemptEnd::CallerGone) {
            break;
        }
        if (!mayGoOn(forwarding)) {
            co_await giveUp(forwarding, last);
            co_return;
        }
        if (forwarding.started) {
            logEvent(EventKind::Resumed, forwarding.call.id.value, {{"after", forwarding.splitter.last}});
        }
    }
    abortConnection(forwarding.responder);
    logAnswered(forwarding, 0, "caller_gone");
}

/** Cuts the exchange with the target when the caller leaves. */
void cutForGoneCaller(const std::shared_ptr<Forwarding> &forwarding)
{
    forwarding->callerGone = true;
    if (forwarding->abort) {
        httpAbortOpening(*forwarding->abort);
    }
    if (forwarding->reading != nullptr) {
        httpAbort(*forwarding->reading);
    }
}

} // namespace

asio::awaitable<void> forwardCall(std::shared_ptr<Proxy> proxy, HttpResponder &responder, ProxyCall call, DomainId domain, MatchedRoute matched)
{
    const RouteRule *route = matched.route;
    auto forwarding = std::make_shared<Forwarding>(Forwarding{proxy, responder, std::move(call), std::move(domain)});
    forwarding->config = std::move(matched.config);
    forwarding->route = route;
    forwarding->service = chooseService(*route, nextRandom(proxy->random));
    forwarding->arrivedAt = BootClock::now();
    const milliseconds patience = forwarding->call.patience.value_or(defaultPatience);
    forwarding->limit = forwarding->arrivedAt + (route->timeout.count() > 0 ? std::min(route->timeout, patience) : patience);
    forwarding->splitter.last = forwarding->call.lastEventId;
    const std::weak_ptr<Forwarding> weak = forwarding;
    onCallerGone(responder, [weak] {
        if (const auto strong = weak.lock()) {
            cutForGoneCaller(strong);
        }
    });
    co_await runAttempts(*forwarding);
}

} // namespace skylark
