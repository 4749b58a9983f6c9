/** @file load_balance.cpp Load balancing over targets that several hosts share. */
#include "policy/load_balance_func.h"

#include "core/hash_func.h"

#include <algorithm>

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
    std::uint64_t random = draw;
    for (const BalanceCandidate &candidate : candidates) {
        if (candidate.tried) {
            continue;
        }
        if (candidate.online >= queueBound(candidate, limits)) {
            choice.reason = BalanceReason::Full;
            continue;
        }
        if (candidate.rateLimited) {
            choice.reason = BalanceReason::RateLimited;
            continue;
        }
        const double value = score(candidate, random);
        if (best == nullptr || value < bestScore) {
            best = &candidate;
            bestScore = value;
        }
    }
    if (best == nullptr) {
        return choice;
    }
    return {reasonOf(*best), best->id, best->online, best->batch};
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
