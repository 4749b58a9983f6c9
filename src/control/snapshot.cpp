/** @file snapshot.cpp Publication of the control snapshot. */
#include "control/controller_func.h"
#include "core/invariant_func.h"

#include <algorithm>

namespace skylark {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::nanoseconds publishInterval = 20ms; // Limits the copying of the state to 50 times a second.

/** @return Online streams by target, as reported by the other hosts of the domain. */
std::unordered_map<TargetId, unsigned> onlineElsewhere(const Control::Impl &control)
{
    std::unordered_map<TargetId, unsigned> streams;
    for (const auto &[id, member] : control.members.members) {
        if (member.status.domain != control.self.domain || member.state == HostState::Dead || member.state == HostState::Unknown) {
            continue;
        }
        for (const auto &[target, count] : member.status.onlineInFlight) {
            streams[target] += count;
        }
    }
    return streams;
}

std::vector<TargetView> targetViews(const Control::Impl &control)
{
    const auto elsewhere = onlineElsewhere(control);
    std::vector<TargetView> views;
    views.reserve(control.targets.size());
    for (const auto &[id, target] : control.targets) {
        const auto streams = elsewhere.find(id);
        views.push_back({.info = target.info,
                         .report = target.report,
                         .leaving = target.isLeaving,
                         .batchOwner = target.owner,
                         .onlineElsewhere = streams == elsewhere.end() ? 0 : streams->second,
                         .declineFactor = target.declineFactor});
    }
    return views;
}

std::vector<HostView> hostViews(const Control::Impl &control)
{
    std::vector<HostView> views;
    views.reserve(control.hosts.size() + 1);
    views.push_back({.info = control.self,
                     .state = control.stopping ? HostState::Leaving : HostState::Live,
                     .session = control.session,
                     .configRevision = control.config.revision,
                     .freeByModel = freeSlotsByModel(control)});
    for (const auto &[id, host] : control.hosts) {
        const MemberRecord &member = memberOf(control, id);
        views.push_back({.info = host.info,
                         .state = member.state,
                         .session = member.status.session,
                         .configRevision = member.status.configRevision,
                         .freeByModel = member.status.freeByModel});
    }
    return views;
}

} // namespace

bool servesCallers(const Control::Impl &control)
{
    // Without load reports no loaded models are known, and every request would be refused. An empty target list does not end the wait,
    // because the list lags and may be empty for a fleet that has just started.
    constexpr auto maxReportWait = std::chrono::seconds(3);
    if (!control.fleet || !control.targetsKnown) {
        return false;
    }
    const bool waited = BootClock::now() - control.targetsKnownAt > maxReportWait;
    return waited || (!control.targets.empty() && std::all_of(control.targets.begin(), control.targets.end(), [](const auto &entry) {
               return entry.second.info.kind != TargetKind::Engine || entry.second.report.receivedAt != TimePoint();
           }));
}

namespace {

void publish(Control::Impl &control)
{
    auto next = std::make_shared<ControlSnapshot>();
    next->self = control.self;
    next->session = control.session;
    next->config = control.fleet;
    next->targets = targetViews(control);
    next->hosts = hostViews(control);
    for (const auto &[id, job] : control.jobs) {
        next->jobs.push_back(job.record);
    }
    next->leaseDeadline = control.lease.deadline;
    next->ready = servesCallers(control);
    next->stopping = control.stopping;
    next->platformReachable = !control.platformThrottle.failingSince;
    const auto previous = control.context.snapshot->current.load();
    if (previous->config) {
        SKY_INVARIANT(Promise::ConfigForward, next->config && next->config->revision >= previous->config->revision);
    }
    control.context.snapshot->current.store(std::move(next));
    control.publishedAt = BootClock::now();
}

} // namespace

void publishNow(const ControlPtr &control)
{
    publish(*control);
}

void publishSoon(const ControlPtr &control)
{
    if (control->publishPending) {
        return;
    }
    control->publishPending = true;
    const auto since = BootClock::now() - control->publishedAt;
    control->publishTimer.expires_after(std::max<std::chrono::nanoseconds>(publishInterval - since, 0ns));
    control->publishTimer.async_wait([control](const boost::system::error_code &error) {
        control->publishPending = false;
        if (!error) {
            publish(*control);
        }
    });
}

} // namespace skylark
