/** @file test_silent_store.cpp Host processes that get no response from the key-value service for some seconds, which loses the answers to their watches. */
#include "core/task_func.h"
#include "names.h"
#include "replica_base.h"
#include "store_server_func.h"
#include "support/process_func.h"
#include "support/target_entry.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds contactTime{3000}; ///< So long after a disruption the promises hold again.
constexpr std::chrono::milliseconds drainLimit{2000}; ///< A draining target gets no requests after this time.
constexpr std::chrono::milliseconds completionLimit{18000}; ///< Time within which an accepted job is complete, whichever host is lost.
constexpr std::chrono::milliseconds silence{4500}; ///< Time without a response.
constexpr std::chrono::milliseconds staleAge{3000}; ///< Age of what stale reads return.

/** One host process with a path of its own to the service. */
struct SilencedHost {
    std::shared_ptr<StoreLink> link{std::make_shared<StoreLink>()};
    std::unique_ptr<HttpServer> storeServer; ///< End of the path.
    Endpoint callers;
    Endpoint readiness;
    std::unique_ptr<ChildProcess> process;
};

/** Store and targets in the test process, whose stale reads are old, and hosts. Each host has a loopback address, because the metrics port is fixed. */
struct SilentStoreFixture : TestLoop {
    std::filesystem::path folder{std::filesystem::temp_directory_path() / ("skylark-silent-" + std::to_string(::getpid()))};
    std::shared_ptr<MemoryStore> store{MemoryStore::create(loop.get_executor())};
    std::vector<std::shared_ptr<Replica>> targets;
    std::vector<SilencedHost> hosts;
    std::vector<std::pair<TimePoint, std::string>> arrivals; ///< Requests that have reached the first target.

    SilentStoreFixture()
    {
        std::filesystem::remove_all(this->folder);
        std::filesystem::create_directories(this->folder);
        this->store->faults.staleReadAge = staleAge;
        json::array routes{routeObject("order", "unsafe"), routeObject("job", "batch")};
        putKey(*this->store,
               std::string(platform::keyConfig),
               json::serialize(json::object{{"version", 1}, {"routes", std::move(routes)}, {"services", json::array()}}));
    }
    SilentStoreFixture(const SilentStoreFixture &) = delete;
    SilentStoreFixture &operator=(const SilentStoreFixture &) = delete;
    ~SilentStoreFixture()
    {
        for (SilencedHost &host : this->hosts) {
            killProcess(*host.process);
        }
        std::filesystem::remove_all(this->folder);
    }

    [[nodiscard]] static json::object routeObject(const std::string &name, const std::string &kind)
    {
        return {{"name", name},
                {"host", "h.example"},
                {"prefix", "/" + name + "/"},
                {"kind", kind},
                {"service", "s"},
                {"timeout_ms", 8000},
                {"target_latency_ms", 300},
                {"max_attempts", 2},
                {"resumable", false},
                {"completion_target_ms", 18000},
                {"retention_s", 60}};
    }

    void writeTarget(const Replica &target, const std::string &state)
    {
        json::object entry = targetEntryObject("s", "127.0.0.1:" + std::to_string(listenPort(*target.server)));
        entry["state"] = state;
        putKey(*this->store, std::string(platform::prefixTargets) + target.id, json::serialize(entry));
    }

    /** Adds a target that answers all requests by @p plan. */
    Replica &addTarget(const std::string &id, const ReplicaPlan &plan)
    {
        this->targets.push_back(Replica::create(this->loop.get_executor(), id));
        REQUIRE(this->targets.back());
        Replica &target = *this->targets.back();
        const bool recorded = this->targets.size() == 1;
        target.plan = [this, plan, recorded](const HttpRequest &request, unsigned /*number*/) {
            if (recorded) {
                this->arrivals.emplace_back(BootClock::now(), std::string(headerValue(request.headers, platform::headerRequestId)));
            }
            return plan;
        };
        this->writeTarget(target, "ready");
        return target;
    }

    void addHost(const std::string &name)
    {
        const auto process = static_cast<unsigned>(::getpid());
        const std::string address =
            "127." + std::to_string(121 + this->hosts.size()) + '.' + std::to_string(process / 250 % 250) + '.' + std::to_string(1 + process % 250);
        SilencedHost host;
        auto server = serveStore(this->store, 0, host.link);
        REQUIRE(isOk(server));
        host.storeServer = std::move(valueOf(server));
        host.callers = {address, freePort()};
        host.readiness = {address, freePort()};
        const std::string settings = (this->folder / (name + ".toml")).string();
        std::ofstream(settings) << "node = \"" << name << "\"\nrole = \"entry\"\nserves = [\"front\"]\nip = \"" << address << "\"\nzone = \"north\"\n"
                                << "internal_ports = [" << freePort() << "]\n[listen]\nfront = \"" << address << ':' << host.callers.port
                                << "\"\nreadiness = \"" << address << ':' << host.readiness.port << "\"\n[bounds]\ndrain_ms = " << drainLimit.count()
                                << "\n[platform]\naddress = \"127.0.0.1:" << listenPort(*host.storeServer) << "\"\n";
        auto started = ChildProcess::create({"skylark-host", {"--settings=" + settings}, (this->folder / (name + ".log")).string()});
        REQUIRE(isOk(started));
        host.process = std::move(valueOf(started));
        this->hosts.push_back(std::move(host));
    }

    void waitReady()
    {
        for (const SilencedHost &host : this->hosts) {
            int status = 0;
            for (unsigned attempt = 0; attempt < 200 && status != 200; ++attempt) {
                HttpRequest request;
                request.target = "/-/ready";
                const auto answer = this->call(host.readiness, request);
                status = isOk(answer) ? valueOf(answer).status : 0;
                this->runFor(50ms);
            }
            REQUIRE(status == 200);
        }
        this->runFor(contactTime); // The watches wait, and all hosts know one another.
    }

    [[nodiscard]] static HttpRequest request(const std::string &id, const std::string &path, std::string body)
    {
        HttpRequest made;
        made.method = "POST";
        made.target = path;
        made.headers = {{"Host", "h.example"}, {std::string(platform::headerRequestId), id}, {std::string(platform::headerDeadline), "4000"}};
        made.body = std::move(body);
        return made;
    }

    [[nodiscard]] static std::string jobBody(unsigned items)
    {
        json::array list;
        for (unsigned i = 0; i < items; ++i) {
            list.push_back(json::object{{"id", "item-" + std::to_string(i)}, {"path", "/job/x"}, {"headers", json::object()}, {"body", ""}, {"tokens", 10}});
        }
        return json::serialize(json::object{{"items", list}});
    }

    /** @return Number of results of job "j1" that @p host lists. */
    std::size_t listedAt(const SilencedHost &host)
    {
        HttpRequest get;
        get.target = std::string(platform::pathJobs) + "j1?after=0";
        get.headers = {{"Host", "h.example"}};
        const auto answer = this->call(host.callers, get);
        const bool read = isOk(answer) && valueOf(answer).status == 200;
        return read ? json::parse(valueOf(answer).body).at("results").get_array().size() : 0;
    }

    /** Sends a request every 40 ms for @p time, without waiting for the answers. */
    void sendOrders(const SilencedHost &host, std::chrono::milliseconds time)
    {
        static unsigned number = 0;
        for (const TimePoint until = BootClock::now() + time; BootClock::now() < until; this->runFor(40ms)) {
            const std::string id = "q" + std::to_string(number++);
            startTask(this->loop.get_executor(), "test", sendOrder(this->http, host.callers, request(id, "/order/" + id, "x")));
        }
    }

    static boost::asio::awaitable<void> sendOrder(std::shared_ptr<HttpClient> client, Endpoint endpoint, HttpRequest order)
    {
        co_await httpCall(std::move(client), std::move(endpoint), std::move(order), HttpTimeouts{500ms, 500ms, 4s, 4s}, ConnectionUse::Fresh);
    }
};

} // namespace

// Guards against an accepted job that nobody runs: its host is lost while the service gives the others no response, and they go on to see it (review/6, LOST).
TEST_CASE_METHOD(SilentStoreFixture, "hosts_storeWasSilentWhileAHostWasLost_takeOverItsJob")
{
    this->addTarget("i-1", {.events = 40, .step = 20ms});
    this->addTarget("i-2", {.events = 40, .step = 20ms});
    for (const char *name : {"front-1", "front-2", "front-3"}) {
        this->addHost(name);
    }
    this->waitReady();
    const auto accepted = this->call(this->hosts[1].callers, request("j1", "/job/j1", jobBody(10)));
    REQUIRE(isOk(accepted));
    REQUIRE(valueOf(accepted).status == 202);
    const TimePoint acceptedAt = BootClock::now();
    this->hosts[0].link->silent = true;
    this->hosts[2].link->silent = true;
    this->runFor(500ms);
    killProcess(*this->hosts[1].process);
    this->runFor(silence);
    this->hosts[0].link->silent = false;
    this->hosts[2].link->silent = false;
    std::size_t listed = 0;
    while (listed < 10 && BootClock::now() < acceptedAt + completionLimit) {
        listed = this->listedAt(this->hosts[0]);
        this->runFor(100ms);
    }
    CHECK(listed == 10);
}

// Guards against requests that a host sends to a draining target until it exits, because the answer to its watch was lost earlier (review/7, DRAIN).
TEST_CASE_METHOD(SilentStoreFixture, "host_storeWasSilent_sendsNothingToADrainingTargetAfterTheDrainLimit")
{
    Replica &draining = this->addTarget("i-1", {.stream = false, .firstDelay = 50ms});
    Replica &other = this->addTarget("i-2", {.stream = false, .firstDelay = 50ms});
    this->addHost("front-1");
    this->waitReady();
    this->hosts[0].link->silent = true;
    this->runFor(silence / 2);
    this->writeTarget(other, "ready"); // The answer to the watch is lost.
    this->runFor(silence / 2);
    this->hosts[0].link->silent = false;
    this->runFor(contactTime);
    this->sendOrders(this->hosts[0], 1s);
    const TimePoint confirmedAt = BootClock::now();
    this->writeTarget(draining, "draining");
    REQUIRE(!this->arrivals.empty());
    this->sendOrders(this->hosts[0], drainLimit + 600ms);
    CHECK(this->arrivals.back().first <= confirmedAt + drainLimit);
    CHECK(other.arrivals > 0);
}
