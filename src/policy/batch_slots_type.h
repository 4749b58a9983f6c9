/** @file batch_slots_type.h Input of a host's decisions about its batch items on a target that several hosts share. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace skylark {

/** Load of a target that runs batch items, as one host knows it. */
struct BatchSlotInput {
    unsigned slots{0}; ///< Maximum number of concurrent requests of the target.
    unsigned online{0}; ///< Online requests of all hosts.
    unsigned ownBatch{0}; ///< Batch items of this host.
    unsigned batchBefore{0}; ///< Batch items of hosts that are preempted before this one.
    unsigned batchAfter{0}; ///< Batch items of hosts that are preempted after this one.
    unsigned unannounced{0}; ///< Those of ownBatch that started so recently that other hosts may not count them yet.
};

/** A host's claim on the free slots of one target, among all hosts that have batch items waiting for a slot. */
struct BatchClaim {
    unsigned claimants{1}; ///< Hosts with waiting items that share the slots, including this one.
    unsigned rank{0}; ///< Rank of this host among them at the target; 0 is served first.
    std::chrono::milliseconds waitingFor{0}; ///< Time since this host's items began to wait.
    std::chrono::milliseconds announceDelay{0}; ///< Time until the other claimants know of this host's waiting and running items.
    std::chrono::milliseconds freeFor{0}; ///< Time for which slots of the target have been free without any host starting an item there.
    std::chrono::milliseconds claimStep{0}; ///< Time after which the slots that the first-ranked host leaves unused pass to the next one; 0 for never.
};

/** Since when a target has had free slots in which no host started a batch item, while this host had items waiting. */
struct UnclaimedSlots {
    TimePoint since{};
    unsigned batch{0}; ///< Known batch items on the target at the last look.
};

/** Free slots of one target that a host may use for its batch items. */
struct BatchSlotOffer {
    TargetId target;
    unsigned items{0}; ///< Batch items that may be started there.
    bool sameDomain{true}; ///< Whether the target is in the host's failure domain.
    std::uint64_t tieBreak{0}; ///< Orders targets with equal numbers of slots; different on each host.
};

/** Free slots and waiting batch items of one service in one failure domain. */
struct DomainBatchLoad {
    unsigned freeSlots{0}; ///< Free slots of the service's targets there.
    unsigned waitingItems{0}; ///< Items of the domain's hosts that wait for a slot of such a target; those of other services cannot use it.
};

} // namespace skylark
