/** @file proof_upkeep.cpp Keeps the proof that this host's configuration is the newest; used on the traffic thread only. */
#include "entry/proof_upkeep_func.h"

#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "policy/config_proof_func.h"

namespace skylark {

namespace {

constexpr std::chrono::milliseconds upkeepInterval{100}; ///< Short compared with the step between the ranks of hosts.
constexpr std::chrono::milliseconds liveLimit{1000}; ///< A host of the own failure domain sends its status several times in this time.

/** @return The other hosts of the own failure domain that have sent a status recently. */
std::vector<HostId> liveHostsOfDomain(const LoadTracker &tracker, TimePoint now)
{
    std::vector<HostId> hosts;
    for (const auto &[host, peer] : tracker.peers) {
        if (peer.domain == tracker.domain && !peer.leaving && now - peer.heardAt < liveLimit) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

Revision versionInForce(const Proxy &proxy)
{
    return proxy.fleet->config ? proxy.fleet->config->version : Revision{};
}

std::int64_t ageInMs(const std::optional<std::chrono::nanoseconds> &age)
{
    return age ? std::chrono::duration_cast<std::chrono::milliseconds>(*age).count() : -1;
}

/** Logs when requests with keys begin to be refused because of the proof, and when they are admitted again. */
void logProof(ProofUpkeep &upkeep, std::string_view source, std::size_t hosts, unsigned rank, TimePoint now)
{
    const auto age = proofAge(*upkeep.state, versionInForce(*upkeep.proxy), now);
    const bool proven = decideKey(upkeep.state->limits, true, age) == KeyDecision::Admit;
    setGauge(*upkeep.proxy->metrics, "skylark_config_proof_age_seconds", {}, age ? std::chrono::duration<double>(*age).count() : -1.0);
    if (proven == upkeep.wasProven) {
        return;
    }
    upkeep.wasProven = proven;
    logEvent(EventKind::ConfigProof,
             {},
             {{"state", proven ? "proven" : "too_old"},
              {"source", source},
              {"age_ms", ageInMs(age)},
              {"version", versionInForce(*upkeep.proxy).value},
              {"hosts", hosts},
              {"rank", rank},
              {"failed", upkeep.state->failed}});
}

} // namespace

bool keepsProof(const ProofUpkeep &upkeep)
{
    const auto &config = upkeep.proxy->fleet->config;
    return upkeep.state->limits.kept && config && config->workspaces;
}

void updateProof(ProofUpkeep &upkeep, TimePoint now)
{
    recordRun(*upkeep.state, now);
    if (!keepsProof(upkeep)) {
        return;
    }
    const std::vector<HostId> others = liveHostsOfDomain(upkeep.proxy->loadTracker, now);
    const unsigned rank = proofRank(others, upkeep.host);
    logProof(upkeep, "timer", others.size() + 1, rank, now);
    if (mayAskForProof(*upkeep.state, rank, now)) {
        upkeep.state->asking = true;
        upkeep.state->askedAt = now;
        upkeep.ask();
    }
}

void applyOwnProof(ProofUpkeep &upkeep, const std::optional<ConfigProof> &proof)
{
    upkeep.state->asking = false;
    upkeep.state->failed = !proof.has_value();
    if (proof && recordProof(*upkeep.state, *proof, versionInForce(*upkeep.proxy))) {
        addCounter(*upkeep.proxy->metrics, "skylark_config_proofs_total", {{"source", "store"}});
        logProof(upkeep, "store", 0, 0, BootClock::now());
        upkeep.announce();
    }
}

void applyPeerProof(ProofUpkeep &upkeep, const HostStatus &status, std::chrono::milliseconds delay, TimePoint now)
{
    if (!keepsProof(upkeep)) {
        return;
    }
    std::optional<ConfigProof> announced;
    // Without the sender's clock the delay of the datagram is unknown.
    if (status.configProvenAt && status.sentAt.count() > 0) {
        announced = ConfigProof{status.configRevision, *status.configProvenAt - delay};
    }
    if (recordPeerProof(*upkeep.state, status.host, status.incarnation, announced, versionInForce(*upkeep.proxy), now)) {
        addCounter(*upkeep.proxy->metrics, "skylark_config_proofs_total", {{"source", "peer"}});
        logProof(upkeep, status.host.value, 0, 0, now);
    }
}

void addOwnProof(const ProofUpkeep &upkeep, HostStatus &status)
{
    if (keepsProof(upkeep) && upkeep.state->proof) {
        status.configProvenAt = upkeep.state->proof->provenAt;
    }
}

boost::asio::awaitable<void> maintainProof(ProofUpkeep &upkeep)
{
    for (;;) {
        co_await sleepFor(upkeepInterval);
        updateProof(upkeep, BootClock::now());
    }
}

} // namespace skylark
