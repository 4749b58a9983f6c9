/** @file memory_account.cpp Account of the bytes that a process holds for callers. */
#include "http/memory_account_base.h"

#include "core/async_sleep_func.h"
#include "core/task_func.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <unistd.h>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds watchInterval{25};
constexpr std::uint64_t progressBytes = 4096; ///< Bytes that count as progress.

milliseconds timeSince(TimePoint then, TimePoint now)
{
    return std::chrono::duration_cast<milliseconds>(now - then);
}

bool isSmallWait(const MemoryWaiter &waiter)
{
    return waiter.hold->bytes + waiter.bytes <= smallHoldBytes;
}

MemoryPressure pressureOf(const MemoryAccount &account, TimePoint now)
{
    TimePoint first = account.exceededSince.value_or(now);
    bool smallWaits = account.exceededSince && account.use.held - account.use.large > account.budget.kept;
    for (const auto &waiter : account.waiters) {
        first = std::min(first, waiter->since);
        smallWaits = smallWaits || isSmallWait(*waiter);
    }
    return {timeSince(first, now), timeSince(account.closedAt, now), smallWaits};
}

/** Closes the holder that chooseHolderToClose() names. */
void closeOne(MemoryAccount &account, const MemoryPressure &pressure, TimePoint now)
{
    std::vector<MemoryHold *> open;
    std::vector<MemoryHolder> views;
    for (MemoryHold *hold : account.holds) {
        if (!hold->closed) {
            open.push_back(hold);
            views.push_back({hold->bytes, timeSince(hold->progressAt, now), hold->waiting, hold->close != nullptr});
        }
    }
    const auto chosen = chooseHolderToClose(views, pressure);
    if (!chosen) {
        return;
    }
    MemoryHold &hold = *open[*chosen];
    hold.closed = true;
    account.closedAt = now;
    ++account.closed;
    if (account.onClose) {
        account.onClose(hold, views[*chosen].idle);
    }
    for (const auto &waiter : account.waiters) {
        if (waiter->hold == &hold) {
            waiter->timer.cancel();
        }
    }
    if (hold.close) {
        const auto close = hold.close; // The holder may replace it.
        close();
    }
}

/** Closes holders while others wait or the budget is exceeded. */
asio::awaitable<void> watchPressure(std::shared_ptr<MemoryAccount> account)
{
    while (!account->waiters.empty() || account->exceededSince) {
        co_await sleepFor(watchInterval);
        const TimePoint now = BootClock::now();
        const MemoryPressure pressure = pressureOf(*account, now);
        if (mustClose(pressure)) {
            closeOne(*account, pressure, now);
        }
    }
    account->watching = false;
}

void startWatch(MemoryAccount &account)
{
    if (!account.watching) {
        account.watching = true;
        startLoop(account.executor, "watch of memory", [watched = account.shared_from_this()] {
            return watchPressure(watched);
        });
    }
}

/** Grants bytes to those that wait, in the order of the list; small ones do not wait behind large ones. */
void grantWaiters(MemoryAccount &account)
{
    bool largeWaits = false;
    for (const auto &waiter : account.waiters) {
        if (waiter->granted || waiter->hold->closed) {
            continue;
        }
        const bool small = isSmallWait(*waiter);
        if ((small || !largeWaits) && mayHold(account.budget, account.use, waiter->hold->bytes, waiter->bytes)) {
            waiter->granted = true;
            account.use = changeUse(account.use, waiter->hold->bytes, waiter->hold->bytes + waiter->bytes);
            waiter->hold->bytes += waiter->bytes;
            waiter->timer.cancel();
        } else {
            largeWaits = largeWaits || !small;
        }
    }
}

/** Keeps a waiter in the list while its coroutine exists; the event loop may destroy the coroutine before the wait has ended. */
struct WaiterRegistration {
    MemoryAccount &account;
    std::shared_ptr<MemoryWaiter> waiter;

    WaiterRegistration(MemoryAccount &owner, std::shared_ptr<MemoryWaiter> waiting)
        : account(owner)
        , waiter(std::move(waiting))
    {
        // A large holder goes first: it gives its bytes back once it has the rest.
        auto &waiters = this->account.waiters;
        waiters.insert(this->waiter->hold->bytes > smallHoldBytes ? waiters.begin() : waiters.end(), this->waiter);
    }
    WaiterRegistration(const WaiterRegistration &) = delete;
    WaiterRegistration &operator=(const WaiterRegistration &) = delete;
    ~WaiterRegistration()
    {
        this->waiter->hold->waiting = false;
        this->account.waiters.remove(this->waiter);
    }
};

/** Adapts the account to a change of its use. */
void useChanged(MemoryAccount &account)
{
    if (account.use.held <= account.budget.bytes) {
        account.exceededSince.reset();
    } else if (!account.exceededSince) {
        account.exceededSince = BootClock::now();
        startWatch(account);
    }
    if (!account.waiters.empty()) {
        grantWaiters(account);
    }
}

} // namespace

std::shared_ptr<MemoryAccount> MemoryAccount::create(asio::any_io_executor executor, MemoryBudget budget)
{
    auto account = std::make_shared<MemoryAccount>();
    account->executor = std::move(executor);
    account->budget = budget;
    return account;
}

MemoryHold::MemoryHold(std::shared_ptr<MemoryAccount> owner, std::uint64_t initialBytes)
    : account(std::move(owner))
    , progressAt(BootClock::now())
{
    this->account->holds.insert(this);
    setHeldBytes(*this, initialBytes);
}

MemoryHold::~MemoryHold()
{
    setHeldBytes(*this, 0);
    this->account->holds.erase(this);
}

std::uint64_t machineMemory()
{
    return static_cast<std::uint64_t>(std::max(0L, ::sysconf(_SC_PHYS_PAGES))) * static_cast<std::uint64_t>(std::max(0L, ::sysconf(_SC_PAGESIZE)));
}

void setHeldBytes(MemoryHold &hold, std::uint64_t bytes)
{
    MemoryAccount &account = *hold.account;
    if (bytes != hold.bytes) {
        account.use = changeUse(account.use, hold.bytes, bytes);
        hold.bytes = bytes;
        useChanged(account);
    }
}

void setJobBytes(MemoryAccount &account, std::uint64_t bytes)
{
    // Jobs that wait for their targets must not shut all large requests out.
    const std::uint64_t counted = std::min(bytes, (account.budget.bytes - account.budget.kept) / 2);
    if (counted != account.use.jobs) {
        account.use.held = account.use.held - account.use.jobs + counted;
        account.use.large = account.use.large - account.use.jobs + counted;
        account.use.jobs = counted;
        useChanged(account);
    }
}

asio::awaitable<bool> reserveMemory(std::shared_ptr<MemoryHold> hold, std::uint64_t bytes, milliseconds limit)
{
    const auto account = hold->account;
    if (bytes <= hold->bytes) {
        co_return !hold->closed;
    }
    if (account->waiters.empty() && !hold->closed && mayHold(account->budget, account->use, hold->bytes, bytes - hold->bytes)) {
        setHeldBytes(*hold, bytes);
        co_return true;
    }
    const auto waiter =
        std::make_shared<MemoryWaiter>(MemoryWaiter{hold.get(), bytes - hold->bytes, BootClock::now(), false, asio::steady_timer(account->executor)});
    {
        const WaiterRegistration registration(*account, waiter);
        grantWaiters(*account);
        if (!waiter->granted && !hold->closed) {
            ++account->waits;
            startWatch(*account);
            hold->waiting = true;
            waiter->timer.expires_after(limit);
            co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }
    useChanged(*account); // Those behind this one may have waited for it only.
    co_return waiter->granted && !hold->closed;
}

void recordMoved(MemoryHold &hold, std::uint64_t bytes)
{
    hold.moved += bytes;
    if (hold.moved >= progressBytes) {
        hold.moved = 0;
        hold.progressAt = BootClock::now();
    }
}

} // namespace skylark
