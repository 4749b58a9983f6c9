/** @file wait_limits.cpp Bounds the predicted wait of requests where the configuration has workspaces. */
#include "fleet/workspace_func.h"
#include "policy/wait_bound_func.h"
#include "proxy/forwarding_base.h"

#include <algorithm>
#include <cmath>

namespace skylark {

using std::chrono::milliseconds;

namespace {

unsigned slotsOf(const std::vector<BalanceCandidate> &candidates)
{
    unsigned slots = 0;
    for (const BalanceCandidate &candidate : candidates) {
        slots += candidate.slots;
    }
    return slots;
}

} // namespace

unsigned ownOnline(const Proxy &proxy, const ServiceId &service)
{
    unsigned online = 0;
    for (const auto &[id, counts] : proxy.loadTracker.own) {
        const auto found = proxy.fleet->targets->find(id);
        online += found != proxy.fleet->targets->end() && found->second.service == service ? counts.online : 0;
    }
    return online;
}

BalanceLimits limitsOf(const Forwarding &forwarding, const std::vector<BalanceCandidate> &candidates)
{
    Proxy &proxy = *forwarding.proxy;
    BalanceLimits limits;
    if (const auto found = proxy.serviceLoads.find(forwarding.service); found != proxy.serviceLoads.end() && found->second.serviceMs > 0) {
        limits.serviceTime = milliseconds(std::llround(found->second.serviceMs));
    }
    // A request that may have run elsewhere cannot be refused as not run; it may wait where there is room.
    const bool attempted = forwarding.started || forwarding.runs + forwarding.refusals > 0;
    if (!forwarding.config->workspaces || forwarding.route->latencyTarget.count() == 0 || !proxy.fleet->targets || attempted) {
        return limits;
    }
    const TimePoint now = BootClock::now();
    ServiceLoad &load = proxy.serviceLoads[forwarding.service];
    unsigned online = 0;
    for (const BalanceCandidate &candidate : candidates) {
        online += candidate.online;
    }
    recordArrival(load, ownOnline(proxy, forwarding.service), online, now);
    const WaitBoundInput input{.latencyTarget = forwarding.route->latencyTarget,
                               .elapsed = elapsedSince(forwarding.arrivedAt),
                               .timeLeft = timeLeft(forwarding),
                               .priority = priorityOf(*forwarding.config, *forwarding.route, forwarding.call.workspace),
                               .slots = slotsOf(candidates)};
    const AllowedWait allowed = allowedWait(load, input, now);
    limits.maxWait = allowed.usual;
    limits.lateWait = allowed.late;
    return limits;
}

milliseconds returnDelayOf(const Forwarding &forwarding,
                           const std::vector<BalanceCandidate> &candidates,
                           const BalanceChoice &choice,
                           const BalanceLimits &limits)
{
    const ReturnInput input{choice.wait, limits.maxWait.value_or(milliseconds(0)), timeLeft(forwarding), slotsOf(candidates)};
    return returnDelay(forwarding.proxy->serviceLoads[forwarding.service], input, BootClock::now());
}

void recordServiceTime(const Forwarding &forwarding, TimePoint begun)
{
    if (forwarding.config->workspaces || forwarding.route->sessionAffinity) {
        recordServiceTime(forwarding.proxy->serviceLoads[forwarding.service], *forwarding.firstAt - begun, BootClock::now() - begun);
    }
}

} // namespace skylark
