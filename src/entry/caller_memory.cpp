/** @file caller_memory.cpp Memory that an entry host holds for its callers. */
#include "entry/caller_memory_func.h"

#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "fleet/route_match_func.h"

#include <malloc.h>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds jobMemoryInterval{1000}; ///< Interval of the sums over the items of jobs.
constexpr milliseconds longestBodyTime{600000}; ///< Limit on the time of a body whatever its rate; the limits on its progress end a slow one earlier.
constexpr unsigned forwardedCopies = 2; ///< Of a body: one for further attempts, one that is being sent.
/** Of a submission: text, parsed text, decoded items, parts in the store's transaction, and their encoded form twice, a third larger each time. */
constexpr unsigned submissionCopies = 8;

/** Counts and logs a client that met a limit. */
void reportClientLimit(const CallerMemory &memory, const ClientLimitReport &report)
{
    addCounter(*memory.proxy->metrics, "skylark_client_limits_total", {{"cause", clientLimitName(report.cause)}});
    logEvent(EventKind::ClientLimited,
             {},
             {{"cause", clientLimitName(report.cause)},
              {"bytes", report.bytes},
              {"idle_ms", report.idle.count()},
              {"held", memory.account->use.held},
              {"budget", memory.account->budget.bytes}});
}

/** @return The number of copies of a request's body that exist while it is handled. */
unsigned copiesOfBody(const CallerMemory &memory, const HttpRequest &head)
{
    const auto config = memory.proxy->fleet->config;
    const RouteRule *route = config ? matchRoute(*config, headerValue(head.headers, "Host"), targetPath(head.target)) : nullptr;
    return route != nullptr && route->kind == CallKind::Batch ? submissionCopies : forwardedCopies;
}

/** @return The bytes that an item takes. */
std::uint64_t bytesOf(const JobItem &item)
{
    std::uint64_t bytes = sizeof(JobItem) + item.body.size();
    for (const HttpHeader &header : item.headers) {
        bytes += sizeof(HttpHeader) + header.name.size() + header.value.size();
    }
    return bytes;
}

/** Charges the items of unfinished jobs. @return Their bytes. */
std::uint64_t updateJobBytes(CallerMemory &memory)
{
    std::uint64_t bytes = 0;
    for (const auto &[id, known] : memory.jobs->jobs) {
        for (const JobItem &item : known.items) {
            bytes += bytesOf(item);
        }
    }
    setJobBytes(*memory.account, bytes);
    return bytes;
}

} // namespace

std::shared_ptr<CallerMemory> CallerMemory::create(const asio::any_io_executor &executor,
                                                   const ClientLimits &limits,
                                                   std::uint64_t memoryMegabytes,
                                                   std::shared_ptr<Proxy> proxy,
                                                   std::shared_ptr<JobRegistry> jobs)
{
    const MemoryBudget budget = limits.memoryMegabytes > 0 ? makeBudget(limits.memoryMegabytes << 20U) : budgetFor(memoryMegabytes, machineMemory());
    auto memory = std::make_shared<CallerMemory>();
    memory->account = MemoryAccount::create(executor, budget);
    memory->limits = limits;
    memory->proxy = std::move(proxy);
    memory->jobs = std::move(jobs);
    memory->account->onClose = [weak = std::weak_ptr<CallerMemory>(memory)](const MemoryHold &hold, milliseconds idle) {
        if (const auto strong = weak.lock()) {
            reportClientLimit(*strong, {ClientLimit::MemoryClosed, hold.bytes, idle});
        }
    };
    return memory;
}

void applyCallerMemory(const std::shared_ptr<CallerMemory> &memory, HttpServerOptions &options)
{
    options.memory = memory->account;
    options.bodyTimeout = longestBodyTime;
    options.bodyLimits = memory->limits.body;
    options.memoryWait = memory->limits.memoryWait;
    options.bodyCopies = [memory](const HttpRequest &head) {
        return copiesOfBody(*memory, head);
    };
    options.onClientLimit = [memory](const ClientLimitReport &report) {
        reportClientLimit(*memory, report);
    };
}

bool hasRoomForJob(CallerMemory &memory, std::size_t bytes)
{
    return mayTakeJob(memory.account->budget, updateJobBytes(memory), bytes);
}

asio::awaitable<void> watchJobBytes(std::shared_ptr<CallerMemory> memory)
{
    for (;;) {
        co_await sleepFor(jobMemoryInterval);
        updateJobBytes(*memory);
    }
}

void limitHeapReserve()
{
    constexpr int mappedFrom = 262144; // Fixed, because the allocator otherwise raises it up to 32 MiB.
    constexpr int arenas = 2;
    ::mallopt(M_MMAP_THRESHOLD, mappedFrom);
    ::mallopt(M_TRIM_THRESHOLD, 2 * mappedFrom);
    ::mallopt(M_ARENA_MAX, arenas);
}

} // namespace skylark
