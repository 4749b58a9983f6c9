/** @file admission_type.h Input and result of admission control, and the queue of waiting requests. */
#pragma once

#include "core/clock_func.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace skylark {

/** Outcome of admission control for a request. */
enum class AdmissionKind : std::uint8_t {
    Run, ///< Sent to a target now.
    Queue, ///< Waits in the queue of its model.
    Refuse, ///< Cannot start before its deadline, or the queue is full.
};

/** Input of an admission decision. */
struct AdmissionInput {
    std::chrono::milliseconds wait{0}; ///< Estimated wait for a slot on the best target, the queue not counted.
    std::size_t ahead{0}; ///< Queued requests that run before this one.
    std::size_t queued{0}; ///< Requests in the queue; 0 if this request is queued already.
    std::size_t limit{256}; ///< Maximum number of requests in the queue.
    std::chrono::milliseconds slotTime{0}; ///< Expected time between two releases of a slot for the model.
    TimePoint deadline; ///< Latest start of the request.
    TimePoint now;
};

/** Result of an admission decision. */
struct AdmissionDecision {
    AdmissionKind kind{AdmissionKind::Run};
    std::chrono::milliseconds wait{0}; ///< Estimated wait, including the queue.
    std::chrono::milliseconds retryAfter{0}; ///< For a refusal: time until a slot is expected to be free, at least 1 s.
};

/** Requests waiting for one model, earliest deadline first. decideAdmission() bounds its length. */
struct AdmissionQueue {
    std::map<std::pair<TimePoint, std::uint64_t>, std::uint64_t> tickets; ///< Ticket by (deadline, ticket).
    std::uint64_t nextTicket{1};
};

} // namespace skylark
