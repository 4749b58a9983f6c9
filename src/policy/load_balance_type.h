/** @file load_balance_type.h Input and outcome of load balancing over targets that several hosts share. */
#pragma once

#include "core/id_type.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace skylark {

/** One target that could run the request, with the known requests of all hosts on it. */
struct BalanceCandidate {
    TargetId id;
    unsigned slots{1}; ///< Maximum number of concurrent requests.
    unsigned online{0}; ///< Online requests in flight: own ones and those announced by other hosts.
    unsigned batch{0}; ///< Batch items in flight: own ones and those announced by other hosts.
    bool sameDomain{true}; ///< Whether it is in this host's failure domain.
    std::chrono::milliseconds countsAge{0}; ///< Age of the oldest counts announced by a host of its failure domain.
    bool suspect{false}; ///< Whether it failed recently.
    bool silent{false}; ///< Whether it has not responded for a while to requests that wait for it.
    bool tried{false}; ///< Whether this request failed on it.
    bool rateLimited{false}; ///< Whether this host must not send it a request now, because of the target's rate limit.
    double slowness{1.0}; ///< Time to the first answer divided by the median of the service; 1 when unknown.
    double keptTokens{0}; ///< Tokens of the request's prompt that the target is expected to hold.
    double keptShare{0}; ///< The same as a share of the prompt.
    bool keptGuessed{false}; ///< Whether that rests on the ranking alone, not on what this host has sent.
    double savedMs{0}; ///< Time that they are expected to save, in milliseconds; 0 when it is unknown.
};

/** Limit of the queue at a target, which bounds the wait of a request. */
struct BalanceLimits {
    unsigned queuePerSlotPercent{50}; ///< Online requests that may wait at a target, in percent of its slots; at least one may wait.
    std::chrono::milliseconds serviceTime{700}; ///< Time that a request holds a slot.
    std::optional<std::chrono::milliseconds> maxWait; ///< Longest predicted wait at a target; replaces the bound by the number of its slots.
    std::chrono::milliseconds lateWait{0}; ///< Longest predicted wait where every target exceeds maxWait; less than maxWait if the request must not be late.
};

/** Outcome of load balancing for one request. */
enum class BalanceReason : std::uint8_t {
    FreeSlot, ///< A slot is free.
    BatchYields, ///< A batch item must be preempted for the request.
    Queued, ///< The request waits at the target behind other online requests.
    Full, ///< The queue of every untried target is full; no further request could be served in time.
    LateStart, ///< The predicted wait at every untried target exceeds the bound.
    RateLimited, ///< Every untried target that is not full has a rate limit that this host has used up.
    NoTarget, ///< There are no candidates, or this request has tried all of them.
};

/** Chosen target, or the reason why there is none. */
struct BalanceChoice {
    BalanceReason reason{BalanceReason::NoTarget};
    TargetId target; ///< Empty when the reason is Full or NoTarget.
    unsigned online{0}; ///< Known online requests on the target.
    unsigned batch{0}; ///< Known batch items on the target.
    double keptTokens{0}; ///< Tokens of the prompt that the target is expected to hold.
    double savedMs{0}; ///< Time by which kept parts of the prompt outweigh the wait at the target; 0 when they did not count.
    std::chrono::milliseconds wait{0}; ///< Predicted wait at the target; for LateStart, the shortest one at any target.
    bool keptGuessed{false}; ///< Whether @c keptTokens rests on the ranking alone.
    double slowness{1.0}; ///< Slowness of the target.
};

} // namespace skylark
