/** @file baseline_type.h Routing and batch policies: the adaptive one and the baselines. */
#pragma once

#include <cstdint>

namespace skylark {

/** Routing and batch policy of a host. All but Adaptive are baselines for measurements. */
enum class PolicyMode : std::uint8_t {
    Adaptive, ///< Routes by load, limits batch adaptively and preempts batch streams for online requests.
    RoundRobin, ///< Selects targets in turn regardless of their load; batch may use all slots and is never preempted.
    StaticSplit, ///< In each failure domain, the last third of the engines (by id) serves only batch, the others only online.
};

} // namespace skylark
