/** @file version_registry_func.h Versions of services' software that have served, as listed in the key-value service. */
#pragma once

#include "fleet/fleet_type.h"

namespace skylark {

/** A version that the service lists. */
struct ListedVersion {
    std::uint64_t revision{0}; ///< Revision of its entry.
    TimePoint servedAt{}; ///< When a target of it was last known.
};

/** State of the registry at one host; owned by the control thread. */
struct VersionRegistry {
    bool read{false}; ///< Whether the entries have been read since the start of the process.
    std::map<ServiceVersion, ListedVersion> listed; ///< Versions that are known to be listed.
};

/** What a host has to change in the registry. */
struct VersionChanges {
    std::vector<ServiceVersion> missing; ///< Versions of known targets that are not listed yet, or that other hosts may be about to remove.
    std::vector<ServiceVersion> expired; ///< Listed versions whose streams have all ended, since no target of them has been known for the retention time.
};

/** Notes which versions serve now. @return What has to change. */
[[nodiscard]] VersionChanges updateServed(VersionRegistry &registry, const TargetMap &targets, TimePoint now);

} // namespace skylark
