/** @file entry_host.cpp Assembles an entry host: control thread, traffic thread, servers, status datagrams and graceful shutdown. */
#include "entry/entry_host_base.h"

#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/event_loop_func.h"
#include "core/hash_func.h"
#include "core/table/error_table.h"
#include "core/task_func.h"
#include "entry/caller_service_func.h"
#include "entry/origin_link_func.h"
#include "fleet/fleet_intervals_func.h"
#include "job/job_peer_func.h"

#include <boost/asio/post.hpp>
#include <csignal>
#include <cstdlib>
#include <thread>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t reservedDescriptors = 700; ///< File descriptors kept for files and for connections to targets and other hosts.

/** @return Interval of the stale reads of all job records. It grows with the number of hosts; urgent changes are announced by status datagrams. */
milliseconds jobCheckIntervalFor(std::size_t hosts)
{
    constexpr milliseconds perHost{50};
    constexpr milliseconds least{1000};
    constexpr milliseconds most{5000};
    return std::clamp(perHost * static_cast<int>(hosts), least, most);
}

/** Applies a snapshot of the control thread to the components of the traffic thread. */
void applySnapshot(EntryHost &host, const SnapshotPtr &snapshot)
{
    const auto before = host.proxy->fleet;
    applyFleet(*host.proxy, snapshot);
    if (snapshot->config && snapshot->config != before->config) {
        const CallerLimits &limits = snapshot->config->limits;
        updateLimits(*host.callerServer, static_cast<std::uint32_t>(limits.maxHeaderBytes), limits.maxBodyBytes, limits.headerTimeout, limits.idleTimeout);
    }
    host.jobs->mirror->options.pollInterval = jobCheckIntervalFor(snapshot->peers.size() + 1);
    updatePeers(*host.peers);
    applyQuotaSnapshot(*host.quotas, *snapshot);
    logReadiness(host);
}

/** Starts an HTTP server on the traffic thread that sends the result of @p answer to each request. */
Result<std::unique_ptr<HttpServer>> serveResponses(EntryHost &host, const Endpoint &listen, std::function<HttpResponse(const HttpRequest &)> answer)
{
    HttpServerOptions options;
    options.listen = listen;
    options.memory = host.memory->account;
    return HttpServer::create(
        host.traffic.get_executor(), options, [answer = std::move(answer)](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
            HttpResponse response = answer(request);
            co_await sendResponse(responder, std::move(response));
        });
}

HttpResponse answerReadiness(const EntryHost &host, const HttpRequest &request)
{
    HttpResponse response;
    response.status = !host.adapters.isReadinessProbe(request.target) ? 404 : acceptsCallers(*host.proxy) ? 200 : 503;
    return response;
}

HttpResponse answerMetrics(EntryHost &host)
{
    updateProcessGauges(*host.metrics);
    setGauge(*host.metrics, "skylark_known_jobs", {}, static_cast<double>(host.jobs->jobs.size()));
    setGauge(*host.metrics, "skylark_active_requests", {}, static_cast<double>(activeRequests(*host.callerServer)));
    setGauge(
        *host.metrics, "skylark_status_age_seconds", {}, std::chrono::duration<double>(oldestStatusAge(host.proxy->loadTracker, BootClock::now())).count());
    setGauge(*host.metrics, "skylark_caller_memory_bytes", {}, static_cast<double>(host.memory->account->use.held));
    setGauge(*host.metrics, "skylark_caller_memory_budget_bytes", {}, static_cast<double>(host.memory->account->budget.bytes));
    setGauge(*host.metrics, "skylark_caller_memory_waits", {}, static_cast<double>(host.memory->account->waits));
    setGauge(*host.metrics, "skylark_log_lines_dropped", {}, static_cast<double>(eventLinesDropped()));
    HttpResponse response;
    response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    response.body = renderMetrics(*host.metrics) + quotaMetricsText(*host.quotas);
    return response;
}

CallerService makeCallerService(EntryHost &host)
{
    CallerService service{host.proxy, host.jobs, host.settings.domain, host.proof.state, host.quotas};
    service.mayTakeJob = [memory = host.memory](std::size_t bytes) {
        return hasRoomForJob(*memory, bytes);
    };
    return service;
}

Result<Done> openServers(EntryHost &host)
{
    HttpServerOptions options;
    options.listen = host.settings.callers;
    options.maxConnections = host.settings.maxDescriptors > 2 * reservedDescriptors ? host.settings.maxDescriptors - reservedDescriptors : reservedDescriptors;
    options.onUnserved = [&host](ErrorCode cause) {
        addCounter(*host.metrics, "skylark_unserved_requests_total", {{"cause", errorInfo(cause).name}});
    };
    applyCallerMemory(host.memory, options);
    CallerService service = makeCallerService(host);
    auto callers = HttpServer::create(host.traffic.get_executor(), options, makeCallerHandler(std::move(service)));
    if (!isOk(callers)) {
        return errorOf(callers);
    }
    host.callerServer = std::move(valueOf(callers));
    auto readiness = serveResponses(host, host.settings.readiness, [&host](const HttpRequest &request) {
        return answerReadiness(host, request);
    });
    if (!isOk(readiness)) {
        return errorOf(readiness);
    }
    host.readinessServer = std::move(valueOf(readiness));
    auto metrics = serveResponses(host, host.settings.metrics, [&host](const HttpRequest & /*request*/) {
        return answerMetrics(host);
    });
    if (!isOk(metrics)) {
        return errorOf(metrics);
    }
    host.metricsServer = std::move(valueOf(metrics));
    return Done{};
}

/** Writes or removes the entry of a part in the key-value service. Runs on the control thread. */
void storeQuarantineChange(FleetController &fleet, const QuarantineChange &change)
{
    const QuarantinedPart &entry = change.entry;
    if (change.begun) {
        writeQuarantineEntry(fleet, {entry.part, std::chrono::duration_cast<milliseconds>(entry.until - entry.since), entry.rounds});
    } else {
        removeQuarantineEntry(fleet, entry.part);
    }
}

Result<Done> openPeerLink(EntryHost &host)
{
    PeerLinkOptions options{host.settings.host, host.session, host.settings.domain, host.settings.peers};
    options.leaseTtl = entryLeaseTtlFor(host.settings.drainLimit);
    options.memory = host.memory->account;
    options.onStatus = [&host](const HostStatus &status) {
        applyAnnouncedRevisions(host.jobs, status);
        if (host.runner) {
            yieldToOnline(*host.runner);
        }
    };
    options.onProof = [&host](const HostStatus &status, milliseconds delay) {
        applyPeerProof(host.proof, status, delay, BootClock::now());
    };
    options.completeStatus = [&host](HostStatus &status) {
        status.jobRevisions = jobRevisionsToAnnounce(*host.jobs);
        addOwnProof(host.proof, status);
    };
    options.ownedJob = [&host](const JobId &job, std::uint64_t after) {
        return encodeOwnedJob(*host.jobs, job, after);
    };
    options.onRelayed = makeRelayHandler(makeCallerService(host));
    options.onNewerConfig = [&host](Revision version, const Endpoint &peer) {
        asio::post(host.control, [&host, version, peer] {
            pullNewerConfig(*host.fleet, version, peer);
        });
    };
    options.onEntryOverdue = [&host](const HostId & /*silent*/, TimePoint overdueAt) {
        asio::post(host.control, [&host, overdueAt] {
            doubtHostList(*host.fleet, overdueAt);
        });
    };
    options.onQuotaRequest = [&host](const QuotaRequestMessage &request, const Endpoint &sender) {
        handleQuotaRequest(*host.quotas, request, sender);
    };
    options.onQuotaGrant = [&host](const QuotaGrantMessage &grant) {
        handleQuotaGrant(*host.quotas, grant);
    };
    auto peers = PeerLink::create(host.proxy, std::move(options));
    if (!isOk(peers)) {
        return errorOf(peers);
    }
    host.peers = std::move(valueOf(peers));
    host.quotas->sendRequest = [&host](const QuotaRequestMessage &request, const Endpoint &holder) {
        sendQuotaRequest(*host.peers, request, holder);
    };
    host.quotas->sendGrant = [&host](const QuotaGrantMessage &grant, const Endpoint &sender) {
        sendQuotaGrant(*host.peers, grant, sender);
    };
    host.jobs->readFromHost = [link = host.peers->impl](HostId peer, JobId job, std::uint64_t after) {
        return readJobAtPeer(link, std::move(peer), std::move(job), after);
    };
    host.proxy->relayPeers = [link = host.peers->impl] {
        return listRelayPeers(*link);
    };
    host.proxy->onUrgentNews = [&host] {
        scheduleStatusToAll(*host.peers);
        logReadiness(host);
    };
    host.jobs->onJobEnded = [&host] {
        scheduleStatusToAll(*host.peers);
    };
    host.proxy->onQuarantine = [&host](const QuarantineChange &change) {
        asio::post(host.control, [&host, change] {
            storeQuarantineChange(*host.fleet, change);
        });
    };
    host.proxy->onLoadChange = [&host](LoadChange change) {
        announceLoadChange(*host.peers, change);
        if (host.runner) {
            yieldToOnline(*host.runner);
        }
    };
    return Done{};
}

/** Connects the proxy with the other hosts' and the key-value service's records of the versions that began streams. */
void openOrigins(EntryHost &host)
{
    host.origins = std::make_shared<OriginUpkeep>(OriginUpkeep{host.proxy, host.jobs->store, host.session});
    host.proxy->originSources.announce = [link = host.peers->impl, upkeep = host.origins](std::uint64_t stream, const ServiceVersion &origin) {
        sendOriginRecord(*link, stream, origin);
        noteBegunStream(*upkeep, stream, origin);
    };
    host.proxy->originSources.askHosts = [link = host.peers->impl](std::uint64_t stream) {
        return askOrigin(link, stream);
    };
    host.proxy->originSources.readStore = [store = host.jobs->store] {
        return readStoredOrigins(store);
    };
}

/** Sets up the proof of the configuration; calls to the service are made on the control thread. */
void openProofUpkeep(EntryHost &host)
{
    const AccessLimits &access = host.settings.access;
    host.proof.proxy = host.proxy;
    host.proof.host = host.settings.host;
    host.proof.state = std::make_shared<ConfigProofState>();
    host.proof.state->limits = {access.revokesEverywhere, access.revocationLimit, access.configLimit};
    host.proof.ask = [&host] {
        asio::post(host.control, [&host] {
            proveConfig(*host.fleet, [&host](std::optional<ConfigProof> proof) {
                asio::post(host.traffic, [&host, proof] {
                    applyOwnProof(host.proof, proof);
                });
            });
        });
    };
    host.proof.announce = [&host] {
        scheduleEarlyStatus(*host.peers);
    };
}

void startFleetController(EntryHost &host)
{
    FleetOptions options;
    options.host = host.settings.host;
    options.session = host.session;
    options.domain = host.settings.domain;
    options.endpoint = host.settings.peers;
    options.drainLimit = host.settings.drainLimit;
    options.configLimit = host.settings.access.configLimit;
    options.targetHeartbeat = host.settings.targetHeartbeat;
    options.leaseTtl = entryLeaseTtlFor(options.drainLimit);
    options.leaseRenewal = options.leaseTtl / 3;
    options.provesConfig = host.settings.access.revokesEverywhere;
    options.onLease = [&host](const HostLease &lease) {
        asio::post(host.traffic, [&host, lease] {
            setHostLease(*host.quotas, lease);
        });
    };
    const auto store = host.adapters.makeStore(host.control.get_executor(), host.metrics);
    auto publish = [&host](SnapshotPtr snapshot) {
        asio::post(host.traffic, [&host, snapshot = std::move(snapshot)] {
            applySnapshot(host, snapshot);
        });
    };
    auto onQuarantine = [&host](const QuarantineEntry &entry) {
        asio::post(host.traffic, [&host, entry] {
            applyStoredQuarantine(*host.proxy, entry.part, entry.duration, entry.rounds);
        });
    };
    host.fleet =
        FleetController::create(host.control.get_executor(), store, host.adapters.fleet, options, host.metrics, std::move(publish), std::move(onQuarantine));
}

/** Logs why the host cannot start. @return Exit code. */
int logStartFailure(const Error &error)
{
    logEvent(EventKind::Settings, {}, {{"detail", error.detail}});
    closeEventLog(logFlushTimeout);
    return EXIT_FAILURE;
}

} // namespace

void logReadiness(EntryHost &host)
{
    const bool ready = acceptsCallers(*host.proxy);
    if (ready == host.wasReady) {
        return;
    }
    host.wasReady = ready;
    const auto &fleet = *host.proxy->fleet;
    logEvent(EventKind::Ready,
             {},
             {{"ready", ready}, {"config", fleet.config ? fleet.config->version.value : 0}, {"targets", fleet.targets ? fleet.targets->size() : 0}});
}

int runEntryHost(EntrySettings settings, EntryAdapters adapters)
{
    std::signal(SIGPIPE, SIG_IGN);
    limitHeapReserve();
    openEventLog(settings.host.value);
    EntryHost host;
    host.settings = std::move(settings);
    host.adapters = std::move(adapters);
    host.settingsModifiedAt = modificationTime(host.adapters.settingsPath);
    host.metrics = MetricsRegistry::create();
    host.session.value = randomIdHex();
    logEvent(EventKind::Start,
             host.session.value,
             {{"version", "0.2"}, {"role", host.settings.role}, {"domain", host.settings.domain.value}, {"memory_mb", host.settings.memoryMegabytes}});
    const auto executor = host.traffic.get_executor();
    host.proxy = std::make_shared<Proxy>();
    host.proxy->executor = executor;
    host.proxy->wire = host.adapters.calls;
    host.proxy->http = HttpClient::create(executor);
    host.proxy->metrics = host.metrics;
    host.proxy->fleet = std::make_shared<const FleetSnapshot>();
    host.proxy->random = hash64(host.session.value);
    host.proxy->quarantine.host = host.settings.host;
    host.proxy->quarantine.startedAt = BootClock::now();
    host.proxy->rateLimits.host = host.settings.host;
    host.proxy->loadTracker.domain = host.settings.domain;
    host.jobs =
        JobRegistry::create(executor, host.adapters.makeStore(executor, host.metrics), host.metrics, host.session, host.adapters.calls.decodeSubmission);
    host.memory = CallerMemory::create(executor, host.settings.clients, host.settings.memoryMegabytes, host.proxy, host.jobs);
    openProofUpkeep(host);
    const AccessLimits &access = host.settings.access;
    host.quotas =
        RequestQuotas::create(executor, host.settings.host, host.settings.domain, {access.quotaWindow, access.quotaOverage, access.quotaSlack}, host.session);
    for (const auto &opened : {openPeerLink(host), openServers(host)}) {
        if (!isOk(opened)) {
            return logStartFailure(errorOf(opened));
        }
    }
    openOrigins(host);
    host.runner = JobRunner::create(host.proxy, host.jobs, host.settings.host, host.settings.cancelLimit);
    startJobRegistry(host.jobs);
    startTask(executor, "signals", handleSignals(host));
    startLoop(executor, "watch of the settings", [&host] {
        return watchSettings(host);
    });
    startLoop(executor, "proof of the configuration", [&host] {
        return maintainProof(host.proof);
    });
    startLoop(executor, "records of streams", [&host] {
        return maintainStreamRecords(host.origins);
    });
    startLoop(executor, "memory of jobs", [&host] {
        return watchJobBytes(host.memory);
    });
    startFleetController(host);
    std::thread controlThread([&host] {
        const auto guard = asio::make_work_guard(host.control);
        runEventLoop(host.control, "control");
    });
    runEventLoop(host.traffic, "traffic");
    exitProcess(EXIT_SUCCESS);
}

} // namespace skylark
