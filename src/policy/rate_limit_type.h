/** @file rate_limit_type.h Rate limits that targets name in their answers, and how the hosts share them. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"
#include "policy/target_load_base.h"
#include "policy/token_bucket_func.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace skylark {

/** What an answer of a target said of its limit. */
struct LimitObservation {
    TargetId target;
    std::optional<double> perSecond; ///< Requests a second that the target takes from all hosts together; empty when it named no limit.
    TimePoint at{}; ///< Arrival of the answer.
};

/** Parameters of the division of a limit among the hosts. */
struct RateLimitSettings {
    unsigned minSenders{2}; ///< Least number of hosts that may use a limited target.
    double perSecondPerSender{2}; ///< One more host may use it for each so many requests a second of the limit.
    double burst{1.5}; ///< Most tokens of a host: those that accrue while it waits for a request are not lost at once.
    double minPerSecond{0.1}; ///< Least rate of the first of them, which notices the end of the limit.
    std::chrono::milliseconds batchWait{300}; ///< Batch items get a token that no online request has used for this time.
    std::chrono::milliseconds announceTime{10000}; ///< Age up to which an observation is announced.
};

/** Limit of one target, and this host's use of it. */
struct TargetRate {
    LimitObservation own; ///< Latest observation of this host; only this one is announced.
    LimitObservation latest; ///< Latest observation of any host.
    TimePoint namedAt{}; ///< When the target last named a limit to this host.
    std::uint64_t sent{0}; ///< Requests of this host so far.
    std::optional<std::size_t> rank; ///< This host's place among the hosts for this target, from 0; empty when it must not send. Valid while there is a limit.
    TokenBucket bucket; ///< Requests that this host may send. Valid while there is a limit.
};

/** Limits of all targets. Changed by the functions of rate_limit_func.h only. */
struct RateLimitTable {
    RateLimitSettings settings;
    HostId host; ///< This host.
    std::vector<HostId> hosts; ///< All hosts that may send requests, this one included; empty while they are not known.
    std::map<TargetId, TargetRate> targets;
};

/** This host's share of the limit of one target. */
struct LimitShare {
    bool sends{false}; ///< Whether this host may send requests to the target at all.
    double perSecond{0}; ///< Requests a second that it may send.
};

} // namespace skylark
