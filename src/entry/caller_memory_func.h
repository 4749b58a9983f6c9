/** @file caller_memory_func.h Memory that an entry host holds for its callers; used on the traffic thread only. */
#pragma once

#include "entry/client_limits_type.h"
#include "http/http_server_func.h"
#include "http/memory_account_base.h"
#include "job/job_registry_base.h"
#include "proxy/proxy_base.h"

#include <memory>

namespace skylark {

/** Account of the bytes that are held for callers, and what is charged to it. */
struct CallerMemory {
    std::shared_ptr<MemoryAccount> account;
    ClientLimits limits;
    std::shared_ptr<Proxy> proxy; ///< Routes, from which the copies of a body follow, and metrics.
    std::shared_ptr<JobRegistry> jobs; ///< Jobs whose items are in memory.

    /** @param memoryMegabytes Memory limit of the process; 0 when unknown. */
    static std::shared_ptr<CallerMemory> create(const boost::asio::any_io_executor &executor,
                                                const ClientLimits &limits,
                                                std::uint64_t memoryMegabytes,
                                                std::shared_ptr<Proxy> proxy,
                                                std::shared_ptr<JobRegistry> jobs);
};

/** Sets the limits of the server for callers, and what it reports to. */
void applyCallerMemory(const std::shared_ptr<CallerMemory> &memory, HttpServerOptions &options);

/** @return Whether there is memory for the items of a submission of @p bytes. */
[[nodiscard]] bool hasRoomForJob(CallerMemory &memory, std::size_t bytes);

/** Charges the items of unfinished jobs once a second, for as long as the process runs. */
boost::asio::awaitable<void> watchJobBytes(std::shared_ptr<CallerMemory> memory);

/** Makes freed memory of large blocks go back to the system at once; it would otherwise add to the blocks that are in use. */
void limitHeapReserve();

} // namespace skylark
