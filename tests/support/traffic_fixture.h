/** @file traffic_fixture.h Test fixture: a callers' server with stand-in targets on one event loop. */
#pragma once

#include "core/invariant_func.h"
#include "http/http_client_func.h"
#include "http/http_server_func.h"
#include "traffic/caller_server_base.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylark {

/** How a stand-in target answers generations and service calls. */
enum class TargetMode : std::uint8_t {
    Complete, ///< Sends the whole answer.
    Cut, ///< Closes the connection after cutAfter tokens; after a service call, without a response.
    Silent, ///< Reads the request and never responds.
    Unended, ///< Sends the whole answer with its end marker, but does not end the body.
    Stall, ///< Stops sending after cutAfter tokens.
    Pause, ///< Sends nothing for the time of @c pause after cutAfter tokens, not even a head if that is 0, then goes on.
    NotRun, ///< 503 with the header x-not-run.
    Unloaded, ///< 404, as an engine that has unloaded the model.
};

/** A stand-in target on the loop of the test. */
struct StubTarget {
    boost::asio::io_context &loop;
    std::unique_ptr<HttpServer> server;
    TargetMode mode{TargetMode::Complete};
    unsigned cutAfter{3}; ///< Tokens before TargetMode::Cut, TargetMode::Stall and TargetMode::Pause take effect.
    std::chrono::milliseconds pause{1000}; ///< Silence of TargetMode::Pause; for service calls before the response.
    TargetMode modeAfterCut{TargetMode::Cut}; ///< Mode after a generation was cut.
    unsigned tokens{10}; ///< Tokens of a whole answer: "w0 ", "w1 " and so on.
    bool draining{false}; ///< "draining" in the load report.
    bool refusesAsDraining{false}; ///< Whether the answer of TargetMode::NotRun says that the target is draining.
    bool omitsRequestId{false}; ///< Whether responses to service calls do not echo the request id.
    int generations{0};
    int serviceCalls{0};
    int callersGone{0}; ///< Requests whose connection was closed before the response was complete.
    std::vector<HttpRequest> requests;

    explicit StubTarget(boost::asio::io_context &context);
    [[nodiscard]] Endpoint endpoint() const;
    boost::asio::awaitable<void> handle(HttpRequest request, HttpResponder &responder);
    boost::asio::awaitable<void> generate(HttpRequest request, HttpResponder &responder);
    boost::asio::awaitable<void> waitForDisconnect(HttpResponder &responder);
    boost::asio::awaitable<void> waitForPause();
};

/** A stand-in key-value service with conditional writes. */
struct StubStore {
    std::unique_ptr<HttpServer> server;
    std::map<std::string, std::pair<std::string, std::uint64_t>> values; ///< Value and version by path.

    explicit StubStore(boost::asio::io_context &loop);
    boost::asio::awaitable<void> handle(HttpRequest request, HttpResponder &responder);
};

/** A callers' server with its host context and its targets. Checks at the end that no invariant was violated. */
struct TrafficFixture {
    HostContext context;
    std::shared_ptr<Settings> settings{std::make_shared<Settings>()};
    std::shared_ptr<FleetConfig> config{std::make_shared<FleetConfig>()}; ///< Configuration with the workspace "atelier".
    ControlSnapshot snapshot; ///< Visible to the server after publish().
    std::vector<std::unique_ptr<StubTarget>> targets;
    std::unique_ptr<StubStore> store; ///< Key-value service.
    std::shared_ptr<CallerServer> server; ///< Server under test.
    std::shared_ptr<HttpClient> client; ///< Sends the callers' requests.
    int violations{0};
    std::vector<std::pair<std::string, unsigned>> yields; ///< Calls of requestYield: target and slots.
    std::vector<std::string> leaving; ///< Targets reported as leaving.

    TrafficFixture();
    ~TrafficFixture();

    /** Adds an engine, or a target of @p service when it is not empty. @param running Running streams in its load report. */
    StubTarget &addTarget(const std::string &service = {}, unsigned slots = 8, unsigned running = 0);
    /** Makes the snapshot visible to the server. */
    void publish();
    /** @return The workspace "atelier"; change it before publish(). */
    WorkspaceConfig &workspace();
    void startServer();
    [[nodiscard]] Endpoint endpoint() const;

    /** Runs the loop until @p task is done. */
    template<typename T>
    T run(boost::asio::awaitable<T> task)
    {
        std::optional<T> value;
        boost::asio::co_spawn(this->context.online, std::move(task), [&value](const std::exception_ptr &, T result) {
            value.emplace(std::move(result));
        });
        for (int i = 0; i < 100000 && !value; ++i) {
            this->context.online.restart();
            this->context.online.run_one_for(std::chrono::milliseconds(100));
        }
        REQUIRE(value);
        return std::move(*value);
    }

    void runFor(std::chrono::milliseconds duration);
    HttpResponse call(std::string method, std::string path, std::string body, HttpHeaders headers = {});
    HttpResponse chat(bool stream, HttpHeaders headers = {});
};

/** @return The words "w0 " to "w<count - 1> ". */
std::string words(unsigned count);

/** @return The text of an answer, streamed or not. */
std::string answerText(const HttpResponse &response);

/** @return Member @p name of the error in @p response. */
std::string errorMember(const HttpResponse &response, std::string_view name);

} // namespace skylark
