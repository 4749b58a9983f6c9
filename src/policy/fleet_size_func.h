/** @file fleet_size_func.h Decisions that bound the control traffic of a host as the fleet grows. */
#pragma once

#include "peer/status_type.h"

#include <chrono>

namespace skylark {

/**
 * @param listed Targets in the platform's list, those of other failure domains included.
 * @param shortest Lower bound.
 * @return Interval between reads of the list by one host. It grows with the list, so that the bytes a second stay bounded; the hosts of a failure
 * domain read at different times and relay leaving targets at once.
 */
[[nodiscard]] std::chrono::milliseconds hostListInterval(std::size_t listed, std::chrono::milliseconds shortest);

/** @return @p status without the parts that only hosts of other failure domains read. */
[[nodiscard]] HostStatus statusWithinDomain(HostStatus status);

/** @return @p status without the parts that only hosts of the same failure domain read. */
[[nodiscard]] HostStatus statusAcrossDomains(HostStatus status);

} // namespace skylark
