/** @file entry_host.cpp Wiring of an entry host: control thread, traffic thread, servers, status datagrams and the planned stop. */
#include "entry/entry_host_func.h"

#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "entry/caller_service_func.h"
#include "entry/peer_link_func.h"
#include "job/job_runner_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdlib>
#include <sys/stat.h>
#include <thread>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds rotationTime{2500}; ///< Time in which the load balancer notices that the host is not ready: two probes, one a second.
constexpr milliseconds stopMargin{1200}; ///< The process ends so long before it would be killed.
constexpr milliseconds stopPoll{50}; ///< Time between two looks whether all work is done.
constexpr milliseconds logFlush{200}; ///< Time for the last log lines.
constexpr milliseconds settingsPoll{2000}; ///< Time between two looks at the settings file.
constexpr std::size_t reservedDescriptors = 700; ///< Descriptors for files, targets and other hosts.

/** Everything that the host consists of. */
struct EntryHost {
    EntrySettings settings; ///< Settings.
    EntryAdapters adapters; ///< Adapter.
    asio::io_context control{1}; ///< Control thread.
    asio::io_context traffic{1}; ///< Traffic thread.
    std::shared_ptr<MetricsRegistry> metrics; ///< Metrics.
    SessionId session; ///< This run of the process.
    std::unique_ptr<FleetController> fleet; ///< Control thread.
    std::shared_ptr<Proxy> proxy; ///< Traffic thread.
    std::shared_ptr<JobBook> jobs; ///< Traffic thread.
    std::unique_ptr<JobRunner> runner; ///< Traffic thread.
    std::unique_ptr<PeerLink> peers; ///< Traffic thread.
    std::unique_ptr<HttpServer> callerServer; ///< Traffic thread.
    std::unique_ptr<HttpServer> readinessServer; ///< Traffic thread.
    std::unique_ptr<HttpServer> metricsServer; ///< Traffic thread.
    bool wasReady{false}; ///< Readiness as last logged.
    std::int64_t settingsChangedAt{0}; ///< Modification time of the settings file as last seen.
};

/** @return Interval of the cheap reads of all job records; it grows with the hosts. What cannot wait is announced by datagram. */
milliseconds jobCheckFor(std::size_t hosts)
{
    constexpr milliseconds perHost{50};
    constexpr milliseconds least{1000};
    constexpr milliseconds most{3000};
    return std::clamp(perHost * static_cast<int>(hosts), least, most);
}

std::int64_t modificationTime(const std::string &path)
{
    struct stat info {
    };
    return ::stat(path.c_str(), &info) == 0 ? static_cast<std::int64_t>(info.st_mtim.tv_sec) * 1000000000 + info.st_mtim.tv_nsec : 0;
}

void logReadiness(EntryHost &host)
{
    const bool ready = isReady(*host.proxy);
    if (ready == host.wasReady) {
        return;
    }
    host.wasReady = ready;
    const auto &fleet = *host.proxy->fleet;
    logEvent(EventKind::Ready,
             {},
             {{"ready", ready}, {"config", fleet.config ? fleet.config->version.value : 0}, {"targets", fleet.targets ? fleet.targets->size() : 0}});
}

/** Takes a snapshot of the control thread on the traffic thread. */
void takeSnapshot(EntryHost &host, const SnapshotPtr &snapshot)
{
    const auto before = host.proxy->fleet;
    host.proxy->fleet = snapshot;
    if (snapshot->config && snapshot->config != before->config) {
        const CallerLimits &limits = snapshot->config->limits;
        updateLimits(*host.callerServer, static_cast<std::uint32_t>(limits.maxHeaderBytes), limits.maxBodyBytes, limits.headerTimeout, limits.idleTimeout);
    }
    if (snapshot->targets && snapshot->targets != before->targets) {
        std::erase_if(host.proxy->health, [&snapshot](const auto &entry) {
            return !snapshot->targets->contains(entry.first);
        });
    }
    host.jobs->mirror->options.check = jobCheckFor(snapshot->peers.size() + 1);
    updatePeers(*host.peers);
    logReadiness(host);
}

Result<std::unique_ptr<HttpServer>> serveText(EntryHost &host, const Endpoint &listen, std::function<HttpResponse(const HttpRequest &)> answer)
{
    HttpServerOptions options;
    options.listen = listen;
    return HttpServer::create(
        host.traffic.get_executor(), options, [answer = std::move(answer)](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
            HttpResponse response = answer(request);
            co_await sendResponse(responder, std::move(response));
        });
}

HttpResponse answerReadiness(const EntryHost &host, const HttpRequest &request)
{
    HttpResponse response;
    response.status = !host.adapters.isReadinessProbe(request.target) ? 404 : isReady(*host.proxy) ? 200 : 503;
    return response;
}

HttpResponse answerMetrics(EntryHost &host)
{
    noteProcessUse(*host.metrics);
    setGauge(*host.metrics, "skylark_known_jobs", {}, static_cast<double>(host.jobs->jobs.size()));
    setGauge(*host.metrics, "skylark_active_requests", {}, static_cast<double>(activeRequests(*host.callerServer)));
    setGauge(*host.metrics, "skylark_status_age_seconds", {}, std::chrono::duration<double>(oldestStatusAge(host.proxy->board, BootClock::now())).count());
    setGauge(*host.metrics, "skylark_log_lines_dropped", {}, static_cast<double>(eventLinesDropped()));
    HttpResponse response;
    response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    response.body = renderMetrics(*host.metrics);
    return response;
}

Result<Done> openServers(EntryHost &host)
{
    HttpServerOptions options;
    options.listen = host.settings.callers;
    options.maxConnections = host.settings.descriptors > 2 * reservedDescriptors ? host.settings.descriptors - reservedDescriptors : reservedDescriptors;
    auto callers = HttpServer::create(host.traffic.get_executor(), options, makeCallerHandler({host.proxy, host.jobs, host.settings.domain}));
    if (!isOk(callers)) {
        return errorOf(callers);
    }
    host.callerServer = std::move(valueOf(callers));
    auto readiness = serveText(host, host.settings.readiness, [&host](const HttpRequest &request) {
        return answerReadiness(host, request);
    });
    if (!isOk(readiness)) {
        return errorOf(readiness);
    }
    host.readinessServer = std::move(valueOf(readiness));
    auto metrics = serveText(host, host.settings.metrics, [&host](const HttpRequest & /*request*/) {
        return answerMetrics(host);
    });
    if (!isOk(metrics)) {
        return errorOf(metrics);
    }
    host.metricsServer = std::move(valueOf(metrics));
    return Done{};
}

Result<Done> openPeers(EntryHost &host)
{
    PeerLinkOptions options{host.settings.host, host.session, host.settings.domain, host.settings.peers};
    options.onStatus = [&host](const HostStatus &status) {
        noteAnnouncedJobs(host.jobs, status);
        if (host.runner) {
            yieldToOnline(*host.runner);
        }
    };
    options.describe = [&host](HostStatus &status) {
        status.jobRevisions = announcedJobs(*host.jobs);
    };
    options.onNewerConfig = [&host](Revision version, const Endpoint &peer) {
        asio::post(host.control, [&host, version, peer] {
            notePeerConfig(*host.fleet, version, peer);
        });
    };
    auto peers = PeerLink::create(host.proxy, std::move(options));
    if (!isOk(peers)) {
        return errorOf(peers);
    }
    host.peers = std::move(valueOf(peers));
    host.proxy->announceLoad = [&host](LoadChange change) {
        announceLoadChange(*host.peers, change);
        if (host.runner) {
            yieldToOnline(*host.runner);
        }
    };
    return Done{};
}

void startFleet(EntryHost &host)
{
    FleetOptions options;
    options.host = host.settings.host;
    options.session = host.session;
    options.domain = host.settings.domain;
    options.endpoint = host.settings.peers;
    const auto store = host.adapters.makeStore(host.control.get_executor(), host.metrics);
    host.fleet = FleetController::create(host.control.get_executor(), store, host.adapters.fleet, options, host.metrics, [&host](SnapshotPtr snapshot) {
        asio::post(host.traffic, [&host, snapshot = std::move(snapshot)] {
            takeSnapshot(host, snapshot);
        });
    });
}

/** Reads the settings again; those in force stay when they cannot be used. */
void reload(EntryHost &host)
{
    host.settingsChangedAt = modificationTime(host.adapters.settingsPath);
    auto settings = host.adapters.readSettings();
    if (!isOk(settings)) {
        logEvent(EventKind::Settings, {}, {{"detail", errorOf(settings).detail}});
        return;
    }
    const bool changed = valueOf(settings).stopLimit != host.settings.stopLimit;
    host.settings.stopLimit = valueOf(settings).stopLimit;
    logEvent(EventKind::Reload, {}, {{"changed", changed ? "stop_limit" : "nothing"}});
}

asio::awaitable<void> watchSettings(EntryHost &host)
{
    for (;;) {
        co_await sleepFor(settingsPoll);
        if (modificationTime(host.adapters.settingsPath) != host.settingsChangedAt) {
            reload(host);
        }
    }
}

/** Ends the process. Suspended coroutines of both threads refer to one another, so nothing is destroyed in order. */
[[noreturn]] void leave(int code)
{
    closeEventLog(logFlush);
    std::_Exit(code);
}

/** Finishes what is under way and ends the process. */
asio::awaitable<void> stopHost(EntryHost &host)
{
    const TimePoint begun = BootClock::now();
    host.proxy->stopping = true;
    logEvent(EventKind::Stop, {}, {{"active", activeRequests(*host.callerServer)}});
    logReadiness(host);
    announceClose(*host.callerServer);
    announceSoon(*host.peers);
    co_await handOverJobs(*host.runner);
    const TimePoint limit = begun + host.settings.stopLimit - stopMargin;
    bool closed = false;
    for (;;) {
        co_await sleepFor(stopPoll);
        const TimePoint now = BootClock::now();
        if (!closed && now - begun >= rotationTime) {
            // A request that came on a kept connection near the limit would be cut.
            closed = true;
            stopAccepting(*host.callerServer);
            closeIdleConnections(*host.callerServer);
        }
        const bool idle = activeRequests(*host.callerServer) == 0 && unfinishedItems(*host.runner) == 0;
        if (now >= limit || (idle && closed)) {
            break;
        }
    }
    bool ended = false;
    asio::post(host.control, [&host, &ended] {
        endHostEntry(*host.fleet, [&host, &ended] {
            asio::post(host.traffic, [&ended] {
                ended = true;
            });
        });
    });
    for (unsigned round = 0; !ended && round < 10; ++round) {
        co_await sleepFor(stopPoll);
    }
    const auto waited = std::chrono::duration_cast<milliseconds>(BootClock::now() - begun);
    logEvent(EventKind::Stopped, {}, {{"active", activeRequests(*host.callerServer)}, {"waited_ms", waited.count()}});
    leave(EXIT_SUCCESS);
}

asio::awaitable<void> handleSignals(EntryHost &host)
{
    asio::signal_set signals(host.traffic, SIGTERM, SIGINT, SIGHUP);
    for (;;) {
        const int signal = co_await signals.async_wait(asio::use_awaitable);
        if (signal != SIGHUP) {
            break;
        }
        reload(host);
    }
    co_await stopHost(host);
}

int refuseToStart(const Error &error)
{
    logEvent(EventKind::Settings, {}, {{"detail", error.detail}});
    closeEventLog(logFlush);
    return EXIT_FAILURE;
}

} // namespace

int runEntryHost(EntrySettings settings, EntryAdapters adapters)
{
    std::signal(SIGPIPE, SIG_IGN);
    openEventLog(settings.host.value);
    EntryHost host;
    host.settings = std::move(settings);
    host.adapters = std::move(adapters);
    host.settingsChangedAt = modificationTime(host.adapters.settingsPath);
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
    host.jobs = JobBook::create(executor, host.adapters.makeStore(executor, host.metrics), host.metrics, host.session, host.adapters.calls.decodeSubmission);
    for (const auto &opened : {openPeers(host), openServers(host)}) {
        if (!isOk(opened)) {
            return refuseToStart(errorOf(opened));
        }
    }
    host.runner = JobRunner::create(host.proxy, host.jobs, host.settings.host);
    startJobBook(host.jobs);
    asio::co_spawn(executor, handleSignals(host), asio::detached);
    asio::co_spawn(executor, watchSettings(host), asio::detached);
    startFleet(host);
    std::thread controlThread([&host] {
        const auto guard = asio::make_work_guard(host.control);
        host.control.run();
    });
    host.traffic.run();
    leave(EXIT_SUCCESS);
}

} // namespace skylark
