/** @file config_proof_type.h Proof that a host's configuration is the newest one, and what the host knows of its senders. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace skylark {

/** Limits on the age of a proof. */
struct ConfigProofLimits {
    bool kept{false}; ///< Whether the hosts keep proofs; without them, the configuration in force decides alone.
    std::chrono::milliseconds revocationLimit{5000}; ///< Time after which no request with a revoked key may run.
    std::chrono::milliseconds configLimit{3000}; ///< Time after which a new configuration must be in force.
};

/** Proof that no configuration newer than a version had been confirmed by the key-value service at some time. */
struct ConfigProof {
    Revision version; ///< Newest version at that time.
    TimePoint provenAt{}; ///< Start of the call that showed it, on this host's boot clock; never later than the true time.
};

/** Another host that announces proofs. */
struct ProofSender {
    std::uint64_t incarnation{0}; ///< Run of its process.
    TimePoint heardSince{}; ///< Since when its datagrams have been read without a pause of this host.
    TimePoint heardAt{}; ///< Arrival of its last datagram.
    bool trusted{false}; ///< Whether the delay of its datagrams is known, so that announced ages can be corrected.
};

/** A host's proof, and the state of its attempts to renew it; owned by the traffic thread. */
struct ConfigProofState {
    ConfigProofLimits limits;
    std::optional<ConfigProof> proof; ///< Newest proof; empty until there is one.
    std::map<HostId, ProofSender> senders; ///< Hosts whose datagrams have arrived.
    TimePoint lastRunAt{}; ///< When the thread last handled a datagram or a timer; a pause shows that the machine was suspended or overloaded.
    TimePoint askedAt{}; ///< Start of this host's last call to the service.
    bool asking{false}; ///< Whether such a call is in progress.
    bool failed{false}; ///< Whether the last call failed.
};

/** What a host does with a request that needs a key. */
enum class KeyDecision : std::uint8_t {
    Admit, ///< The key is known and the configuration is proved to be recent enough.
    Refuse, ///< The key is unknown; 401.
    Undecided, ///< The proof is too old to tell; 503.
};

} // namespace skylark
