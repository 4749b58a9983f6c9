/** @file version_upkeep_func.h Keeps the registry of served versions in the key-value service up to date. */
#pragma once

#include "fleet/fleet_controller_base.h"

namespace skylark {

/** Lists versions of known targets and removes those that no longer serve, until the controller ends. */
boost::asio::awaitable<void> maintainVersions(FleetImplPtr impl);

/** Makes the upkeep look at the known targets at once. */
void checkVersions(FleetController::Impl &impl);

} // namespace skylark
