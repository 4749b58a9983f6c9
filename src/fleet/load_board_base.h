/** @file load_board_base.h Requests in flight on each target, of this host and of the others. */
#pragma once

#include "core/clock_func.h"
#include "peer/status_type.h"

#include <map>
#include <memory>
#include <vector>

namespace skylark {

/** Requests on one target. */
struct TargetCounts {
    unsigned online{0}; ///< Online requests.
    unsigned batch{0}; ///< Batch items.
};

/** Last status of another host. */
struct PeerLoad {
    SessionId session; ///< Run of its process.
    DomainId domain; ///< Failure domain.
    std::uint64_t incarnation{0}; ///< Start of that run.
    std::uint64_t sequence{0}; ///< Number of the datagram.
    TimePoint heardAt{}; ///< Time of arrival.
    bool leaving{false}; ///< Planned stop.
    Revision configVersion; ///< Configuration in force there.
    std::map<TargetId, TargetCounts> counts; ///< Requests by target.
};

/** Board; belongs to the traffic thread. */
struct LoadBoard {
    std::map<TargetId, TargetCounts> own; ///< Requests of this host.
    std::map<HostId, PeerLoad> peers; ///< Other hosts that were heard of.
    std::chrono::milliseconds peerExpiry{1500}; ///< Counts of a host that was not heard of for so long are left out; several status intervals.
};

/** Takes a status datagram. @return False when it is older than the last one of that host. */
bool takeStatus(LoadBoard &board, const HostStatus &status, TimePoint now);

/** @return Requests of all hosts on @p target. */
[[nodiscard]] TargetCounts countsOf(const LoadBoard &board, const TargetId &target, TimePoint now);

/** @return Whether the run @p session of a process was heard of lately. */
[[nodiscard]] bool heardLately(const LoadBoard &board, const SessionId &session, TimePoint now);

/** @return Age of the oldest status that counts; 0 when there is none. */
[[nodiscard]] std::chrono::milliseconds oldestStatusAge(const LoadBoard &board, TimePoint now);

/** @return Age of the oldest status that counts, by failure domain of its host. */
[[nodiscard]] std::map<DomainId, std::chrono::milliseconds> statusAges(const LoadBoard &board, TimePoint now);

/** Writes the host's own counts into @p status. */
void describeOwnLoad(const LoadBoard &board, HostStatus &status);

/** Counts one request on a target of this host as long as it exists. */
struct LoadTicket {
    std::shared_ptr<LoadBoard> board; ///< Board.
    TargetId target; ///< Target.
    bool batch{false}; ///< Whether it is a batch item.

    LoadTicket(std::shared_ptr<LoadBoard> where, TargetId id, bool isBatch);
    LoadTicket(const LoadTicket &) = delete;
    LoadTicket &operator=(const LoadTicket &) = delete;
    ~LoadTicket();
};

} // namespace skylark
