/** @file fleet_targets_func.h Keeps the targets that requests may use, also over an outage of the key-value service. */
#pragma once

#include "fleet/fleet_controller_base.h"

namespace skylark {

/** Applies changes of the targets' entries and publishes the targets if one has changed. */
void onTargets(const FleetImplPtr &impl, const KeyMirrorUpdate &update);

} // namespace skylark
