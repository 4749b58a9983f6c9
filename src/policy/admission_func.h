/** @file admission_func.h Admission control for online requests, earliest deadline first. */
#pragma once

#include "policy/admission_type.h"

namespace skylark {

/** Decides whether a request runs now, is queued, or is refused early: because it cannot start by its deadline or the queue is full. */
[[nodiscard]] AdmissionDecision decideAdmission(const AdmissionInput &input);

/** Adds a request to the queue. @return Its ticket, never 0. */
std::uint64_t enqueue(AdmissionQueue &queue, TimePoint deadline);

/** Removes a request from the queue, whatever its position. @param deadline The deadline it was enqueued with. */
void dequeue(AdmissionQueue &queue, TimePoint deadline, std::uint64_t ticket);

/** @return Whether @p ticket is at the head of the queue. */
[[nodiscard]] bool isFirst(const AdmissionQueue &queue, std::uint64_t ticket);

/** @return Number of queued requests with the same or an earlier deadline; a new request with @p deadline waits behind them. */
[[nodiscard]] std::size_t countAhead(const AdmissionQueue &queue, TimePoint deadline);

} // namespace skylark
