/** @file link_state_type.h Whether this host can reach the targets, and which host can serve its callers otherwise. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"

#include <chrono>
#include <vector>

namespace skylark {

/** Trouble with targets that may come from this host's links. */
struct LinkTrouble {
    unsigned targets{0}; ///< Known targets.
    unsigned unreachable{0}; ///< Targets to which a connection could not be opened lately.
    unsigned silent{0}; ///< Targets that do not respond to the requests that wait for them.
};

/** Result of opening connections to several targets at the same time. */
struct LinkTest {
    unsigned tried{0};
    unsigned opened{0};
};

/** Another host that could serve a request of this host's callers. */
struct RelayCandidate {
    HostId host;
    bool sameDomain{false}; ///< Whether it is in the failure domain of this host.
    bool linked{false}; ///< Whether it is ready and has links to the targets, by a current status.
};

} // namespace skylark
