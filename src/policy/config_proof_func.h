/** @file config_proof_func.h Decides how old a proof of the configuration may be, who renews it, and which announcements count. */
#pragma once

#include "policy/config_proof_type.h"

#include <vector>

namespace skylark {

/** @return Age up to which a proof admits requests: the revocation limit less a margin for the time until the request is sent. */
[[nodiscard]] std::chrono::milliseconds maxProofAge(const ConfigProofLimits &limits);

/** @return Age of the proof for the configuration @p inForce; empty when there is none. */
[[nodiscard]] std::optional<std::chrono::nanoseconds> proofAge(const ConfigProofState &state, Revision inForce, TimePoint now);

/**
 * Decides on a request that needs a key. Load: a host that is cut off, suspended or fed by an outdated one, while other hosts have adopted a configuration that
 * removes or adds a key. Any version of the same or a later configuration is as good as the proved one: what was confirmed before the proof is in it.
 * @param known Whether a workspace of the configuration in force has the key.
 * @param age Age of the proof, as proofAge() returns it.
 */
[[nodiscard]] KeyDecision decideKey(const ConfigProofLimits &limits, bool known, std::optional<std::chrono::nanoseconds> age);

/** Records a proof for the configuration @p inForce or an older one. @return Whether it is later than the present one. */
bool recordProof(ConfigProofState &state, const ConfigProof &proof, Revision inForce);

/**
 * Records that the thread runs. A host that was suspended reads datagrams that are as old as its pause; those of a sender whose usual delay it does not know
 * yet must not count, so that the observation of such senders begins again.
 */
void recordRun(ConfigProofState &state, TimePoint now);

/**
 * Records the datagram of another host, with or without a proof.
 * @param announced Proof in the datagram; its time is the arrival less the announced age, corrected by the datagram's excess delay. Empty without one.
 * @return Whether the proof is adopted and is later than the present one.
 */
bool recordPeerProof(
    ConfigProofState &state, const HostId &sender, std::uint64_t incarnation, const std::optional<ConfigProof> &announced, Revision inForce, TimePoint now);

/** @return Rank of @p own among the live hosts of its failure domain by rendezvous hashing; 0 asks first. @param others Other live hosts of the domain. */
[[nodiscard]] unsigned proofRank(const std::vector<HostId> &others, const HostId &own);

/**
 * @return Time after a proof at which the host with @p rank renews it: a quarter of the revocation limit, and one step more for each doubling of the rank.
 * Load: failure domains of 33 hosts, of which the service refuses any number. One host asks in the usual case, and the last one still asks in time.
 */
[[nodiscard]] std::chrono::milliseconds renewalDelay(const ConfigProofLimits &limits, unsigned rank);

/** @return Whether the host with @p rank asks the service now. After a failed call it waits for renewalDelay() again. */
[[nodiscard]] bool mayAskForProof(const ConfigProofState &state, unsigned rank, TimePoint now);

} // namespace skylark
