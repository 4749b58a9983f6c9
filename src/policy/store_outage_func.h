/** @file store_outage_func.h Tells outages of the key-value service from single failed calls. */
#pragma once

#include "policy/store_outage_type.h"

namespace skylark {

/** Records an answer of the service. @return Whether it ends an outage. */
bool recordAnswer(StoreContact &contact, TimePoint now);

/** @return Whether the service has not answered for so long that entries of live targets may have lapsed. One failed call among answered ones is no outage. */
[[nodiscard]] bool isStoreAway(const StoreContact &contact, TimePoint now);

} // namespace skylark
