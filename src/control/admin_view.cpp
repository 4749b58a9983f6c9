/** @file admin_view.cpp JSON views of the control state for the admin server, and gauges. */
#include "control/controller_func.h"
#include "core/invariant_func.h"

#include <algorithm>
#include <array>

namespace skylark {

namespace json = boost::json;

namespace {

json::string_view jsonText(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string addressOf(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

/** @return Milliseconds since @p then; -1 when it is not set. */
std::int64_t millisecondsSince(TimePoint then)
{
    return then == TimePoint() ? -1 : std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - then).count();
}

json::object freeSlotsView(const std::vector<std::pair<ModelId, unsigned>> &free)
{
    json::object view;
    for (const auto &[model, slots] : free) {
        view[model.value] = slots;
    }
    return view;
}

json::object selfHostView(const Control::Impl &control)
{
    return {{"id", control.self.id.value},
            {"domain", control.self.domain.value},
            {"state", control.stopping ? "leaving" : "live"},
            {"ready", servesCallers(control) && !control.stopping},
            {"session", control.session.value},
            {"config_revision", control.config.revision.value},
            {"heard_ms_ago", 0},
            {"free_by_model", freeSlotsView(freeSlotsByModel(control))},
            {"http", addressOf(control.self.http)},
            {"admin", addressOf(control.self.admin)}};
}

json::object hostView(const HostEntry &host, const MemberRecord &member)
{
    return {{"id", host.info.id.value},
            {"domain", host.info.domain.value},
            {"state", jsonText(hostStateName(member.state))},
            {"ready", member.status.ready && member.state != HostState::Dead},
            {"session", member.status.session.value},
            {"config_revision", member.status.configRevision.value},
            {"heard_ms_ago", millisecondsSince(member.heardAt)},
            {"free_by_model", freeSlotsView(member.status.freeByModel)},
            {"http", addressOf(host.info.http)},
            {"admin", addressOf(host.info.admin)}};
}

json::array modelsView(const std::vector<LoadedModel> &models)
{
    json::array array;
    for (const LoadedModel &model : models) {
        json::array adapters;
        for (const std::string &adapter : model.adapters) {
            adapters.emplace_back(adapter);
        }
        array.emplace_back(json::object{{"name", model.name.value}, {"version", model.version}, {"adapters", std::move(adapters)}});
    }
    return array;
}

json::object targetView(const Control::Impl &control, const ControlTarget &target)
{
    const TargetLoad load = loadOf(*control.context.loads, target.info.id);
    return {{"id", target.info.id.value},
            {"kind", target.info.kind == TargetKind::Engine ? "engine" : "service"},
            {"service", target.info.service},
            {"address", addressOf(target.info.endpoint)},
            {"leaving", target.isLeaving},
            {"blocked", load.blockedUntil > BootClock::now()},
            {"batch_owner", target.owner.value},
            {"slots", target.report.slots},
            {"running", target.report.running},
            {"waiting", target.report.waiting},
            {"own_online", load.online},
            {"own_batch", load.batch},
            {"step_ms", target.report.stepMs},
            {"decline_factor", target.declineFactor},
            {"report_ms_ago", millisecondsSince(target.report.receivedAt)},
            {"models", modelsView(target.report.models)}};
}

json::object inForceEntry(const HostInfo &host, HostState state, Revision revision, Revision wanted)
{
    return {{"id", host.id.value},
            {"domain", host.domain.value},
            {"state", jsonText(hostStateName(state))},
            {"admin", addressOf(host.admin)},
            {"config_revision", revision.value},
            {"in_force", revision >= wanted}};
}

void setPlatformGauges(const Control::Impl &control)
{
    MetricsRegistry &metrics = *control.context.metrics;
    const KvCounts &counts = control.kv->counts;
    setGauge(metrics, "skylark_platform_reachable", {}, control.platformThrottle.failingSince ? 0 : 1);
    setGauge(metrics, "skylark_platform_calls", {{"kind", "read"}}, static_cast<double>(counts.reads));
    setGauge(metrics, "skylark_platform_calls", {{"kind", "write"}}, static_cast<double>(counts.writes));
    setGauge(metrics, "skylark_platform_calls", {{"kind", "watch"}}, static_cast<double>(counts.watches));
    setGauge(metrics, "skylark_platform_calls_failed", {}, static_cast<double>(counts.failures));
}

void setHostGauges(const Control::Impl &control)
{
    std::array<unsigned, 5> byState{};
    ++byState[static_cast<std::size_t>(control.stopping ? HostState::Leaving : HostState::Live)];
    for (const auto &[id, host] : control.hosts) {
        ++byState[static_cast<std::size_t>(memberOf(control, id).state)];
    }
    for (const HostState state : {HostState::Unknown, HostState::Live, HostState::Suspect, HostState::Dead, HostState::Leaving}) {
        setGauge(*control.context.metrics, "skylark_hosts", {{"state", hostStateName(state)}}, byState[static_cast<std::size_t>(state)]);
    }
}

void setTargetGauges(const Control::Impl &control)
{
    unsigned leaving = 0;
    unsigned owned = 0;
    for (const auto &[id, target] : control.targets) {
        leaving += target.isLeaving ? 1 : 0;
        owned += target.owner == control.self.id ? 1 : 0;
    }
    setGauge(*control.context.metrics, "skylark_targets", {}, static_cast<double>(control.targets.size()));
    setGauge(*control.context.metrics, "skylark_targets_leaving", {}, leaving);
    setGauge(*control.context.metrics, "skylark_targets_owned", {}, owned);
}

void setStatusGauges(const Control::Impl &control)
{
    MetricsRegistry &metrics = *control.context.metrics;
    const StatusCounts counts = statusCounts(*control.exchange);
    setGauge(metrics, "skylark_status_datagrams", {{"direction", "sent"}}, static_cast<double>(counts.sent));
    setGauge(metrics, "skylark_status_datagrams", {{"direction", "received"}}, static_cast<double>(counts.received));
    setGauge(metrics, "skylark_status_datagrams", {{"direction", "invalid"}}, static_cast<double>(counts.invalid));
    setGauge(metrics, "skylark_status_bytes", {{"direction", "sent"}}, static_cast<double>(counts.bytesSent));
    setGauge(metrics, "skylark_status_bytes", {{"direction", "received"}}, static_cast<double>(counts.bytesReceived));
}

void setInvariantGauges(MetricsRegistry &metrics)
{
    const auto counts = invariantCounts();
    for (std::size_t i = 0; i < counts.size(); ++i) {
        setGauge(metrics, "skylark_invariant_checks", {{"promise", promiseName(static_cast<Promise>(i))}}, static_cast<double>(counts[i]));
    }
}

} // namespace

json::object hostsView(const Control::Impl &control)
{
    json::array hosts;
    hosts.emplace_back(selfHostView(control));
    for (const auto &[id, host] : control.hosts) {
        hosts.emplace_back(hostView(host, memberOf(control, id)));
    }
    return {{"self", control.self.id.value}, {"platform_reachable", !control.platformThrottle.failingSince}, {"hosts", std::move(hosts)}};
}

json::object targetsView(const Control::Impl &control)
{
    json::array targets;
    for (const auto &[id, target] : control.targets) {
        targets.emplace_back(targetView(control, target));
    }
    return {{"domain", control.self.domain.value}, {"targets", std::move(targets)}};
}

json::object inForceView(const Control::Impl &control, Revision wanted)
{
    json::array hosts;
    const HostState own = control.stopping ? HostState::Leaving : HostState::Live;
    hosts.emplace_back(inForceEntry(control.self, own, control.config.revision, wanted));
    for (const auto &[id, host] : control.hosts) {
        const MemberRecord &member = memberOf(control, id);
        hosts.emplace_back(inForceEntry(host.info, member.state, member.status.configRevision, wanted));
    }
    return {{"self", control.self.id.value},
            {"config_revision", control.config.revision.value},
            {"confirmed", control.config.confirmed},
            {"hosts", std::move(hosts)}};
}

json::object declineView(const Control::Impl &control)
{
    json::array targets;
    for (const auto &[id, target] : control.targets) {
        const double ratio = target.baselineStepMs > 0 ? target.report.stepMs / target.baselineStepMs : 1.0;
        targets.emplace_back(json::object{{"id", id.value},
                                          {"step_ms", target.report.stepMs},
                                          {"baseline_step_ms", target.baselineStepMs},
                                          {"factor_to_peers", target.declineFactor},
                                          {"factor_to_baseline", ratio},
                                          {"declined", target.inDecline}});
    }
    return {{"domain", control.self.domain.value}, {"targets", std::move(targets)}};
}

void refreshMetrics(const Control::Impl &control)
{
    MetricsRegistry &metrics = *control.context.metrics;
    setGauge(metrics, "skylark_ready", {}, servesCallers(control) && !control.stopping ? 1 : 0);
    setGauge(metrics, "skylark_config_revision", {}, static_cast<double>(control.config.revision.value));
    const double left = std::chrono::duration<double>(control.lease.deadline - BootClock::now()).count();
    setGauge(metrics, "skylark_lease_remaining_seconds", {}, std::max(0.0, left));
    setGauge(metrics, "skylark_jobs_known", {}, static_cast<double>(control.jobs.size()));
    setPlatformGauges(control);
    setHostGauges(control);
    setTargetGauges(control);
    setStatusGauges(control);
    setInvariantGauges(metrics);
}

} // namespace skylark
