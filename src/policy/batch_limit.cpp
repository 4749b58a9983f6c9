/** @file batch_limit.cpp How many batch streams a target may carry. */
#include "policy/batch_limit_func.h"

#include <algorithm>
#include <cmath>

namespace skylark {

namespace {

constexpr double decreaseFactor = 0.5; ///< Halving frees room within one report when online requests wait.
constexpr unsigned increaseSteps = 8; ///< The bound recovers from zero to all slots within this many reports.
constexpr double latencyTolerance = 1.10; ///< The largest online harm that the users accept (online_p99_ratio).
constexpr double referenceWeight = 0.2; ///< Weight of a new sample in the reference averages.
constexpr double onlineWeighsMore = 0.5; ///< Above this weight at least one slot stays free.

unsigned lessOrZero(unsigned from, unsigned amount)
{
    return from > amount ? from - amount : 0;
}

void learnReference(double &reference, double sample)
{
    if (sample <= 0) {
        return;
    }
    reference = reference <= 0 ? sample : reference + referenceWeight * (sample - reference);
}

bool exceeds(double value, double reference)
{
    return reference > 0 && value > reference * latencyTolerance;
}

/** @return Whether the last report shows that batch harms online requests. */
bool isHarmful(const BatchLimitState &state, const BatchLimitInput &input)
{
    if (input.ownBatch == 0) {
        return false;
    }
    if (input.waiting > 0) {
        return true;
    }
    const bool hasOnline = input.ownOnline + input.onlineElsewhere > 0;
    return hasOnline && (exceeds(input.firstTokenMs, state.firstTokenReferenceMs) || exceeds(input.tokenMs, state.tokenReferenceMs));
}

void adapt(BatchLimitState &state, const BatchLimitInput &input)
{
    const double slots = input.slots;
    state.allowed = state.allowed < 0 ? slots : std::min(state.allowed, slots);
    if (input.reportSequence == state.reportSequence) {
        return;
    }
    state.reportSequence = input.reportSequence;
    state.foreignBefore = state.foreignNow;
    state.foreignNow = lessOrZero(input.running + input.waiting, input.ownAtReport + input.onlineElsewhere);
    if (input.ownBatch == 0) {
        learnReference(state.firstTokenReferenceMs, input.firstTokenMs);
        learnReference(state.tokenReferenceMs, input.tokenMs);
    }
    if (isHarmful(state, input)) {
        state.allowed = std::min(state.allowed, static_cast<double>(input.ownBatch)) * decreaseFactor;
        return;
    }
    state.allowed = std::min(slots, state.allowed + std::max(1.0, slots / increaseSteps));
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
    // Below equal weights the reserve shrinks with the weight, down to none when only batch throughput counts.
    const double scale = std::min(1.0, tailWeight / onlineWeighsMore);
    const auto burst = static_cast<unsigned>(std::ceil(std::max(0.0, onlinePeak - onlineMean) * scale));
    return tailWeight > onlineWeighsMore ? std::max(1U, burst) : burst;
}

unsigned yieldForArrivals(const BatchLimitInput &input, unsigned arriving)
{
    const unsigned wanted = input.ownBatch + input.ownOnline + input.onlineElsewhere + arriving;
    return std::min(input.ownBatch, lessOrZero(wanted, input.slots));
}

BatchLimit decideBatchLimit(BatchLimitState state, const BatchLimitInput &input)
{
    adapt(state, input);
    // A report lags, so streams of unknown hosts count only when two reports in a row show them.
    const unsigned foreign = std::min(state.foreignBefore, state.foreignNow);
    const unsigned headroom = batchHeadroom(input.onlineMean, input.onlinePeak, input.tailWeight);
    const unsigned room = lessOrZero(input.slots, input.ownOnline + input.onlineElsewhere + foreign + headroom);
    unsigned limit = std::min(room, static_cast<unsigned>(state.allowed));
    if (!input.reportFresh) {
        limit = std::min(limit, input.ownBatch);
    }
    return {limit, headroom, state};
}

} // namespace skylark
