/** @file membership_type.h Membership view of the fleet, built from status datagrams. */
#pragma once

#include "control/snapshot_type.h"
#include "core/clock_func.h"
#include "peer/status_type.h"

#include <chrono>
#include <map>
#include <vector>

namespace skylark {

/** Last known status of one host. */
struct MemberRecord {
    HostStatus status; ///< Status with the highest incarnation and sequence.
    TimePoint heardAt{}; ///< When that status was received.
    HostState state{HostState::Unknown};
};

/** All known hosts. */
struct MembershipView {
    std::map<HostId, MemberRecord> members;
};

/** Effect of one status datagram. */
enum class StatusEffect : std::uint8_t {
    Ignored, ///< Outdated or duplicate.
    Joined, ///< First status of a host, or of a new incarnation of it.
    Updated, ///< Newer status of a known incarnation.
};

/** Expected intervals between status datagrams and the failure detector's thresholds. */
struct MembershipIntervals {
    DomainId ownDomain;
    std::chrono::milliseconds withinDomain{500}; ///< For hosts of the same failure domain.
    std::chrono::milliseconds acrossDomains{2000}; ///< For hosts of other failure domains.
    unsigned suspectAfter{4}; ///< Missed intervals after which a host is suspect; tolerates three lost datagrams in a row.
    unsigned deadAfter{8}; ///< Missed intervals after which a host is dead.
    unsigned forgetAfter{80}; ///< Missed intervals after which a host is removed, so that one whose wall clock was set back is accepted again.
};

/** Change of a host's state. */
struct MemberChange {
    HostId host;
    HostState before{HostState::Unknown};
    HostState after{HostState::Unknown}; ///< Unknown when the host was removed from the view.
};

} // namespace skylark
