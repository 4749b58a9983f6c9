/** @file item_attempt_func.h Retry decisions for batch items. */
#pragma once

#include "policy/item_attempt_type.h"

#include <vector>

namespace skylark {

/**
 * Decides whether an item is retried after a failed attempt. Only answers of targets fail an item; one under which targets end is retried until its job ends.
 * @param maxAttempts Limit from the configuration of the workspace; 0 counts as 1.
 */
[[nodiscard]] AttemptDecision nextAttempt(ItemHistory history, const AttemptFailure &failure, unsigned maxAttempts);

/** @return Time between an attempt without an answer and the next one; doubles with each of @p interruptions up to a limit. */
[[nodiscard]] std::chrono::milliseconds interruptionDelay(unsigned interruptions);

/** @return Whether the item may run on @p target: no attempt has failed there, or one has failed on each of @p usable. */
[[nodiscard]] bool mayTryTarget(const ItemHistory &history, const TargetId &target, const std::vector<TargetId> &usable);

} // namespace skylark
