/** @file member_controller.cpp Sends and receives status datagrams, and evaluates the liveness of hosts. */
#include "control/controller_func.h"
#include "core/hash_func.h"
#include "policy/crash_quarantine_func.h"
#include "policy/fleet_size_func.h"
#include "policy/membership_func.h"

#include <algorithm>
#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto remoteInterval = 2s;
constexpr unsigned fullRemoteRounds = 2; // A host that starts sends its first rounds to all hosts, so that it does not stay unknown in other domains.
constexpr auto leavingInterval = 500ms;

/** @return Number of hosts of @p domain in the settings, including this one. */
std::size_t domainSize(const Control::Impl &control, const DomainId &domain)
{
    const auto &hosts = control.context.settings->hosts;
    return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [&domain](const HostInfo &host) {
        return host.domain == domain;
    }));
}

/** @return Interval of status datagrams within the failure domain. */
std::chrono::milliseconds localInterval(const Control::Impl &control)
{
    const Settings &settings = *control.context.settings;
    return statusInterval(domainSize(control, control.self.domain), settings.statusInterval, settings.statusPerHost);
}

MembershipIntervals intervalsOf(const Control::Impl &control)
{
    MembershipIntervals intervals;
    intervals.ownDomain = control.self.domain;
    intervals.withinDomain = localInterval(control);
    intervals.acrossDomains = crossDomainInterval(remoteInterval, domainSize(control, control.self.domain));
    return intervals;
}

/** Changes the state of hosts whose status datagrams are missing. */
void evaluateHosts(const ControlPtr &control)
{
    const auto changes = expireHosts(control->members, BootClock::now(), intervalsOf(*control));
    for (const MemberChange &change : changes) {
        LOG(INFO) << "[member] host " << change.host.value << " is " << hostStateName(change.after) << ", was " << hostStateName(change.before);
    }
    if (!changes.empty()) {
        signal(control->watchWakeup);
        evaluateTargets(control);
        publishSoon(control);
    }
}

/** @return Load reports polled by this host for targets that it owns, and targets that it has observed to be leaving. */
std::vector<TargetStatus> targetStatuses(const Control::Impl &control, TimePoint now)
{
    std::vector<TargetStatus> statuses;
    for (const auto &[id, target] : control.targets) {
        const bool owned = target.reporter == control.self.id && target.owner == control.self.id;
        const bool leaving = observedLeaving(control, target, now);
        if (!owned && !leaving) {
            continue;
        }
        TargetStatus &status = statuses.emplace_back();
        status.target = id;
        status.leaving = leaving;
        if (owned) {
            status.report = target.report;
            status.baselineStepMs = target.baselineStepMs;
        }
    }
    return statuses;
}

HostStatus makeStatus(Control::Impl &control)
{
    HostStatus status;
    status.host = control.self.id;
    status.domain = control.self.domain;
    status.session = control.session;
    status.incarnation = control.incarnation;
    status.sequence = ++control.statusSequence;
    status.leaving = control.stopping;
    status.ready = servesCallers(control) && !control.stopping;
    status.configRevision = control.config.revision;
    status.jobsCursor = control.jobSerial;
    status.targets = targetStatuses(control, BootClock::now());
    status.onlineInFlight = onlineInFlight(*control.context.loads);
    status.freeByModel = freeSlotsByModel(control);
    const std::scoped_lock lock(control.context.quarantine->mutex);
    status.quarantine = reportOf(control.context.quarantine->state, BootClock::now());
    return status;
}

/** @return Status address of one host of each other domain; the hosts take turns by round. */
std::vector<Endpoint> remotePeers(const Control::Impl &control)
{
    std::map<DomainId, std::vector<HostId>> byDomain;
    for (const auto &[id, host] : control.hosts) {
        if (host.info.domain != control.self.domain) {
            byDomain[host.info.domain].push_back(id);
        }
    }
    std::vector<Endpoint> peers;
    for (const auto &[domain, hosts] : byDomain) {
        if (const auto receiver = crossDomainReceiver(control.self.id, hosts, control.remoteRounds)) {
            peers.push_back(control.hosts.at(*receiver).info.status);
        }
    }
    return peers;
}

/** @return Status addresses of the other hosts. @param own Whether of this failure domain, or of all other domains. */
std::vector<Endpoint> domainPeers(const Control::Impl &control, bool own)
{
    std::vector<Endpoint> peers;
    for (const auto &[id, host] : control.hosts) {
        if (own == (host.info.domain == control.self.domain)) {
            peers.push_back(host.info.status);
        }
    }
    return peers;
}

/** Sends the periodic status to other failure domains: first to all hosts, later to one host of each domain. */
void sendRemoteRound(Control::Impl &control)
{
    const auto peers = control.remoteRounds < fullRemoteRounds ? domainPeers(control, false) : remotePeers(control);
    sendStatus(*control.exchange, statusAcrossDomains(makeStatus(control)), peers);
    ++control.remoteRounds;
}

} // namespace

std::string_view hostStateName(HostState state)
{
    switch (state) {
    case HostState::Unknown:
        return "unknown";
    case HostState::Live:
        return "live";
    case HostState::Suspect:
        return "suspect";
    case HostState::Dead:
        return "dead";
    case HostState::Leaving:
        return "leaving";
    }
    return "unknown";
}

const MemberRecord &memberOf(const Control::Impl &control, const HostId &host)
{
    static const MemberRecord unknown;
    const auto found = control.members.members.find(host);
    return found == control.members.members.end() ? unknown : found->second;
}

std::vector<HostId> liveDomainHosts(const Control::Impl &control)
{
    std::vector<HostId> live;
    if (!control.stopping) {
        live.push_back(control.self.id);
    }
    for (const auto &[id, member] : control.members.members) {
        if (member.status.domain == control.self.domain && member.state == HostState::Live) {
            live.push_back(id);
        }
    }
    return live;
}

bool isWatcher(const Control::Impl &control)
{
    if (control.stopping || control.sessionEnded) {
        return false;
    }
    const auto watchers = configWatchers(control.self.domain, liveDomainHosts(control));
    return std::find(watchers.begin(), watchers.end(), control.self.id) != watchers.end();
}

/** Adds what another host announced of prompt prefixes that crash targets. */
void applyQuarantineReport(Control::Impl &control, const HostStatus &status)
{
    const TimePoint now = BootClock::now();
    QuarantineReport report = status.quarantine;
    correctDelay(report, excessDelay(control.clocks[status.host], status.incarnation, status.sentAt, now));
    const std::scoped_lock lock(control.context.quarantine->mutex);
    for (const QuarantineChange &change : mergeReport(control.context.quarantine->state, status.host, report, now)) {
        LOG(INFO) << "[member] " << (isWholeRequest(change.entry.part) ? "request " : "prompt prefix ") << hexText(change.entry.part.value)
                  << (change.begun ? " is quarantined" : " is released");
    }
}

void applyHostStatus(const ControlPtr &control, const HostStatus &status)
{
    const auto found = control->hosts.find(status.host);
    if (found == control->hosts.end() || found->second.info.domain != status.domain) {
        return;
    }
    HostEntry &host = found->second;
    const HostState before = memberOf(*control, status.host).state;
    const StatusEffect effect = observeStatus(control->members, status, BootClock::now());
    if (effect == StatusEffect::Ignored) {
        return;
    }
    const MemberRecord &member = memberOf(*control, status.host);
    if (before != member.state) {
        LOG(INFO) << "[member] host " << status.host.value << " is " << hostStateName(member.state) << ", was " << hostStateName(before);
        signal(control->watchWakeup);
    }
    if (effect == StatusEffect::Joined) {
        host.jobsSeen = 0;
        // A process that has just started does not know the status of this host yet.
        HostStatus own = makeStatus(*control);
        own = host.info.domain == control->self.domain ? statusWithinDomain(std::move(own)) : statusAcrossDomains(std::move(own));
        sendStatus(*control->exchange, own, std::vector<Endpoint>{host.info.status});
    }
    applyQuarantineReport(*control, status);
    applyTargetStatuses(*control, host, status);
    evaluateTargets(control);
    const bool needsConfirmation = !control->config.confirmed && host.info.domain == control->self.domain;
    if (status.configRevision > control->config.revision || status.jobsCursor > host.jobsSeen || needsConfirmation) {
        signal(control->pullWakeup);
    }
    publishSoon(control);
}

void sendStatusNow(Control::Impl &control, bool all)
{
    sendStatus(*control.exchange, statusWithinDomain(makeStatus(control)), domainPeers(control, true));
    sendStatus(*control.exchange, statusAcrossDomains(makeStatus(control)), all ? domainPeers(control, false) : remotePeers(control));
    control.remoteRounds += all ? 0 : 1;
}

void sendStatusSoon(const ControlPtr &control)
{
    constexpr auto coalesceDelay = 5ms; // Several changes within this time share one datagram.
    if (control->statusPending) {
        return;
    }
    control->statusPending = true;
    control->statusTimer.expires_after(coalesceDelay);
    control->statusTimer.async_wait([control](const boost::system::error_code &error) {
        control->statusPending = false;
        if (!error) {
            sendStatusNow(*control, false);
        }
    });
}

asio::awaitable<void> runMembership(ControlPtr control)
{
    TimePoint nextRemote = BootClock::now();
    while (!control->sessionEnded) {
        if (BootClock::now() >= nextRemote) {
            nextRemote = BootClock::now() + remoteInterval;
            sendRemoteRound(*control);
        }
        sendStatus(*control->exchange, statusWithinDomain(makeStatus(*control)), domainPeers(*control, true));
        evaluateHosts(control);
        const std::chrono::nanoseconds interval =
            control->stopping ? std::min<std::chrono::milliseconds>(leavingInterval, localInterval(*control)) : localInterval(*control);
        // A jitter of 5 % keeps the datagrams of a domain from arriving in bursts.
        co_await pauseFor(control, interval - interval / 20 + randomBelow(*control, interval / 10));
    }
}

} // namespace skylark
