/** @file entry_host_func.h An entry host: passes callers' requests on to targets and runs batch jobs, with all state in a key-value service. */
#pragma once

#include "fleet/fleet_controller_func.h"
#include "proxy/call_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace skylark {

/** Settings of an entry host. */
struct EntrySettings {
    HostId host; ///< Name of the host.
    DomainId domain; ///< Failure domain.
    std::string role; ///< Role, for logs.
    Endpoint callers; ///< Listens for callers.
    Endpoint readiness; ///< Listens for readiness probes.
    Endpoint peers; ///< Listens for other hosts, UDP and TCP.
    Endpoint metrics; ///< Listens for metric scrapes.
    std::chrono::milliseconds stopLimit{8000}; ///< Time from SIGTERM until the process is killed.
    std::size_t descriptors{4096}; ///< File descriptors that the process may use.
    std::uint64_t memoryMegabytes{0}; ///< Memory that the process may use; 0 when unknown.
};

/** What an adapter supplies. */
struct EntryAdapters {
    FleetWire fleet; ///< Wire forms of configuration and target entries.
    CallWire calls; ///< Wire forms of callers and targets.
    std::function<std::shared_ptr<const KvStore>(const boost::asio::any_io_executor &executor, std::shared_ptr<MetricsRegistry> metrics)>
        makeStore; ///< Client of the service.
    std::function<Result<EntrySettings>()> readSettings; ///< Reads the settings again.
    std::function<bool(std::string_view target)> isReadinessProbe; ///< Whether a request on the readiness address asks for readiness.
    std::string settingsPath; ///< File whose change leads to a reload.
};

/**
 * Runs the host until SIGTERM or SIGINT.
 * @return Exit code; does not return when coroutines are still suspended, because their state has no order of destruction.
 */
int runEntryHost(EntrySettings settings, EntryAdapters adapters);

} // namespace skylark
