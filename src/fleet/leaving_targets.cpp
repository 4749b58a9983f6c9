/** @file leaving_targets.cpp Targets that have said in an answer that they are shutting down. */
#include "fleet/leaving_targets_base.h"

namespace skylark {

namespace {

/** @return Whether @p target is of the lifetime @p left or of an earlier one. The address decides when a start is not known; another service is a new target.
 */
bool hasLeft(const LeavingLifetime &left, const TargetEntry &target)
{
    if (left.service != target.service) {
        return false;
    }
    if (left.born && target.born) {
        return *target.born <= *left.born;
    }
    return left.endpoint == target.endpoint;
}

} // namespace

bool recordLeaving(LeavingTargets &leaving, const TargetEntry &target, TimePoint now)
{
    const auto [found, added] = leaving.lifetimes.try_emplace(target.id);
    LeavingLifetime &lifetime = found->second;
    const bool isNews = added || !hasLeft(lifetime, target);
    if (isNews || target.born > lifetime.born) {
        lifetime.born = target.born;
        lifetime.endpoint = target.endpoint;
        lifetime.service = target.service;
    }
    lifetime.knownAt = now;
    return isNews;
}

bool isLeaving(const LeavingTargets &leaving, const TargetEntry &target)
{
    if (target.leaving) {
        return true;
    }
    const auto found = leaving.lifetimes.find(target.id);
    return found != leaving.lifetimes.end() && hasLeft(found->second, target);
}

void forgetGoneTargets(LeavingTargets &leaving, const TargetMap &listed, TimePoint now)
{
    for (auto &[target, lifetime] : leaving.lifetimes) {
        lifetime.knownAt = listed.contains(target) ? now : lifetime.knownAt;
    }
    std::erase_if(leaving.lifetimes, [&leaving, now](const auto &entry) {
        return now - entry.second.knownAt > leaving.retention;
    });
}

} // namespace skylark
