/** @file item_attempt_func.h Decisions about batch items that fail. */
#pragma once

#include "policy/item_attempt_type.h"

#include <vector>

namespace skylark {

/** Decides what becomes of an item after a failed attempt. @param maxAttempts Limit from the workspace. */
[[nodiscard]] AttemptDecision nextAttempt(ItemHistory history, const AttemptFailure &failure, unsigned maxAttempts);

/** @return Whether the item may run on @p target: it was not tried there, or it was tried on all of @p usable. */
[[nodiscard]] bool mayTryTarget(const ItemHistory &history, const TargetId &target, const std::vector<TargetId> &usable);

} // namespace skylark
