/** @file load_board.cpp Requests in flight on each target, of this host and of the others. */
#include "fleet/load_board_base.h"

#include <algorithm>

namespace skylark {

namespace {

bool isCurrent(const LoadBoard &board, const PeerLoad &peer, TimePoint now)
{
    return now - peer.heardAt < board.peerExpiry;
}

} // namespace

bool takeStatus(LoadBoard &board, const HostStatus &status, TimePoint now)
{
    PeerLoad &peer = board.peers[status.host];
    const bool older = status.incarnation < peer.incarnation || (status.incarnation == peer.incarnation && status.sequence <= peer.sequence);
    // A process that starts while its wall clock is behind has a lower incarnation than the one before.
    if (older && isCurrent(board, peer, now)) {
        return false;
    }
    peer.session = status.session;
    peer.domain = status.domain;
    peer.incarnation = status.incarnation;
    peer.sequence = status.sequence;
    peer.heardAt = now;
    peer.leaving = status.leaving;
    peer.configVersion = status.configRevision;
    peer.counts.clear();
    for (const auto &[target, count] : status.onlineInFlight) {
        peer.counts[target].online = count;
    }
    for (const auto &[target, count] : status.batchInFlight) {
        peer.counts[target].batch = count;
    }
    return true;
}

TargetCounts countsOf(const LoadBoard &board, const TargetId &target, TimePoint now)
{
    TargetCounts total;
    if (const auto own = board.own.find(target); own != board.own.end()) {
        total = own->second;
    }
    for (const auto &[host, peer] : board.peers) {
        const auto found = peer.counts.find(target);
        if (found != peer.counts.end() && isCurrent(board, peer, now)) {
            total.online += found->second.online;
            total.batch += found->second.batch;
        }
    }
    return total;
}

bool heardLately(const LoadBoard &board, const SessionId &session, TimePoint now)
{
    return std::any_of(board.peers.begin(), board.peers.end(), [&](const auto &entry) {
        return entry.second.session == session && isCurrent(board, entry.second, now);
    });
}

std::chrono::milliseconds oldestStatusAge(const LoadBoard &board, TimePoint now)
{
    std::chrono::milliseconds oldest{0};
    for (const auto &[host, peer] : board.peers) {
        if (isCurrent(board, peer, now)) {
            oldest = std::max(oldest, std::chrono::duration_cast<std::chrono::milliseconds>(now - peer.heardAt));
        }
    }
    return oldest;
}

std::map<DomainId, std::chrono::milliseconds> statusAges(const LoadBoard &board, TimePoint now)
{
    std::map<DomainId, std::chrono::milliseconds> ages;
    for (const auto &[host, peer] : board.peers) {
        if (isCurrent(board, peer, now)) {
            auto &oldest = ages[peer.domain];
            oldest = std::max(oldest, std::chrono::duration_cast<std::chrono::milliseconds>(now - peer.heardAt));
        }
    }
    return ages;
}

void describeOwnLoad(const LoadBoard &board, HostStatus &status)
{
    for (const auto &[target, counts] : board.own) {
        if (counts.online > 0) {
            status.onlineInFlight.emplace_back(target, counts.online);
        }
        if (counts.batch > 0) {
            status.batchInFlight.emplace_back(target, counts.batch);
        }
    }
}

LoadTicket::LoadTicket(std::shared_ptr<LoadBoard> where, TargetId id, bool isBatch)
    : board(std::move(where))
    , target(std::move(id))
    , batch(isBatch)
{
    TargetCounts &counts = this->board->own[this->target];
    ++(this->batch ? counts.batch : counts.online);
}

LoadTicket::~LoadTicket()
{
    const auto found = this->board->own.find(this->target);
    unsigned &count = this->batch ? found->second.batch : found->second.online;
    --count;
    if (found->second.online == 0 && found->second.batch == 0) {
        this->board->own.erase(found);
    }
}

} // namespace skylark
