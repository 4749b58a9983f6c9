/**
 * @file batch_slots_func.h Batch items in the slots that online requests leave free, on targets that many hosts share without a common owner.
 *
 * Load: hundreds of hosts with waiting items, whose counts of one another's items are up to seconds old. Each free slot belongs to one of them, by a rank that
 * all of them compute alike, so that they neither all start an item in the same slot nor leave it empty.
 */
#pragma once

#include "policy/batch_slots_type.h"

namespace skylark {

/** @return Number of this host's batch items to preempt so that online requests get a slot. */
[[nodiscard]] unsigned batchItemsToYield(const BatchSlotInput &input);

/** @return Slots of the target that neither online requests nor batch items use. */
[[nodiscard]] unsigned freeSlots(const BatchSlotInput &input);

/**
 * Computes this host's share of the free slots of a target.
 * @param reserved Free slots that are left to others.
 * @return Number of batch items that this host may start there now.
 */
[[nodiscard]] unsigned batchItemsToStart(const BatchSlotInput &input, const BatchClaim &claim, unsigned reserved = 0);

/** Updates @p unclaimed with the batch items that now run on the target. @return Time for which no host has started an item there. */
[[nodiscard]] std::chrono::milliseconds timeUnclaimed(UnclaimedSlots &unclaimed, unsigned batch, TimePoint now);

/** @return Rank of @p self among @p claimants at @p target; 0 when no other claimant ranks higher. */
[[nodiscard]] unsigned claimRank(const TargetId &target, const HostId &self, const std::vector<HostId> &claimants);

/**
 * Makes an offer whose ties each host breaks in an order of its own, so that hosts that do not know of each other yet seldom choose the same targets.
 */
[[nodiscard]] BatchSlotOffer makeSlotOffer(const TargetId &target, const HostId &self, unsigned items, bool sameDomain);

/** @return Whether @p left is to be used before @p right: targets of the own failure domain first, then those with more slots. */
[[nodiscard]] bool isBetterOffer(const BatchSlotOffer &left, const BatchSlotOffer &right);

/**
 * Reserves slots of a target for the hosts of its failure domain, so that items run near their host. Designed for batch services of some 10 to 100 targets
 * that up to 360 hosts in 11 failure domains share, each with its own demand.
 * @param free Free slots of the target.
 * @param domain Load of the target's service in its failure domain.
 * @param freeFor Time for which slots of the target have been free without any host starting an item there.
 * @return Slots that the hosts of the domain need for their own waiting items. The rest may go to other domains, and all of them once the hosts of the domain
 * have left slots unused for a while.
 */
[[nodiscard]] unsigned slotsReservedForDomain(unsigned free, const DomainBatchLoad &domain, std::chrono::milliseconds freeFor);

} // namespace skylark
