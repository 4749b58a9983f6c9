/** @file planning.cpp Computes the batch limits of the owned targets and the order of the jobs. */
#include "batch/batch_internal_func.h"
#include "policy/baseline_func.h"
#include "policy/batch_limit_func.h"
#include "policy/batch_order_func.h"
#include "traffic/target_view_func.h"

#include <algorithm>

namespace skylark {

namespace {

constexpr auto orderRefreshInterval = std::chrono::milliseconds(250); ///< Slack changes slowly, and sorting thousands of jobs in every iteration is expensive.
constexpr auto unusedTargetExpiry = std::chrono::minutes(5); ///< After this time the state of a target that this host no longer owns is deleted.
constexpr auto tailWeightRefreshInterval = std::chrono::seconds(1); ///< Avoids a search of thousands of workspaces in every iteration.

bool hasModel(const TargetView &view, const ModelSpec &spec)
{
    return std::any_of(view.report.models.begin(), view.report.models.end(), [&spec](const LoadedModel &loaded) {
        return loaded.name == spec.name && (spec.version.empty() || loaded.version == spec.version);
    });
}

/** @return The largest weight of the online tail among the workspaces that use a model of the target; the default when none does. */
double tailWeightOf(const TargetView &view, const ControlSnapshot &snapshot)
{
    double weight = 0;
    bool used = false;
    const UnixTime now = unixNow();
    for (const auto &[id, workspace] : snapshot.config->workspaces) {
        const bool uses = std::any_of(workspace.models.begin(), workspace.models.end(), [&view](const ModelSpec &spec) {
            return hasModel(view, spec);
        });
        if (uses) {
            used = true;
            weight = std::max(weight, effectiveTailWeight(workspace.batch, now));
        }
    }
    return used ? weight : BatchPolicy().tailWeight;
}

std::chrono::nanoseconds maxReportAge(const Settings &settings)
{
    // Reports stay valid for several poll intervals, so that a few lost polls do not stop batch streams on the target.
    return settings.loadPollInterval * 4 + std::chrono::seconds(1);
}

/** @return Time after which the status of the sending host counts a stream that it announced. */
std::chrono::nanoseconds announcementLifetime(const Settings &settings)
{
    return settings.statusInterval;
}

BatchLimitInput limitInput(const BatchState &state, const TargetView &view, const BatchTarget &target, TimePoint now)
{
    const TargetLoad load = loadOf(*state.context.loads, view.info.id);
    BatchLimitInput input;
    input.slots = view.report.slots;
    input.running = view.report.running;
    input.waiting = view.report.waiting;
    input.reportSequence = view.report.sequence;
    input.reportFresh = now - view.report.receivedAt < maxReportAge(*state.context.settings);
    input.ownOnline = load.online;
    input.ownBatch = static_cast<unsigned>(target.running.size());
    input.ownAtReport = load.startedAtReport > load.endedAtReport ? static_cast<unsigned>(load.startedAtReport - load.endedAtReport) : 0;
    const auto announced = std::count_if(target.announced.begin(), target.announced.end(), [&](TimePoint at) {
        return now - at < announcementLifetime(*state.context.settings);
    });
    input.onlineElsewhere = view.onlineElsewhere + static_cast<unsigned>(announced);
    input.onlineMean = load.onlineMean;
    input.onlinePeak = load.onlinePeak;
    input.firstTokenMs = load.firstTokenMs;
    input.tokenMs = load.tokenMs;
    input.tailWeight = target.tailWeight;
    return input;
}

bool isUsable(const BatchState &state, const TargetView &view, const BatchTarget &target, TimePoint now)
{
    const bool leaving = view.leaving || view.info.leaving || view.report.draining;
    return !leaving && now >= target.pausedUntil && now >= loadOf(*state.context.loads, view.info.id).blockedUntil;
}

void planTarget(BatchState &state, const ControlSnapshot &snapshot, const TargetView &view, const std::vector<TargetId> &reserved, TimePoint now)
{
    BatchTarget &target = state.targets[view.info.id];
    if (now - target.tailWeightAt > tailWeightRefreshInterval && snapshot.config) {
        target.tailWeight = tailWeightOf(view, snapshot);
        target.tailWeightAt = now;
    }
    const BatchLimitInput input = limitInput(state, view, target, now);
    const PolicyMode mode = state.context.settings->policyMode;
    if (mode != PolicyMode::Adaptive) {
        const bool batchOnly = std::find(reserved.begin(), reserved.end(), view.info.id) != reserved.end();
        target.limit = batchLimitByMode(mode, 0, input.slots, batchOnly);
        return;
    }
    const BatchLimit limit = decideBatchLimit(target.limitState, input);
    target.limitState = limit.state;
    target.limit = now < target.yieldCapUntil ? std::min(limit.streams, target.yieldCap) : limit.streams;
    const unsigned running = input.ownBatch;
    const unsigned online = input.ownOnline + input.onlineElsewhere;
    if (running > target.limit && (input.waiting > 0 || online + running > input.slots)) {
        yieldStreams(state, view.info.id, running - target.limit);
    }
}

/** Cancels this host's streams on a target that another host owns now, because two hosts must not fill one target. */
void yieldTarget(BatchState &state, const TargetView &view)
{
    const auto target = state.targets.find(view.info.id);
    if (target != state.targets.end() && !target->second.running.empty()) {
        yieldStreams(state, view.info.id, static_cast<unsigned>(target->second.running.size()));
    }
}

std::vector<JobWork *> sortJobs(BatchState &state, const ControlSnapshot &snapshot)
{
    std::vector<JobWork *> works;
    std::vector<JobDemand> demands;
    for (auto &[id, work] : state.jobs) {
        JobDemand demand{id, 1.0, work.record->due, work.record->created, itemsLeft(work)};
        if (snapshot.config) {
            const auto workspace = snapshot.config->workspaces.find(work.record->workspace);
            demand.share = workspace == snapshot.config->workspaces.end() ? 1.0 : workspace->second.batch.share;
        }
        works.push_back(&work);
        demands.push_back(demand);
    }
    std::vector<JobWork *> ordered;
    const auto order = orderJobs(demands, unixNow(), fleetRate(state));
    ordered.reserve(order.size());
    for (const std::size_t index : order) {
        ordered.push_back(works[index]);
    }
    return ordered;
}

} // namespace

void preemptForArrivals(BatchState &state, const TargetId &id, unsigned streams, bool byPeer)
{
    const auto snapshot = snapshotOf(state);
    const auto view = std::find_if(snapshot->targets.begin(), snapshot->targets.end(), [&id](const TargetView &known) {
        return known.info.id == id;
    });
    if (state.context.settings->policyMode != PolicyMode::Adaptive || view == snapshot->targets.end() || view->report.slots == 0) {
        return;
    }
    const TimePoint now = BootClock::now();
    BatchTarget &target = state.targets[id];
    std::erase_if(target.announced, [&](TimePoint at) {
        return now - at >= announcementLifetime(*state.context.settings);
    });
    if (byPeer) {
        target.announced.insert(target.announced.end(), streams, now);
    }
    const unsigned count = streamsToYield(limitInput(state, *view, target, now), byPeer ? 0 : streams);
    if (count > 0) {
        yieldStreams(state, id, count);
    }
}

std::vector<const TargetView *> planTargets(BatchState &state, const ControlSnapshot &snapshot)
{
    std::vector<const TargetView *> usable;
    const TimePoint now = BootClock::now();
    const std::vector<TargetId> reserved = reservedForBatch(state.context.settings->policyMode, snapshot);
    for (const TargetView &view : snapshot.targets) {
        if (view.info.kind != TargetKind::Engine || view.report.slots == 0) {
            continue;
        }
        if (view.batchOwner != snapshot.self.id) {
            yieldTarget(state, view);
            continue;
        }
        planTarget(state, snapshot, view, reserved, now);
        if (isUsable(state, view, state.targets[view.info.id], now)) {
            usable.push_back(&view);
        }
    }
    std::erase_if(state.targets, [now](const auto &entry) {
        return entry.second.running.empty() && now - entry.second.tailWeightAt > unusedTargetExpiry;
    });
    return usable;
}

bool servesModel(const TargetView &view, const ControlSnapshot &snapshot, const WorkspaceId &workspace, const ModelId &model)
{
    ModelSpec wanted;
    wanted.name = model;
    if (snapshot.config) {
        const auto found = snapshot.config->workspaces.find(workspace);
        if (found != snapshot.config->workspaces.end()) {
            for (const ModelSpec &spec : found->second.models) {
                wanted.version = spec.name == model ? spec.version : wanted.version;
            }
        }
    }
    return hasModel(view, wanted);
}

const std::vector<JobWork *> &jobsByUrgency(BatchState &state, const ControlSnapshot &snapshot)
{
    const TimePoint now = BootClock::now();
    if (now - state.jobOrderAt > orderRefreshInterval) {
        state.jobOrder = sortJobs(state, snapshot);
        state.jobOrderAt = now;
    }
    return state.jobOrder;
}

} // namespace skylark
