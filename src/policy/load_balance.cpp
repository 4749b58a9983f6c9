/** @file load_balance.cpp Load balancing over targets that several hosts share. */
#include "policy/load_balance_func.h"

#include "core/hash_func.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace skylark {

namespace {

constexpr double preemptionCost = 1.0; ///< Added to the load when a batch item must be preempted: any target with a free slot is preferred.
constexpr double queueCost = 2.0; ///< Added when the request must wait: a target where a batch item can be preempted is preferred.
constexpr double otherDomainCost = 0.08; ///< Added for another failure domain: a round trip of 7 ms compared with an answer time of 100 ms.
constexpr std::chrono::milliseconds maxFreshAge{150}; ///< Counts up to this age are as good as own ones: one status interval and the transmission.
constexpr double ageCost = 1.0 / 700.0; ///< Added for each millisecond of age beyond maxFreshAge: an online request holds its slot for 700 ms.
constexpr double suspectCost = 4.0; ///< Added after a recent failure: a suspect target is used only when all others are full.
constexpr double silentCost = 2.5; ///< Added while the target is silent: it is used before a request must wait elsewhere.
constexpr double tieBreakRange = 0.02; ///< Range of the random part of a score, which breaks ties.
constexpr std::chrono::milliseconds minRefusalDelay{200}; ///< Shortest retry delay: one step of the targets and the way back to the caller.
constexpr unsigned percent = 100;
constexpr double millisecondsPerUnit = 100.0; ///< Time that a score of 1 stands for: the answer time that otherDomainCost refers to.
constexpr double minSavedMs = 10.0; ///< Savings up to this do not count: they are below the noise of answer times.
constexpr double minDelayMs = 20.0; ///< Added to the age of counts: an early status and its transmission.

unsigned queueBound(const BalanceCandidate &candidate, const BalanceLimits &limits)
{
    return candidate.slots + std::max(1U, candidate.slots * limits.queuePerSlotPercent / percent);
}

BalanceReason reasonOf(const BalanceCandidate &candidate)
{
    if (candidate.online >= candidate.slots) {
        return BalanceReason::Queued;
    }
    return candidate.online + candidate.batch >= candidate.slots ? BalanceReason::BatchYields : BalanceReason::FreeSlot;
}

/** @return Expected number of requests beyond @p free that other hosts have on the target unseen: the mean excess of a normal variable. */
double expectedExcess(double free, double deviation)
{
    if (deviation <= 0) {
        return std::max(0.0, -free);
    }
    const double z = free / deviation;
    const double density = std::exp(-z * z / 2) / std::sqrt(2 * std::numbers::pi);
    return deviation * (density - z * std::erfc(z / std::numbers::sqrt2) / 2);
}

/**
 * @return Expected wait at the target in milliseconds: for the known requests ahead, and for those that arrived while the counts aged. Arrivals and
 * departures within that age are taken as independent, each at the rate at which the target's slots turn over.
 */
double expectedWaitMs(const BalanceCandidate &candidate, std::chrono::milliseconds serviceTime)
{
    const double slots = std::max(1U, candidate.slots);
    const double service = std::max(1.0, static_cast<double>(serviceTime.count()));
    const double age = minDelayMs + static_cast<double>(candidate.countsAge.count());
    const double deviation = std::sqrt(2 * (std::min<double>(candidate.online, slots) + (candidate.online > 0 ? 1.0 : 0.0)) * std::min(1.0, age / service));
    return expectedExcess(slots - candidate.online - 0.5, deviation) * service / slots;
}

/** @return Predicted wait at the target: until as many of its requests are done as are in the way, at its measured speed. */
std::chrono::milliseconds predictedWait(const BalanceCandidate &candidate, const BalanceLimits &limits)
{
    return std::chrono::milliseconds(std::llround(expectedWaitMs(candidate, limits.serviceTime) * candidate.slowness));
}

/** @return Whether kept parts may draw requests to the target. */
bool mayAttract(const BalanceCandidate &candidate)
{
    return !candidate.silent && !candidate.suspect && candidate.slowness <= 1.0;
}

/** @return By how much the kept parts of the prompt outweigh the wait at the target, in milliseconds; 0 for a target that must not attract requests. */
double gainMs(const BalanceCandidate &candidate, const BalanceLimits &limits)
{
    if (candidate.savedMs <= minSavedMs || !mayAttract(candidate)) {
        return 0;
    }
    return std::max(0.0, candidate.savedMs - minSavedMs - expectedWaitMs(candidate, limits.serviceTime));
}

double score(const BalanceCandidate &candidate, std::uint64_t &random)
{
    const double slots = std::max(1U, candidate.slots);
    const BalanceReason reason = reasonOf(candidate);
    double value = (reason == BalanceReason::FreeSlot ? candidate.online + candidate.batch : candidate.online) / slots * candidate.slowness;
    value += reason == BalanceReason::BatchYields ? preemptionCost : 0.0;
    value += reason == BalanceReason::Queued ? queueCost : 0.0;
    value += candidate.sameDomain ? 0.0 : otherDomainCost + ageCost * static_cast<double>(std::max(candidate.countsAge - maxFreshAge, {}).count());
    value += candidate.silent ? silentCost : 0.0;
    value += candidate.suspect ? suspectCost : 0.0;
    // Of targets that are otherwise equal, the one that holds more is taken. This also gives requests with fewer tokens to read, from which their time is
    // learned.
    value -= mayAttract(candidate) ? tieBreakRange * candidate.keptShare : 0.0;
    return value + tieBreakRange * static_cast<double>(nextRandom(random) >> 11U) / static_cast<double>(1ULL << 53U);
}

} // namespace

std::string_view balanceReasonName(BalanceReason reason)
{
    switch (reason) {
    case BalanceReason::FreeSlot:
        return "free_slot";
    case BalanceReason::BatchYields:
        return "batch_yields";
    case BalanceReason::Queued:
        return "queued";
    case BalanceReason::Full:
        return "full";
    case BalanceReason::LateStart:
        return "predicted_wait";
    case BalanceReason::RateLimited:
        return "rate_limited";
    case BalanceReason::NoTarget:
        return "no_target";
    }
    return "unknown";
}

BalanceChoice balanceRequest(const std::vector<BalanceCandidate> &candidates, const BalanceLimits &limits, std::uint64_t draw)
{
    BalanceChoice choice;
    const BalanceCandidate *best = nullptr;
    double bestScore = 0;
    double bestGain = 0;
    std::uint64_t random = draw;
    for (const BalanceCandidate &candidate : candidates) {
        if (candidate.tried) {
            continue;
        }
        if (limits.maxWait && predictedWait(candidate, limits) > *limits.maxWait) {
            const auto wait = predictedWait(candidate, limits);
            choice.wait = choice.reason == BalanceReason::LateStart ? std::min(choice.wait, wait) : wait;
            choice.reason = BalanceReason::LateStart;
            continue;
        }
        if (!limits.maxWait && candidate.online >= queueBound(candidate, limits)) {
            choice.reason = BalanceReason::Full;
            continue;
        }
        if (candidate.rateLimited) {
            choice.reason = BalanceReason::RateLimited;
            continue;
        }
        const double gain = gainMs(candidate, limits);
        const double value = score(candidate, random) - gain / millisecondsPerUnit;
        if (best == nullptr || value < bestScore) {
            best = &candidate;
            bestScore = value;
            bestGain = gain;
        }
    }
    if (best == nullptr && choice.reason == BalanceReason::LateStart && limits.lateWait > limits.maxWait) {
        BalanceLimits late = limits;
        late.maxWait = late.lateWait;
        return balanceRequest(candidates, late, draw);
    }
    if (best == nullptr) {
        return choice;
    }
    return {reasonOf(*best), best->id, best->online, best->batch, best->keptTokens, bestGain, predictedWait(*best, limits), best->keptGuessed, best->slowness};
}

std::chrono::milliseconds refusalDelay(const RefusalInput &input)
{
    const double slots = std::max(1U, input.slots);
    const double excess = std::max(0.0, input.online + 1.0 - slots);
    const double wait = static_cast<double>(input.serviceTime.count()) * excess / slots;
    const double limitWait = input.rateLimited && input.limitPerSecond > 0 ? 1000.0 / input.limitPerSecond : 0.0;
    const double base = std::max(std::max(wait, limitWait), static_cast<double>(minRefusalDelay.count()));
    const double jitter = base * static_cast<double>(input.draw % 1000U) / 1000.0;
    const auto delay = std::chrono::milliseconds(static_cast<std::int64_t>(base + jitter));
    return std::min(delay, std::max(minRefusalDelay, input.remaining / 3));
}

} // namespace skylark
