/** @file batch_limit.cpp Limit of concurrent batch streams on a target. */
#include "policy/batch_limit_func.h"

#include <algorithm>
#include <cmath>

namespace skylark {

namespace {

constexpr double decreaseFactor = 0.5; ///< Multiplicative decrease; halving frees slots within one report when online requests wait.
constexpr unsigned increaseSteps = 8; ///< Additive increase; the limit recovers from zero to all slots within this many reports.
constexpr double latencyTolerance = 1.10; ///< The largest increase of online latency that the users accept (online_p99_ratio).
constexpr double referenceWeight = 0.2; ///< Weight of a new sample in the moving averages of the reference latencies.
constexpr double equalWeight = 0.5; ///< Tail weight at which online latency and batch throughput count the same; above it, at least one slot stays free.

unsigned saturatingSub(unsigned from, unsigned amount)
{
    return from > amount ? from - amount : 0;
}

void updateReference(double &reference, double sample)
{
    if (sample <= 0) {
        return;
    }
    reference = reference <= 0 ? sample : reference + referenceWeight * (sample - reference);
}

bool exceedsTolerance(double value, double reference)
{
    return reference > 0 && value > reference * latencyTolerance;
}

/** @return Whether the last report shows that batch streams delay online requests. */
bool batchHarmsOnline(const BatchLimitState &state, const BatchLimitInput &input)
{
    if (input.ownBatch == 0) {
        return false;
    }
    if (input.waiting > 0) {
        return true;
    }
    const bool hasOnline = input.ownOnline + input.onlineElsewhere > 0;
    return hasOnline && (exceedsTolerance(input.firstTokenMs, state.firstTokenReferenceMs) || exceedsTolerance(input.tokenMs, state.tokenReferenceMs));
}

/** Additive increase, multiplicative decrease: one step per load report. */
void updateAdaptiveLimit(BatchLimitState &state, const BatchLimitInput &input)
{
    const double slots = input.slots;
    state.adaptiveLimit = state.adaptiveLimit < 0 ? slots : std::min(state.adaptiveLimit, slots);
    if (input.reportSequence == state.reportSequence) {
        return;
    }
    state.reportSequence = input.reportSequence;
    state.unattributedPrevious = state.unattributedLatest;
    state.unattributedLatest = saturatingSub(input.running + input.waiting, input.ownAtReport + input.onlineElsewhere);
    if (input.ownBatch == 0) {
        updateReference(state.firstTokenReferenceMs, input.firstTokenMs);
        updateReference(state.tokenReferenceMs, input.tokenMs);
    }
    if (batchHarmsOnline(state, input)) {
        state.adaptiveLimit = std::min(state.adaptiveLimit, static_cast<double>(input.ownBatch)) * decreaseFactor;
        return;
    }
    state.adaptiveLimit = std::min(slots, state.adaptiveLimit + std::max(1.0, slots / increaseSteps));
}

} // namespace

double effectiveTailWeight(const BatchPolicy &policy, UnixTime now)
{
    constexpr unsigned minutesPerDay = 24 * 60;
    const auto minutes = std::chrono::floor<std::chrono::minutes>(now).time_since_epoch().count();
    const auto minute = static_cast<unsigned>(((minutes % minutesPerDay) + minutesPerDay) % minutesPerDay);
    const ShopHours &hours = policy.shopHours;
    const bool overMidnight = hours.fromMinute > hours.toMinute;
    const bool within = overMidnight ? (minute >= hours.fromMinute || minute < hours.toMinute) : (minute >= hours.fromMinute && minute < hours.toMinute);
    return within ? 1.0 : std::clamp(policy.tailWeight, 0.0, 1.0);
}

unsigned batchHeadroom(double onlineMean, double onlinePeak, double tailWeight)
{
    // Below the equal weight the headroom shrinks in proportion, down to none when only batch throughput counts.
    const double scale = std::min(1.0, tailWeight / equalWeight);
    const auto burst = static_cast<unsigned>(std::ceil(std::max(0.0, onlinePeak - onlineMean) * scale));
    return tailWeight > equalWeight ? std::max(1U, burst) : burst;
}

unsigned streamsToYield(const BatchLimitInput &input, unsigned arriving)
{
    const unsigned wanted = input.ownBatch + input.ownOnline + input.onlineElsewhere + arriving;
    return std::min(input.ownBatch, saturatingSub(wanted, input.slots));
}

BatchLimit decideBatchLimit(BatchLimitState state, const BatchLimitInput &input)
{
    updateAdaptiveLimit(state, input);
    // Reports lag behind the known streams, so unattributed streams count only when two consecutive reports show them.
    const unsigned unattributed = std::min(state.unattributedPrevious, state.unattributedLatest);
    const unsigned headroom = batchHeadroom(input.onlineMean, input.onlinePeak, input.tailWeight);
    const unsigned room = saturatingSub(input.slots, input.ownOnline + input.onlineElsewhere + unattributed + headroom);
    unsigned limit = std::min(room, static_cast<unsigned>(state.adaptiveLimit));
    if (!input.reportFresh) {
        limit = std::min(limit, input.ownBatch);
    }
    return {limit, headroom, state};
}

} // namespace skylark
