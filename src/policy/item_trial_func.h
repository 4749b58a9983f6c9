/** @file item_trial_func.h When batch items with a quarantined prompt part are run. */
#pragma once

#include "policy/crash_quarantine_type.h"
#include "policy/item_trial_type.h"

namespace skylark {

/**
 * Finds the quarantined parts, and when an item of this host may run as the trial of each. An item is owed, so that it is not held back until the quarantine
 * ends: a sound run of it ends the quarantine, and each crash with the part since the quarantine began doubles the time until the next trial.
 */
[[nodiscard]] ItemTrials findItemTrials(const CrashQuarantine &state);

/** Records that this host runs an item. */
void addRunningItem(ItemTrials &trials, const PromptParts &prompt);

/** @return Whether an item may run now: it has no quarantined part, or it is the only trial of each of them at this host, and their time has come. */
[[nodiscard]] bool mayRunItem(const ItemTrials &trials, const PromptParts &prompt, TimePoint now);

} // namespace skylark
