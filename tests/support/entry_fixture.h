/** @file entry_fixture.h Hosts that serve callers and run batch jobs on the event loop of the test, with replicas and a store in memory. */
#pragma once

#include "call_wire_func.h"
#include "entry/caller_service_func.h"
#include "fleet/workspace_func.h"
#include "job/job_runner_func.h"
#include "memory_store_base.h"
#include "names.h"
#include "replica_base.h"
#include "support/process_func.h"

#include <set>

namespace skylark::test {

/** Store, replicas, configuration and targets that the hosts of a test share. */
struct EntryFixture : TestLoop {
    std::shared_ptr<standin::MemoryStore> store{standin::MemoryStore::create(loop.get_executor())};
    std::vector<std::shared_ptr<standin::Replica>> replicas;
    std::shared_ptr<RoutingConfig> config{std::make_shared<RoutingConfig>()}; ///< Configuration that publish() gives to a host.
    std::shared_ptr<TargetMap> targets{std::make_shared<TargetMap>()}; ///< Targets that publish() gives to a host.
    std::set<ServiceVersion> servedVersions; ///< Versions of all targets that were published; stands for the registry in the store.
    OriginTable keptOrigins; ///< Records that hosts have sent to keepers.
    std::vector<struct EntryTestHost *> hosts; ///< Hosts that relay requests to one another.

    EntryFixture()
    {
        this->config->version.value = 1;
        this->addRoute("chat", "/chat/", CallKind::Stream);
        this->config->routes.back().resumable = true;
        this->addRoute("order", "/order/", CallKind::Unsafe);
        this->addRoute("lookup", "/lookup/", CallKind::Safe);
        this->addRoute("once", "/once/", CallKind::Stream);
        this->addRoute("batch", "/batch/", CallKind::Batch);
        this->config->routes.back().completionTarget = std::chrono::seconds(18);
        this->config->routes.back().retention = std::chrono::seconds(60);
    }

    void addRoute(const std::string &name, const std::string &prefix, CallKind kind)
    {
        RouteRule rule;
        rule.name = name;
        rule.host = "h.example";
        rule.prefix = prefix;
        rule.kind = kind;
        rule.services = {{ServiceId{"llm"}, 1}};
        rule.timeout = std::chrono::seconds(3);
        rule.maxAttempts = 2;
        this->config->routes.push_back(rule);
    }

    RouteRule &routeNamed(const std::string &name)
    {
        for (RouteRule &rule : this->config->routes) {
            if (rule.name == name) {
                return rule;
            }
        }
        FAIL("no route " << name);
        return this->config->routes.front();
    }

    standin::Replica &addReplica(const std::string &id, unsigned slots = 4)
    {
        auto replica = standin::Replica::create(this->loop.get_executor(), id);
        REQUIRE(replica);
        TargetEntry entry;
        entry.id.value = id;
        entry.service.value = "llm";
        entry.endpoint = {"127.0.0.1", listenPort(*replica->server)};
        entry.domain.value = "north";
        entry.slots = slots;
        (*this->targets)[entry.id] = entry;
        this->replicas.push_back(std::move(replica));
        return *this->replicas.back();
    }

    /** @return Number of runs of the request @p id on all replicas. */
    [[nodiscard]] std::size_t runsOf(const std::string &id) const
    {
        std::size_t count = 0;
        for (const auto &replica : this->replicas) {
            for (const auto &run : replica->runs) {
                count += run->id == id ? 1 : 0;
            }
        }
        return count;
    }
};

/** One host, without the control thread and the exchange of status with other hosts. */
struct EntryTestHost {
    EntryFixture &fixture; ///< Must outlive the host.
    std::shared_ptr<Proxy> proxy{std::make_shared<Proxy>()}; ///< Forwards requests.
    std::shared_ptr<JobRegistry> jobs;
    std::unique_ptr<JobRunner> runner; ///< Runs items of batch jobs; null when the host runs none.
    std::shared_ptr<ConfigProofState> proof{std::make_shared<ConfigProofState>()}; ///< No proofs are kept unless a test changes its limits.
    std::unique_ptr<HttpServer> server; ///< Serves callers.
    Endpoint endpoint; ///< Address of the server.
    std::unique_ptr<HttpServer> relayServer; ///< Serves requests that other hosts relay.
    bool storeAway{false}; ///< What publish() says of the key-value service.
    std::shared_ptr<TargetMap> ownTargets; ///< Targets as this host reaches them, where that differs from the fixture's; null otherwise.
    std::shared_ptr<RequestQuotas> quotas; ///< Request quotas; null when the host has none.

    EntryTestHost(EntryFixture &owner, const std::string &name, bool runsItems = true, std::shared_ptr<RequestQuotas> requestQuotas = nullptr)
        : fixture(owner)
        , quotas(std::move(requestQuotas))
    {
        const auto executor = this->fixture.loop.get_executor();
        this->proxy->executor = executor;
        this->proxy->loadTracker.domain.value = "north";
        this->proxy->rateLimits.host.value = "of-session-" + name; // The host identifier under which publish() registers the host.
        this->proxy->wire = platform::makeCallWire();
        this->proxy->http = HttpClient::create(executor);
        this->proxy->metrics = MetricsRegistry::create();
        this->proxy->fleet = std::make_shared<const FleetSnapshot>();
        this->proxy->onLoadChange = [this](LoadChange /*change*/) {
            if (this->runner) {
                yieldToOnline(*this->runner);
            }
        };
        this->proxy->originSources.announce = [this](std::uint64_t stream, const ServiceVersion &origin) {
            recordOrigin(this->fixture.keptOrigins, stream, origin, BootClock::now());
        };
        this->proxy->originSources.askHosts = [this](std::uint64_t stream) -> boost::asio::awaitable<std::optional<ServiceVersion>> {
            co_return recordedOrigin(this->fixture.keptOrigins, stream, BootClock::now());
        };
        this->proxy->originSources.readStore = [this]() -> boost::asio::awaitable<Result<StoredOrigins>> {
            StoredOrigins stored;
            stored.versions.assign(this->fixture.servedVersions.begin(), this->fixture.servedVersions.end());
            co_return stored;
        };
        this->jobs = JobRegistry::create(
            executor, standin::storeInterface(this->fixture.store), this->proxy->metrics, SessionId{"session-" + name}, this->proxy->wire.decodeSubmission);
        this->publish({SessionId{"session-" + name}});
        if (runsItems) {
            this->runner = JobRunner::create(this->proxy, this->jobs, HostId{name}, std::chrono::seconds(3));
        }
        startJobRegistry(this->jobs);
        HttpServerOptions options;
        options.listen = {"127.0.0.1", 0};
        auto created = HttpServer::create(executor, options, makeCallerHandler({this->proxy, this->jobs, DomainId{"north"}, this->proof, this->quotas}));
        REQUIRE(isOk(created));
        this->server = std::move(valueOf(created));
        this->endpoint = {"127.0.0.1", listenPort(*this->server)};
        auto relay = HttpServer::create(executor, options, makeRelayHandler({this->proxy, this->jobs, DomainId{"north"}, this->proof, this->quotas}));
        REQUIRE(isOk(relay));
        this->relayServer = std::move(valueOf(relay));
        this->fixture.hosts.push_back(this);
        this->proxy->relayPeers = [this] {
            return this->listRelayPeers();
        };
    }
    EntryTestHost(const EntryTestHost &) = delete;
    EntryTestHost &operator=(const EntryTestHost &) = delete;
    ~EntryTestHost()
    {
        this->jobs->mirror->stopped = true;
        this->proxy->relayPeers = {};
        std::erase(this->fixture.hosts, this);
    }

    /** @return The other hosts of the fixture. */
    [[nodiscard]] std::vector<RelayPeer> listRelayPeers() const
    {
        std::vector<RelayPeer> peers;
        for (const EntryTestHost *host : this->fixture.hosts) {
            if (host != this) {
                const bool linked = isReady(*host->proxy) && !host->proxy->links.lost;
                peers.push_back({{HostId{host->jobs->session.value}, true, linked}, {"127.0.0.1", listenPort(*host->relayServer)}});
            }
        }
        return peers;
    }

    /** Gives the host the fixture's configuration and targets. @param registered Sessions of the hosts that have an entry in the service. */
    void publish(const std::set<SessionId> &registered)
    {
        auto snapshot = std::make_shared<FleetSnapshot>();
        auto config = std::make_shared<RoutingConfig>(*this->fixture.config);
        indexWorkspaces(*config);
        snapshot->config = std::move(config);
        snapshot->targets = std::make_shared<const TargetMap>(this->ownTargets ? *this->ownTargets : *this->fixture.targets);
        for (const auto &[id, entry] : *this->fixture.targets) {
            this->fixture.servedVersions.insert(versionOf(entry));
        }
        snapshot->storeReachable = true;
        snapshot->storeAway = this->storeAway;
        snapshot->peersKnown = true;
        for (const SessionId &session : registered) {
            snapshot->peers.push_back({HostId{"of-" + session.value}, session, DomainId{"north"}, {"127.0.0.1", 1}});
        }
        applyFleet(*this->proxy, std::move(snapshot));
    }

    /** @return A POST request with the platform's headers. @param callerTimeout Time that the caller waits for the answer. */
    [[nodiscard]] static HttpRequest request(const std::string &id, const std::string &path, std::chrono::milliseconds callerTimeout = std::chrono::seconds(3))
    {
        HttpRequest message;
        message.method = "POST";
        message.target = path;
        message.headers = {{"Host", "h.example"},
                           {std::string(platform::headerRequestId), id},
                           {std::string(platform::headerDeadline), std::to_string(callerTimeout.count())}};
        message.body = "body of " + id;
        return message;
    }

    HttpResponse send(HttpRequest message)
    {
        auto answer = this->fixture.call(this->endpoint, std::move(message));
        REQUIRE(isOk(answer));
        return std::move(valueOf(answer));
    }
};

} // namespace skylark::test
