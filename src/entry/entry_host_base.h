/** @file entry_host_base.h Components of an entry host, its shutdown and the reload of its settings. */
#pragma once

#include "entry/caller_memory_func.h"
#include "entry/entry_host_func.h"
#include "entry/origin_upkeep_func.h"
#include "entry/peer_link_func.h"
#include "entry/proof_upkeep_func.h"
#include "job/job_runner_func.h"
#include "quota/request_quotas_base.h"

#include <boost/asio/io_context.hpp>

namespace skylark {

/** Components of the host. Both threads refer to it until the process exits. */
struct EntryHost {
    EntrySettings settings; ///< Belongs to the traffic thread once the host runs.
    EntryAdapters adapters; ///< Adapters of the platform.
    boost::asio::io_context control{1}; ///< Event loop of the control thread.
    boost::asio::io_context traffic{1}; ///< Event loop of the traffic thread.
    std::shared_ptr<MetricsRegistry> metrics; ///< Shared by both threads.
    std::shared_ptr<CallerMemory> memory; ///< Bytes held for callers. Traffic thread.
    SessionId session; ///< Random identifier of this run of the process.
    std::unique_ptr<FleetController> fleet; ///< Control thread.
    std::shared_ptr<Proxy> proxy; ///< Traffic thread.
    std::shared_ptr<JobRegistry> jobs; ///< Traffic thread.
    std::unique_ptr<JobRunner> runner; ///< Traffic thread.
    std::unique_ptr<PeerLink> peers; ///< Traffic thread.
    std::shared_ptr<OriginUpkeep> origins; ///< Traffic thread.
    ProofUpkeep proof; ///< Traffic thread.
    std::shared_ptr<RequestQuotas> quotas; ///< Traffic thread.
    std::unique_ptr<HttpServer> callerServer; ///< Traffic thread.
    std::unique_ptr<HttpServer> readinessServer; ///< Traffic thread.
    std::unique_ptr<HttpServer> metricsServer; ///< Traffic thread.
    bool wasReady{false}; ///< Last logged readiness.
    std::int64_t settingsModifiedAt{0}; ///< Modification time of the settings file at the last read, in Unix nanoseconds; 0 when it could not be read.
};

/** @return Modification time of a file in Unix nanoseconds; 0 when it cannot be read. */
[[nodiscard]] std::int64_t modificationTime(const std::string &path);

/** Logs the readiness if it has changed since the last call. */
void logReadiness(EntryHost &host);

/** Reloads the settings when the modification time of their file changes. */
boost::asio::awaitable<void> watchSettings(EntryHost &host);

/** Reloads the settings on SIGHUP and shuts the host down on SIGTERM or SIGINT. */
boost::asio::awaitable<void> handleSignals(EntryHost &host);

/** Exits without destructors: suspended coroutines of both threads refer to one another and have no safe order of destruction. */
[[noreturn]] void exitProcess(int code);

} // namespace skylark
