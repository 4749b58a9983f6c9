/** @file fleet_intervals_func.h Intervals of the calls with which a host follows the key-value service, by the size of the fleet. */
#pragma once

#include "fleet/fleet_controller_func.h"

#include <chrono>
#include <cstddef>

namespace skylark {

/**
 * Minimum interval of the cheap reads that detect missed changes. With a read of the whole prefix it stays below the 2 s within which a change must be in
 * force.
 */
inline constexpr std::chrono::milliseconds minPollInterval{1000};

/** Interval of the same reads of the configuration where hosts ask for proofs, which find a missed change earlier and carry no document. */
inline constexpr std::chrono::milliseconds configPollIntervalProved{60000};

/** @return Interval of the reads of the target list that detect missed changes. @param hosts Number of hosts of the fleet. */
[[nodiscard]] std::chrono::milliseconds pollIntervalFor(std::size_t hosts);

/** @return Interval of the reads of the configuration that detect missed changes. @param hosts Number of hosts of the fleet. */
[[nodiscard]] std::chrono::milliseconds configPollIntervalFor(std::size_t hosts);

/** @return Minimum interval between watch calls for the host list. @param hosts Number of hosts of the fleet. */
[[nodiscard]] std::chrono::milliseconds hostWatchIntervalFor(std::size_t hosts);

/**
 * @return Minimum interval between watch calls for the configuration. Load: hundreds of hosts that each pay for a call with every change of a quick series. The
 * hosts of a large fleet learn most versions from one another's status.
 */
[[nodiscard]] std::chrono::milliseconds configWatchIntervalFor(const FleetOptions &options, std::size_t hosts);

/** @return Whether the entries of quarantined parts are watched. The hosts of a large fleet announce new ones to one another and read the entries at a long
 * interval. */
[[nodiscard]] bool watchesQuarantine(std::size_t hosts);

/** @return Lifetime of a host's entry without a renewal. It outlives a missed renewal, which a large fleet makes more rarely. */
[[nodiscard]] std::chrono::milliseconds entryLeaseTtlFor(std::chrono::milliseconds drainLimit);

/** @return Interval of the cheap reads of the host list that detect missed changes. Shares of request quotas depend on the list being current. */
[[nodiscard]] std::chrono::milliseconds hostPollIntervalFor(bool hasWorkspaces);

/** @return Minimum interval between watch calls for the target list. A large fleet uses half of the drain limit, because each host pays for each call. */
[[nodiscard]] std::chrono::milliseconds targetWatchIntervalFor(const FleetOptions &options, std::size_t hosts);

/**
 * @return Maximum delay between failed calls of a mirror. Load: hundreds of hosts that all retry during an outage; each call is paid for, and at its end all
 * of them come back at once. The hosts of a large fleet still notice a leaving target within the drain limit after the outage.
 */
[[nodiscard]] std::chrono::milliseconds storeRetryMaxFor(const FleetOptions &options, std::size_t hosts);

} // namespace skylark
