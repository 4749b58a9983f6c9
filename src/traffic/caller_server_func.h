/** @file caller_server_func.h HTTP server for callers: filter chain, online execution, streaming. */
#pragma once

#include "batch/batch_service_func.h"
#include "daemon/host_context_base.h"

#include <memory>

namespace skylark {

/** Callers' server; runs on the online thread. */
struct CallerServer {
    struct Impl;
    std::shared_ptr<Impl> impl; ///< Hidden state.

    /** Listens on the host's HTTP address. */
    static Result<std::shared_ptr<CallerServer>> create(HostContext &context, std::shared_ptr<BatchService> batch);
};

/** Planned stop, first step: answers carry "Connection: close"; serving goes on. Call on the online thread. */
void announceStop(CallerServer &server);

/** Planned stop, second step: stops accepting, waits for running requests up to @p timeout. Runs on the online thread. */
boost::asio::awaitable<std::size_t> drainCallers(CallerServer &server, std::chrono::milliseconds timeout);

} // namespace skylark
