/** @file routing.cpp Routing of online requests. */
#include "policy/routing_func.h"

#include "core/hash_func.h"
#include "core/invariant_func.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace skylark {

namespace {

/** A batch stream counts half, because it can be preempted at once: a target full of batch streams is preferred to one full of online streams. */
constexpr double batchWeight = 0.5;

/** A fully cached prompt lowers the score as much as streams in half of the target's slots raise it: prefill costs about as much as decoding a short answer. */
constexpr double affinityWeight = 0.5;

constexpr double declinePenalty = 1.0; ///< Score added per unit of declineFactor above 1: a target with twice the step time of its peers gets 1.

/** Expected cost of a lost packet on a link between failure domains: a retransmission takes 200 ms and happens in one of ten requests. */
constexpr std::chrono::milliseconds lossPenalty{20};

bool isUsable(const RouteCandidate &candidate)
{
    return !candidate.leaving && !candidate.blocked && candidate.slots > 0;
}

/** @return Usable candidates that this request has not tried; when all were tried, all usable candidates. */
std::vector<const RouteCandidate *> usableCandidates(const RouteInput &input)
{
    std::vector<const RouteCandidate *> untried;
    std::vector<const RouteCandidate *> all;
    for (const RouteCandidate &candidate : input.candidates) {
        if (!isUsable(candidate)) {
            continue;
        }
        all.push_back(&candidate);
        if (!candidate.tried) {
            untried.push_back(&candidate);
        }
    }
    return untried.empty() ? all : untried;
}

const RouteCandidate *lowestScore(const std::vector<const RouteCandidate *> &candidates)
{
    const RouteCandidate *best = nullptr;
    for (const RouteCandidate *candidate : candidates) {
        if (best == nullptr || routeScore(*candidate) < routeScore(*best)) {
            best = candidate;
        }
    }
    return best;
}

/** @return Two random candidates, and the one with the highest prefix affinity if any has some. */
std::vector<const RouteCandidate *> sampleCandidates(const std::vector<const RouteCandidate *> &usable, std::uint64_t seed)
{
    std::vector<const RouteCandidate *> sample;
    if (usable.empty()) {
        return sample;
    }
    const std::size_t first = nextRandom(seed) % usable.size();
    sample.push_back(usable[first]);
    if (usable.size() > 1) {
        sample.push_back(usable[(first + 1 + nextRandom(seed) % (usable.size() - 1)) % usable.size()]);
    }
    const auto best = std::max_element(usable.begin(), usable.end(), [](const RouteCandidate *a, const RouteCandidate *b) {
        return a->affinity < b->affinity;
    });
    if ((*best)->affinity > 0) {
        sample.push_back(*best);
    }
    return sample;
}

const RemoteDomain *cheapestRemote(const RouteInput &input, bool needFree)
{
    const RemoteDomain *best = nullptr;
    for (const RemoteDomain &remote : input.remotes) {
        if (remote.tried || (needFree && remote.freeSlots == 0)) {
            continue;
        }
        if (best == nullptr || forwardCost(remote) < forwardCost(*best)) {
            best = &remote;
        }
    }
    return input.mayForward ? best : nullptr;
}

RouteDecision forwardTo(const RemoteDomain &remote, std::string reason)
{
    RouteDecision decision;
    decision.kind = RouteKind::Forward;
    decision.domain = remote.domain;
    decision.reason = "forward to " + remote.domain.value + ": " + std::move(reason);
    return decision;
}

RouteDecision sendTo(const RouteCandidate &candidate, std::size_t usable)
{
    SKY_INVARIANT(Promise::LeavingTarget, !candidate.leaving);
    RouteDecision decision;
    decision.kind = RouteKind::Target;
    decision.target = candidate.id;
    decision.yieldSlots = requiredYields(candidate);
    decision.wait = estimateWait(candidate);
    const bool slotFree = candidate.occupied < candidate.slots;
    SKY_INVARIANT(Promise::OnlineFirst, slotFree || cancellableBatch(candidate) == 0 || decision.yieldSlots > 0);
    std::array<char, 160> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "score %.3f of %zu targets, occupied %u/%u, online %u, affinity %.2f, yield %u, wait %lld ms",
                  routeScore(candidate),
                  usable,
                  candidate.occupied,
                  candidate.slots,
                  candidate.online,
                  candidate.affinity,
                  decision.yieldSlots,
                  static_cast<long long>(decision.wait.count()));
    decision.reason = "target " + candidate.id.value + ": " + text.data();
    return decision;
}

} // namespace

unsigned estimateOccupied(unsigned running, unsigned waiting, std::uint64_t startedSince, std::uint64_t endedSince, unsigned ownInFlight)
{
    const std::uint64_t reported = std::uint64_t{running} + waiting + startedSince;
    const std::uint64_t estimate = reported > endedSince ? reported - endedSince : 0;
    return static_cast<unsigned>(std::max<std::uint64_t>(estimate, ownInFlight));
}

unsigned cancellableBatch(const RouteCandidate &candidate)
{
    const unsigned notOnline = candidate.occupied > candidate.online ? candidate.occupied - candidate.online : 0;
    return std::max(notOnline, candidate.ownBatch);
}

unsigned requiredYields(const RouteCandidate &candidate)
{
    if (candidate.occupied < candidate.slots) {
        return 0;
    }
    return std::min(candidate.occupied + 1 - candidate.slots, cancellableBatch(candidate));
}

std::chrono::milliseconds estimateWait(const RouteCandidate &candidate)
{
    if (candidate.slots == 0 || candidate.online < candidate.slots) {
        return std::chrono::milliseconds(0);
    }
    const double ahead = candidate.online + 1 - candidate.slots;
    return std::chrono::milliseconds(static_cast<long long>(std::ceil(ahead * static_cast<double>(candidate.serviceTime.count()) / candidate.slots)));
}

double routeScore(const RouteCandidate &candidate)
{
    const double batch = cancellableBatch(candidate);
    const double occupied = std::max<double>(candidate.occupied, candidate.online + batch) - batch * (1 - batchWeight);
    const double load = (occupied + 1) / std::max(candidate.slots, 1U) * candidate.tokenRatio;
    const double decline = std::max(candidate.declineFactor - 1.0, 0.0) * declinePenalty;
    return load + decline - candidate.affinity * affinityWeight;
}

std::chrono::milliseconds forwardCost(const RemoteDomain &remote)
{
    const double cost = static_cast<double>((remote.roundTrip + lossPenalty).count()) * std::max(remote.costFactor, 1.0);
    return std::chrono::milliseconds(static_cast<long long>(std::ceil(cost)));
}

bool hasAlternative(const RouteInput &input, const RouteDecision &decision, bool resumed)
{
    const bool target = std::any_of(input.candidates.begin(), input.candidates.end(), [&](const RouteCandidate &candidate) {
        const bool untried = resumed || !candidate.tried;
        return candidate.id != decision.target && untried && isUsable(candidate) && estimateWait(candidate).count() == 0;
    });
    const bool remote = std::any_of(input.remotes.begin(), input.remotes.end(), [&](const RemoteDomain &other) {
        return other.domain != decision.domain && !other.tried && other.freeSlots > 0;
    });
    return target || (remote && input.mayForward);
}

RouteDecision chooseTarget(const RouteInput &input)
{
    const auto usable = usableCandidates(input);
    const RouteCandidate *chosen = lowestScore(sampleCandidates(usable, input.seed));
    if (chosen != nullptr && estimateWait(*chosen).count() > 0) {
        // The best candidate of the sample has no free or preemptible slot; check all candidates before the request has to wait.
        std::vector<const RouteCandidate *> immediate;
        std::copy_if(usable.begin(), usable.end(), std::back_inserter(immediate), [](const RouteCandidate *candidate) {
            return estimateWait(*candidate).count() == 0;
        });
        chosen = lowestScore(immediate.empty() ? usable : immediate);
    }
    if (chosen == nullptr) {
        const RemoteDomain *remote = cheapestRemote(input, false);
        if (remote != nullptr) {
            return forwardTo(*remote, "no usable target here");
        }
        RouteDecision none;
        none.reason = "no usable target among " + std::to_string(input.candidates.size());
        return none;
    }
    const RemoteDomain *remote = cheapestRemote(input, true);
    const auto wait = estimateWait(*chosen);
    if (remote != nullptr && wait > forwardCost(*remote)) {
        return forwardTo(*remote, "wait " + std::to_string(wait.count()) + " ms over link cost " + std::to_string(forwardCost(*remote).count()) + " ms");
    }
    return sendTo(*chosen, usable.size());
}

} // namespace skylark
