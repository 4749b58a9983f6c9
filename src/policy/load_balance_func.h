/** @file load_balance_func.h Load balancing over targets that several hosts share. */
#pragma once

#include "policy/load_balance_type.h"

#include <string_view>

namespace skylark {

/** @return Name of @p reason in logs and metrics. */
[[nodiscard]] std::string_view balanceReasonName(BalanceReason reason);

/**
 * Chooses the target with the shortest expected wait. Batch items add little to the load, because a target preempts them within one step.
 * @param draw Uniform random number that breaks ties, so that hosts with the same counts do not all choose the same target.
 */
[[nodiscard]] BalanceChoice balanceRequest(const std::vector<BalanceCandidate> &candidates, const BalanceLimits &limits, std::uint64_t draw);

/** Input of the retry delay for a request that is refused because no target can take it. */
struct RefusalInput {
    unsigned online{0}; ///< Online requests in flight on all targets of the service.
    unsigned slots{0}; ///< Total slots of all targets of the service.
    double limitPerSecond{0}; ///< Sum of the rate limits of the targets that have one.
    bool rateLimited{false}; ///< Whether rate limits are the reason.
    std::chrono::milliseconds serviceTime{700}; ///< Typical time that a request holds a slot.
    std::chrono::milliseconds remaining{0}; ///< Remaining time for which the caller waits.
    std::uint64_t draw{0}; ///< Uniform random number for the jitter of the delay.
};

/** @return Delay after which the caller should retry: the expected time to serve the requests ahead, or until all limits together allow one more, plus a jitter
 * of up to the same length. The delay is at most a third of the remaining time, but at least 200 ms. */
[[nodiscard]] std::chrono::milliseconds refusalDelay(const RefusalInput &input);

} // namespace skylark
