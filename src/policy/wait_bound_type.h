/** @file wait_bound_type.h Load of a service as one host sees it, and the bound on the wait of its requests. */
#pragma once

#include "policy/load_balance_type.h"

#include "core/clock_func.h"

namespace skylark {

/** A rate as a count of events that decays. */
struct EventRate {
    double count{0};
    TimePoint countedAt{};
};

/** Measured load of one service. */
struct ServiceLoad {
    double serviceMs{0}; ///< Moving average of the time for which a request holds a slot; 0 when unknown.
    double firstMs{0}; ///< Moving average of the time to the first event or whole answer of a request that found a free slot; 0 when unknown.
    EventRate recent; ///< This host's requests over half a second.
    EventRate longer; ///< The same over three seconds.
    double ownOnline{0}; ///< Moving average of this host's online requests in flight.
    double allOnline{0}; ///< The same of all hosts.
    TimePoint promisedUntil{}; ///< Latest time of return that a refused caller was given.
};

/** A request, for the bound on its wait. */
struct WaitBoundInput {
    std::chrono::milliseconds latencyTarget{0}; ///< Time from the arrival within which the first event is wanted.
    std::chrono::milliseconds elapsed{0}; ///< Time since the arrival.
    std::chrono::milliseconds timeLeft{0}; ///< Time until the deadline.
    unsigned priority{0}; ///< 0 is the most urgent.
    unsigned slots{0}; ///< Slots of all targets of the service.
};

/** Longest predicted waits with which a request is placed. */
struct AllowedWait {
    std::chrono::milliseconds usual{0}; ///< The request is answered within the latency target.
    std::chrono::milliseconds late{0}; ///< The request is late, but keeps its deadline; 0 while other requests want the room.
};

/** A refused request, for its time of return. */
struct ReturnInput {
    std::chrono::milliseconds shortestWait{0}; ///< Shortest predicted wait at any target.
    std::chrono::milliseconds allowedWait{0}; ///< Wait with which the request would have been placed.
    std::chrono::milliseconds timeLeft{0}; ///< Time until the deadline.
    unsigned slots{0}; ///< Slots of all targets of the service.
};

} // namespace skylark
