/** @file client_limits_type.h Limits of an entry host on its clients. */
#pragma once

#include "policy/memory_budget_type.h"

namespace skylark {

/** Limits on clients that the configuration does not set. */
struct ClientLimits {
    std::uint64_t memoryMegabytes{0}; ///< Memory that may be held for callers; 0 derives it from the memory limit of the process.
    BodyLimits body; ///< Limits on the progress of a request body.
    std::chrono::milliseconds memoryWait{5000}; ///< Time for which a request waits for memory before it is refused.
};

} // namespace skylark
