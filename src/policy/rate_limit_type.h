/** @file rate_limit_type.h Rate limits that targets name in their answers, for the requests of all hosts together. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"

#include <map>
#include <optional>

namespace skylark {

/** What an answer of a target said of its limit. */
struct LimitObservation {
    TargetId target;
    std::optional<double> perSecond; ///< Requests a second that the target takes from all hosts together; empty when it named no limit.
    TimePoint at{}; ///< Arrival of the answer.
};

/** Limit of one target. */
struct TargetRate {
    LimitObservation own; ///< Latest observation of this host; only this one is announced.
    LimitObservation latest; ///< Latest observation of any host.
    std::uint64_t sent{0}; ///< Requests of this host so far.
};

/** Limits of all targets. Changed by the functions of rate_limit_func.h only. */
struct RateLimitTable {
    std::map<TargetId, TargetRate> targets;
};

} // namespace skylark
