/** @file admission_type.h Inputs and outcome of an admission decision. */
#pragma once

#include "core/clock_func.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace skylark {

/** What happens to a request. */
enum class AdmissionKind : std::uint8_t {
    Run, ///< It is sent now.
    Queue, ///< It waits in the queue of its model.
    Refuse, ///< It cannot start before its deadline.
};

/** Question: does this request run, wait or get refused? */
struct AdmissionQuestion {
    std::chrono::milliseconds wait{0}; ///< Estimated wait on the best target, without the queue.
    std::size_t ahead{0}; ///< Requests of the queue with an earlier deadline.
    std::size_t queued{0}; ///< Requests in the queue.
    std::size_t limit{256}; ///< Most requests in the queue.
    std::chrono::milliseconds slotTime{0}; ///< Usual time between two slots of the model becoming free.
    TimePoint deadline; ///< Latest start.
    TimePoint now; ///< Present time.
};

/** Answer. */
struct AdmissionDecision {
    AdmissionKind kind{AdmissionKind::Run}; ///< What happens.
    std::chrono::milliseconds wait{0}; ///< Estimated wait, the queue included.
    std::chrono::milliseconds retryAfter{0}; ///< For a refusal: when a slot is likely.
};

/** Requests waiting for one model, the earliest deadline first. Bounded by the admission decision. */
struct AdmissionQueue {
    std::map<std::pair<TimePoint, std::uint64_t>, std::uint64_t> tickets; ///< (deadline, ticket) to ticket.
    std::uint64_t nextTicket{1}; ///< Next ticket.
};

} // namespace skylark
