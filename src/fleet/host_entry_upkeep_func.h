/** @file host_entry_upkeep_func.h Keeps the entry of this host in the key-value service under a lease. */
#pragma once

#include "fleet/fleet_controller_base.h"

#include <boost/asio/awaitable.hpp>

namespace skylark {

/** Writes the host's entry, renews its lease, and writes the entry again when the lease has expired. */
boost::asio::awaitable<void> maintainHostEntry(FleetImplPtr impl);

} // namespace skylark
