/** @file membership_func.h Host liveness and rendezvous hashing for ownership. */
#pragma once

#include "policy/membership_type.h"

#include <optional>
#include <string_view>

namespace skylark {

/**
 * Applies a status datagram to the view. A higher incarnation wins, then a higher sequence; all others are ignored, so reordered or duplicate datagrams
 * do not change the outcome.
 */
StatusEffect observeStatus(MembershipView &view, const HostStatus &status, TimePoint now);

/** Updates the states of hosts by the age of their last status and removes those that are silent for too long. @return The state changes. */
std::vector<MemberChange> expireHosts(MembershipView &view, TimePoint now, const MembershipIntervals &intervals);

/** @return State of @p host; Unknown when it is not in the view. */
[[nodiscard]] HostState hostState(const MembershipView &view, const HostId &host);

/**
 * @param domainHosts Hosts of the failure domain.
 * @param shortest Lower bound of the interval.
 * @param perHost Time per host of the domain; it bounds the bytes per second that a host sends.
 * @return Interval between the status datagrams of a host to each host of its own failure domain.
 */
[[nodiscard]] std::chrono::milliseconds statusInterval(std::size_t domainHosts, std::chrono::milliseconds shortest, std::chrono::milliseconds perHost);

/**
 * In each round a host sends to one host of each other failure domain, in rotation.
 * @param sendInterval Duration of one round.
 * @param domainHosts Hosts of the receiving failure domain.
 * @return Interval at which a host receives the status of a given host of another failure domain.
 */
[[nodiscard]] std::chrono::milliseconds crossDomainInterval(std::chrono::milliseconds sendInterval, std::size_t domainHosts);

/** @return The member of @p hosts, all of one other failure domain, to which @p self sends in @p round; none when @p hosts is empty. */
[[nodiscard]] std::optional<HostId> crossDomainReceiver(const HostId &self, const std::vector<HostId> &hosts, std::uint64_t round);

/** @return @p hosts by descending rendezvous score for @p subject; equal scores by id. */
[[nodiscard]] std::vector<HostId> rankHosts(std::string_view subject, std::vector<HostId> hosts);

/**
 * @param liveHosts Live hosts of the target's failure domain.
 * @return The host that may send batch to @p target; none when @p liveHosts is empty.
 */
[[nodiscard]] std::optional<HostId> batchOwner(const TargetId &target, const std::vector<HostId> &liveHosts);

/** @return At most two live hosts of @p domain that watch the key-value service. */
[[nodiscard]] std::vector<HostId> configWatchers(const DomainId &domain, const std::vector<HostId> &liveHosts);

/** @return Those of @p hosts that have a disk, by descending rendezvous score for @p id. */
[[nodiscard]] std::vector<HostInfo> rankBlobHosts(const BlobId &id, std::vector<HostInfo> hosts);

/** @return The first two of @p ranked in different failure domains; one when all are in the same domain. */
[[nodiscard]] std::vector<HostInfo> blobPlacement(const std::vector<HostInfo> &ranked);

} // namespace skylark
