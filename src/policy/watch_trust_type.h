/** @file watch_trust_type.h What tells a host that a call which waits for changes of the key-value service may wait in vain. */
#pragma once

#include "core/clock_func.h"

#include <cstdint>

namespace skylark {

/** Why the answer to a watch may have been lost. On a connection on which one answer is lost, nothing more arrives until the call's own time limit. */
enum class WatchDoubt : std::uint8_t {
    ServiceReturned, ///< The service answers this host again, after a call that it did not serve.
    ChangeRead, ///< A read has shown a change that the watch has not reported.
    EntryOverdue, ///< An entry must have lapsed by now, because its owner is silent, and the watch has not reported that.
};

/** Calls of this host that the service did not serve: they were refused as not available, got no answer, or their connection was reset. */
struct ServiceTrust {
    TimePoint lostAt{}; ///< When the last of them was sent or broke off; TimePoint{} if the service has answered since, or there was none.
    TimePoint answeredAt{}; ///< Last answer of the service that followed one of them.
};

} // namespace skylark
