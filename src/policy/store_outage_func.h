/** @file store_outage_func.h Tells outages of the key-value service from single failed calls, and entries that lapsed in an outage from removed ones. */
#pragma once

#include "policy/store_outage_type.h"

namespace skylark {

/** Records an answer of the service. @return Whether it ends an outage. */
bool recordAnswer(StoreContact &contact, TimePoint now);

/** @return Whether the service has not answered for so long that entries of live targets may have lapsed. One failed call among answered ones is no outage. */
[[nodiscard]] bool isStoreAway(const StoreContact &contact, TimePoint now);

/**
 * Decides whether a removed entry may be that of a live target whose heartbeats did not reach the service in an outage. A target that has written its entry
 * since the service returned was removed for good, and so was one whose entry is still missing @p grace after the return.
 * @param grace Time after the return of the service within which live targets write their entries again.
 */
[[nodiscard]] bool mayHaveLapsed(const StoreContact &contact, const EntryRemoval &removal, TimePoint now, std::chrono::milliseconds grace);

} // namespace skylark
