/** @file pull_controller.cpp Pulls state from peers and answers their pulls. */
#include "config/config_json_func.h"
#include "control/controller_func.h"
#include "policy/revision_func.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto pullTimeout = 2s; // Leaves time for a second peer within the 5 s in which an edit must reach all hosts (promise P9).
constexpr auto pullInterval = 1s; // Longest wait between rounds without a signal.

/** @return Whether @p host has newer configuration or jobs, or can confirm the configuration of this host. */
bool hasNewerState(const Control::Impl &control, const HostEntry &host)
{
    const MemberRecord &member = memberOf(control, host.info.id);
    if (member.state == HostState::Unknown || member.state == HostState::Dead) {
        return false;
    }
    const bool sameDomain = host.info.domain == control.self.domain;
    const bool needsConfirmation = !control.config.confirmed && sameDomain;
    return needsConfirmation || member.status.configRevision > control.config.revision || (sameDomain && member.status.jobsCursor > host.jobsSeen);
}

/** @return The host to pull from: the highest revision first, then hosts of this domain; ties are broken at random. Null when no host qualifies. */
HostEntry *choosePeer(Control::Impl &control, const std::set<HostId> &failed)
{
    HostEntry *best = nullptr;
    const auto rank = [&control](const HostEntry &host) {
        return std::tuple(std::max(memberOf(control, host.info.id).status.configRevision, control.config.revision), host.info.domain == control.self.domain);
    };
    std::int64_t ties = 0;
    for (auto &[id, host] : control.hosts) {
        if (!hasNewerState(control, host) || failed.contains(id)) {
            continue;
        }
        if (best == nullptr || rank(host) > rank(*best)) {
            best = &host;
            ties = 1;
        } else if (rank(host) == rank(*best) && randomBelow(control, std::chrono::nanoseconds(++ties)).count() == 0) {
            best = &host;
        }
    }
    return best;
}

/** Applies a peer's target list if this host has none yet. */
void applyPeerTargets(const ControlPtr &control, const std::string &text)
{
    if (control->targetsKnown || text.empty()) {
        return;
    }
    auto list = targetsFromJson(text);
    if (isOk(list)) {
        applyTargetList(control, std::move(valueOf(list)));
    }
}

/** Pulls state from @p peer once. @return Whether the peer gave a valid answer. */
asio::awaitable<bool> pullFrom(ControlPtr control, HostId peer)
{
    const HostEntry before = control->hosts.at(peer);
    const std::uint64_t incarnation = memberOf(*control, peer).status.incarnation;
    // Peers include the target list only in the answer to a pull from revision 0.
    const Revision known = control->targetsKnown ? control->config.revision : Revision{};
    auto pulled = co_await peerPullState(control->rpc, before.info.peerRpc, known, before.jobsSeen, pullTimeout);
    addCounter(*control->context.metrics, "skylark_pulls_total", {{"outcome", isOk(pulled) ? "ok" : "failed"}});
    if (!isOk(pulled)) {
        VLOG(1) << "[peer] pull from " << peer.value << " failed; " << errorOf(pulled).detail;
        co_return false;
    }
    const StateBundle &bundle = valueOf(pulled);
    if (!bundle.documents.empty()) {
        const auto documents = bundleFromJson(bundle.documents);
        if (!isOk(documents)) {
            LOG(WARNING) << "[peer] configuration bundle of " << peer.value << " is malformed; " << errorOf(documents).detail;
            co_return false;
        }
        applyBundle(control, valueOf(documents), peer);
    }
    applyPeerTargets(control, bundle.targets);
    applyPeerJobs(control, bundle.jobs);
    HostEntry &host = control->hosts.at(peer);
    if (memberOf(*control, peer).status.incarnation == incarnation) {
        host.jobsSeen = std::max(host.jobsSeen, bundle.jobsCursor);
    }
    co_return true;
}

/** Makes the answer to a pull. @return NotReady until the configuration of this host is confirmed. */
Result<StateBundle> makeBundle(const Control::Impl &control, Revision known, std::uint64_t jobsCursor)
{
    if (!control.config.confirmed) {
        // A starting host takes any answer as a confirmation of its configuration, so a host without a confirmed configuration must not give one.
        return makeError(ErrorCode::NotReady, "no confirmed configuration yet");
    }
    StateBundle bundle;
    bundle.revision = control.config.revision;
    bundle.documents = bundleToJson(bundleSince(control.config, known));
    // The target list of a large fleet is hundreds of kilobytes, and only a starting host needs it from a peer.
    bundle.targets = control.targetsKnown && known.value == 0 ? targetsToJson(control.targetList) : std::string();
    bundle.jobs = jobsSince(control, jobsCursor);
    bundle.jobsCursor = control.jobSerial;
    return bundle;
}

} // namespace

asio::awaitable<void> runPulls(ControlPtr control)
{
    while (!control->sessionEnded) {
        std::set<HostId> failed;
        while (const HostEntry *peer = choosePeer(*control, failed)) {
            const HostId id = peer->info.id;
            const bool answered = co_await pullFrom(control, id);
            const auto &entry = control->hosts.at(id);
            if (!answered || hasNewerState(*control, entry)) {
                // A peer whose answer did not bring this host up to date is not asked again in this round.
                failed.insert(id);
            }
        }
        co_await waitFor(control, control->pullWakeup, pullInterval);
    }
}

void pullState(Control &handle, Revision known, std::uint64_t jobsCursor, std::function<void(Result<StateBundle>)> reply)
{
    ControlPtr control = handle.impl;
    asio::post(control->context.control, [control, known, jobsCursor, reply = std::move(reply)] {
        reply(makeBundle(*control, known, jobsCursor));
    });
}

} // namespace skylark
