/** @file leaving_targets_base.h Targets that have said in an answer that they are shutting down. */
#pragma once

#include "fleet/fleet_type.h"

namespace skylark {

/** Lifetime of a target that has said that it is leaving. */
struct LeavingLifetime {
    std::optional<UnixTime> born; ///< Start of the lifetime; empty when the target's entry did not say.
    Endpoint endpoint; ///< Address of the lifetime.
    ServiceId service; ///< Service of the lifetime.
    TimePoint knownAt{}; ///< When the target last said that it is leaving, or was last listed.
};

/** What this host has heard from leaving targets. It is kept whether or not they are listed, because a host may be cut off from the list. */
struct LeavingTargets {
    std::map<TargetId, LeavingLifetime> lifetimes; ///< Latest lifetime that said so, by target.
    std::chrono::milliseconds retention{600000}; ///< Time for which a target that is not listed is remembered; no target takes as long to exit.
};

/** Records that the lifetime of @p target has said that it is leaving. @return Whether this was not known. */
[[nodiscard]] bool recordLeaving(LeavingTargets &leaving, const TargetEntry &target, TimePoint now);

/** @return Whether @p target accepts no new requests: its entry says so, or its lifetime has said so itself. A later lifetime accepts them again. */
[[nodiscard]] bool isLeaving(const LeavingTargets &leaving, const TargetEntry &target);

/** Forgets the targets that have not been in @p listed for the retention time. */
void forgetGoneTargets(LeavingTargets &leaving, const TargetMap &listed, TimePoint now);

} // namespace skylark
