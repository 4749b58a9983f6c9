/** @file batch_slots.cpp Batch items in the slots that online requests leave free, on targets that many hosts share without a common owner. */
#include "policy/batch_slots_func.h"

#include "core/hash_func.h"

#include <algorithm>
#include <tuple>

namespace skylark {

namespace {

/** Time for which free slots are kept. The hosts of the domain take a slot within some 300 ms; longer, and they cannot use it, whatever the reason. */
constexpr std::chrono::milliseconds reservationTime{1000};

unsigned usedSlots(const BatchSlotInput &input)
{
    return input.online + input.ownBatch + input.batchBefore + input.batchAfter;
}

/** @return The rank of the claim, less one for each claimStep for which the claimants before it have left the slots unused. */
unsigned effectiveRank(const BatchClaim &claim)
{
    if (claim.claimStep.count() <= 0) {
        return claim.rank;
    }
    const auto passed = static_cast<unsigned>(std::min<std::int64_t>(claim.freeFor / claim.claimStep, claim.rank));
    return claim.rank - passed;
}

} // namespace

unsigned batchItemsToYield(const BatchSlotInput &input)
{
    const unsigned total = usedSlots(input);
    if (total <= input.slots) {
        return 0;
    }
    const unsigned excess = total - input.slots;
    return excess <= input.batchBefore ? 0 : std::min(input.ownBatch, excess - input.batchBefore);
}

unsigned freeSlots(const BatchSlotInput &input)
{
    const unsigned used = usedSlots(input);
    return used >= input.slots ? 0 : input.slots - used;
}

unsigned batchItemsToStart(const BatchSlotInput &input, const BatchClaim &claim, unsigned reserved)
{
    const unsigned freeNow = freeSlots(input);
    // The other claimants divide the slots without this host until they know that it has items waiting, and this host knows of their last starts as late.
    const bool announced = claim.waitingFor >= 2 * claim.announceDelay;
    if (freeNow <= reserved || claim.claimants == 0 || !announced) {
        return 0;
    }
    // The other hosts still count unannounced items as free slots. With these included, all hosts divide the same number of slots.
    const unsigned shared = freeNow - reserved + input.unannounced;
    const unsigned share = shared / claim.claimants + (effectiveRank(claim) < shared % claim.claimants ? 1U : 0U);
    return share <= input.unannounced ? 0 : std::min(share - input.unannounced, freeNow - reserved);
}

std::chrono::milliseconds timeUnclaimed(UnclaimedSlots &unclaimed, unsigned batch, TimePoint now)
{
    if (unclaimed.since == TimePoint{} || batch > unclaimed.batch) {
        unclaimed.since = now;
    }
    unclaimed.batch = batch;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - unclaimed.since);
}

unsigned claimRank(const TargetId &target, const HostId &self, const std::vector<HostId> &claimants)
{
    const std::uint64_t own = rendezvousScore(target.value, self.value);
    return static_cast<unsigned>(std::count_if(claimants.begin(), claimants.end(), [&](const HostId &host) {
        return host != self && rendezvousScore(target.value, host.value) > own;
    }));
}

BatchSlotOffer makeSlotOffer(const TargetId &target, const HostId &self, unsigned items, bool sameDomain)
{
    return {target, items, sameDomain, rendezvousScore(target.value, self.value)};
}

bool isBetterOffer(const BatchSlotOffer &left, const BatchSlotOffer &right)
{
    return std::tuple(left.sameDomain, left.items, left.tieBreak) > std::tuple(right.sameDomain, right.items, right.tieBreak);
}

unsigned slotsReservedForDomain(unsigned free, const DomainBatchLoad &domain, std::chrono::milliseconds freeFor)
{
    if (freeFor >= reservationTime) {
        return 0;
    }
    if (domain.waitingItems >= domain.freeSlots) {
        return free;
    }
    // Rounded up, so that the hosts of the domain always find a slot for each of their items.
    return (free * domain.waitingItems + domain.freeSlots - 1) / domain.freeSlots;
}

} // namespace skylark
