/** @file admission_func.h Admission of online requests in the order of their deadlines. */
#pragma once

#include "policy/admission_type.h"

namespace skylark {

/** Decides whether a request runs now, waits or is refused early. */
[[nodiscard]] AdmissionDecision decideAdmission(const AdmissionQuestion &question);

/** Adds a request. @return Its ticket. */
std::uint64_t enqueue(AdmissionQueue &queue, TimePoint deadline);

/** Removes a request. */
void dequeue(AdmissionQueue &queue, TimePoint deadline, std::uint64_t ticket);

/** @return Whether @p ticket is the next to run. */
[[nodiscard]] bool isFirst(const AdmissionQueue &queue, std::uint64_t ticket);

/** @return Requests that a new request with @p deadline would wait behind. */
[[nodiscard]] std::size_t aheadOf(const AdmissionQueue &queue, TimePoint deadline);

} // namespace skylark
