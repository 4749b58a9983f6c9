/** @file membership_func.h Decisions about hosts: who is live, and who owns what. */
#pragma once

#include "policy/membership_type.h"

#include <optional>
#include <string_view>

namespace skylark {

/**
 * Takes a status datagram into the view. A higher incarnation wins, then a higher sequence; all others are ignored, so that neither order nor duplication
 * of datagrams changes the outcome.
 */
StatusEffect observeStatus(MembershipView &view, const HostStatus &status, TimePoint now);

/** Applies the passing of time to the states. @return The changes. */
std::vector<MemberChange> expireHosts(MembershipView &view, TimePoint now, const MembershipIntervals &intervals);

/** @return State of @p host; Unknown when it was never heard of. */
[[nodiscard]] HostState hostState(const MembershipView &view, const HostId &host);

/**
 * @param domainHosts Hosts of the failure domain.
 * @param shortest Lower bound.
 * @param perHost Part added for each host; it bounds the bytes a second that a host sends.
 * @return Interval between the status datagrams of a host to each host of its own failure domain.
 */
[[nodiscard]] std::chrono::milliseconds statusInterval(std::size_t domainHosts, std::chrono::milliseconds shortest, std::chrono::milliseconds perHost);

/**
 * A host sends to one host of each other failure domain in each round, taking turns.
 * @param sendInterval Time of one round.
 * @param domainHosts Hosts of the receiving failure domain.
 * @return Interval at which one host hears a given host of another failure domain.
 */
[[nodiscard]] std::chrono::milliseconds crossDomainInterval(std::chrono::milliseconds sendInterval, std::size_t domainHosts);

/** @return The one of @p hosts, all of one other failure domain, to which @p self sends in @p round; none when there are no hosts. */
[[nodiscard]] std::optional<HostId> crossDomainReceiver(const HostId &self, const std::vector<HostId> &hosts, std::uint64_t round);

/** @return @p hosts by falling rendezvous score for @p subject; equal scores by id. */
[[nodiscard]] std::vector<HostId> rankHosts(std::string_view subject, std::vector<HostId> hosts);

/** @return The one of the live hosts of the target's failure domain that may send batch to @p target; none when there are no hosts. */
[[nodiscard]] std::optional<HostId> batchOwner(const TargetId &target, const std::vector<HostId> &liveHosts);

/** @return The at most two live hosts of @p domain that watch the key-value service. */
[[nodiscard]] std::vector<HostId> configWatchers(const DomainId &domain, const std::vector<HostId> &liveHosts);

/** @return Those of @p hosts that have a disk, by falling rendezvous score for @p id. */
[[nodiscard]] std::vector<HostInfo> blobHosts(const BlobId &id, std::vector<HostInfo> hosts);

/** @return The first two of @p ranked in different failure domains; one when all are in the same. */
[[nodiscard]] std::vector<HostInfo> blobPlacement(const std::vector<HostInfo> &ranked);

} // namespace skylark
