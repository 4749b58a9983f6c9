/** @file job_slots.cpp Slots of targets in which this host may start batch items, and the load from which it preempts them. */
#include "core/hash_func.h"
#include "job/job_runner_base.h"

#include <algorithm>

namespace skylark {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds announceDelay{60}; ///< Time until all hosts of the failure domain count a started item: an early datagram, and a loaded receiver.
constexpr unsigned claimStepDelays = 4; ///< Announcement delays for which a slot is left to the host that ranks first; it needs two before its first start.

/** Hosts with items that wait for one service, and the service's load in each failure domain. */
struct Claimants {
    std::map<DomainId, std::vector<HostId>> hosts; ///< Hosts with waiting items, by their failure domain; without this host.
    std::map<DomainId, DomainBatchLoad> domains;
    std::map<DomainId, std::vector<HostId>> rivals; ///< Other hosts that share the slots of a target in this failure domain with this host; filled on demand.
};

/** @return Whether @p target may be given batch items. */
bool takesBatch(const JobRunner::Impl &runner, const TargetEntry &target, TimePoint now)
{
    const auto health = runner.proxy->health.find(target.id);
    const bool suspect = health != runner.proxy->health.end() && now < health->second.suspectUntil;
    return !isLeaving(runner.proxy->leavingTargets, target) && !suspect;
}

/** @return Load of @p target. The batch items of other hosts are not told apart by the order of preemption. */
BatchSlotInput startInput(JobRunner::Impl &runner, const TargetEntry &target, TimePoint now)
{
    LoadTracker &tracker = runner.proxy->loadTracker;
    const TargetCounts counts = countsOf(tracker, target.id, now);
    BatchSlotInput input{.slots = target.slots, .online = counts.online};
    if (const auto own = tracker.own.find(target.id); own != tracker.own.end()) {
        input.ownBatch = own->second.batch;
    }
    input.batchAfter = counts.batch - input.ownBatch;
    return input;
}

/** Finds the hosts that wait for slots of @p service. Items that wait for another service cannot use them and do not count. */
Claimants findClaimants(const LoadTracker &tracker, const ServiceId &service, TimePoint now)
{
    Claimants claimants;
    for (const auto &[host, peer] : tracker.peers) {
        const unsigned items = waitingItems(peer, service);
        if (items > 0 && !peer.leaving && isCurrent(tracker, peer, now)) {
            claimants.hosts[peer.domain].push_back(host);
            claimants.domains[peer.domain].waitingItems += items;
        }
    }
    if (const auto own = tracker.ownWaiting.find(service); own != tracker.ownWaiting.end()) {
        claimants.domains[tracker.domain].waitingItems += own->second;
    }
    return claimants;
}

/** @return Other hosts that share the slots of a target in @p domain with this host: those of the same failure domain, or all hosts outside of it. */
const std::vector<HostId> &rivalsOf(const LoadTracker &tracker, Claimants &claimants, const DomainId &domain)
{
    const auto [found, added] = claimants.rivals.try_emplace(domain);
    if (!added) {
        return found->second;
    }
    for (const auto &[hostDomain, hosts] : claimants.hosts) {
        const bool shares = domain == tracker.domain ? hostDomain == domain : hostDomain != domain;
        if (shares) {
            found->second.insert(found->second.end(), hosts.begin(), hosts.end());
        }
    }
    return found->second;
}

/** @return Time until the hosts that share the slots of a target know of a change of this host's items. */
milliseconds announceDelayTo(const LoadTracker &tracker, bool ownDomain)
{
    return ownDomain ? announceDelay : tracker.otherDomainInterval;
}

/** @return Number of own items by target that started less than the given delay ago. */
std::map<TargetId, unsigned> recentStarts(const JobRunner::Impl &runner, TimePoint now)
{
    const LoadTracker &tracker = runner.proxy->loadTracker;
    std::map<TargetId, unsigned> starts;
    for (const auto &[job, owned] : runner.owned) {
        for (const auto &[index, run] : owned.runs) {
            if (run->phase != ItemPhase::Running) {
                continue;
            }
            const auto entry = runner.proxy->fleet->targets->find(run->target);
            const bool ownDomain = entry != runner.proxy->fleet->targets->end() && entry->second.domain == tracker.domain;
            starts[run->target] += now - run->startedAt < announceDelayTo(tracker, ownDomain) ? 1 : 0;
        }
    }
    return starts;
}

} // namespace

BatchSlotInput yieldInput(const JobRunner::Impl &runner, const TargetEntry &target, TimePoint now)
{
    const LoadTracker &tracker = runner.proxy->loadTracker;
    BatchSlotInput input;
    input.slots = target.slots;
    if (const auto own = tracker.own.find(target.id); own != tracker.own.end()) {
        input.online = own->second.online;
        input.ownBatch = own->second.batch;
    }
    const std::uint64_t ownScore = rendezvousScore(target.id.value, runner.host.value);
    for (const auto &[host, peer] : tracker.peers) {
        const auto found = peer.counts.find(target.id);
        if (found == peer.counts.end() || !isCurrent(tracker, peer, now)) {
            continue;
        }
        const bool before = rendezvousScore(target.id.value, host.value) < ownScore;
        input.online += found->second.online;
        (before ? input.batchBefore : input.batchAfter) += found->second.batch;
    }
    return input;
}

std::vector<SlotOffer> findSlotOffers(JobRunner::Impl &runner, const std::vector<PendingItem> &pending, TimePoint now)
{
    std::vector<SlotOffer> offers;
    if (pending.empty()) {
        runner.unclaimed.clear();
        return offers;
    }
    const LoadTracker &tracker = runner.proxy->loadTracker;
    std::map<ServiceId, Claimants> services;
    for (const PendingItem &item : pending) {
        if (!services.contains(item.service)) {
            services.emplace(item.service, findClaimants(tracker, item.service, now));
        }
    }
    std::vector<std::pair<const TargetEntry *, BatchSlotInput>> open;
    for (const auto &[id, entry] : *runner.proxy->fleet->targets) {
        const auto service = services.find(entry.service);
        const bool allowed = service != services.end() && takesBatch(runner, entry, now) && maySend(runner.proxy->rateLimits, id, StreamKind::Batch, now);
        const BatchSlotInput input = startInput(runner, entry, now);
        if (!allowed || freeSlots(input) == 0) {
            runner.unclaimed.erase(id);
            continue;
        }
        service->second.domains[entry.domain].freeSlots += freeSlots(input);
        open.emplace_back(&entry, input);
    }
    const std::map<TargetId, unsigned> starts = recentStarts(runner, now);
    for (auto &[entry, input] : open) {
        Claimants &claimants = services.at(entry->service);
        const bool ownDomain = entry->domain == tracker.domain;
        const milliseconds freeFor = timeUnclaimed(runner.unclaimed[entry->id], input.ownBatch + input.batchAfter, now);
        const unsigned reserved = ownDomain ? 0 : slotsReservedForDomain(freeSlots(input), claimants.domains[entry->domain], freeFor);
        if (reserved >= freeSlots(input)) {
            continue;
        }
        const std::vector<HostId> &rivals = rivalsOf(tracker, claimants, entry->domain);
        if (const auto found = starts.find(entry->id); found != starts.end()) {
            input.unannounced = found->second;
        }
        BatchClaim claim{.claimants = static_cast<unsigned>(rivals.size()) + 1, .rank = claimRank(entry->id, runner.host, rivals)};
        claim.waitingFor = std::chrono::duration_cast<milliseconds>(now - runner.waitingSince.at(entry->service));
        claim.announceDelay = announceDelayTo(tracker, ownDomain);
        claim.freeFor = freeFor;
        claim.claimStep = claimStepDelays * claim.announceDelay;
        const unsigned most = limitOf(runner.proxy->rateLimits, entry->id) ? 1 : entry->slots;
        const unsigned items = std::min(most, batchItemsToStart(input, claim, reserved));
        if (items > 0) {
            offers.push_back({entry, makeSlotOffer(entry->id, runner.host, items, ownDomain)});
        }
    }
    return offers;
}

} // namespace skylark
