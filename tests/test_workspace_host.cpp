/** @file test_workspace_host.cpp Entry hosts as processes that keep proofs of their configuration, with a store and replicas in the test. */
#include "call_wire_func.h"
#include "names.h"
#include "replica_base.h"
#include "store_server_func.h"
#include "support/process_func.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

constexpr const char *firstKey = "sk-first-4711";
constexpr const char *secondKey = "sk-second-4712";

/** One host process. */
struct ProvingHost {
    std::unique_ptr<ChildProcess> process;
    std::unique_ptr<HttpServer> storeServer; ///< Access of this host to the store.
    Endpoint callers;
    Endpoint readiness;
    std::string output; ///< File with its log lines.
};

/** Two hosts of one failure domain that must refuse a removed key everywhere. */
struct ProvingHostsFixture : TestLoop {
    std::filesystem::path folder{std::filesystem::temp_directory_path() / ("skylark-workspace-" + std::to_string(::getpid()))};
    std::shared_ptr<MemoryStore> store{MemoryStore::create(loop.get_executor())};
    std::shared_ptr<Replica> replica{Replica::create(loop.get_executor(), "i-1")};
    std::vector<ProvingHost> hosts;
    unsigned requests{0};

    ProvingHostsFixture()
    {
        std::filesystem::remove_all(this->folder);
        std::filesystem::create_directories(this->folder);
        this->replica->plan = [](const HttpRequest & /*request*/, unsigned /*number*/) {
            return ReplicaPlan{.stream = false};
        };
        const std::string address = "127.0.0.1:" + std::to_string(listenPort(*this->replica->server));
        putKey(*this->store,
               "servers/i-1",
               R"({"service":"s","address":")" + address + R"(","zone":"north","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,"sequence":1})");
        this->putConfig(1, {firstKey, secondKey});
        this->addHost("front-1", "127.0.6.1");
        this->addHost("front-2", "127.0.6.2");
        for (const ProvingHost &host : this->hosts) {
            REQUIRE(this->becomes(host, secondKey, 200, 10s));
        }
        // Until then the hosts know the delays of one another's datagrams.
        this->runFor(2s);
    }
    ProvingHostsFixture(const ProvingHostsFixture &) = delete;
    ProvingHostsFixture &operator=(const ProvingHostsFixture &) = delete;
    ~ProvingHostsFixture()
    {
        for (ProvingHost &host : this->hosts) {
            killProcess(*host.process);
        }
        std::filesystem::remove_all(this->folder);
    }

    void addHost(const std::string &name, const std::string &address)
    {
        ProvingHost host;
        auto server = serveStore(this->store);
        REQUIRE(isOk(server));
        host.storeServer = std::move(valueOf(server));
        host.callers = {address, freePort()};
        host.readiness = {address, freePort()};
        host.output = (this->folder / (name + ".log")).string();
        const std::string settings = (this->folder / (name + ".toml")).string();
        std::ofstream(settings) << "node = \"" << name << "\"\nrole = \"entry\"\nserves = [\"front\"]\nip = \"" << address << "\"\nzone = \"north\"\n"
                                << "internal_ports = [" << freePort() << "]\n[listen]\nfront = \"" << address << ':' << host.callers.port
                                << "\"\nreadiness = \"" << address << ':' << host.readiness.port
                                << "\"\n[bounds]\ngrace_s = 8\nrevoke_everywhere = true\nrevoke_ms = 5000\n"
                                << "config_apply_ms = 3000\n[platform]\naddress = \"127.0.0.1:" << listenPort(*host.storeServer) << "\"\n";
        auto started = ChildProcess::create({"skylark-host", {"--settings=" + settings}, host.output});
        REQUIRE(isOk(started));
        host.process = std::move(valueOf(started));
        this->hosts.push_back(std::move(host));
    }

    void putConfig(unsigned version, const std::vector<std::string> &keys)
    {
        boost::json::array list;
        for (const std::string &key : keys) {
            list.push_back(boost::json::string(key));
        }
        const auto route = [](const char *name, bool isPublic) {
            return boost::json::object{{"name", name},
                                       {"host", "h.example"},
                                       {"prefix", std::string("/") + name + "/"},
                                       {"kind", "safe"},
                                       {"service", "s"},
                                       {"timeout_ms", 3000},
                                       {"public", isPublic}};
        };
        putKey(*this->store,
               "op/config",
               boost::json::serialize(boost::json::object{{"version", version},
                                                          {"routes", boost::json::array{route("lookup", false), route("open", true)}},
                                                          {"tenants", boost::json::array{boost::json::object{{"name", "acme"}, {"api_keys", list}}}}}));
    }

    int statusAt(const ProvingHost &host, const std::string &key, const std::string &path = "/lookup/1")
    {
        HttpRequest request;
        request.method = "POST";
        request.target = path;
        request.headers = {{"Host", "h.example"},
                           {std::string(platform::headerRequestId), "q" + std::to_string(++this->requests)},
                           {std::string(platform::headerDeadline), "3000"},
                           {"X-Api-Key", key}};
        auto answer = this->call(host.callers, std::move(request));
        return isOk(answer) ? valueOf(answer).status : 0;
    }

    bool becomes(const ProvingHost &host, const std::string &key, int status, std::chrono::milliseconds limit)
    {
        const TimePoint until = BootClock::now() + limit;
        while (this->statusAt(host, key) != status) {
            if (BootClock::now() > until) {
                return false;
            }
            this->runFor(50ms);
        }
        return true;
    }

    [[nodiscard]] std::string logOf(const ProvingHost &host) const
    {
        std::ifstream file(host.output);
        return {std::istreambuf_iterator<char>(file), {}};
    }
};

} // namespace

// Guards against a key that does not work, or still works, three seconds after its configuration was confirmed.
TEST_CASE_METHOD(ProvingHostsFixture, "hosts_keysChange_areFollowedInTime")
{
    this->putConfig(2, {secondKey, "sk-third"});
    for (const ProvingHost &host : this->hosts) {
        CHECK(this->becomes(host, "sk-third", 200, 3s));
        CHECK(this->becomes(host, firstKey, 401, 3s));
        CHECK(this->statusAt(host, secondKey) == 200);
        // Guards against a key in the log.
        CHECK(this->logOf(host).find("sk-") == std::string::npos);
        CHECK(this->logOf(host).find("config_proof") != std::string::npos);
    }
}

// Guards against callers that are admitted without the store, and against an outage of public routes.
TEST_CASE_METHOD(ProvingHostsFixture, "hosts_storeDown_keyedRequestsAreRefusedAfterTheLimitAndServedAgain")
{
    this->store->faults.down = true;
    this->runFor(5s);
    for (const ProvingHost &host : this->hosts) {
        CHECK(this->statusAt(host, secondKey) == 503);
        CHECK(this->statusAt(host, "sk-unknown") == 503);
        CHECK(this->statusAt(host, secondKey, "/open/1") == 200);
    }
    this->store->faults.down = false;
    for (const ProvingHost &host : this->hosts) {
        CHECK(this->becomes(host, secondKey, 200, 4s));
    }
}

// Guards against an outage of a host that only the store refuses, and against one that keeps a removed key.
TEST_CASE_METHOD(ProvingHostsFixture, "host_cutOffFromTheStore_isServedByTheProofsOfItsPeer")
{
    ProvingHost &cut = this->hosts[1];
    cut.storeServer.reset();
    for (unsigned i = 0; i < 14; ++i) {
        this->runFor(500ms);
        CHECK(this->statusAt(cut, secondKey) == 200);
    }
    this->putConfig(2, {secondKey});
    CHECK(this->becomes(cut, firstKey, 401, 5s));
    CHECK(this->statusAt(cut, secondKey) == 200);
}

// Guards against a resumed host that admits requests with what it knew before it was suspended.
TEST_CASE_METHOD(ProvingHostsFixture, "host_suspendedWhileAKeyIsRemoved_neverAdmitsItAfterwards")
{
    ProvingHost &paused = this->hosts[1];
    paused.storeServer.reset(); // Its peer alone can tell it.
    this->runFor(500ms);
    sendSignal(*paused.process, SIGSTOP);
    this->putConfig(2, {secondKey});
    this->runFor(6s);
    sendSignal(*paused.process, SIGCONT);
    for (unsigned i = 0; i < 40; ++i) {
        CHECK(this->statusAt(paused, firstKey) != 200);
    }
    CHECK(this->becomes(paused, secondKey, 200, 4s));
}
