/** @file spread.cpp Placement of one request on targets that several hosts share. */
#include "policy/spread_func.h"

#include "core/hash_func.h"

#include <algorithm>

namespace skylark {

namespace {

constexpr double yieldCost = 1.0; ///< Load that a cancelled batch item is worth: any target with a free slot is better.
constexpr double queueCost = 2.0; ///< Load that waiting is worth: a target where batch gives way is better.
constexpr double otherDomainCost = 0.08; ///< Load that crossing failure domains is worth: a round trip of 7 ms beside an answer of 100 ms.
constexpr std::chrono::milliseconds freshCounts{150}; ///< Counts up to this age are as good as own ones: one status interval and the way.
constexpr double ageCost = 1.0 / 700.0; ///< Load that each further millisecond is worth: an online request holds its slot for 700 ms.
constexpr double suspectCost = 4.0; ///< Load of a recent failure; a suspect is used only when all others are full.
constexpr double tieSpread = 0.02; ///< Random share of a score.
constexpr std::chrono::milliseconds leastDelay{200}; ///< Shortest return: one step of the targets and the way back.
constexpr unsigned percent = 100;

unsigned queueBound(const SpreadCandidate &candidate, const SpreadLimits &limits)
{
    return candidate.slots + std::max(1U, candidate.slots * limits.queuePerSlotPercent / percent);
}

SpreadReason reasonOf(const SpreadCandidate &candidate)
{
    if (candidate.online >= candidate.slots) {
        return SpreadReason::Queued;
    }
    return candidate.online + candidate.batch >= candidate.slots ? SpreadReason::BatchYields : SpreadReason::FreeSlot;
}

double score(const SpreadCandidate &candidate, std::uint64_t &random)
{
    const double slots = std::max(1U, candidate.slots);
    const SpreadReason reason = reasonOf(candidate);
    double value = (reason == SpreadReason::FreeSlot ? candidate.online + candidate.batch : candidate.online) / slots * candidate.slowness;
    value += reason == SpreadReason::BatchYields ? yieldCost : 0.0;
    value += reason == SpreadReason::Queued ? queueCost : 0.0;
    value += candidate.sameDomain ? 0.0 : otherDomainCost + ageCost * static_cast<double>(std::max(candidate.countsAge - freshCounts, {}).count());
    value += candidate.suspect ? suspectCost : 0.0;
    return value + tieSpread * static_cast<double>(nextRandom(random) >> 11U) / static_cast<double>(1ULL << 53U);
}

} // namespace

std::string_view spreadReasonName(SpreadReason reason)
{
    switch (reason) {
    case SpreadReason::FreeSlot:
        return "free_slot";
    case SpreadReason::BatchYields:
        return "batch_yields";
    case SpreadReason::Queued:
        return "queued";
    case SpreadReason::Full:
        return "full";
    case SpreadReason::NoTarget:
        return "no_target";
    }
    return "unknown";
}

SpreadChoice spreadRequest(const std::vector<SpreadCandidate> &candidates, const SpreadLimits &limits, std::uint64_t draw)
{
    SpreadChoice choice;
    const SpreadCandidate *best = nullptr;
    double bestScore = 0;
    std::uint64_t random = draw;
    for (const SpreadCandidate &candidate : candidates) {
        if (candidate.tried) {
            continue;
        }
        if (candidate.online >= queueBound(candidate, limits)) {
            choice.reason = SpreadReason::Full;
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

unsigned valleyYield(const ValleyInput &input)
{
    const unsigned total = input.online + input.ownBatch + input.batchBefore + input.batchAfter;
    if (total <= input.slots) {
        return 0;
    }
    const unsigned excess = total - input.slots;
    return excess <= input.batchBefore ? 0 : std::min(input.ownBatch, excess - input.batchBefore);
}

unsigned valleyFree(const ValleyInput &input)
{
    const unsigned taken = input.online + input.ownBatch + input.batchBefore + input.batchAfter + (input.preferred ? 0U : 1U);
    return taken >= input.slots ? 0 : input.slots - taken;
}

std::chrono::milliseconds refusalDelay(const RefusalInput &input)
{
    const double slots = std::max(1U, input.slots);
    const double excess = std::max(0.0, input.online + 1.0 - slots);
    const double wait = static_cast<double>(input.serviceTime.count()) * excess / slots;
    const double base = std::max(wait, static_cast<double>(leastDelay.count()));
    const double spread = base * static_cast<double>(input.draw % 1000U) / 1000.0;
    const auto delay = std::chrono::milliseconds(static_cast<std::int64_t>(base + spread));
    return std::min(delay, std::max(leastDelay, input.remaining / 3));
}

} // namespace skylark
