/** @file watch_trust_func.h Decides when a call that waits for changes of the key-value service is replaced, because its answer may have been lost. */
#pragma once

#include "policy/watch_trust_type.h"

#include <chrono>
#include <string_view>

namespace skylark {

/** @return Name of @p doubt in logs and metrics. */
[[nodiscard]] std::string_view watchDoubtName(WatchDoubt doubt);

/**
 * Records a call that the service did not serve. One that was sent before the service last returned says nothing new: it was lost before.
 * @param lostAt When the call was sent or, for one that had waited, when it broke off.
 */
void recordLostCall(ServiceTrust &trust, TimePoint lostAt);

/** Records an answer of the service. @return Whether it is the first one after a lost call, so that all watches sent before @p now are in doubt. */
[[nodiscard]] bool recordServedCall(ServiceTrust &trust, TimePoint now);

/**
 * Decides whether a watch that still waits is replaced. Each fact costs one call a watch at most, because the watch that follows was sent after it.
 * @param sentAt When the watch was sent.
 * @param doubtedAt When the fact came about: a watch that was sent later reports the change at once, or was not lost.
 */
[[nodiscard]] bool mustReplaceWatch(WatchDoubt doubt, TimePoint sentAt, TimePoint doubtedAt, TimePoint now);

/** @return How long a watch may take to report what a read has shown; a slow service answers the read first. */
[[nodiscard]] std::chrono::milliseconds reportGrace(WatchDoubt doubt);

/**
 * @param heardAt When a host was last heard from, and so lived.
 * @param leaseTtl Lifetime of its entry without a renewal.
 * @return When its entry must have lapsed if it has ended since.
 */
[[nodiscard]] TimePoint entryOverdueAt(TimePoint heardAt, std::chrono::milliseconds leaseTtl);

} // namespace skylark
