/** @file load_tracker.cpp Requests in flight on each target, of this host and of the other hosts. */
#include "fleet/load_tracker_base.h"

#include <algorithm>

namespace skylark {

namespace {

/** Adds the counts of @p peer to the totals. */
void addToTotals(LoadTracker &tracker, const PeerLoad &peer)
{
    for (const auto &[target, counts] : peer.counts) {
        TargetCounts &total = tracker.peerTotals[target];
        total.online += counts.online;
        total.batch += counts.batch;
    }
}

/** Subtracts the counts of @p peer from the totals and clears them. */
void removeFromTotals(LoadTracker &tracker, PeerLoad &peer)
{
    for (const auto &[target, counts] : peer.counts) {
        const auto total = tracker.peerTotals.find(target);
        total->second.online -= counts.online;
        total->second.batch -= counts.batch;
        if (total->second.online == 0 && total->second.batch == 0) {
            tracker.peerTotals.erase(total);
        }
    }
    peer.counts.clear();
}

/** @return Age at which the status of @p peer expires. */
std::chrono::milliseconds expiryOf(const LoadTracker &tracker, const PeerLoad &peer)
{
    return peer.domain == tracker.domain ? tracker.peerExpiry : tracker.otherDomainExpiry;
}

} // namespace

bool isCurrent(const LoadTracker &tracker, const PeerLoad &peer, TimePoint now)
{
    return now - peer.heardAt < expiryOf(tracker, peer);
}

void dropExpiredLoads(LoadTracker &tracker, TimePoint now)
{
    if (now < tracker.nextExpiry) {
        return;
    }
    tracker.nextExpiry = now + std::min(tracker.peerExpiry, tracker.otherDomainExpiry);
    for (auto &[host, peer] : tracker.peers) {
        if (isCurrent(tracker, peer, now)) {
            tracker.nextExpiry = std::min(tracker.nextExpiry, peer.heardAt + expiryOf(tracker, peer));
        } else {
            removeFromTotals(tracker, peer);
        }
    }
}

void dropPeer(LoadTracker &tracker, const HostId &host)
{
    const auto found = tracker.peers.find(host);
    if (found != tracker.peers.end()) {
        removeFromTotals(tracker, found->second);
        tracker.peers.erase(found);
    }
}

bool applyStatus(LoadTracker &tracker, const HostStatus &status, TimePoint now)
{
    PeerLoad &peer = tracker.peers[status.host];
    const bool older = status.incarnation < peer.incarnation || (status.incarnation == peer.incarnation && status.sequence <= peer.sequence);
    // A process that starts while its wall clock is behind has a lower incarnation than its predecessor; its status is accepted once that one has expired.
    if (older && isCurrent(tracker, peer, now)) {
        return false;
    }
    peer.session = status.session;
    peer.domain = status.domain;
    peer.incarnation = status.incarnation;
    peer.sequence = status.sequence;
    peer.heardAt = now;
    peer.leaving = status.leaving;
    peer.linked = status.ready && !status.linksLost;
    peer.configVersion = status.configRevision;
    peer.batchWaiting = status.batchWaiting;
    peer.waitingByService = {status.batchWaitingByService.begin(), status.batchWaitingByService.end()};
    removeFromTotals(tracker, peer);
    for (const auto &[target, count] : status.onlineInFlight) {
        peer.counts[target].online = count;
    }
    for (const auto &[target, count] : status.batchInFlight) {
        peer.counts[target].batch = count;
    }
    addToTotals(tracker, peer);
    return true;
}

unsigned waitingItems(const PeerLoad &peer, const ServiceId &service)
{
    if (peer.waitingByService.empty()) {
        return peer.batchWaiting;
    }
    const auto found = peer.waitingByService.find(service);
    return found == peer.waitingByService.end() ? 0 : found->second;
}

TargetCounts countsOf(LoadTracker &tracker, const TargetId &target, TimePoint now)
{
    dropExpiredLoads(tracker, now);
    TargetCounts counts;
    if (const auto own = tracker.own.find(target); own != tracker.own.end()) {
        counts = own->second;
    }
    if (const auto total = tracker.peerTotals.find(target); total != tracker.peerTotals.end()) {
        counts.online += total->second.online;
        counts.batch += total->second.batch;
    }
    return counts;
}

bool hasRecentStatus(const LoadTracker &tracker, const SessionId &session, TimePoint now)
{
    return std::any_of(tracker.peers.begin(), tracker.peers.end(), [&](const auto &entry) {
        return entry.second.session == session && isCurrent(tracker, entry.second, now);
    });
}

std::chrono::milliseconds oldestStatusAge(const LoadTracker &tracker, TimePoint now)
{
    std::chrono::milliseconds oldest{0};
    for (const auto &[host, peer] : tracker.peers) {
        if (isCurrent(tracker, peer, now)) {
            oldest = std::max(oldest, std::chrono::duration_cast<std::chrono::milliseconds>(now - peer.heardAt));
        }
    }
    return oldest;
}

std::map<DomainId, std::chrono::milliseconds> oldestStatusAges(const LoadTracker &tracker, TimePoint now)
{
    std::map<DomainId, std::chrono::milliseconds> ages;
    for (const auto &[host, peer] : tracker.peers) {
        if (isCurrent(tracker, peer, now)) {
            auto &oldest = ages[peer.domain];
            oldest = std::max(oldest, std::chrono::duration_cast<std::chrono::milliseconds>(now - peer.heardAt));
        }
    }
    return ages;
}

void addOwnLoad(const LoadTracker &tracker, HostStatus &status)
{
    for (const auto &[service, items] : tracker.ownWaiting) {
        status.batchWaiting += items;
        status.batchWaitingByService.emplace_back(service, items);
    }
    for (const auto &[target, counts] : tracker.own) {
        if (counts.online > 0) {
            status.onlineInFlight.emplace_back(target, counts.online);
        }
        if (counts.batch > 0) {
            status.batchInFlight.emplace_back(target, counts.batch);
        }
    }
}

InFlightGuard::InFlightGuard(std::shared_ptr<LoadTracker> loadTracker, TargetId id, bool isBatch)
    : tracker(std::move(loadTracker))
    , target(std::move(id))
    , batch(isBatch)
{
    TargetCounts &counts = this->tracker->own[this->target];
    ++(this->batch ? counts.batch : counts.online);
}

InFlightGuard::~InFlightGuard()
{
    const auto found = this->tracker->own.find(this->target);
    unsigned &count = this->batch ? found->second.batch : found->second.online;
    --count;
    if (found->second.online == 0 && found->second.batch == 0) {
        this->tracker->own.erase(found);
    }
}

} // namespace skylark
