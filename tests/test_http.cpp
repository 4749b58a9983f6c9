/** @file test_http.cpp Tests of the HTTP client and server against each other over loopback. */
#include "core/async_sleep_func.h"
#include "http/http_client_func.h"
#include "http/http_server_func.h"

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace skylark;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/** A server and a client on one event loop. */
struct HttpFixture {
    asio::io_context loop{1};
    std::shared_ptr<HttpClient> client{HttpClient::create(loop.get_executor())};
    std::unique_ptr<HttpServer> server; ///< Null until listen().
    Endpoint endpoint{"127.0.0.1", 0}; ///< Address of the server; the port is set by listen().
    HttpTimeouts timeouts{200ms, 200ms, 300ms, 200ms}; ///< Connect, send, first byte and idle timeout.
    int callersGone{0}; ///< Number of callers that closed the connection before the response.
    int requests{0}; ///< Number of requests that reached the handler.

    void listen()
    {
        HttpServerOptions options;
        options.listen = this->endpoint;
        options.maxBody = 1000;
        options.bodyTimeout = 150ms;
        auto created = HttpServer::create(this->loop.get_executor(), options, [this](HttpRequest request, HttpResponder &responder) {
            return this->handle(std::move(request), responder);
        });
        REQUIRE(isOk(created));
        this->server = std::move(valueOf(created));
        this->endpoint.port = listenPort(*this->server);
    }

    asio::awaitable<void> handle(HttpRequest request, HttpResponder &responder)
    {
        ++this->requests;
        const std::string path(targetPath(request.target));
        if (path == "/echo") {
            HttpResponse response;
            response.headers.push_back({"x-request-id", std::string(headerValue(request.headers, "X-Request-Id"))});
            response.body = request.body;
            co_await sendResponse(responder, std::move(response));
        } else if (path == "/stream") {
            co_await startStream(responder, 200, {});
            co_await writeChunk(responder, "one ");
            co_await writeChunk(responder, "two");
            co_await finishStream(responder);
        } else if (path == "/cut") {
            co_await startStream(responder, 200, {});
            co_await writeChunk(responder, "one ");
        } else if (path == "/silent") {
            asio::steady_timer timer(this->loop, 2s);
            onCallerDisconnect(responder, [this, &timer] {
                ++this->callersGone;
                timer.cancel();
            });
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    template<typename T>
    T run(asio::awaitable<T> task)
    {
        std::optional<T> value;
        asio::co_spawn(this->loop, std::move(task), [&value](const std::exception_ptr &, T result) {
            value = std::move(result);
        });
        for (int i = 0; i < 1000 && !value; ++i) {
            this->loop.restart();
            this->loop.run_one_for(100ms);
        }
        REQUIRE(value);
        return std::move(*value);
    }

    void runFor(std::chrono::milliseconds duration)
    {
        this->loop.restart();
        this->loop.run_for(duration);
    }

    Result<HttpResponse> call(const std::string &target, std::string body = {})
    {
        return this->run(httpCall(this->client, this->endpoint, {"POST", target, {{"x-request-id", "r1"}}, std::move(body)}, this->timeouts));
    }
};

} // namespace

TEST_CASE_METHOD(HttpFixture, "httpCall_completeExchange_reusesConnection")
{
    this->listen();
    auto first = this->call("/echo", "hello");
    REQUIRE(isOk(first));
    CHECK(valueOf(first).body == "hello");
    CHECK(headerValue(valueOf(first).headers, "x-request-id") == "r1");
    CHECK(this->client->idle[this->endpoint].size() == 1);
    auto second = this->call("/stream");
    REQUIRE(isOk(second));
    CHECK(valueOf(second).body == "one two");
    CHECK(this->client->idle[this->endpoint].size() == 1);
}

// Guards against treating a response that was cut off in the middle as complete, and against reusing its connection.
TEST_CASE_METHOD(HttpFixture, "httpCall_streamCut_reportsBrokenAndDropsConnection")
{
    this->listen();
    auto result = this->call("/cut");
    REQUIRE_FALSE(isOk(result));
    CHECK(errorOf(result).code == ErrorCode::StreamBroken);
    CHECK(errorOf(result).run == RunState::Maybe);
    CHECK(this->client->idle[this->endpoint].empty());
}

// Guards against a server that never responds holding a request for longer than the first byte timeout.
TEST_CASE_METHOD(HttpFixture, "httpCall_silentServer_timesOutAndServerSeesCallerGone")
{
    this->listen();
    auto result = this->call("/silent");
    REQUIRE_FALSE(isOk(result));
    CHECK(errorOf(result).code == ErrorCode::FirstByteTimeout);
    CHECK(errorOf(result).run == RunState::Maybe);
    this->runFor(50ms);
    CHECK(this->callersGone == 1);
}

// Guards against reporting that a request may have run although no connection was established.
TEST_CASE_METHOD(HttpFixture, "httpCall_connectionRefused_reportsNotRun")
{
    this->listen();
    const Endpoint closed = this->endpoint;
    this->server.reset();
    this->runFor(20ms);
    auto result = this->run(httpCall(this->client, closed, {}, this->timeouts));
    REQUIRE_FALSE(isOk(result));
    CHECK(errorOf(result).code == ErrorCode::ConnectFailed);
    CHECK(errorOf(result).run == RunState::No);
}

TEST_CASE_METHOD(HttpFixture, "httpServer_bodyOverLimit_answers413")
{
    this->listen();
    auto result = this->call("/echo", std::string(2000, 'x'));
    REQUIRE(isOk(result));
    CHECK(valueOf(result).status == 413);
    CHECK(this->requests == 0);
}

TEST_CASE_METHOD(HttpFixture, "httpCallExpectContinue_precheckFails_bodyNeverReachesHandler")
{
    this->listen();
    auto result = this->run(httpCallExpectContinue(this->client, this->endpoint, {"POST", "/echo", {}, "order"}, this->timeouts, []() -> Result<Done> {
        return makeError(ErrorCode::LeaseExpired, "lease");
    }));
    REQUIRE_FALSE(isOk(result));
    CHECK(errorOf(result).code == ErrorCode::LeaseExpired);
    this->runFor(300ms);
    CHECK(this->requests == 0);
}

// Guards against an order that takes effect although its sender was paused after the lease check: the server refuses a request whose body does not arrive
// within its body timeout.
TEST_CASE_METHOD(HttpFixture, "httpCallExpectContinue_senderPausedPastServerTimeout_orderDropped")
{
    this->listen();
    auto result = this->run(httpCallExpectContinue(this->client, this->endpoint, {"POST", "/echo", {}, "order"}, this->timeouts, [this]() -> Result<Done> {
        this->runFor(300ms);
        return Done{};
    }));
    REQUIRE(isOk(result));
    CHECK(valueOf(result).status == 408);
    CHECK(this->requests == 0);
}

TEST_CASE_METHOD(HttpFixture, "httpCallExpectContinue_precheckSucceeds_orderRuns")
{
    this->listen();
    auto result = this->run(httpCallExpectContinue(this->client, this->endpoint, {"POST", "/echo", {}, "order"}, this->timeouts, []() -> Result<Done> {
        return Done{};
    }));
    REQUIRE(isOk(result));
    CHECK(valueOf(result).body == "order");
}

namespace {

/** A server on a thread of its own that answers once it is told to. */
struct GatedServer {
    asio::io_context loop{1};
    std::unique_ptr<HttpServer> server;
    Endpoint endpoint{"127.0.0.1", 0};
    std::atomic<unsigned> received{0}; ///< Requests that have reached the handler.
    std::atomic<unsigned> answered{0}; ///< Responses that have been written.
    std::atomic<bool> mayAnswer{false};
    std::thread thread;

    GatedServer()
    {
        HttpServerOptions options;
        options.listen = this->endpoint;
        auto created = HttpServer::create(this->loop.get_executor(), options, [this](const HttpRequest & /*request*/, HttpResponder &responder) {
            return this->handle(responder);
        });
        REQUIRE(isOk(created));
        this->server = std::move(valueOf(created));
        this->endpoint.port = listenPort(*this->server);
        this->thread = std::thread([this] {
            this->loop.run();
        });
    }
    GatedServer(const GatedServer &) = delete;
    GatedServer &operator=(const GatedServer &) = delete;
    ~GatedServer()
    {
        this->loop.stop();
        this->thread.join();
    }

    asio::awaitable<void> handle(HttpResponder &responder)
    {
        ++this->received;
        while (!this->mayAnswer) {
            co_await sleepFor(10ms);
        }
        HttpResponse response;
        response.body = "whole";
        co_await sendResponse(responder, std::move(response));
        ++this->answered;
    }
};

} // namespace

// Guards against a stall of this process that is taken for silence of the peers, whose responses lie unread in the sockets.
TEST_CASE_METHOD(HttpFixture, "httpOpen_processStallsBeyondTheTimeout_responsesThatHaveArrivedAreRead")
{
    constexpr unsigned requestCount = 300; // More than one look at the sockets takes.
    constexpr std::chrono::milliseconds firstByteTimeout{1500};
    GatedServer peer;
    unsigned ended = 0;
    unsigned whole = 0;
    for (unsigned i = 0; i < requestCount; ++i) {
        auto task = httpCall(this->client, peer.endpoint, {"POST", "/x", {}, {}}, {2s, 2s, firstByteTimeout, 2s}, ConnectionUse::Fresh);
        asio::co_spawn(this->loop, std::move(task), [&ended, &whole](const std::exception_ptr & /*thrown*/, Result<HttpResponse> response) {
            ++ended;
            whole += isOk(response) && valueOf(response).body == "whole" ? 1 : 0;
        });
    }
    while (peer.received < requestCount && ended == 0) {
        this->runFor(10ms);
    }
    REQUIRE(ended == 0);
    std::this_thread::sleep_for(firstByteTimeout);
    peer.mayAnswer = true;
    for (int i = 0; i < 500 && peer.answered < requestCount; ++i) {
        std::this_thread::sleep_for(10ms);
    }
    REQUIRE(peer.answered == requestCount);
    for (int i = 0; i < 500 && ended < requestCount; ++i) {
        this->runFor(10ms);
    }
    CHECK(whole == requestCount);
}
