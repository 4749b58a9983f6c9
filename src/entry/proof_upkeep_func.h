/** @file proof_upkeep_func.h Keeps the proof that this host's configuration is the newest; used on the traffic thread only. */
#pragma once

#include "policy/config_proof_type.h"
#include "proxy/proxy_base.h"

#include <functional>
#include <memory>

namespace skylark {

/** Upkeep of the proof. */
struct ProofUpkeep {
    std::shared_ptr<Proxy> proxy; ///< Configuration in force and other hosts.
    std::shared_ptr<ConfigProofState> state;
    HostId host; ///< This host.
    std::function<void()> ask; ///< Starts a call to the key-value service, whose outcome goes to applyOwnProof().
    std::function<void()> announce; ///< Schedules an early announcement of the proof.
    bool wasProven{false}; ///< Last logged state.
};

/** @return Whether the hosts keep proofs under the configuration in force: revocation is bounded, and there are workspaces. */
[[nodiscard]] bool keepsProof(const ProofUpkeep &upkeep);

/** Asks for a new proof if it is this host's turn, and logs whether requests with keys are admitted. To be called several times a second. */
void updateProof(ProofUpkeep &upkeep, TimePoint now);

/** Applies the outcome of this host's own call. @param proof Empty when the call failed. */
void applyOwnProof(ProofUpkeep &upkeep, const std::optional<ConfigProof> &proof);

/** Applies the announcement in a status datagram. @param delay Excess delay of the datagram. */
void applyPeerProof(ProofUpkeep &upkeep, const HostStatus &status, std::chrono::milliseconds delay, TimePoint now);

/** Adds the proof of this host to a status that it sends. */
void addOwnProof(const ProofUpkeep &upkeep, HostStatus &status);

/** Calls updateProof() for as long as the process runs. */
boost::asio::awaitable<void> maintainProof(ProofUpkeep &upkeep);

} // namespace skylark
