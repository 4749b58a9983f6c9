/** @file peer_link_base.h State of the link to the other hosts, and its list of them. */
#pragma once

#include "entry/peer_link_func.h"
#include "peer/status_exchange_func.h"
#include "policy/sender_clock_func.h"

#include <boost/asio/steady_timer.hpp>
#include <map>

namespace skylark {

/** Shortest interval of regular datagrams; short compared with the time of an online request at a target. */
inline constexpr std::chrono::milliseconds minStatusInterval{100};
inline constexpr std::size_t smallFleetPeers = 16; ///< Up to this many peers, all get every datagram; beyond, other failure domains get them less often.

/** Another host that gets status datagrams. */
struct Peer {
    Endpoint endpoint; ///< Address for status datagrams and configuration pulls.
    DomainId domain; ///< Failure domain.
    bool registered{true}; ///< Whether its entry is in the key-value service.
    TimePoint lastSeen{}; ///< Last time at which it was registered or a status of it arrived.
    TimePoint knownSince{}; ///< When it was first found to be registered.
    TimePoint overdueAt{}; ///< When its entry was last reported to be overdue; TimePoint{} if it never was.
};

/** A question for the origin of a stream that waits for an answer. */
struct OriginQuestion {
    std::uint64_t stream{0}; ///< Key of the stream.
    std::map<HostId, Endpoint> silent; ///< Keepers that have not answered.
    boost::asio::steady_timer answered; ///< Cancelled when no further answer is waited for.
    std::optional<ServiceVersion> origin{}; ///< Answer of a keeper that has the record.
};

struct PeerLink::Impl {
    std::shared_ptr<Proxy> proxy; ///< Fleet snapshot and requests in flight.
    PeerLinkOptions options;
    std::unique_ptr<StatusExchange> exchange; ///< UDP socket for status datagrams.
    std::unique_ptr<HttpServer> server; ///< Serves the configuration document to other hosts.
    std::map<HostId, Peer> peers; ///< Recipients of the status.
    boost::asio::steady_timer timer; ///< Expires when the next datagram is due.
    bool earlyStatusScheduled{false}; ///< Whether an early datagram is scheduled.
    TimePoint newsAt{}; ///< Time of the last change that had to be announced to all hosts.
    TimePoint reportedAt{}; ///< Time of the last datagram with evidence and limits.
    bool allDomainsDue{false}; ///< Whether the next datagram goes to all hosts, whatever the interval of other failure domains.
    std::map<HostId, SenderClock> clocks; ///< Clocks of the other hosts.
    TimePoint otherDomainsSentAt{}; ///< Time of the last datagram to other failure domains.
    std::uint64_t incarnation{0}; ///< Start time of the process in Unix milliseconds; orders the runs of this host.
    std::uint64_t sequence{0}; ///< Number of the last datagram; orders the datagrams of one run.
    std::vector<std::shared_ptr<OriginQuestion>> questions; ///< Questions that wait for an answer.
};

using LinkPtr = std::shared_ptr<PeerLink::Impl>;

/** Removes peers that have been neither registered nor heard from for a while, and their load counts. */
void removeExpiredPeers(PeerLink::Impl &link, TimePoint now);

/** Reports registered hosts that have been silent for longer than their entries can outlive them. */
void reportOverdueEntries(PeerLink::Impl &link, TimePoint now);

/** @return Interval of datagrams to other failure domains. @param peers Number of other hosts. */
[[nodiscard]] std::chrono::milliseconds otherDomainIntervalFor(std::size_t peers);

} // namespace skylark
