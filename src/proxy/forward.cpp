/** @file forward.cpp Forwards a request to a target: placement, retries on other targets, and resumption of streams. */
#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "core/table/error_table.h"
#include "fleet/route_match_func.h"
#include "proxy/forwarding_base.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds defaultCallerTimeout{30000}; ///< Applies when the caller names none; a shorter timeout of the route still applies.
constexpr milliseconds placementRetryInterval{20}; ///< First interval of retries while no target can continue a stream.
constexpr unsigned maxRetryDoublings = 4; ///< Bounds the interval at 320 ms.
/** Attempts that did not run on their target after which the request is not sent to another one; one that waits for a target is sent at longer intervals. */
constexpr unsigned maxTargetRefusals = 6;

/** Updates the request and the target's health with the result of an attempt, and logs a failure. @param begun When the attempt began. */
void recordAttempt(Forwarding &forwarding, const TargetEntry &target, const Attempt &attempt, TimePoint begun, BalanceReason reason)
{
    Proxy &proxy = *forwarding.proxy;
    if (attempt.end == AttemptEnd::Answered) {
        recordSoundRun(proxy, forwarding.call.prompt);
        const bool measurable = forwarding.tried.empty() && reason == BalanceReason::FreeSlot && forwarding.firstAt;
        if (measurable) {
            recordServiceTime(forwarding, begun);
        }
        recordTargetSuccess(proxy, target.id, measurable ? recordPromptRead(forwarding, *forwarding.firstAt - begun) : std::nullopt);
        return;
    }
    if (attempt.end == AttemptEnd::CallerGone) {
        return;
    }
    recordPromptFailure(forwarding, target.id);
    forwarding.tried.push_back(target.id);
    if (attempt.end == AttemptEnd::Failed) {
        forwarding.ranOn.push_back(target.id);
        forwarding.leftSilentTarget = forwarding.leftSilentTarget || isSilence(attempt.error);
    }
    forwarding.runs += attempt.end == AttemptEnd::Failed ? 1 : 0;
    forwarding.refusals += attempt.end == AttemptEnd::NotRun ? 1 : 0;
    recordFailedRun(proxy, target.id, forwarding.call.prompt, forwarding.progress, attempt.error);
    const milliseconds silence = elapsedSince(forwarding.progressAt);
    if (isSoundSilence(attempt.error, silence)) {
        recordSilence(proxy, target, silence);
    } else if (!attempt.answer) {
        recordTargetFailure(proxy, target);
    }
    logEvent(EventKind::AttemptFailed,
             forwarding.call.id.value,
             {{"target", target.id.value},
              {"error", errorInfo(attempt.error.code).name},
              {"run", attempt.end == AttemptEnd::NotRun ? "no" : "maybe"},
              {"detail", attempt.error.detail},
              {"ran_ms", elapsedSince(begun).count()},
              {"silent_ms", silence.count()},
              {"events", forwarding.events},
              {"phase", runPhaseName(phaseOf(forwarding.progress))},
              {"prompt_parts", promptPartsText(forwarding.call.prompt)},
              {"request", hexText(forwarding.call.prompt.request.value)}});
}

/** @return Whether the request waits for a target while none can take it: the caller already has part of the answer, or the request left a sound target that
 * was silent. */
bool waitsForTarget(const Forwarding &forwarding)
{
    return forwarding.started || forwarding.leftSilentTarget;
}

/**
 * @return Whether a failed request may be sent to another target: time is left, fewer than maxTargetRefusals attempts did not run unless it waits for a
 * target, and the route allows a further run if an attempt may have run.
 */
bool mayRetryElsewhere(const Forwarding &forwarding)
{
    if (timeLeft(forwarding).count() <= 0 || (!waitsForTarget(forwarding) && forwarding.refusals >= maxTargetRefusals)) {
        return false;
    }
    return forwarding.runs == 0 || (isRepeatable(*forwarding.route) && forwarding.runs < forwarding.route->maxAttempts);
}

/** Makes targets candidates again: those that refused the request; where there is no other, or after a failure that was no silence, also those that ran it. */
void reconsiderTargets(Forwarding &forwarding, BalanceReason reason)
{
    const bool noneRefused = forwarding.tried == forwarding.ranOn;
    if (!forwarding.leftSilentTarget || (noneRefused && reason == BalanceReason::NoTarget)) {
        forwarding.tried.clear();
    } else {
        forwarding.tried = forwarding.ranOn;
    }
}

/** @return Delay before the next attempt to place the request; it grows with the number of refusals. */
milliseconds placementRetryDelay(const Forwarding &forwarding)
{
    const unsigned doublings = std::min(forwarding.refusals / maxTargetRefusals, maxRetryDoublings);
    return std::clamp(timeLeft(forwarding), milliseconds(1), placementRetryInterval * (1U << doublings));
}

/** Sends the request to the chosen target, relays the answer, and records the result. */
asio::awaitable<Attempt> runOn(Forwarding &forwarding, TargetEntry target, BalanceChoice choice)
{
    Proxy &proxy = *forwarding.proxy;
    const TimePoint begun = BootClock::now();
    forwarding.target = target.id;
    forwarding.targetVersion = versionOf(target);
    Attempt attempt;
    {
        const InFlightGuard inFlight(loadTrackerOf(forwarding.proxy), target.id, false);
        proxy.onLoadChange(choice.reason == BalanceReason::FreeSlot ? LoadChange::FreeSlotTaken : LoadChange::SlotNeeded);
        logSampled(EventKind::Placed,
                   forwarding.call.id.value,
                   {{"route", forwarding.route->name},
                    {"target", target.id.value},
                    {"version", target.version.value},
                    {"reason", balanceReasonName(choice.reason)},
                    {"resumes", forwarding.call.resumes.value},
                    {"after", forwarding.splitter.lastId},
                    {"online", choice.online},
                    {"batch", choice.batch},
                    {"peers_age_ms", oldestStatusAge(proxy.loadTracker, begun).count()},
                    {"attempt", forwarding.runs + forwarding.refusals + 1},
                    {"config", forwarding.config->version.value},
                    {"left_ms", timeLeft(forwarding).count()},
                    {"wait_ms", choice.wait.count()},
                    {"kept_tokens", std::llround(choice.keptTokens)},
                    {"kept_gain_ms", std::llround(choice.savedMs)}});
        recordPromptSent(forwarding, choice);
        recordTrial(proxy.quarantine, forwarding.call.prompt, begun);
        attempt = co_await attemptOn(forwarding, target);
    }
    recordAttempt(forwarding, target, attempt, begun, choice.reason);
    if (attempt.unsolicitedBytes) {
        recordUnsolicitedBytes(proxy, target, forwarding.call.id.value);
    }
    co_return attempt;
}

/** Ends a request that nothing can run or continue. @param last Most recent attempt; unused when there was none. */
asio::awaitable<void> endContinuation(Forwarding &forwarding, const Attempt &last, std::string_view reason)
{
    if (forwarding.started || forwarding.runs > 0) {
        co_await failRequest(forwarding, last);
    } else {
        co_await refuseContinuation(forwarding, reason);
    }
}

/** Finds the version that began the stream, if it has begun elsewhere. @return Why the request must end; empty if it may go on. */
asio::awaitable<std::string_view> findBeginning(Forwarding &forwarding)
{
    if (forwarding.origin) {
        co_return std::string_view();
    }
    if (forwarding.started && forwarding.call.resumes.empty()) {
        forwarding.call.resumes = forwarding.call.id; // Another host has run it until now.
    }
    co_return co_await resolveOrigin(forwarding);
}

/** Sends the request to one target after another until the caller has a final answer or has closed its connection. */
asio::awaitable<void> runAttempts(Forwarding &forwarding)
{
    Proxy &proxy = *forwarding.proxy;
    Attempt last;
    while (!forwarding.callerGone) {
        const bool attempted = forwarding.runs > 0 || forwarding.refusals > 0;
        if (attempted && !mayRetryElsewhere(forwarding)) {
            co_await failRequest(forwarding, last);
            co_return;
        }
        watchLinks(forwarding.proxy);
        if (const auto relay = chooseRelay(forwarding)) {
            last = co_await relayTo(forwarding, *relay);
            if (last.end == AttemptEnd::Answered) {
                co_return;
            }
            if (last.end == AttemptEnd::NotRun) {
                co_await sleepFor(placementRetryDelay(forwarding));
            }
            continue;
        }
        std::string_view obstacle = "links_lost";
        if (!isRelayedWithoutLinks(forwarding)) {
            obstacle = co_await findBeginning(forwarding);
        }
        if (!obstacle.empty()) {
            co_await endContinuation(forwarding, last, obstacle);
            co_return;
        }
        const auto quarantined = quarantineLeft(proxy.quarantine, forwarding.call.prompt, BootClock::now());
        if (quarantined && forwarding.started) {
            // A sound run elsewhere may end the quarantine before the deadline.
            co_await sleepFor(placementRetryDelay(forwarding));
            continue;
        }
        if (quarantined) {
            co_await refuseQuarantined(forwarding, last, *quarantined);
            co_return;
        }
        auto candidates = candidatesFor(forwarding);
        const BalanceLimits limits = limitsOf(forwarding, candidates);
        weighKeptPrompt(forwarding, limits.serviceTime, candidates);
        const BalanceChoice choice = balanceRequest(candidates, limits, nextRandom(proxy.random));
        const bool unplaced = choice.target.empty();
        if (unplaced && isVersionGone(forwarding)) {
            co_await endContinuation(forwarding, last, "version_gone");
            co_return;
        }
        if (unplaced && !attempted) {
            co_await refuseUnplaced(forwarding, candidates, choice, limits);
            recordOutcome(forwarding, 503, "refused");
            co_return;
        }
        const bool noneListed = choice.reason == BalanceReason::NoTarget && forwarding.tried.empty();
        if (unplaced && (forwarding.started || (waitsForTarget(forwarding) && !noneListed))) {
            reconsiderTargets(forwarding, choice.reason);
            co_await sleepFor(placementRetryDelay(forwarding));
            continue;
        }
        if (unplaced) {
            co_await failRequest(forwarding, last);
            co_return;
        }
        if (forwarding.started) {
            logEvent(EventKind::Resumed, forwarding.call.id.value, {{"after", forwarding.splitter.lastId}});
        }
        last = co_await runOn(forwarding, proxy.fleet->targets->at(choice.target), choice);
        if (last.end == AttemptEnd::Answered) {
            co_return;
        }
        if (last.end == AttemptEnd::CallerGone) {
            break;
        }
        if (waitsForTarget(forwarding) && forwarding.refusals >= maxTargetRefusals) {
            co_await sleepFor(placementRetryDelay(forwarding));
        }
    }
    abortConnection(forwarding.responder);
    recordOutcome(forwarding, 0, "caller_gone");
}

/** Aborts the exchange with the target after the caller has closed its connection. */
void abortForGoneCaller(const std::shared_ptr<Forwarding> &forwarding)
{
    forwarding->callerGone = true;
    if (forwarding->abort) {
        httpAbortOpening(*forwarding->abort);
    }
    if (forwarding->currentExchange != nullptr) {
        httpAbort(*forwarding->currentExchange);
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
    forwarding->arrivedAt = BootClock::now() - forwarding->call.waited;
    const milliseconds callerTimeout = forwarding->call.callerTimeout.value_or(defaultCallerTimeout);
    forwarding->deadline = forwarding->arrivedAt + (route->timeout.count() > 0 ? std::min(route->timeout, callerTimeout) : callerTimeout);
    forwarding->splitter.lastId = forwarding->call.lastEventId;
    const std::weak_ptr<Forwarding> weak = forwarding;
    onCallerDisconnect(responder, [weak] {
        if (const auto strong = weak.lock()) {
            abortForGoneCaller(strong);
        }
    });
    co_await runAttempts(*forwarding);
}

} // namespace skylark
