/** @file fleet_size.cpp Bounds on the control traffic of a host as the fleet grows. */
#include "policy/fleet_size_func.h"

#include <algorithm>

namespace skylark {

namespace {

constexpr std::chrono::milliseconds listIntervalPerTarget{50}; // An entry has about 170 bytes, so a host reads about 3.4 KB/s.

} // namespace

std::chrono::milliseconds hostListInterval(std::size_t listed, std::chrono::milliseconds shortest)
{
    return std::max(shortest, listIntervalPerTarget * static_cast<std::int64_t>(listed));
}

HostStatus statusWithinDomain(HostStatus status)
{
    status.freeByModel.clear();
    return status;
}

HostStatus statusAcrossDomains(HostStatus status)
{
    status.targets.clear();
    status.onlineInFlight.clear();
    return status;
}

} // namespace skylark
