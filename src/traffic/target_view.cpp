/** @file target_view.cpp Inputs of routing decisions, from the control snapshot and this host's own counters; choice of service targets and hosts. */
#include "traffic/target_view_func.h"

#include "core/hash_func.h"
#include "policy/baseline_func.h"
#include "policy/routing_func.h"
#include "traffic/target_failure_func.h"

#include <algorithm>

namespace skylark {

namespace {

bool contains(const std::vector<TargetId> &targets, const TargetId &target)
{
    return std::find(targets.begin(), targets.end(), target) != targets.end();
}

/** @return Batch slots of @p view that another host was asked to release since the last load report, so that concurrent requests do not ask for them again. */
unsigned pendingYield(const CallerServer::Impl &impl, const ControlSnapshot &snapshot, const TargetView &view)
{
    const auto found = impl.pendingYields.find(view.info.id);
    // This host counts its own batch streams exactly, so they need no correction.
    const bool pending = found != impl.pendingYields.end() && found->second.reportSequence == view.report.sequence;
    return pending && view.batchOwner != snapshot.self.id ? found->second.slots : 0;
}

/** @return As isLeaving(). A target that was marked as leaving long ago is asked whether it still is. */
bool checkLeaving(CallerServer::Impl &impl, const TargetView &view, TimePoint now)
{
    if (isLeavingDoubtful(impl, view.info.id, now)) {
        startDrainCheck(impl, view.info);
    }
    return isLeaving(impl, view);
}

RouteCandidate makeCandidate(CallerServer::Impl &impl, const RequestContext &context, const TargetView &view, TimePoint now)
{
    const TargetLoad load = loadOf(*impl.context.loads, view.info.id);
    RouteCandidate candidate;
    candidate.id = view.info.id;
    candidate.leaving = checkLeaving(impl, view, now);
    candidate.blocked = load.blockedUntil > now;
    candidate.tried = contains(context.generation->triedTargets, view.info.id);
    candidate.slots = view.report.slots;
    candidate.occupied = estimateOccupied(
        view.report.running, view.report.waiting, load.started - load.startedAtReport, load.ended - load.endedAtReport, load.online + load.batch);
    candidate.online = load.online + view.onlineElsewhere;
    candidate.ownBatch = load.batch;
    const unsigned elsewhere = candidate.occupied - std::min(candidate.occupied, candidate.online + candidate.ownBatch);
    candidate.occupied -= std::min(elsewhere, pendingYield(impl, *context.snapshot, view));
    candidate.declineFactor = view.declineFactor;
    candidate.tokenRatio = load.tokenMs;
    candidate.serviceTime = std::chrono::milliseconds(static_cast<long long>(impl.queues[context.generation->model->name].serviceMs));
    return candidate;
}

/** Replaces the time per token in tokenRatio by its ratio to the median of the candidates, from 0.5 to 4; 1 when it is unknown. */
void normaliseTokenTimes(std::vector<RouteCandidate> &candidates)
{
    std::vector<double> known;
    for (const RouteCandidate &candidate : candidates) {
        if (candidate.tokenRatio > 0) {
            known.push_back(candidate.tokenRatio);
        }
    }
    std::sort(known.begin(), known.end());
    const double median = known.empty() ? 0 : known[known.size() / 2];
    for (RouteCandidate &candidate : candidates) {
        const bool measured = candidate.tokenRatio > 0 && median > 0;
        candidate.tokenRatio = measured ? std::clamp(candidate.tokenRatio / median, 0.5, 4.0) : 1.0;
    }
}

RemoteDomain makeRemoteDomain(const Settings &settings, const DomainId &domain)
{
    DomainLink link;
    for (const DomainLink &known : settings.links) {
        if (known.domain == domain) {
            link = known;
        }
    }
    return {domain, 0, link.oneWayDelay * 2, link.costFactor, false};
}

std::vector<RemoteDomain> makeRemoteDomains(const CallerServer::Impl &impl, const RequestContext &context)
{
    const Generation &generation = *context.generation;
    std::map<DomainId, RemoteDomain> remotes;
    for (const HostView &host : context.snapshot->hosts) {
        if (host.state != HostState::Live || host.info.domain == context.snapshot->self.domain) {
            continue;
        }
        for (const auto &[model, slots] : host.freeByModel) {
            if (model != generation.model->name) {
                continue;
            }
            auto &remote = remotes.try_emplace(host.info.domain, makeRemoteDomain(*impl.context.settings, host.info.domain)).first->second;
            remote.freeSlots = std::max(remote.freeSlots, slots);
        }
    }
    std::vector<RemoteDomain> list;
    for (auto &[domain, remote] : remotes) {
        remote.tried = std::find(generation.triedDomains.begin(), generation.triedDomains.end(), domain) != generation.triedDomains.end();
        list.push_back(remote);
    }
    return list;
}

} // namespace

std::vector<TargetId> reservedForBatch(PolicyMode mode, const ControlSnapshot &snapshot)
{
    if (mode != PolicyMode::StaticSplit) {
        return {};
    }
    std::vector<TargetId> engines;
    for (const TargetView &view : snapshot.targets) {
        if (view.info.kind == TargetKind::Engine) {
            engines.push_back(view.info.id);
        }
    }
    return batchOnlyTargets(std::move(engines));
}

bool hasModel(const TargetView &view, const ModelSpec &model, const std::string &adapter)
{
    if (view.info.kind != TargetKind::Engine) {
        return false;
    }
    return std::any_of(view.report.models.begin(), view.report.models.end(), [&](const LoadedModel &loaded) {
        const bool version = model.version.empty() || loaded.version == model.version;
        const bool adapterLoaded = adapter.empty() || std::find(loaded.adapters.begin(), loaded.adapters.end(), adapter) != loaded.adapters.end();
        return loaded.name == model.name && version && adapterLoaded;
    });
}

bool isLeaving(const CallerServer::Impl &impl, const TargetView &view)
{
    return view.leaving || view.info.leaving || view.report.draining || impl.leavingSince.contains(view.info.id);
}

RouteInput makeRouteInput(CallerServer::Impl &impl, const RequestContext &context, TimePoint now)
{
    const Generation &generation = *context.generation;
    const AffinityMatch match = findAffinity(impl.affinity, generation.prefixes);
    RouteInput input;
    const std::vector<TargetId> reserved = reservedForBatch(impl.context.settings->policyMode, *context.snapshot);
    for (const TargetView &view : context.snapshot->targets) {
        if (contains(reserved, view.info.id) || !hasModel(view, *generation.model, generation.chat.adapter)) {
            continue;
        }
        RouteCandidate candidate = makeCandidate(impl, context, view, now);
        candidate.affinity = match.target == view.info.id ? match.share : 0;
        input.candidates.push_back(std::move(candidate));
    }
    normaliseTokenTimes(input.candidates);
    input.remotes = makeRemoteDomains(impl, context);
    input.mayForward = context.hops == 0;
    input.seed = nextRandom(impl.seed);
    return input;
}

std::chrono::milliseconds slotTime(const RouteInput &input, double serviceMs)
{
    unsigned slots = 0;
    for (const RouteCandidate &candidate : input.candidates) {
        slots += candidate.leaving || candidate.blocked ? 0 : candidate.slots;
    }
    return std::chrono::milliseconds(static_cast<long long>(serviceMs / std::max(slots, 1U)));
}

const TargetView *chooseServiceTarget(
    CallerServer::Impl &impl, const ControlSnapshot &snapshot, const std::string &name, const std::vector<TargetId> &tried, TimePoint now)
{
    const TargetView *best = nullptr;
    std::pair<bool, std::uint64_t> bestRank;
    for (const TargetView &view : snapshot.targets) {
        if (view.info.kind != TargetKind::Service || view.info.service != name || checkLeaving(impl, view, now)) {
            continue;
        }
        const TargetLoad load = loadOf(*impl.context.loads, view.info.id);
        if (load.blockedUntil > now) {
            continue;
        }
        // Prefers untried targets, then the fewest calls in flight; ties are broken at random.
        const std::pair rank(contains(tried, view.info.id), (std::uint64_t{load.online} << 32U) | (nextRandom(impl.seed) >> 32U));
        if (best == nullptr || rank < bestRank) {
            best = &view;
            bestRank = rank;
        }
    }
    return best;
}

const HostView *chooseHost(CallerServer::Impl &impl, const ControlSnapshot &snapshot, const DomainId &domain)
{
    std::vector<const HostView *> live;
    for (const HostView &host : snapshot.hosts) {
        if (host.info.domain == domain && host.state == HostState::Live) {
            live.push_back(&host);
        }
    }
    return live.empty() ? nullptr : live[nextRandom(impl.seed) % live.size()];
}

} // namespace skylark
