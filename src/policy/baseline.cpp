/** @file baseline.cpp Decisions of the baseline policies that the adaptive policy is measured against. */
#include "policy/baseline_func.h"

#include "policy/routing_func.h"

#include <algorithm>

namespace skylark {

namespace {

RouteDecision chooseRoundRobin(const RouteInput &input, std::uint64_t requestNumber)
{
    std::vector<const RouteCandidate *> usable;
    for (const RouteCandidate &candidate : input.candidates) {
        if (!candidate.leaving && !candidate.blocked && candidate.slots > 0) {
            usable.push_back(&candidate);
        }
    }
    if (usable.empty()) {
        return chooseTarget(input);
    }
    RouteDecision decision;
    decision.kind = RouteKind::Target;
    decision.target = usable[requestNumber % usable.size()]->id;
    decision.reason = "target " + decision.target.value + ": in turn";
    return decision;
}

} // namespace

std::vector<TargetId> batchOnlyTargets(std::vector<TargetId> engines)
{
    if (engines.size() < 2) {
        return {};
    }
    std::sort(engines.begin(), engines.end());
    const std::size_t count = std::max<std::size_t>(1, engines.size() / 3);
    engines.erase(engines.begin(), engines.end() - static_cast<std::ptrdiff_t>(count));
    return engines;
}

RouteDecision chooseTargetByMode(PolicyMode mode, const RouteInput &input, std::uint64_t requestNumber)
{
    if (mode == PolicyMode::RoundRobin) {
        return chooseRoundRobin(input, requestNumber);
    }
    RouteDecision decision = chooseTarget(input);
    if (mode == PolicyMode::StaticSplit) {
        decision.yieldSlots = 0;
    }
    return decision;
}

unsigned batchLimitByMode(PolicyMode mode, unsigned adaptive, unsigned slots, bool batchOnly)
{
    if (mode == PolicyMode::Adaptive) {
        return adaptive;
    }
    return mode == PolicyMode::RoundRobin || batchOnly ? slots : 0;
}

} // namespace skylark
