/** @file fleet_config_func.h Puts newer configurations in force, from the key-value service or from another host. */
#pragma once

#include "fleet/fleet_controller_base.h"

namespace skylark {

/** Sets the intervals of the stale reads of the configuration and of the host list from the number of hosts and from the configuration. */
void setPollIntervals(FleetController::Impl &impl);

/** Adopts the configuration if its entry has changed. */
void onConfig(const FleetImplPtr &impl, const KeyMirrorUpdate &update);

} // namespace skylark
