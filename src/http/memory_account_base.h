/** @file memory_account_base.h Account of the bytes that a process holds for callers; used on one thread only. */
#pragma once

#include "core/clock_func.h"
#include "policy/memory_budget_func.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>

namespace skylark {

struct MemoryHold;

/** One holder that waits for bytes. */
struct MemoryWaiter {
    MemoryHold *hold{nullptr};
    std::uint64_t bytes{0};
    TimePoint since{};
    bool granted{false};
    boost::asio::steady_timer timer; ///< Cancelled when the wait ends early.
};

/** Account of all holders. */
struct MemoryAccount : std::enable_shared_from_this<MemoryAccount> {
    boost::asio::any_io_executor executor;
    MemoryBudget budget;
    MemoryUse use;
    std::set<MemoryHold *> holds;
    std::list<std::shared_ptr<MemoryWaiter>> waiters; ///< In the order in which they are granted: large holders, then by arrival.
    std::uint64_t waits{0}; ///< Number of waits so far.
    std::uint64_t closed{0}; ///< Number of holders closed so far.
    TimePoint closedAt{}; ///< When a holder was closed last.
    std::optional<TimePoint> exceededSince; ///< Since when the budget is exceeded by bytes that could not wait.
    bool watching{false}; ///< Whether watchPressure() runs.
    std::function<void(const MemoryHold &hold, std::chrono::milliseconds idle)> onClose; ///< Called for each holder that is closed; may be null.

    static std::shared_ptr<MemoryAccount> create(boost::asio::any_io_executor executor, MemoryBudget budget);
};

/** Bytes of one connection. */
struct MemoryHold {
    std::shared_ptr<MemoryAccount> account;
    std::uint64_t bytes{0};
    TimePoint progressAt{}; ///< Last progress.
    std::uint64_t moved{0}; ///< Bytes received or sent since then.
    bool closed{false}; ///< Whether the account has closed the holder.
    bool waiting{false}; ///< Whether it waits in reserveMemory().
    std::function<void()> close; ///< Makes the holder give up its bytes soon; null while that is not possible, unless it waits.

    /** Registers a holder with @p bytes. */
    MemoryHold(std::shared_ptr<MemoryAccount> account, std::uint64_t bytes);
    MemoryHold(const MemoryHold &) = delete;
    MemoryHold &operator=(const MemoryHold &) = delete;
    ~MemoryHold();
};

/** @return Bytes of memory of the machine. */
[[nodiscard]] std::uint64_t machineMemory();

/** Sets the bytes of a holder, without a wait: for bytes that are there already, or to give some back. */
void setHeldBytes(MemoryHold &hold, std::uint64_t bytes);

/** Sets the bytes of the items of unfinished jobs. */
void setJobBytes(MemoryAccount &account, std::uint64_t bytes);

/** Waits until the holder may have @p bytes in total, for at most @p limit. @return Whether it has them; otherwise it was closed or waited in vain. */
boost::asio::awaitable<bool> reserveMemory(std::shared_ptr<MemoryHold> hold, std::uint64_t bytes, std::chrono::milliseconds limit);

/** Records that @p bytes were received or sent. Single bytes are no progress: a client that trickles would otherwise never be closed. */
void recordMoved(MemoryHold &hold, std::uint64_t bytes);

} // namespace skylark
