/** @file target_controller.cpp Assigns batch owners, collects load reports and tracks leaving targets. */
#include "control/controller_func.h"
#include "core/task_func.h"
#include "engine/engine_client_func.h"
#include "policy/membership_func.h"

#include <algorithm>
#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr HttpTimeouts pollTimeouts{.connect = 300ms, .send = 300ms, .firstByte = 800ms, .idle = 500ms};
constexpr double baselineGain = 0.002; // Weight of one report; with two polls a second, the time constant is about four minutes.

/** @return Targets reported as leaving by hosts that are neither dead nor unknown. */
std::set<TargetId> leavingByPeers(const Control::Impl &control)
{
    std::set<TargetId> leaving;
    for (const auto &[id, host] : control.hosts) {
        const HostState state = memberOf(control, id).state;
        if (state != HostState::Dead && state != HostState::Unknown) {
            leaving.insert(host.leavingTargets.begin(), host.leavingTargets.end());
        }
    }
    return leaving;
}

/** Assigns batch owners if the live hosts or the targets have changed. @return Whether an owner changed. */
bool assignBatchOwners(Control::Impl &control)
{
    auto live = liveDomainHosts(control);
    if (!control.ownersOutdated && live == control.ownerCandidates) {
        return false;
    }
    bool changed = false;
    for (auto &[id, target] : control.targets) {
        HostId owner = batchOwner(id, live).value_or(HostId());
        changed = changed || owner != target.owner;
        target.owner = std::move(owner);
    }
    control.ownerCandidates = std::move(live);
    control.ownersOutdated = false;
    return changed;
}

/** Stores a load report and updates the baseline of the step time. @param reporter Host that polled the target. */
void storeReport(Control::Impl &control, ControlTarget &target, LoadReport report, const HostId &reporter)
{
    report.receivedAt = BootClock::now();
    if (report.stepMs > 0) {
        target.baselineStepMs = target.baselineStepMs <= 0 ? report.stepMs : target.baselineStepMs + baselineGain * (report.stepMs - target.baselineStepMs);
    }
    recordLoadReport(*control.context.loads, target.info.id, report.sequence, report.receivedAt);
    target.report = std::move(report);
    target.reporter = reporter;
}

/** Polls the load of one engine. */
asio::awaitable<void> pollTarget(ControlPtr control, TargetId id, Endpoint endpoint)
{
    auto report = co_await readLoad(control->http, std::move(endpoint), pollTimeouts);
    addCounter(*control->context.metrics, "skylark_load_polls_total", {{"outcome", isOk(report) ? "ok" : "failed"}});
    const auto found = control->targets.find(id);
    if (found == control->targets.end()) {
        co_return;
    }
    ControlTarget &target = found->second;
    target.polling = false;
    if (!isOk(report)) {
        VLOG(1) << "[member] load of target " << id.value << " could not be read; " << errorOf(report).detail;
        co_return;
    }
    valueOf(report).sequence = ++control->reportSequence;
    storeReport(*control, target, std::move(valueOf(report)), control->self.id);
    evaluateTargets(control);
    publishSoon(control);
}

} // namespace

bool observedLeaving(const Control::Impl &control, const ControlTarget &target, TimePoint now)
{
    const bool draining = target.report.draining && target.reporter == control.self.id;
    return target.info.leaving || draining || now < target.leavingUntil;
}

void applyTargetStatuses(Control::Impl &control, HostEntry &sender, const HostStatus &hostStatus)
{
    sender.leavingTargets.clear();
    if (sender.info.domain != control.self.domain) {
        return;
    }
    for (const TargetStatus &status : hostStatus.targets) {
        if (status.leaving) {
            sender.leavingTargets.insert(status.target);
        }
        const auto found = control.targets.find(status.target);
        if (found == control.targets.end() || status.report.sequence == 0 || found->second.owner == control.self.id) {
            continue;
        }
        ControlTarget &target = found->second;
        if (target.reporter == sender.info.id && status.report.sequence <= target.report.sequence) {
            continue;
        }
        storeReport(control, target, status.report, sender.info.id);
        if (status.baselineStepMs > 0) {
            target.baselineStepMs = status.baselineStepMs;
        }
    }
}

void evaluateTargets(const ControlPtr &control)
{
    const TimePoint now = BootClock::now();
    const auto byPeers = leavingByPeers(*control);
    bool changed = assignBatchOwners(*control);
    bool announce = false;
    for (auto &[id, target] : control->targets) {
        const bool observed = observedLeaving(*control, target, now);
        const bool leaving = observed || byPeers.contains(id);
        if (leaving != target.isLeaving) {
            LOG(INFO) << "[place] target " << id.value << (leaving ? " is leaving" : " is no longer leaving");
            announce = announce || (leaving && observed);
            changed = true;
        }
        target.isLeaving = leaving;
    }
    if (announce) {
        sendStatusSoon(control);
    }
    if (changed) {
        publishSoon(control);
    }
}

std::vector<std::pair<ModelId, unsigned>> freeSlotsByModel(const Control::Impl &control)
{
    std::map<ModelId, unsigned> free;
    for (const auto &[id, target] : control.targets) {
        const unsigned busy = target.report.running + target.report.waiting;
        const unsigned slots = target.isLeaving || busy >= target.report.slots ? 0 : target.report.slots - busy;
        for (const LoadedModel &model : target.report.models) {
            free[model.name] += slots;
        }
    }
    return {free.begin(), free.end()};
}

asio::awaitable<void> runLoadPolls(ControlPtr control)
{
    while (!control->sessionEnded) {
        evaluateTargets(control);
        for (auto &[id, target] : control->targets) {
            if (target.info.kind != TargetKind::Engine || target.owner != control->self.id || target.polling) {
                continue;
            }
            target.polling = true;
            startTask(control->context.control.get_executor(), "load report", pollTarget(control, id, target.info.endpoint), [control, polled = id] {
                if (const auto found = control->targets.find(polled); found != control->targets.end()) {
                    found->second.polling = false;
                }
            });
        }
        co_await pauseFor(control, control->context.settings->loadPollInterval);
    }
}

} // namespace skylark
