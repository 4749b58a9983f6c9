/** @file member_controller.cpp Status datagrams and liveness of hosts. */
#include "control/controller_func.h"
#include "core/hash_func.h"

#include <algorithm>
#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto remoteInterval = 2s;
constexpr unsigned fullRounds = 2; // A host that starts greets every host, so that it does not stay unknown in other domains.
constexpr unsigned suspectAfter = 4; // Missed intervals.
constexpr unsigned deadAfter = 8;
constexpr auto leavingTick = 500ms;

/** @return Hosts in the settings that belong to @p domain, this one included. */
std::size_t domainSize(const Control::Impl &control, const DomainId &domain)
{
    const auto &hosts = control.context.settings->hosts;
    return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [&domain](const HostInfo &host) {
        return host.domain == domain;
    }));
}

std::chrono::milliseconds localInterval(const Control::Impl &control)
{
    const Settings &settings = *control.context.settings;
    const auto hosts = static_cast<std::int64_t>(domainSize(control, control.self.domain));
    return std::max(settings.statusInterval, settings.statusPerHost * hosts);
}

/** @return The time between two datagrams of @p host to this one. */
std::chrono::milliseconds expectedInterval(const Control::Impl &control, const HostEntry &host)
{
    if (host.info.domain == control.self.domain) {
        return localInterval(control);
    }
    // A host of another domain addresses the hosts of this one in turn.
    return remoteInterval * static_cast<std::int64_t>(domainSize(control, control.self.domain));
}

HostState stateOf(const Control::Impl &control, const HostEntry &host, TimePoint now)
{
    if (host.heardAt == TimePoint()) {
        return HostState::Unknown;
    }
    const auto missed = (now - host.heardAt) / expectedInterval(control, host);
    if (missed >= deadAfter) {
        return HostState::Dead;
    }
    if (host.status.leaving) {
        return HostState::Leaving;
    }
    return missed >= suspectAfter ? HostState::Suspect : HostState::Live;
}

/** @return Whether @p status replaces what is known: the higher incarnation wins, then the higher sequence. */
bool supersedes(const HostStatus &status, const HostStatus &known)
{
    return std::pair(status.incarnation, status.sequence) > std::pair(known.incarnation, known.sequence);
}

/** Evaluates one host's state. @return Whether it changed. */
bool evaluateHost(const Control::Impl &control, HostEntry &host, TimePoint now)
{
    const HostState state = stateOf(control, host, now);
    if (state == host.state) {
        return false;
    }
    LOG(INFO) << "[member] host " << host.info.id.value << " is " << hostStateName(state) << ", was " << hostStateName(host.state);
    host.state = state;
    return true;
}

void evaluateHosts(const ControlPtr &control)
{
    bool changed = false;
    const TimePoint now = BootClock::now();
    for (auto &[id, host] : control->hosts) {
        changed = evaluateHost(*control, host, now) || changed;
    }
    if (changed) {
        signal(control->watchWakeup);
        evaluateTargets(control);
        markChanged(control);
    }
}

std::vector<TargetStatus> targetStatuses(const Control::Impl &control, TimePoint now)
{
    std::vector<TargetStatus> statuses;
    for (const auto &[id, target] : control.targets) {
        const bool owned = target.reporter == control.self.id && target.owner == control.self.id;
        const bool leaving = leavingFirstHand(control, target, now);
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
    status.sequence = ++control.sequence;
    status.leaving = control.stopping;
    status.ready = control.fleet != nullptr && control.targetsKnown && !control.stopping;
    status.configRevision = control.config.revision;
    status.jobsCursor = control.jobSerial;
    status.targets = targetStatuses(control, BootClock::now());
    status.onlineInFlight = onlineInFlight(*control.context.loads);
    status.freeByModel = freeSlotsByModel(control);
    return status;
}

/** @return One host of each other domain, in turn, preferring hosts that are not dead. */
std::vector<Endpoint> remotePeers(const Control::Impl &control)
{
    std::map<DomainId, std::vector<const HostEntry *>> byDomain;
    for (const auto &[id, host] : control.hosts) {
        if (host.info.domain != control.self.domain) {
            byDomain[host.info.domain].push_back(&host);
        }
    }
    std::vector<Endpoint> peers;
    for (const auto &[domain, hosts] : byDomain) {
        // The own name shifts the turn, so that hosts of one domain do not all address the same host.
        const std::uint64_t turn = control.remoteRounds + hash64(control.self.id.value);
        peers.push_back(hosts[turn % hosts.size()]->info.status);
    }
    return peers;
}

std::vector<Endpoint> domainPeers(const Control::Impl &control, bool allDomains)
{
    std::vector<Endpoint> peers;
    for (const auto &[id, host] : control.hosts) {
        if (allDomains || host.info.domain == control.self.domain) {
            peers.push_back(host.info.status);
        }
    }
    return peers;
}

void sendRemoteRound(Control::Impl &control)
{
    sendStatus(*control.exchange, makeStatus(control), control.remoteRounds < fullRounds ? domainPeers(control, true) : remotePeers(control));
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

std::vector<HostId> liveDomainHosts(const Control::Impl &control)
{
    std::vector<HostId> live;
    if (!control.stopping) {
        live.push_back(control.self.id);
    }
    for (const auto &[id, host] : control.hosts) {
        if (host.info.domain == control.self.domain && host.state == HostState::Live) {
            live.push_back(id);
        }
    }
    return live;
}

bool isWatcher(const Control::Impl &control)
{
    constexpr std::ptrdiff_t watchers = 2;
    if (control.stopping || control.lease.ended) {
        return false;
    }
    const std::string &domain = control.self.domain.value;
    const std::uint64_t own = rendezvousScore(domain, control.self.id.value);
    const auto live = liveDomainHosts(control);
    return std::count_if(live.begin(),
                         live.end(),
                         [&](const HostId &host) {
                             return rendezvousScore(domain, host.value) > own;
                         })
           < watchers;
}

void takeStatus(const ControlPtr &control, HostStatus status)
{
    const auto found = control->hosts.find(status.host);
    if (found == control->hosts.end() || found->second.info.domain != status.domain) {
        return;
    }
    HostEntry &host = found->second;
    if (!supersedes(status, host.status)) {
        return;
    }
    const bool restarted = status.incarnation != host.status.incarnation;
    if (restarted) {
        host.jobsSeen = 0;
    }
    host.status = std::move(status);
    host.heardAt = BootClock::now();
    takeTargetStatuses(*control, host);
    if (evaluateHost(*control, host, host.heardAt)) {
        signal(control->watchWakeup);
    }
    if (restarted) {
        // The new process knows nothing of this host yet.
        sendStatus(*control->exchange, makeStatus(*control), std::vector<Endpoint>{host.info.status});
    }
    evaluateTargets(control);
    const bool confirms = !control->config.confirmed && host.info.domain == control->self.domain;
    if (host.status.configRevision > control->config.revision || host.status.jobsCursor > host.jobsSeen || confirms) {
        signal(control->pullWakeup);
    }
    markChanged(control);
}

void sendStatusNow(Control::Impl &control, bool all)
{
    auto peers = domainPeers(control, all);
    if (!all) {
        const auto remote = remotePeers(control);
        peers.insert(peers.end(), remote.begin(), remote.end());
        ++control.remoteRounds;
    }
    sendStatus(*control.exchange, makeStatus(control), peers);
}

void pushStatus(const ControlPtr &control)
{
    constexpr auto gather = 5ms; // Several changes at once go out in one datagram.
    if (control->statusPending) {
        return;
    }
    control->statusPending = true;
    control->statusTimer.expires_after(gather);
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
    while (!control->lease.ended) {
        if (BootClock::now() >= nextRemote) {
            nextRemote = BootClock::now() + remoteInterval;
            sendRemoteRound(*control);
        }
        sendStatus(*control->exchange, makeStatus(*control), domainPeers(*control, false));
        evaluateHosts(control);
        const std::chrono::nanoseconds interval =
            control->stopping ? std::min<std::chrono::milliseconds>(leavingTick, localInterval(*control)) : localInterval(*control);
        // A small spread keeps the datagrams of a domain from arriving in bursts.
        co_await pauseFor(control, interval - interval / 20 + randomBelow(*control, interval / 10));
    }
}

} // namespace skylark
