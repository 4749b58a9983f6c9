/** @file batch_order_type.h Jobs as the batch order sees them. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"

#include <cstdint>

namespace skylark {

/** One job with work left. */
struct JobDemand {
    JobId job; ///< Job.
    double share{1.0}; ///< Weight of its workspace.
    UnixTime due{}; ///< Due time.
    UnixTime created{}; ///< Acceptance; breaks ties.
    std::uint64_t itemsLeft{0}; ///< Items without a result, as far as known.
};

} // namespace skylark
