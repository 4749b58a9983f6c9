/** @file entry_host_func.h An entry host: forwards callers' requests to targets and runs batch jobs; all persistent state is in a key-value service. */
#pragma once

#include "entry/client_limits_type.h"
#include "fleet/fleet_controller_func.h"
#include "proxy/call_type.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace skylark {

/** Limits of a deployment on callers with API keys. */
struct AccessLimits {
    bool revokesEverywhere{false}; ///< Whether a revoked key must be refused by hosts that cannot reach the key-value service, too.
    std::chrono::milliseconds revocationLimit{5000}; ///< Time after which no request with a revoked key may run.
    std::chrono::milliseconds configLimit{3000}; ///< Time after which a new configuration must be in force.
    std::chrono::milliseconds quotaWindow{5000}; ///< Any time of this length, in which a request quota is counted.
    double quotaOverage{0.1}; ///< Share by which a quota may be exceeded.
    double quotaSlack{20}; ///< Requests by which a request quota may be exceeded in addition.
};

/** Settings of an entry host. */
struct EntrySettings {
    HostId host; ///< Host name, unique in the fleet.
    DomainId domain; ///< Failure domain of the host.
    std::string role; ///< Role of the machine; only logged.
    Endpoint callers; ///< Listen address for callers.
    Endpoint readiness; ///< Listen address for readiness probes.
    Endpoint peers; ///< Listen address for other hosts: UDP for status datagrams, TCP for configuration pulls.
    Endpoint metrics; ///< Listen address for metric scrapes.
    std::chrono::milliseconds drainLimit{2000}; ///< Time after which a leaving target must get no new requests.
    std::chrono::milliseconds cancelLimit{3000}; ///< Time after the confirmed end of a job from which none of its items may reach a target.
    std::chrono::milliseconds targetHeartbeat{1200}; ///< Interval at which targets renew their entries in the key-value service.
    std::chrono::milliseconds stopLimit{8000}; ///< Time from SIGTERM until the platform kills the process.
    std::size_t maxDescriptors{4096}; ///< Maximum number of open file descriptors of the process.
    std::uint64_t memoryMegabytes{0}; ///< Memory limit of the process; 0 when unknown.
    AccessLimits access;
    ClientLimits clients;
};

/** Wire formats and clients of a deployment platform. */
struct EntryAdapters {
    FleetWire fleet; ///< Decoders of configuration documents and target entries.
    CallWire calls; ///< Wire format of callers' requests and of requests to targets.
    std::function<std::shared_ptr<const KvStore>(const boost::asio::any_io_executor &executor, std::shared_ptr<MetricsRegistry> metrics)>
        makeStore; ///< Creates a client of the key-value service that runs on the executor.
    std::function<Result<EntrySettings>()> readSettings; ///< Reads the settings file again, for a reload.
    std::function<bool(std::string_view target)> isReadinessProbe; ///< Whether a request target on the readiness address is the probe path.
    std::string settingsPath; ///< Settings file; a change of its modification time triggers a reload.
};

/**
 * Runs the host until SIGTERM or SIGINT.
 * @return Exit code when the host cannot start. A host that ran exits the process instead, because the states of suspended coroutines refer to one another
 * and have no safe order of destruction.
 */
int runEntryHost(EntrySettings settings, EntryAdapters adapters);

} // namespace skylark
