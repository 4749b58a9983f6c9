/** @file job_policy.cpp Decisions about jobs: acceptance within the limit of a route, claims, positions of results. */
#include "job/job_policy_func.h"

#include "core/invariant_func.h"

#include <set>

namespace skylark {

namespace {

constexpr std::chrono::milliseconds missingBound{300}; ///< Time for a status datagram or an entry that is on its way to arrive.
constexpr std::chrono::milliseconds rankStep{400}; ///< Delay of each later rank: a claim and its way to the others.
constexpr std::chrono::milliseconds unregisteredBound{5000}; ///< An owner that is heard of but cannot write for so long does not get results into the service.

std::set<std::uint32_t> listedIndexes(const StoredJob &record)
{
    std::set<std::uint32_t> indexes;
    for (const ListedItem &entry : record.listed) {
        indexes.insert(entry.index);
    }
    return indexes;
}

} // namespace

std::uint64_t waitingTokens(const StoredJob &record)
{
    if (record.ended) {
        return 0;
    }
    std::uint64_t tokens = 0;
    const auto listed = listedIndexes(record);
    for (std::uint32_t i = 0; i < record.items.size(); ++i) {
        tokens += listed.contains(i) ? 0 : record.items[i].tokens;
    }
    return tokens;
}

AcceptVerdict decideAccept(std::uint64_t waiting, std::uint64_t tokens, std::uint64_t limit)
{
    if (limit == 0) {
        return AcceptVerdict::Accept;
    }
    if (waiting + tokens > limit) {
        return AcceptVerdict::Refuse;
    }
    return waiting + tokens <= limit / 2 ? AcceptVerdict::Accept : AcceptVerdict::AcceptInTurn;
}

ListDecision appendResults(const StoredJob &present, const SessionId &own, const std::map<std::uint32_t, ItemState> &finished)
{
    ListDecision decision;
    if (present.owner != own) {
        decision.verdict = ListVerdict::NotOwner;
        return decision;
    }
    decision.record = present;
    const auto listed = listedIndexes(present);
    for (const auto &[index, state] : finished) {
        if (!listed.contains(index)) {
            decision.record.listed.push_back({index, state});
            decision.added.push_back(index);
        }
    }
    SKY_INVARIANT(Promise::ExactlyOnce, listedIndexes(decision.record).size() == decision.record.listed.size());
    SKY_INVARIANT(Promise::ExactlyOnce, decision.record.listed.size() <= decision.record.items.size());
    decision.verdict = decision.added.empty() ? ListVerdict::Nothing : ListVerdict::Write;
    return decision;
}

bool mayClaim(const ClaimInput &input)
{
    if (!input.open || input.ownerIsOwn) {
        return false;
    }
    const auto rankDelay = rankStep * input.rank;
    if (input.released) {
        return input.missingFor >= rankDelay;
    }
    if (!input.ownerRegistered && !input.ownerHeard) {
        return input.missingFor >= missingBound + rankDelay;
    }
    return !input.ownerRegistered && input.unregisteredFor >= unregisteredBound + rankDelay;
}

} // namespace skylark
