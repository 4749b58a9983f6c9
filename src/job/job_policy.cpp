/** @file job_policy.cpp Decisions about jobs: admission within the token limit of a route, claims by hosts, positions of results. */
#include "job/job_policy_func.h"

#include "core/invariant_func.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace skylark {

namespace {

constexpr std::chrono::milliseconds missingGrace{300}; ///< Time for a status datagram or a store entry in transit to arrive.
constexpr std::chrono::milliseconds claimDelayPerRank{400}; ///< Added delay per rank: the time of a claim and of its propagation to other hosts.
constexpr std::chrono::milliseconds unregisteredGrace{5000}; ///< An owner unregistered for so long cannot store results, even if it still sends its status.

constexpr std::chrono::milliseconds retryDelayStep{150}; ///< Least delay of a repeated item; each counted failure, up to four, adds one more step.
constexpr unsigned maxRetryDelaySteps = 4;
constexpr unsigned maxRetryDoublings = 4; ///< An item that is owed is run again within a few seconds, also after many ends of targets.

constexpr std::chrono::milliseconds minResultDelay{200}; ///< Items of a job often finish within so short a time of one another.
constexpr std::chrono::milliseconds maxResultDelay{1000}; ///< Bounds the finished work that is lost with its host.
constexpr int resultDelayShare = 8; ///< Results wait for at most this fraction of the time until they are due.

std::uint64_t addSaturated(std::uint64_t left, std::uint64_t right)
{
    const std::uint64_t most = std::numeric_limits<std::uint64_t>::max();
    return right > most - left ? most : left + right;
}

std::set<std::uint32_t> listedIndexes(const StoredJob &record)
{
    std::set<std::uint32_t> indexes;
    for (const ResultEntry &entry : record.listed) {
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
        tokens = addSaturated(tokens, listed.contains(i) ? 0 : record.items[i].tokens);
    }
    return tokens;
}

JobAdmission decideJobAdmission(std::uint64_t waiting, std::uint64_t tokens, std::uint64_t limit)
{
    if (limit == 0) {
        return JobAdmission::Accept;
    }
    const bool fits = tokens <= limit && waiting <= limit - tokens;
    return fits ? JobAdmission::AcceptSerialized : JobAdmission::Refuse;
}

std::uint64_t totalTokens(const WaitingLedger &ledger)
{
    std::uint64_t sum = 0;
    for (const auto &[job, tokens] : ledger.tokens) {
        sum = addSaturated(sum, tokens);
    }
    return sum;
}

std::uint64_t totalTokens(const std::vector<ItemHead> &items)
{
    std::uint64_t sum = 0;
    for (const ItemHead &item : items) {
        sum = addSaturated(sum, item.tokens);
    }
    return sum;
}

WaitingLedger reduceLedger(WaitingLedger ledger, const std::map<JobId, std::uint64_t> &known, const std::set<JobId> &gone)
{
    for (const auto &[job, tokens] : known) {
        const auto [entry, added] = ledger.tokens.try_emplace(job, tokens);
        entry->second = std::min(entry->second, tokens);
    }
    std::erase_if(ledger.tokens, [&](const auto &entry) {
        return entry.second == 0 || gone.contains(entry.first);
    });
    return ledger;
}

AppendDecision appendResults(const StoredJob &present, const SessionId &own, const std::map<std::uint32_t, ItemState> &finished)
{
    AppendDecision decision;
    if (present.owner != own) {
        decision.action = AppendAction::NotOwner;
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
    decision.action = decision.added.empty() ? AppendAction::Nothing : AppendAction::Write;
    return decision;
}

bool isMoreUrgent(TimePoint left, TimePoint right, TimePoint now, std::chrono::milliseconds runTime)
{
    const TimePoint earliestEnd = now + runTime;
    return std::pair(left < earliestEnd, left) < std::pair(right < earliestEnd, right);
}

std::chrono::milliseconds resultDelay(std::size_t unfinished, std::chrono::milliseconds untilDue)
{
    return unfinished == 0 ? std::chrono::milliseconds(0) : std::clamp(untilDue / resultDelayShare, minResultDelay, maxResultDelay);
}

std::chrono::milliseconds itemRetryDelay(unsigned failures, unsigned targetEnds)
{
    const auto afterFailures = retryDelayStep * (1U + std::min(failures, maxRetryDelaySteps));
    const unsigned doublings = std::min(targetEnds == 0 ? 0 : targetEnds - 1, maxRetryDoublings);
    return std::max(afterFailures, retryDelayStep * (1U << doublings));
}

std::chrono::milliseconds maxRecordAgeFor(std::chrono::milliseconds cancelLimit)
{
    return cancelLimit * 2 / 3;
}

bool mayStartOnRecord(std::chrono::nanoseconds recordAge, std::chrono::milliseconds maxRecordAge, bool storeAway)
{
    return recordAge < maxRecordAge || storeAway;
}

bool mayClaim(const ClaimInput &input)
{
    if (!input.open || input.ownerIsOwn) {
        return false;
    }
    const auto rankDelay = claimDelayPerRank * input.rank;
    if (input.released) {
        return input.missingFor >= rankDelay;
    }
    if (!input.ownerRegistered && !input.ownerStatusRecent) {
        return input.missingFor >= missingGrace + rankDelay;
    }
    return !input.ownerRegistered && input.unregisteredFor >= unregisteredGrace + rankDelay;
}

} // namespace skylark
