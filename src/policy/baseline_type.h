/** @file baseline_type.h Policies that can be measured side by side. */
#pragma once

#include <cstdint>

namespace skylark {

/** Routing and batch policy of a host. All but Adaptive are baselines, meant for measurements. */
enum class PolicyMode : std::uint8_t {
    Adaptive, ///< Routing by load, adaptive batch limit, batch yields.
    RoundRobin, ///< Targets in turn whatever their load; batch takes all slots and never yields.
    StaticSplit, ///< In each failure domain the last third of the engines serves only batch, the others only online.
};

} // namespace skylark
