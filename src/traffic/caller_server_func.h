/** @file caller_server_func.h HTTP server for callers: chat completions, batch jobs and service calls. */
#pragma once

#include "batch/batch_service_func.h"
#include "daemon/host_context_base.h"

#include <memory>

namespace skylark {

/** HTTP server for callers; runs on the online thread. */
struct CallerServer {
    struct Impl;
    std::shared_ptr<Impl> impl;

    /** Listens on this host's HTTP address from the settings. @param batch Handles requests about jobs; may be null. */
    static Result<std::shared_ptr<CallerServer>> create(HostContext &context, std::shared_ptr<BatchService> batch);
};

/** First step of a planned stop: responses carry "Connection: close" while requests are still served. Call on the online thread. */
void announceStop(CallerServer &server);

/**
 * Second step of a planned stop: stops accepting connections and waits up to @p timeout for running requests. Runs on the online
 * thread.
 * @return Requests that are still running.
 */
boost::asio::awaitable<std::size_t> drainCallers(CallerServer &server, std::chrono::milliseconds timeout);

/**
 * Last step of a planned stop: answers the requests that have no response yet, 503 if they did not run and 504 if they may have run. The event loop of the
 * online thread must not run afterwards, or requests that were said not to have run might.
 * @return Requests that were still running, with and without a response.
 */
std::size_t answerRemaining(CallerServer &server);

} // namespace skylark
