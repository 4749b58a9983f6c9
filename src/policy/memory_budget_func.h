/** @file memory_budget_func.h Decisions on memory that is held for connections which this process does not control. */
#pragma once

#include "policy/memory_budget_type.h"

#include <optional>
#include <vector>

namespace skylark {

/**
 * Half of the memory of the machine, less what the process needs itself, is held for callers: the other half covers copies that live for a moment, the heap's
 * fragmentation, targets, jobs and the log. A quarter of the budget is kept for small requests. Load it answers: 160 to 512 MB, several hundred connections.
 * @param memoryMegabytes Memory limit of the process; 0 when unknown.
 * @param physicalBytes Memory of the machine; half of it is the budget if the limit is unknown.
 */
[[nodiscard]] MemoryBudget budgetFor(std::uint64_t memoryMegabytes, std::uint64_t physicalBytes);

/** @return A budget of this many bytes, with the part that is kept for small requests. */
[[nodiscard]] MemoryBudget makeBudget(std::uint64_t bytes);

/**
 * Decides whether a holder may take more bytes. Large holders leave the kept part free; a large holder is always admitted while no other request does, so
 * that one request within the limits is served whatever the budget is. Load it answers: a hundred bodies of the largest size at once beside small requests.
 * @param own Bytes that the holder has already.
 */
[[nodiscard]] bool mayHold(const MemoryBudget &budget, const MemoryUse &use, std::uint64_t own, std::uint64_t more);

/**
 * Decides whether a job may be accepted whose items stay in memory until they have run: jobs take up to half of what large holders may use. The first job is
 * accepted whatever its size. Load it answers: many large submissions whose targets are busy or gone.
 * @param jobBytes Bytes of the items of unfinished jobs.
 */
[[nodiscard]] bool mayTakeJob(const MemoryBudget &budget, std::uint64_t jobBytes, std::uint64_t more);

/** @return @p use after the bytes of one holder changed from @p before to @p after. */
[[nodiscard]] MemoryUse changeUse(MemoryUse use, std::uint64_t before, std::uint64_t after);

/** @return Whether a holder is to be closed: somebody has waited for a while, and the last close had time to take effect. */
[[nodiscard]] bool mustClose(const MemoryPressure &pressure);

/**
 * Chooses the holder with the largest product of bytes and time without progress. One that has made progress a moment ago is never chosen, and a small one only
 * while a small one waits. Holders that wait for memory themselves are chosen only if no other large one is left, the largest first. Load it answers: bodies
 * that stop short of their end and callers that do not read, beside clients with slow but steady links.
 * @return Its index, or nothing.
 */
[[nodiscard]] std::optional<std::size_t> chooseHolderToClose(const std::vector<MemoryHolder> &holders, const MemoryPressure &pressure);

/**
 * @return The bytes to reserve for a body of which @p received bytes are about to be there: these while they are few, then the announced length, so that
 * bodies that are being received do not wait for one another; without one, the next power of two.
 * @param announced Length of the body; nothing if the head does not name it.
 */
[[nodiscard]] std::uint64_t bodyReservation(std::uint64_t received, std::optional<std::uint64_t> announced, std::uint64_t maxBody);

/** @return Whether a body may go on. */
[[nodiscard]] BodyVerdict judgeBody(const BodyLimits &limits, const BodyProgress &progress);

/** @return Time until judgeBody() may come to another verdict if no byte arrives. */
[[nodiscard]] std::chrono::milliseconds nextBodyVerdict(const BodyLimits &limits, const BodyProgress &progress);

} // namespace skylark
