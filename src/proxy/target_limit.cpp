/** @file target_limit.cpp Rate limits that targets name in their answers: recorded and logged. */
#include "core/event_log_func.h"
#include "policy/rate_limit_func.h"
#include "proxy/proxy_base.h"

#include <algorithm>

namespace skylark {

namespace {

void logLimit(const Proxy &proxy, const TargetId &target, std::string_view source)
{
    const std::optional<double> limit = limitOf(proxy.rateLimits, target);
    logEvent(EventKind::LimitChanged,
             target.value,
             {{"source", source}, {"limited", limit.has_value()}, {"per_second", limit.value_or(0)}, {"sent", proxy.rateLimits.targets.at(target).sent}});
}

} // namespace

void updateSenders(Proxy &proxy)
{
    if (!proxy.fleet->peersKnown) {
        return;
    }
    std::vector<HostId> hosts;
    if (!proxy.stopping) {
        hosts.push_back(proxy.rateLimits.host);
    }
    for (const PeerEntry &peer : proxy.fleet->peers) {
        const auto status = proxy.loadTracker.peers.find(peer.host);
        if (status == proxy.loadTracker.peers.end() || !status->second.leaving) {
            hosts.push_back(peer.host);
        }
    }
    std::sort(hosts.begin(), hosts.end());
    hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
    setSenders(proxy.rateLimits, std::move(hosts), BootClock::now());
}

void recordLimit(Proxy &proxy, const TargetId &target, const AnswerHead &head, TimePoint sentAt)
{
    if (head.notRun && !head.rateLimit) {
        return;
    }
    if (observeAnswer(proxy.rateLimits, {target, head.rateLimit, BootClock::now()}, sentAt)) {
        logLimit(proxy, target, "answer");
        announceToAll(proxy);
    }
}

void applyLimit(Proxy &proxy, const LimitObservation &observation)
{
    const bool known = proxy.fleet->targets && proxy.fleet->targets->contains(observation.target);
    if (known && mergeObservation(proxy.rateLimits, observation, BootClock::now())) {
        logLimit(proxy, observation.target, "peer");
    }
}

} // namespace skylark
