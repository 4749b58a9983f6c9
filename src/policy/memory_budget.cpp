/** @file memory_budget.cpp Decisions on memory that is held for connections which this process does not control. */
#include "policy/memory_budget_func.h"

#include <algorithm>
#include <bit>

namespace skylark {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t ownBytes = std::uint64_t{16} << 20U; ///< What a process without callers takes.
constexpr std::uint64_t leastBudget = std::uint64_t{8} << 20U; ///< Two bodies of the largest legal size.
constexpr std::uint64_t keptShare = 4; ///< One in this many bytes is kept for small requests.
constexpr milliseconds patience{200}; ///< Wait for memory after which a holder is closed: requests that are being handled end in the meantime.
constexpr milliseconds closeInterval{50}; ///< Time for the memory of a closed holder to be given back.
constexpr milliseconds activeTime{100}; ///< A holder that has made progress in this time is not closed.

bool isLarge(std::uint64_t bytes)
{
    return bytes > smallHoldBytes;
}

/** @return The holder with the most bytes of those that wait, or nothing; large holders that wait for one another would otherwise do so until their time is
 * over. */
std::optional<std::size_t> largestWaiting(const std::vector<MemoryHolder> &holders, bool alsoSmall)
{
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        if (holders[i].waits && (alsoSmall || isLarge(holders[i].bytes)) && (!chosen || holders[i].bytes > holders[*chosen].bytes)) {
            chosen = i;
        }
    }
    return chosen;
}

/** @return Time in which a body must have begun to make the minimum rate up to now. */
milliseconds timeAtMinRate(const BodyLimits &limits, std::uint64_t bytes)
{
    return milliseconds(limits.minRate == 0 ? milliseconds::max().count() / 2 : static_cast<std::int64_t>(bytes * 1000 / limits.minRate));
}

} // namespace

MemoryBudget budgetFor(std::uint64_t memoryMegabytes, std::uint64_t physicalBytes)
{
    if (memoryMegabytes == 0) {
        return makeBudget(physicalBytes / 2);
    }
    const std::uint64_t half = (memoryMegabytes << 20U) / 2;
    return makeBudget(std::max(half, ownBytes + leastBudget) - ownBytes);
}

MemoryBudget makeBudget(std::uint64_t bytes)
{
    return {bytes, bytes / keptShare};
}

bool mayHold(const MemoryBudget &budget, const MemoryUse &use, std::uint64_t own, std::uint64_t more)
{
    if (!isLarge(own + more)) {
        // A single large holder may exceed the budget; small ones still have their part.
        return use.held + more <= budget.bytes || use.held - use.large + more <= budget.kept;
    }
    const MemoryUse after = changeUse(use, own, own + more);
    const bool alone = after.large - after.jobs == own + more;
    return alone || (after.large <= budget.bytes - budget.kept && after.held <= budget.bytes);
}

bool mayTakeJob(const MemoryBudget &budget, std::uint64_t jobBytes, std::uint64_t more)
{
    return jobBytes == 0 || jobBytes + more <= (budget.bytes - budget.kept) / 2;
}

MemoryUse changeUse(MemoryUse use, std::uint64_t before, std::uint64_t after)
{
    use.held = use.held - before + after;
    use.large = use.large - (isLarge(before) ? before : 0) + (isLarge(after) ? after : 0);
    return use;
}

bool mustClose(const MemoryPressure &pressure)
{
    return pressure.waited >= patience && pressure.sinceClose >= closeInterval;
}

std::optional<std::size_t> chooseHolderToClose(const std::vector<MemoryHolder> &holders, const MemoryPressure &pressure)
{
    std::optional<std::size_t> chosen;
    double worst = 0;
    bool anyMoves = false;
    for (std::size_t i = 0; i < holders.size(); ++i) {
        const MemoryHolder &holder = holders[i];
        anyMoves = anyMoves || (!holder.waits && isLarge(holder.bytes));
        const bool blocks = holder.closable && !holder.waits && holder.idle >= activeTime && (pressure.smallWaits || isLarge(holder.bytes));
        const double product = static_cast<double>(holder.bytes) * static_cast<double>(holder.idle.count());
        if (blocks && product > worst) {
            worst = product;
            chosen = i;
        }
    }
    return chosen || (anyMoves && !pressure.smallWaits) ? chosen : largestWaiting(holders, pressure.smallWaits);
}

std::uint64_t bodyReservation(std::uint64_t received, std::optional<std::uint64_t> announced, std::uint64_t maxBody)
{
    if (received <= bodyProofBytes) {
        return received;
    }
    return std::max(received, std::min(announced.value_or(std::bit_ceil(received)), maxBody));
}

BodyVerdict judgeBody(const BodyLimits &limits, const BodyProgress &progress)
{
    if (progress.idle >= limits.stall) {
        return BodyVerdict::Stalled;
    }
    const bool slow = progress.elapsed >= limits.grace && progress.elapsed >= timeAtMinRate(limits, progress.bytes);
    return slow ? BodyVerdict::TooSlow : BodyVerdict::GoOn;
}

milliseconds nextBodyVerdict(const BodyLimits &limits, const BodyProgress &progress)
{
    const milliseconds slowAfter = std::max(limits.grace, timeAtMinRate(limits, progress.bytes)) - progress.elapsed;
    return std::max(milliseconds(0), std::min(limits.stall - progress.idle, slowAfter));
}

} // namespace skylark
