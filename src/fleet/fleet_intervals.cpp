/** @file fleet_intervals.cpp Intervals of the calls with which a host follows the key-value service, by the size of the fleet. */
#include "fleet/fleet_intervals_func.h"

#include <algorithm>

namespace skylark {

namespace {

constexpr std::chrono::milliseconds maxPollInterval{2000}; ///< In large deployments a change must be in force within 3 s.
constexpr std::chrono::milliseconds pollIntervalPerHost{50}; ///< The interval grows with the number of hosts, so that together they make 20 polls per second.
/** The interval between watch calls for the host list grows by this for each host, to batch its changes when all hosts start at once. */
constexpr std::chrono::milliseconds hostWatchIntervalPerHost{10};
constexpr std::chrono::milliseconds maxHostWatchInterval{2000}; ///< The other hosts learn of a restarted host within this time; its lease lasts longer.
/** Without workspaces nothing depends on the list being current to the second; a watch whose answer was lost is noticed by other facts (policy/watch_trust). */
constexpr std::chrono::milliseconds hostPollIntervalUnused{60000};
constexpr std::chrono::milliseconds minEntryLeaseTtl{3000};
constexpr std::chrono::milliseconds storeRetryMax{1000}; ///< Maximum delay between failed calls of a mirror in a small fleet.

constexpr std::size_t largeFleetHosts = 16; ///< From this number of other hosts on, store calls of every host are spared where the others can help.
constexpr std::chrono::milliseconds configPollIntervalLarge{6000}; ///< In a large fleet the hosts announce their configuration to one another.

} // namespace

std::chrono::milliseconds pollIntervalFor(std::size_t hosts)
{
    return std::clamp(pollIntervalPerHost * static_cast<int>(hosts), minPollInterval, maxPollInterval);
}

std::chrono::milliseconds configPollIntervalFor(std::size_t hosts)
{
    return hosts <= largeFleetHosts ? pollIntervalFor(hosts) : configPollIntervalLarge;
}

std::chrono::milliseconds hostWatchIntervalFor(std::size_t hosts)
{
    return hosts <= largeFleetHosts ? hostWatchIntervalPerHost * static_cast<int>(hosts) : maxHostWatchInterval;
}

std::chrono::milliseconds entryLeaseTtlFor(std::chrono::milliseconds drainLimit)
{
    return std::max(minEntryLeaseTtl, drainLimit * 3 / 2);
}

std::chrono::milliseconds hostPollIntervalFor(bool hasWorkspaces)
{
    return hasWorkspaces ? maxHostWatchInterval : hostPollIntervalUnused;
}

std::chrono::milliseconds configWatchIntervalFor(const FleetOptions &options, std::size_t hosts)
{
    return hosts <= largeFleetHosts ? std::chrono::milliseconds(0) : options.configLimit / 3;
}

bool watchesQuarantine(std::size_t hosts)
{
    return hosts <= largeFleetHosts;
}

std::chrono::milliseconds targetWatchIntervalFor(const FleetOptions &options, std::size_t hosts)
{
    return hosts <= largeFleetHosts ? options.targetWatchInterval : std::max(options.targetWatchInterval, options.drainLimit / 2);
}

std::chrono::milliseconds storeRetryMaxFor(const FleetOptions &options, std::size_t hosts)
{
    return hosts <= largeFleetHosts ? storeRetryMax : std::max(storeRetryMax, options.drainLimit * 5 / 8);
}

} // namespace skylark
