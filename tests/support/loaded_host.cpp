/** @file loaded_host.cpp A real skylark-host process with store and targets on loopback addresses, for tests of clients that nobody controls. */
#include "support/loaded_host.h"

#include "core/async_sleep_func.h"
#include "http/http_server_func.h"
#include "metrics/metrics_text_func.h"
#include "names.h"

#include <boost/json.hpp>
#include <fstream>
#include <unistd.h>

namespace skylark::test {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds answerDelay{300}; ///< Time that a target works on a request, for which the host holds the body.
constexpr milliseconds ordinaryLimit{40000}; ///< A host that answers no ordinary request for that long hangs.
constexpr std::uint16_t metricsPort = 9464; ///< Fixed port of the metrics address.

json::object routeObject(const std::string &name, const std::string &kind)
{
    return {{"name", name},
            {"host", "h.example"},
            {"prefix", "/" + name + "/"},
            {"kind", kind},
            {"service", "ledger"},
            {"timeout_ms", 8000},
            {"target_latency_ms", 300},
            {"max_attempts", 2},
            {"resumable", false},
            {"completion_target_ms", 18000},
            {"retention_s", 60}};
}

std::string configText()
{
    const json::array routes{routeObject("lookup", "safe"), routeObject("order", "unsafe"), routeObject("job", "batch")};
    const json::object limits{{"max_header_bytes", 16384}, {"max_body_bytes", loadedHostMaxBody}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}};
    return json::serialize(json::object{{"version", 1}, {"routes", routes}, {"services", json::array()}, {"limits", limits}});
}

/** Answers a request as a target does, after a while. */
asio::awaitable<void> answerRequest(HttpRequest request, HttpResponder &responder)
{
    const std::string id(headerValue(request.headers, platform::headerRequestId));
    co_await sleepFor(answerDelay);
    HttpResponse response;
    response.headers = {{std::string(platform::headerRequestId), id}, {std::string(platform::headerSignature), "signature-of-" + id}};
    response.body.assign(request.target.find("/large") == std::string::npos ? 2 : largeAnswerBytes, 'a');
    co_await sendResponse(responder, std::move(response));
}

/** @return A loopback address of this test process: the port of metrics is fixed, and several such tests may run at once. */
std::string loopbackAddress()
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127.120." + std::to_string(process / 250 % 250) + '.' + std::to_string(1 + process % 250);
}

void writeSettings(LoadedHost &host, const std::string &path, const std::string &extraSettings)
{
    const std::string address = host.callers.address;
    std::ofstream(path) << "node = \"front-1\"\nrole = \"entry\"\nserves = [\"front\"]\nip = \"" << address << "\"\nzone = \"north\"\ninternal_ports = ["
                        << freePort() << "]\n[listen]\nfront = \"" << address << ':' << host.callers.port << "\"\nreadiness = \"" << address << ':'
                        << host.readiness.port << "\"\n[limits]\nmemory_mb = " << loadedHostMemoryMegabytes << "\nfds = " << loadedHostDescriptors
                        << "\n[platform]\naddress = \"127.0.0.1:" << listenPort(*host.storeServer) << "\"\n"
                        << extraSettings;
}

/** @return Status of the answer to one request on a new connection; 0 for none. */
int callStatus(const Endpoint &endpoint, HttpRequest request)
{
    TestLoop caller;
    const auto answer = caller.call(endpoint, std::move(request));
    return isOk(answer) ? valueOf(answer).status : 0;
}

} // namespace

LoadedHost::LoadedHost(const std::string &extraSettings)
    : folder(std::filesystem::temp_directory_path() / ("skylark-loaded-" + std::to_string(::getpid())))
    , callers{loopbackAddress(), freePort()}
    , readiness{loopbackAddress(), freePort()}
{
    std::filesystem::create_directories(this->folder);
    const auto store = standin::MemoryStore::create(this->loop.get_executor());
    auto served = standin::serveStore(store);
    REQUIRE(isOk(served));
    this->storeServer = std::move(valueOf(served));
    HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    auto created = HttpServer::create(this->loop.get_executor(), options, [](HttpRequest request, HttpResponder &responder) {
        return answerRequest(std::move(request), responder);
    });
    REQUIRE(isOk(created));
    this->target = std::move(valueOf(created));
    putKey(*store, std::string(platform::keyConfig), configText());
    const json::object entry{{"service", "ledger"},
                             {"address", "127.0.0.1:" + std::to_string(listenPort(*this->target))},
                             {"zone", "north"},
                             {"version", "v1"},
                             {"slots", 64},
                             {"state", "ready"},
                             {"cold_remaining_ms", 0},
                             {"sequence", 1}};
    putKey(*store, std::string(platform::prefixTargets) + "i-1", json::serialize(entry));
    this->thread = std::thread([this] {
        const auto guard = asio::make_work_guard(this->loop);
        this->loop.run();
    });
    const std::string settings = (this->folder / "front.toml").string();
    writeSettings(*this, settings, extraSettings);
    auto started = ChildProcess::create({"skylark-host", {"--settings=" + settings}, (this->folder / "front.log").string()});
    REQUIRE(isOk(started));
    this->process = std::move(valueOf(started));
    REQUIRE(answersOrdinaryRequest(*this));
}

LoadedHost::~LoadedHost()
{
    if (this->process) {
        killProcess(*this->process);
    }
    this->loop.stop();
    if (this->thread.joinable()) {
        this->thread.join();
    }
    std::filesystem::remove_all(this->folder);
}

void watchHost(LoadedHost &host)
{
    std::error_code failed;
    std::filesystem::directory_iterator entries("/proc/" + std::to_string(host.process->pid) + "/fd", failed);
    std::size_t count = 0;
    for (; !failed && entries != std::filesystem::directory_iterator(); entries.increment(failed)) {
        ++count;
    }
    host.mostDescriptors = std::max(host.mostDescriptors, count);
}

std::size_t peakResidentKib(const LoadedHost &host)
{
    std::ifstream status("/proc/" + std::to_string(host.process->pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(6));
        }
    }
    return 0;
}

bool answersOrdinaryRequest(const LoadedHost &host)
{
    const auto end = std::chrono::steady_clock::now() + ordinaryLimit;
    for (unsigned number = 0; std::chrono::steady_clock::now() < end; ++number) {
        HttpRequest request;
        request.method = "POST";
        request.target = "/lookup/ordinary";
        request.headers = {{"Host", "h.example"}, {std::string(platform::headerRequestId), "ordinary-" + std::to_string(number)}};
        request.body = "ordinary";
        if (callStatus(host.callers, std::move(request)) == 200) {
            return true;
        }
        std::this_thread::sleep_for(100ms);
    }
    return false;
}

double hostCounter(const LoadedHost &host, const std::string &name)
{
    TestLoop caller;
    HttpRequest request;
    request.target = "/metrics";
    const auto answer = caller.call({host.callers.address, metricsPort}, std::move(request));
    return isOk(answer) ? sumOf(parseMetrics(valueOf(answer).body), name) : 0;
}

} // namespace skylark::test
