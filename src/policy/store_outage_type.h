/** @file store_outage_type.h When the key-value service has answered a host, from which an outage of the service is told from a single failed call. */
#pragma once

#include "core/clock_func.h"

#include <chrono>

namespace skylark {

/** Answers of the key-value service to this host. Only calls that a service without its latest state could not answer count. */
struct StoreContact {
    std::chrono::milliseconds heartbeat{1200}; ///< Interval at which targets renew their entries in the service.
    TimePoint answeredAt{}; ///< Last answer; TimePoint{} before the first one.
    TimePoint returnedAt{}; ///< First answer after the last outage; TimePoint{} if there was none.
};

/** What is known of a target whose entry was removed. */
struct EntryRemoval {
    std::uint64_t writtenRevision{0}; ///< Revision at which the target last wrote its entry, as far as this host has read.
    std::uint64_t returnRevision{0}; ///< Revision of the first read of the target list after the last outage.
};

} // namespace skylark
