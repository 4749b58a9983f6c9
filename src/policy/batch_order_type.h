/** @file batch_order_type.h Attributes of a batch job that decide its scheduling order. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"

#include <cstdint>

namespace skylark {

/** One job with items left. */
struct JobDemand {
    JobId job;
    double share{1.0}; ///< Weight of its workspace among the workspaces.
    UnixTime due{};
    UnixTime created{}; ///< Time when the job was accepted; breaks ties.
    std::uint64_t itemsLeft{0}; ///< Items without a result, as far as known to this host.
};

} // namespace skylark
