/** @file membership_type.h View of the fleet's hosts as built from their status datagrams. */
#pragma once

#include "control/snapshot_type.h"
#include "core/clock_func.h"
#include "peer/status_type.h"

#include <chrono>
#include <map>
#include <vector>

namespace skylark {

/** What is known of one host. */
struct MemberRecord {
    HostStatus status; ///< Status with the highest incarnation and sequence.
    TimePoint heardAt{}; ///< Time when it was accepted.
    HostState state{HostState::Unknown}; ///< Liveness.
};

/** All hosts that were heard of. */
struct MembershipView {
    std::map<HostId, MemberRecord> members; ///< By host.
};

/** Effect of one status datagram. */
enum class StatusEffect : std::uint8_t {
    Ignored, ///< Old or a duplicate.
    Joined, ///< First status of a host, or of a new run of it.
    Updated, ///< Newer status of a known run.
};

/** Expected times between status datagrams, and after how many missed ones a host changes state. */
struct MembershipIntervals {
    DomainId ownDomain; ///< Failure domain of this host.
    std::chrono::milliseconds withinDomain{500}; ///< Interval of hosts of the same failure domain.
    std::chrono::milliseconds acrossDomains{2000}; ///< Interval of hosts of other failure domains.
    unsigned suspectAfter{4}; ///< Missed intervals after which a host is suspect; covers three lost datagrams in a row.
    unsigned deadAfter{8}; ///< Missed intervals after which a host is dead.
    unsigned forgetAfter{80}; ///< Missed intervals after which a host is forgotten, so that one whose wall clock was set back is heard again.
};

/** Change of a host's state. */
struct MemberChange {
    HostId host; ///< Host.
    HostState before{HostState::Unknown}; ///< State before.
    HostState after{HostState::Unknown}; ///< Present state.
};

} // namespace skylark
