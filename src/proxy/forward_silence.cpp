/** @file forward_silence.cpp Decides when a forwarded request leaves a silent target. */
#include "core/hash_func.h"
#include "proxy/forwarding_base.h"

namespace skylark {

using std::chrono::milliseconds;

namespace {

/** @return Input of the decision for the current attempt. */
SilenceInput silenceInput(const Forwarding &forwarding)
{
    const RouteRule &route = *forwarding.route;
    SilenceInput input;
    input.mayMove = isRepeatable(route) && forwarding.runs + 1 < route.maxAttempts;
    input.moved = forwarding.runs > 0;
    input.stream = route.kind == CallKind::Stream;
    input.timeLeft = std::chrono::duration_cast<milliseconds>(forwarding.deadline - forwarding.progressAt);
    return input;
}

/** @return The target that would run the request now, of those that neither failed recently nor are silent themselves. */
BalanceChoice chooseElsewhere(const Forwarding &forwarding)
{
    Proxy &proxy = *forwarding.proxy;
    auto candidates = candidatesFor(forwarding);
    std::erase_if(candidates, [&forwarding](const BalanceCandidate &candidate) {
        return candidate.id == forwarding.target || candidate.silent || candidate.suspect;
    });
    for (BalanceCandidate &candidate : candidates) {
        candidate.tried = candidate.tried && !forwarding.started;
    }
    return balanceRequest(candidates, {}, nextRandom(proxy.random));
}

} // namespace

milliseconds silenceWait(const Forwarding &forwarding)
{
    return silenceWait(silenceInput(forwarding), elapsedSince(forwarding.progressAt));
}

bool leaveSilentTarget(Forwarding &forwarding)
{
    if (timeLeft(forwarding).count() <= 0) {
        return true;
    }
    const SilenceInput input = silenceInput(forwarding);
    const milliseconds silence = elapsedSince(forwarding.progressAt);
    if (forwarding.relaying) {
        return false; // The host that runs it decides.
    }
    if (input.mayMove && silence >= doubtfulSilence && chooseRelay(forwarding)) {
        return true;
    }
    if (!input.mayMove || silence < silenceLimit(input)) {
        return false;
    }
    if (quarantineLeft(forwarding.proxy->quarantine, forwarding.call.prompt, BootClock::now())) {
        return false;
    }
    const BalanceChoice elsewhere = chooseElsewhere(forwarding);
    if (!leavesSilentTarget(input, silence, elsewhere.reason)) {
        return false;
    }
    std::erase(forwarding.tried, elsewhere.target);
    return true;
}

} // namespace skylark
