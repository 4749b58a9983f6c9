/** @file main.cpp Stand-in for the users' platform: a key-value store that lists a set of replicas and holds a configuration. */
#include "../memory_store_base.h"
#include "../replica_base.h"
#include "../store_server_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_int32(port, 0, "port of the store on 127.0.0.1; 0 for any free port, which is printed");
DEFINE_int32(replicas, 2, "number of replicas");
DEFINE_int32(events, 20, "number of events of a response");
DEFINE_int32(step_ms, 10, "time in milliseconds between two events");

namespace skylark::standin {

namespace {

namespace json = boost::json;

json::object routeObject(const std::string &name, const std::string &kind, bool resumable)
{
    return {{"name", name},
            {"host", "h.example"},
            {"prefix", "/" + name + "/"},
            {"kind", kind},
            {"service", "llm"},
            {"timeout_ms", 20000},
            {"target_latency_ms", 300},
            {"max_attempts", 2},
            {"resumable", resumable},
            {"completion_target_ms", 18000},
            {"retention_s", 60}};
}

void putConfig(MemoryStore &store)
{
    const json::array routes{routeObject("chat", "streaming", true), routeObject("order", "unsafe", false), routeObject("batch", "batch", true)};
    putKey(store, "op/config", json::serialize(json::object{{"version", 1}, {"routes", routes}, {"services", json::array()}}));
}

void putReplica(MemoryStore &store, const Replica &replica)
{
    const std::string address = "127.0.0.1:" + std::to_string(listenPort(*replica.server));
    const json::object entry{{"service", "llm"},
                             {"address", address},
                             {"zone", "north"},
                             {"version", "v1"},
                             {"slots", 8},
                             {"state", "ready"},
                             {"cold_remaining_ms", 0},
                             {"sequence", 1}};
    putKey(store, "servers/" + replica.id, json::serialize(entry));
}

int runSite()
{
    boost::asio::io_context loop{1};
    const auto store = MemoryStore::create(loop.get_executor());
    auto server = serveStore(store, static_cast<std::uint16_t>(FLAGS_port));
    if (!isOk(server)) {
        std::cerr << errorOf(server).detail << '\n';
        return 1;
    }
    putConfig(*store);
    std::vector<std::shared_ptr<Replica>> replicas;
    for (int i = 0; i < FLAGS_replicas; ++i) {
        auto replica = Replica::create(loop.get_executor(), "i-" + std::to_string(i));
        replica->plan = [](const HttpRequest &request, unsigned /*number*/) {
            const bool stream = !request.target.starts_with("/order/");
            return ReplicaPlan{.stream = stream, .events = static_cast<unsigned>(FLAGS_events), .step = std::chrono::milliseconds(FLAGS_step_ms)};
        };
        putReplica(*store, *replica);
        replicas.push_back(std::move(replica));
    }
    std::cout << listenPort(*valueOf(server)) << std::endl;
    boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
    signals.async_wait([&loop](const boost::system::error_code & /*error*/, int /*signal*/) {
        loop.stop();
    });
    loop.run();
    std::_Exit(0);
}

} // namespace

} // namespace skylark::standin

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return skylark::standin::runSite();
}
