/** @file item_trial_type.h Trials of quarantined prompt parts by batch items. */
#pragma once

#include "core/clock_func.h"
#include "policy/prompt_part_type.h"

#include <map>
#include <set>

namespace skylark {

/** Trials that the items of this host may make and make already. */
struct ItemTrials {
    std::map<PromptPartId, TimePoint> earliest; ///< Earliest time of the next trial of each quarantined part.
    std::set<PromptPartId> running; ///< Quarantined parts of the items that this host runs.
};

} // namespace skylark
