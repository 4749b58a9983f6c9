/** @file version_registry.cpp Versions of services' software that have served, as listed in the key-value service. */
#include "fleet/version_registry_func.h"

#include <set>

namespace skylark {

namespace {

constexpr std::chrono::milliseconds versionRetention{30000}; ///< A caller waits no longer for a stream, so that none of the version is resumed any more.

} // namespace

VersionChanges updateServed(VersionRegistry &registry, const TargetMap &targets, TimePoint now)
{
    std::set<ServiceVersion> serving;
    for (const auto &[id, entry] : targets) {
        serving.insert(versionOf(entry));
    }
    VersionChanges changes;
    for (const ServiceVersion &version : serving) {
        const auto found = registry.listed.find(version);
        if (found == registry.listed.end() || now - found->second.servedAt >= versionRetention / 2) {
            changes.missing.push_back(version);
        } else {
            found->second.servedAt = now;
        }
    }
    for (const auto &[version, entry] : registry.listed) {
        if (!serving.contains(version) && now - entry.servedAt >= versionRetention) {
            changes.expired.push_back(version);
        }
    }
    return changes;
}

} // namespace skylark
