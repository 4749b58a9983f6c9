/** @file relay.cpp Relays requests to a host that reaches the targets, while this one does not. */
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "core/table/error_table.h"
#include "policy/link_state_func.h"
#include "proxy/forwarding_base.h"
#include "proxy/relay_path.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/** @return Identifier under which attempts on the host are recorded; no target has it. */
TargetId relayId(const HostId &host)
{
    return TargetId{"host:" + host.value};
}

/** @return The hosts in @p peers; those in @p tried as if they had no links. */
std::vector<RelayCandidate> relayCandidates(const std::vector<RelayPeer> &peers, const std::vector<TargetId> &tried)
{
    std::vector<RelayCandidate> candidates;
    for (const RelayPeer &peer : peers) {
        candidates.push_back(peer.candidate);
        const bool isTried = std::find(tried.begin(), tried.end(), relayId(peer.candidate.host)) != tried.end();
        candidates.back().linked = peer.candidate.linked && !isTried;
    }
    return candidates;
}

} // namespace

std::optional<TargetEntry> chooseRelay(const Forwarding &forwarding)
{
    Proxy &proxy = *forwarding.proxy;
    if (!proxy.links.lost || forwarding.call.relayed || !proxy.relayPeers) {
        return std::nullopt;
    }
    const std::vector<RelayPeer> peers = proxy.relayPeers();
    // Hosts that have failed are asked again where there is no other.
    HostId chosen = chooseRelayHost(relayCandidates(peers, forwarding.tried), nextRandom(proxy.random));
    chosen = chosen.empty() ? chooseRelayHost(relayCandidates(peers, {}), nextRandom(proxy.random)) : chosen;
    const auto found = std::find_if(peers.begin(), peers.end(), [&chosen](const RelayPeer &peer) {
        return peer.candidate.host == chosen;
    });
    if (chosen.empty() || found == peers.end()) {
        return std::nullopt;
    }
    TargetEntry relay;
    relay.id = relayId(chosen);
    relay.service = forwarding.service;
    relay.endpoint = found->endpoint;
    return relay;
}

bool isRelayedWithoutLinks(const Forwarding &forwarding)
{
    return forwarding.call.relayed && forwarding.proxy->links.lost;
}

asio::awaitable<Attempt> relayTo(Forwarding &forwarding, TargetEntry relay)
{
    Proxy &proxy = *forwarding.proxy;
    const bool namesStream = !forwarding.call.resumes.empty();
    const bool continues = forwarding.started && !namesStream;
    const milliseconds budget = std::max(milliseconds(1), timeLeft(forwarding));
    const TargetRequestParams params{{}, budget, forwarding.splitter.lastId, continues ? forwarding.call.id : RequestId()};
    HttpRequest request = proxy.wire.encode(forwarding.call, params);
    request.target = std::string(peerRelayPath) + request.target;
    forwarding.target = relay.id;
    forwarding.relaying = true;
    addCounter(*proxy.metrics, "skylark_relayed_requests_total", {{"route", forwarding.route->name}});
    logSampled(EventKind::Relayed, forwarding.call.id.value, {{"route", forwarding.route->name}, {"host", relay.id.value}, {"left_ms", budget.count()}});
    Attempt attempt = co_await exchangeWith(forwarding, relay, std::move(request));
    if (attempt.end == AttemptEnd::Failed && attempt.answer && !forwarding.started) {
        co_return co_await sendWholeAnswer(forwarding, std::move(*attempt.answer));
    }
    if (attempt.end == AttemptEnd::Answered || attempt.end == AttemptEnd::CallerGone) {
        co_return attempt;
    }
    forwarding.tried.push_back(relay.id);
    forwarding.runs += attempt.end == AttemptEnd::Failed ? 1 : 0;
    forwarding.refusals += attempt.end == AttemptEnd::NotRun ? 1 : 0;
    logEvent(EventKind::RelayFailed,
             forwarding.call.id.value,
             {{"host", relay.id.value},
              {"error", errorInfo(attempt.error.code).name},
              {"run", attempt.end == AttemptEnd::NotRun ? "no" : "maybe"},
              {"detail", attempt.error.detail},
              {"events", forwarding.events}});
    co_return attempt;
}

bool acceptsCallers(const Proxy &proxy)
{
    if (!isReady(proxy) || !proxy.links.lost || !proxy.relayPeers) {
        return isReady(proxy);
    }
    const std::vector<RelayPeer> peers = proxy.relayPeers();
    return std::none_of(peers.begin(), peers.end(), [](const RelayPeer &peer) {
        return peer.candidate.linked;
    });
}

} // namespace skylark
