/** @file fleet_size_func.h Bounds on the control traffic of a host as the fleet grows. */
#pragma once

#include "peer/status_type.h"

#include <chrono>

namespace skylark {

/**
 * Computes the interval at which one host reads the platform's target list. It grows with the list, so that the bytes read per second stay bounded. A
 * long interval is acceptable because the hosts of a failure domain read at different times and relay leaving targets at once.
 * @param listed Targets in the list, including those of other failure domains.
 * @param shortest Lower bound of the interval; the setting host_list_interval_ms.
 */
[[nodiscard]] std::chrono::milliseconds hostListInterval(std::size_t listed, std::chrono::milliseconds shortest);

/** @return @p status without the fields that only hosts of other failure domains read; sent within the failure domain. */
[[nodiscard]] HostStatus statusWithinDomain(HostStatus status);

/** @return @p status without the fields that only hosts of the same failure domain read; sent to other failure domains. */
[[nodiscard]] HostStatus statusAcrossDomains(HostStatus status);

} // namespace skylark
