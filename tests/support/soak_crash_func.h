/** @file soak_crash_func.h Request of a soak test under which each target that begins to run it crashes, and the number of its runs that hosts may allow. */
#pragma once

#include "support/soak_client_func.h"
#include "support/soak_records_func.h"

#include <map>
#include <string>
#include <vector>

namespace skylark::test {

/** @return Whether a target that begins to run a request with @p body crashes. */
[[nodiscard]] bool isCrashInducing(const std::string &body);

/**
 * Makes one send of the crash-inducing request of a route. All sends on a route have the same path, caller and body.
 * @param route Name of the route.
 * @param id Request id of this send.
 */
[[nodiscard]] SoakCall crashingCall(const std::string &route, const std::string &id);

/**
 * Finds crash-inducing requests that hosts went on sending to targets.
 * @param records All requests of the callers.
 * @param targets Records of the targets by request id.
 * @return One text for each crash-inducing request that reached targets too often.
 */
[[nodiscard]] std::vector<std::string> crashBudgetFailures(const std::vector<SoakRecord> &records, const std::map<std::string, TargetRecords> &targets);

} // namespace skylark::test
