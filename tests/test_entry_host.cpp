/** @file test_entry_host.cpp Entry hosts as processes with a stand-in of the platform: requests, jobs, stops, kills and log lines. */
#include "call_wire_func.h"
#include "core/table/event_table.h"
#include "explain/explain_func.h"
#include "names.h"
#include "replica_base.h"
#include "support/process_func.h"
#include "support/raw_caller.h"

#include <boost/asio/detached.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <unistd.h>

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

/** One host process. */
struct HostProcess {
    std::unique_ptr<ChildProcess> process;
    Endpoint callers; ///< Address for callers.
    Endpoint readiness; ///< Address for readiness probes.
    std::string settings; ///< Path of the settings file.
    std::string output; ///< Path of the file with its standard output and error.
};

/** The platform's stand-in and two hosts. Each host has a loopback address of its own, because the metrics port is fixed. */
struct HostProcessFixture : TestLoop {
    std::filesystem::path folder{std::filesystem::temp_directory_path() / ("skylark-site-" + std::to_string(::getpid()))}; ///< Files of the test.
    RunningProgram platformProcess{RunningProgram::create("standin-site", {"--events=60", "--step_ms=10"})}; ///< Store and targets of the platform.
    std::vector<HostProcess> hosts;

    HostProcessFixture()
    {
        std::filesystem::remove_all(this->folder);
        std::filesystem::create_directories(this->folder);
        this->addHost("front-1", "127.0.0.2");
        this->addHost("front-2", "127.0.0.3");
        for (HostProcess &host : this->hosts) {
            REQUIRE(this->waitReady(host));
        }
    }
    HostProcessFixture(const HostProcessFixture &) = delete;
    HostProcessFixture &operator=(const HostProcessFixture &) = delete;
    ~HostProcessFixture()
    {
        for (HostProcess &host : this->hosts) {
            killProcess(*host.process);
        }
        std::filesystem::remove_all(this->folder);
    }

    void addHost(const std::string &name, const std::string &address)
    {
        HostProcess host;
        host.callers = {address, freePort()};
        host.readiness = {address, freePort()};
        host.settings = (this->folder / (name + ".toml")).string();
        host.output = (this->folder / (name + ".log")).string();
        std::ofstream(host.settings) << "node = \"" << name << "\"\nrole = \"entry\"\nserves = [\"front\"]\nip = \"" << address << "\"\nzone = \"north\"\n"
                                     << "internal_ports = [" << freePort() << "]\n[listen]\nfront = \"" << address << ':' << host.callers.port
                                     << "\"\nreadiness = \"" << address << ':' << host.readiness.port << "\"\n[bounds]\ngrace_s = 8\n[platform]\naddress = \""
                                     << this->platformProcess.endpoint.address << ':' << this->platformProcess.endpoint.port << "\"\n";
        auto started = ChildProcess::create({"skylark-host", {"--settings=" + host.settings}, host.output});
        REQUIRE(isOk(started));
        host.process = std::move(valueOf(started));
        this->hosts.push_back(std::move(host));
    }

    bool waitReady(const HostProcess &host)
    {
        for (unsigned attempt = 0; attempt < 200; ++attempt) {
            if (this->ready(host)) {
                return true;
            }
            this->runFor(50ms);
        }
        return false;
    }

    bool ready(const HostProcess &host)
    {
        HttpRequest request;
        request.target = "/-/ready";
        auto answer = this->call(host.readiness, request);
        return isOk(answer) && valueOf(answer).status == 200;
    }

    [[nodiscard]] static HttpRequest request(const std::string &id, const std::string &target, std::string body = "x")
    {
        HttpRequest made;
        made.method = "POST";
        made.target = target;
        made.headers = {{"Host", "h.example"}, {std::string(platform::headerRequestId), id}, {std::string(platform::headerDeadline), "9000"}};
        made.body = std::move(body);
        return made;
    }

    [[nodiscard]] static std::string jobBody(unsigned items)
    {
        boost::json::array list;
        for (unsigned i = 0; i < items; ++i) {
            list.push_back(boost::json::object{{"id", "item-" + std::to_string(i)}, {"path", "/batch/x"}, {"body", ""}, {"tokens", 10}});
        }
        return boost::json::serialize(boost::json::object{{"items", list}});
    }

    /** @return Results of job "j1" once there are @p count, or those that exist after @p limit. */
    boost::json::array results(const HostProcess &host, std::size_t count, std::chrono::milliseconds limit)
    {
        const TimePoint until = BootClock::now() + limit;
        boost::json::array read;
        while (read.size() < count && BootClock::now() < until) {
            HttpRequest get;
            get.target = "/-/lots/j1?after=0";
            get.headers = {{"Host", "h.example"}};
            auto answer = this->call(host.callers, get);
            if (isOk(answer) && valueOf(answer).status == 200) {
                read = boost::json::parse(valueOf(answer).body).at("results").get_array();
            }
            this->runFor(100ms);
        }
        return read;
    }

    [[nodiscard]] std::vector<LogLine> logs() const
    {
        std::vector<LogLine> lines;
        for (const HostProcess &host : this->hosts) {
            std::ifstream file(host.output);
            readLogLines(file, lines);
        }
        return lines;
    }

    [[nodiscard]] bool logged(const std::string &id, const std::string &event) const
    {
        const auto lines = this->logs();
        return std::any_of(lines.begin(), lines.end(), [&](const LogLine &line) {
            return line.event == event && (id.empty() || line.id == id);
        });
    }
};

/** @return Names of the fields of @p line that are not common to all events. */
std::set<std::string> ownFields(const LogLine &line)
{
    static const std::set<std::string> common{"ts", "host", "part", "event", "id", "stands_for"};
    std::set<std::string> names;
    for (const auto &field : line.fields) {
        if (!common.contains(std::string(field.key()))) {
            names.insert(std::string(field.key()));
        }
    }
    return names;
}

/** @return Names of the fields of @p event by the event table. */
std::set<std::string> tableFields(const std::string &event)
{
    for (const EventInfo &info : eventTable) {
        if (info.name == event) {
            std::istringstream words{std::string(info.fields)};
            return {std::istream_iterator<std::string>(words), {}};
        }
    }
    return {};
}

} // namespace

// Guards against log lines that lack fields listed in the event table and docs/OPERATIONS.md, such as item_yielded without its item and job.
TEST_CASE_METHOD(HostProcessFixture, "logLines_ofRequestsAndJobs_haveTheFieldsOfTheTable")
{
    static const std::set<std::string> partly{"refused", "job_refused"};
    REQUIRE(isOk(this->call(this->hosts[0].callers, HostProcessFixture::request("q1", "/chat/x"))));
    REQUIRE(isOk(this->call(this->hosts[1].callers, HostProcessFixture::request("q2", "/unknown/x"))));
    REQUIRE(isOk(this->call(this->hosts[0].callers, HostProcessFixture::request("j1", "/batch/j1", HostProcessFixture::jobBody(40)))));
    this->runFor(300ms);
    for (unsigned i = 0; i < 40; ++i) {
        boost::asio::co_spawn(
            this->loop,
            [this, i]() -> boost::asio::awaitable<void> {
                co_await httpCall(this->http, this->hosts[i % 2].callers, HostProcessFixture::request("s" + std::to_string(i), "/chat/x"), {1s, 1s, 9s, 9s});
            },
            boost::asio::detached);
    }
    CHECK(this->results(this->hosts[1], 40, 20s).size() == 40);
    std::set<std::string> seen;
    for (const LogLine &line : this->logs()) {
        INFO(line.event);
        seen.insert(line.event);
        const auto actualFields = ownFields(line);
        const auto tableFieldsOfEvent = tableFields(line.event);
        CHECK(std::includes(tableFieldsOfEvent.begin(), tableFieldsOfEvent.end(), actualFields.begin(), actualFields.end()));
        CHECK((partly.contains(line.event) || actualFields == tableFieldsOfEvent));
        CHECK((line.event != "item_yielded" || !line.id.empty()));
    }
    for (const char *event : {"start",
                              "ready",
                              "config_adopted",
                              "target_changed",
                              "placed",
                              "answered",
                              "refused",
                              "job_accepted",
                              "item_started",
                              "item_yielded",
                              "item_finished",
                              "results_listed",
                              "job_read"}) {
        INFO(event);
        CHECK(seen.contains(event));
    }
}

TEST_CASE_METHOD(HostProcessFixture, "hosts_requestsAndJobs_areServedAndExplained")
{
    auto order = this->call(this->hosts[0].callers, request("o1", "/order/x"));
    REQUIRE(isOk(order));
    CHECK(valueOf(order).status == 200);
    CHECK(valueOf(order).body == wholeText("o1", 60));
    auto missing = this->call(this->hosts[1].callers, request("m1", "/none/x"));
    REQUIRE(isOk(missing));
    CHECK(valueOf(missing).status == 404);
    auto job = this->call(this->hosts[0].callers, request("j1", "/batch/j1", jobBody(3)));
    REQUIRE(isOk(job));
    CHECK(valueOf(job).status == 202);
    CHECK(this->results(this->hosts[1], 3, 15s).size() == 3);
    this->runFor(500ms);
    CHECK(this->logged("o1", "placed"));
    CHECK(this->logged("o1", "answered"));
    const Explanation explanation = explain(this->logs(), "j1");
    CHECK(std::any_of(explanation.lines.begin(), explanation.lines.end(), [](const LogLine &line) {
        return line.event == "item_finished" && line.id == "item-1";
    }));
    CHECK(explain(this->logs(), "m1").cause.find("no route") != std::string::npos);
}

// Guards against a planned stop that cuts off running streams, loses jobs, or ends with a failure or only when the process is killed.
TEST_CASE_METHOD(HostProcessFixture, "host_stopped_finishesItsStreamsAndReleasesItsJobs")
{
    auto job = this->call(this->hosts[0].callers, request("j1", "/batch/j1", jobBody(3)));
    REQUIRE(isOk(job));
    std::optional<Result<HttpResponse>> stream;
    auto task = [&]() -> boost::asio::awaitable<void> {
        HttpRequest made = request("s1", "/chat/x");
        stream = co_await httpCall(this->http, this->hosts[0].callers, std::move(made), {}, ConnectionUse::Fresh);
    };
    boost::asio::co_spawn(this->loop, task(), boost::asio::detached);
    this->runFor(200ms);
    sendSignal(*this->hosts[0].process, SIGTERM);
    REQUIRE(this->runUntil(
        [&] {
            return stream.has_value();
        },
        8s));
    REQUIRE(isOk(*stream));
    CHECK(valueOf(*stream).body.find("id: 60\n") != std::string::npos);
    CHECK_FALSE(this->ready(this->hosts[0]));
    CHECK(waitExit(*this->hosts[0].process, 9s) == 0);
    CHECK(this->logged("", "stopped"));
    CHECK(this->results(this->hosts[1], 3, 15s).size() == 3);
    CHECK(this->logged("j1", "job_claimed"));
}

// Guards against a stop that ends while a host still reads a request, because only requests that run were counted.
TEST_CASE_METHOD(HostProcessFixture, "host_stoppedWhileReadingARequest_answersIt")
{
    RawCaller caller(this->loop, this->hosts[0].callers);
    caller.write("POST /order/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n" + std::string(platform::headerRequestId) + ": r1\r\n\r\nab");
    this->runFor(100ms);
    sendSignal(*this->hosts[0].process, SIGTERM);
    this->runFor(3500ms);
    caller.write("cd");
    CHECK(this->runUntil(
        [&caller] {
            caller.poll();
            return caller.closed;
        },
        3s));
    INFO(caller.received);
    CHECK(caller.count("HTTP/1.1 200 OK") == 1);
    CHECK(waitExit(*this->hosts[0].process, 9s) == 0);
}

// Guards against a stop that lasts until the process is killed, because jobs are released one after the other while the store does not answer.
TEST_CASE_METHOD(HostProcessFixture, "host_stoppedWhileTheStoreIsSilent_exitsWithinItsStopLimit")
{
    for (const char *job : {"j1", "j2", "j3", "j4"}) {
        REQUIRE(isOk(this->call(this->hosts[0].callers, request(job, std::string("/batch/") + job, jobBody(2)))));
    }
    RawCaller idle(this->loop, this->hosts[0].callers);
    this->runFor(200ms);
    sendSignal(*this->platformProcess.process, SIGSTOP);
    const TimePoint begun = BootClock::now();
    sendSignal(*this->hosts[0].process, SIGTERM);
    CHECK(this->runUntil(
        [&idle] {
            idle.poll();
            return idle.closed;
        },
        4s));
    CHECK(waitExit(*this->hosts[0].process, 10s) == 0);
    CHECK(BootClock::now() - begun < 8s);
    sendSignal(*this->platformProcess.process, SIGCONT);
}

// Guards against a host that exits at its stop limit without a word to the callers that still wait.
TEST_CASE_METHOD(HostProcessFixture, "host_stopLimitBeforeTheResponse_callerGets504")
{
    std::ifstream current(this->hosts[0].settings);
    std::string settings((std::istreambuf_iterator<char>(current)), {});
    settings.replace(settings.find("grace_s = 8"), std::string("grace_s = 8").size(), "grace_s = 1");
    std::ofstream(this->hosts[0].settings) << settings;
    sendSignal(*this->hosts[0].process, SIGHUP);
    REQUIRE(this->runUntil(
        [this] {
            return this->logged("", "reload");
        },
        5s));
    REQUIRE(isOk(this->call(this->hosts[0].callers, request("j1", "/batch/j1", jobBody(1)))));
    RawCaller caller(this->loop, this->hosts[0].callers);
    caller.write("GET /-/lots/j1?after=0 HTTP/1.1\r\nHost: h.example\r\n" + std::string(platform::headerWait) + ": 1000\r\n\r\n");
    this->runFor(100ms);
    sendSignal(*this->hosts[0].process, SIGTERM);
    CHECK(waitExit(*this->hosts[0].process, 3s) == 0);
    caller.poll();
    CHECK(caller.closed);
    INFO(caller.received);
    CHECK(caller.count("HTTP/1.1 504 Gateway Timeout") == 1);
}

TEST_CASE_METHOD(HostProcessFixture, "host_killed_itsJobIsFinishedByTheOther")
{
    auto job = this->call(this->hosts[0].callers, request("j1", "/batch/j1", jobBody(4)));
    REQUIRE(isOk(job));
    CHECK(valueOf(job).status == 202);
    sendSignal(*this->hosts[0].process, SIGKILL);
    CHECK(this->results(this->hosts[1], 4, 30s).size() == 4);
}

TEST_CASE_METHOD(HostProcessFixture, "host_settingsChanged_areReadAgainOrRefusedWithTheReason")
{
    std::ofstream(this->hosts[0].settings) << "node = \"front-1\"\n";
    sendSignal(*this->hosts[0].process, SIGHUP);
    CHECK(this->runUntil(
        [&] {
            return this->logged("", "settings_refused");
        },
        5s));
    auto order = this->call(this->hosts[0].callers, request("o2", "/order/x"));
    REQUIRE(isOk(order));
    CHECK(valueOf(order).status == 200);
}

TEST_CASE_METHOD(HostProcessFixture, "host_checkFlag_reportsMistakesAndStartsNothing")
{
    const std::string broken = (this->folder / "broken.toml").string();
    const std::string output = (this->folder / "broken.log").string();
    std::ofstream(broken) << "node = \"x\"\n";
    auto refused = ChildProcess::create({"skylark-host", {"--check", "--settings=" + broken}, output});
    REQUIRE(isOk(refused));
    CHECK(waitExit(*valueOf(refused), 5s) == 1);
    std::ifstream file(output);
    const std::string text((std::istreambuf_iterator<char>(file)), {});
    CHECK(text.find("zone: must be a non-empty string") != std::string::npos);
    auto accepted = ChildProcess::create({"skylark-host", {"--check", "--settings=" + this->hosts[0].settings}, output});
    REQUIRE(isOk(accepted));
    CHECK(waitExit(*valueOf(accepted), 5s) == 0);
}

// Guards against a host that does not answer being left out of "skylarkctl top", or hiding the figures of the others.
TEST_CASE_METHOD(HostProcessFixture, "top_oneHostUnreachable_showsARowForEach")
{
    killProcess(*this->hosts[1].process);
    const std::string output = (this->folder / "top.txt").string();
    auto top = ChildProcess::create({"skylarkctl", {"top", "127.0.0.2:9464,127.0.0.3:9464"}, output});
    REQUIRE(isOk(top));
    for (unsigned i = 0; i < 20; ++i) {
        REQUIRE(isOk(this->call(this->hosts[0].callers, HostProcessFixture::request("q" + std::to_string(i), "/lookup/x"))));
    }
    CHECK(waitExit(*valueOf(top), 15s) == 0);
    std::ifstream file(output);
    std::string heading;
    std::string served;
    std::string gone;
    REQUIRE((std::getline(file, heading) && std::getline(file, served) && std::getline(file, gone)));
    CHECK(served.find("127.0.0.2:9464") == 0);
    CHECK(served.find("no answer") == std::string::npos);
    CHECK(gone.find("no answer") != std::string::npos);
}
