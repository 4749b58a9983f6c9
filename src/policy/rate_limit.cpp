/** @file rate_limit.cpp Keeps the rate limits that targets name. */
#include "policy/rate_limit_func.h"

namespace skylark {

void recordSend(RateLimitTable &table, const TargetId &target)
{
    ++table.targets[target].sent;
}

bool observeAnswer(RateLimitTable &table, const LimitObservation &observation, TimePoint sentAt)
{
    TargetRate &rate = table.targets[observation.target];
    const bool tooOld = !observation.perSecond && rate.latest.perSecond && sentAt <= rate.latest.at;
    if (tooOld || observation.at < rate.latest.at) {
        return false;
    }
    const bool changed = rate.latest.perSecond != observation.perSecond;
    rate.latest = observation;
    rate.own = observation;
    return changed;
}

std::optional<double> limitOf(const RateLimitTable &table, const TargetId &target)
{
    const auto found = table.targets.find(target);
    return found == table.targets.end() ? std::nullopt : found->second.latest.perSecond;
}

} // namespace skylark
