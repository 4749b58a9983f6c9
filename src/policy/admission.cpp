/** @file admission.cpp Admission control for online requests, earliest deadline first. */
#include "policy/admission_func.h"

#include <algorithm>

namespace skylark {

AdmissionDecision decideAdmission(const AdmissionInput &input)
{
    AdmissionDecision decision;
    if (input.wait.count() == 0 && input.ahead == 0) {
        return decision;
    }
    decision.wait = std::max(input.wait, input.slotTime) + input.slotTime * static_cast<long long>(input.ahead);
    const bool late = input.now + decision.wait > input.deadline;
    if (late || input.queued >= input.limit) {
        decision.kind = AdmissionKind::Refuse;
        decision.retryAfter = std::max(decision.wait, std::chrono::milliseconds(1000));
        return decision;
    }
    decision.kind = AdmissionKind::Queue;
    return decision;
}

std::uint64_t enqueue(AdmissionQueue &queue, TimePoint deadline)
{
    const std::uint64_t ticket = queue.nextTicket++;
    queue.tickets.emplace(std::pair(deadline, ticket), ticket);
    return ticket;
}

void dequeue(AdmissionQueue &queue, TimePoint deadline, std::uint64_t ticket)
{
    queue.tickets.erase(std::pair(deadline, ticket));
}

bool isFirst(const AdmissionQueue &queue, std::uint64_t ticket)
{
    return !queue.tickets.empty() && queue.tickets.begin()->second == ticket;
}

std::size_t countAhead(const AdmissionQueue &queue, TimePoint deadline)
{
    const auto end = queue.tickets.upper_bound(std::pair(deadline, ~std::uint64_t{0}));
    return static_cast<std::size_t>(std::distance(queue.tickets.begin(), end));
}

} // namespace skylark
