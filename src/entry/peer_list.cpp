/** @file peer_list.cpp List of the other hosts that the link sends its status to. */
#include "core/event_log_func.h"
#include "entry/peer_link_base.h"
#include "policy/watch_trust_func.h"

#include <algorithm>

namespace skylark {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds otherDomainIntervalPerPeer{
    12}; ///< Interval added for each recipient in another failure domain; bytes between failure domains cost more.
constexpr milliseconds transitTime{50}; ///< Transmission of a datagram, and the time until its receiver is scheduled.
constexpr milliseconds peerRemovalDelay{5000}; ///< A peer that has been neither registered nor heard from for this long is removed.

/** Tells the load tracker how often other failure domains send their status, and when it expires. */
void setStatusIntervals(PeerLink::Impl &link)
{
    constexpr int intervalsToExpiry = 3; // Two datagrams in a row may be lost.
    LoadTracker &tracker = link.proxy->loadTracker;
    const milliseconds interval = otherDomainIntervalFor(link.peers.size());
    tracker.otherDomainInterval = interval + transitTime;
    tracker.otherDomainExpiry = std::max(tracker.peerExpiry, intervalsToExpiry * interval);
}

} // namespace

void removeExpiredPeers(PeerLink::Impl &link, TimePoint now)
{
    for (auto &[host, peer] : link.peers) {
        const auto heard = link.proxy->loadTracker.peers.find(host);
        peer.lastSeen = peer.registered ? now : heard != link.proxy->loadTracker.peers.end() ? std::max(peer.lastSeen, heard->second.heardAt) : peer.lastSeen;
    }
    std::erase_if(link.peers, [now](const auto &entry) {
        const bool gone = now - entry.second.lastSeen > peerRemovalDelay;
        if (gone) {
            logEvent(EventKind::PeerChanged,
                     entry.first.value,
                     {{"state", "gone"}, {"domain", entry.second.domain.value}, {"address", entry.second.endpoint.address}});
        }
        return gone;
    });
    std::vector<HostId> unknown;
    for (const auto &[host, peer] : link.proxy->loadTracker.peers) {
        if (!link.peers.contains(host) && now - peer.heardAt > peerRemovalDelay) {
            unknown.push_back(host);
        }
    }
    for (const HostId &host : unknown) {
        dropPeer(link.proxy->loadTracker, host);
        link.clocks.erase(host);
    }
}

std::vector<RelayPeer> listRelayPeers(const PeerLink::Impl &link)
{
    const LoadTracker &tracker = link.proxy->loadTracker;
    const TimePoint now = BootClock::now();
    std::vector<RelayPeer> peers;
    for (const auto &[host, peer] : link.peers) {
        const auto heard = tracker.peers.find(host);
        const bool linked = heard != tracker.peers.end() && isCurrent(tracker, heard->second, now) && heard->second.linked && !heard->second.leaving;
        peers.push_back({{host, peer.domain == link.options.domain, linked}, peer.endpoint});
    }
    return peers;
}

void reportOverdueEntries(PeerLink::Impl &link, TimePoint now)
{
    const LoadTracker &tracker = link.proxy->loadTracker;
    for (auto &[host, peer] : link.peers) {
        const auto heard = tracker.peers.find(host);
        const TimePoint heardAt = heard != tracker.peers.end() ? std::max(peer.knownSince, heard->second.heardAt) : peer.knownSince;
        // In a large fleet, a status of another failure domain may be due later than its host's lease.
        const TimePoint overdueAt = entryOverdueAt(heardAt, std::max(link.options.leaseTtl, tracker.otherDomainExpiry));
        if (!peer.registered || now < overdueAt || peer.overdueAt == overdueAt) {
            continue;
        }
        peer.overdueAt = overdueAt;
        if (link.options.onEntryOverdue) {
            link.options.onEntryOverdue(host, overdueAt);
        }
    }
}

milliseconds otherDomainIntervalFor(std::size_t peers)
{
    return peers <= smallFleetPeers ? minStatusInterval : otherDomainIntervalPerPeer * static_cast<int>(peers);
}

void updatePeers(PeerLink &link)
{
    for (auto &[host, peer] : link.impl->peers) {
        peer.registered = false;
    }
    for (const PeerEntry &entry : link.impl->proxy->fleet->peers) {
        const auto [found, added] = link.impl->peers.try_emplace(entry.host);
        found->second.knownSince = added ? BootClock::now() : found->second.knownSince;
        if (added || found->second.endpoint != entry.endpoint) {
            logEvent(EventKind::PeerChanged, entry.host.value, {{"state", "registered"}, {"domain", entry.domain.value}, {"address", entry.endpoint.address}});
        }
        found->second.endpoint = entry.endpoint;
        found->second.domain = entry.domain;
        found->second.registered = true;
    }
    setStatusIntervals(*link.impl);
}

} // namespace skylark
