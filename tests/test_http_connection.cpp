/** @file test_http_connection.cpp Tests that each request that has arrived is answered, whatever happens to its connection. */
#include "http/http_server_func.h"
#include "http/memory_account_base.h"
#include "support/process_func.h"
#include "support/raw_caller.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <stdexcept>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

using namespace skylark;
using namespace skylark::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

const std::string plainRequest = "GET /echo HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string okLine = "HTTP/1.1 200 OK";
constexpr std::size_t largeBody = std::size_t{24} << 20U; ///< Size of a response that does not fit into the buffers of a connection.

/** A server with short limits. */
struct HttpConnectionFixture : TestLoop {
    HttpServerOptions options;
    std::unique_ptr<HttpServer> server; ///< Null until listen().
    Endpoint endpoint{"127.0.0.1", 0}; ///< Address of the server; the port is set by listen().
    int requests{0}; ///< Number of requests that reached the handler.
    int callersGone{0}; ///< Number of callers that closed the connection during a request for /watched.
    std::map<ErrorCode, int> unserved; ///< Number of reports of the server by cause.

    HttpConnectionFixture()
    {
        this->options.listen = this->endpoint;
        this->options.maxBody = 1000;
        this->options.bodyTimeout = 150ms;
        this->options.keepAlive = 200ms;
        this->options.onUnserved = [this](ErrorCode cause) {
            ++this->unserved[cause];
        };
    }

    void listen()
    {
        auto created = HttpServer::create(this->loop.get_executor(), this->options, [this](HttpRequest request, HttpResponder &responder) {
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
        if (path == "/slow") {
            asio::steady_timer timer(this->loop, 100ms);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        } else if (path == "/watched") {
            asio::steady_timer timer(this->loop, 2s);
            onCallerDisconnect(responder, [this, &timer] {
                ++this->callersGone;
                timer.cancel();
            });
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        } else if (path == "/watchedLate") {
            asio::steady_timer timer(this->loop, 150ms);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            onCallerDisconnect(responder, [this] {
                ++this->callersGone;
            });
        } else if (path == "/throw") {
            throw std::runtime_error("handler failed");
        } else if (path == "/stream") {
            co_await startStream(responder, 200, {});
            asio::steady_timer timer(this->loop, 1s);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            co_return;
        } else if (path == "/nothing") {
            co_return;
        }
        HttpResponse response;
        response.body = path == "/large" ? std::string(largeBody, 'x') : request.body;
        co_await sendResponse(responder, std::move(response));
    }

    [[nodiscard]] std::unique_ptr<RawCaller> connect()
    {
        return std::make_unique<RawCaller>(this->loop, this->endpoint);
    }

    /** @return A connection that is kept after one answered request. */
    [[nodiscard]] std::unique_ptr<RawCaller> connectKept()
    {
        auto caller = this->connect();
        caller->write(plainRequest);
        CHECK(this->waitFor(*caller, okLine));
        caller->received.clear();
        return caller;
    }

    /** Runs the loop until @p caller has received @p text. @return Whether it did within a second. */
    [[nodiscard]] bool waitFor(RawCaller &caller, const std::string &text)
    {
        return this->runUntil(
                   [&caller, &text] {
                       caller.poll();
                       return caller.closed || caller.received.find(text) != std::string::npos;
                   },
                   1s)
               && caller.received.find(text) != std::string::npos;
    }

    /** Runs the loop until the server closes the connection. @return Whether it did within @p limit. */
    [[nodiscard]] bool waitClosed(RawCaller &caller, std::chrono::milliseconds limit = 1s)
    {
        return this->runUntil(
            [&caller] {
                caller.poll();
                return caller.closed;
            },
            limit);
    }
};

} // namespace

// Guards against the idle limit closing connections on which requests arrived while the process did not run.
TEST_CASE_METHOD(HttpConnectionFixture, "idleConnections_requestsArriveDuringStall_areAnswered")
{
    this->options.keepAlive = 2s; // The connections are opened and used well within it.
    this->listen();
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 300; ++i) {
        callers.push_back(this->connect());
        callers.back()->write(plainRequest);
    }
    for (const auto &caller : callers) {
        REQUIRE(this->waitFor(*caller, okLine));
        caller->received.clear();
    }
    for (const auto &caller : callers) {
        caller->poll();
        REQUIRE_FALSE(caller->closed);
    }
    std::this_thread::sleep_for(2100ms);
    for (const auto &caller : callers) {
        caller->write(plainRequest);
    }
    for (const auto &caller : callers) {
        CHECK(this->waitFor(*caller, okLine));
    }
}

// Guards against closing a kept connection at a stop although a request on it has arrived and was not read yet.
TEST_CASE_METHOD(HttpConnectionFixture, "closeIdleConnections_requestNotReadYet_isAnsweredThenClosed")
{
    this->listen();
    const auto caller = this->connectKept();
    const auto idle = this->connectKept();
    caller->write(plainRequest);
    announceClose(*this->server);
    closeIdleConnections(*this->server);
    CHECK(this->waitFor(*caller, okLine));
    CHECK(caller->count("Connection: close") == 1);
    CHECK(this->waitClosed(*caller));
    CHECK(this->waitClosed(*idle, 50ms));
    CHECK(idle->received.empty());
}

// Guards against dropping connections, with their requests, that the kernel had established before the server stopped to accept.
TEST_CASE_METHOD(HttpConnectionFixture, "stopAccepting_requestInBacklog_isAnswered")
{
    this->listen();
    this->runFor(10ms);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 20; ++i) {
        callers.push_back(this->connect());
        callers.back()->write(plainRequest);
    }
    announceClose(*this->server);
    stopAccepting(*this->server);
    closeIdleConnections(*this->server);
    for (const auto &caller : callers) {
        CHECK(this->waitFor(*caller, okLine));
    }
}

// Guards against a handler's exception or missing response that ends the connection without an answer and counts as a running request forever.
TEST_CASE_METHOD(HttpConnectionFixture, "handler_throwsOrSendsNothing_callerGets500")
{
    this->listen();
    for (const std::string path : {"/throw", "/nothing"}) {
        const auto caller = this->connect();
        caller->write("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
        try {
            CHECK(this->waitFor(*caller, "HTTP/1.1 500"));
        } catch (const std::exception &error) {
            FAIL_CHECK("the exception left the handler: " << error.what());
        }
        CHECK(this->waitClosed(*caller));
        CHECK(caller->count("Connection: close") == 1);
        this->runFor(10ms);
        CHECK(activeRequests(*this->server) == 0);
    }
    CHECK(this->unserved[ErrorCode::Internal] == 2);
}

// Guards against a host that exits at its stop limit without a word to the callers that still wait.
TEST_CASE_METHOD(HttpConnectionFixture, "answerUnfinished_requestsRunningOrBeingRead_areAnsweredByTheirState")
{
    this->listen();
    const auto running = this->connect();
    const auto reading = this->connect();
    const auto streaming = this->connect();
    const auto idle = this->connectKept();
    running->write("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    reading->write("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
    streaming->write("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(this->waitFor(*streaming, okLine));
    answerUnfinished(*this->server);
    CHECK(this->waitClosed(*running));
    CHECK(running->count("HTTP/1.1 504") == 1);
    CHECK(running->count("HTTP/1.1") == 1);
    CHECK(this->waitClosed(*reading));
    CHECK(reading->count("HTTP/1.1 503") == 1);
    idle->poll();
    CHECK(idle->received.empty());
    streaming->poll();
    CHECK(streaming->count("HTTP/1.1") == 1);
}

// Guards against a body that comes too late, or is malformed, ending the connection without an answer.
TEST_CASE_METHOD(HttpConnectionFixture, "requestBody_lateOrMalformed_isRefusedAsNotRun")
{
    this->listen();
    const auto late = this->connect();
    late->write("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
    const auto malformed = this->connect();
    malformed->write("POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
    CHECK(this->waitFor(*late, "HTTP/1.1 408"));
    CHECK(this->waitFor(*malformed, "HTTP/1.1 400"));
    CHECK(this->requests == 0);
    CHECK(this->unserved == std::map<ErrorCode, int>{{ErrorCode::HeaderTimeout, 1}, {ErrorCode::InvalidRequest, 1}});
}

// Guards against the body timeout ending a request whose last bytes had arrived while the process did not run.
TEST_CASE_METHOD(HttpConnectionFixture, "requestBody_restArrivesDuringStall_isAnswered")
{
    this->listen();
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 300; ++i) {
        callers.push_back(this->connect());
        callers.back()->write("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
    }
    this->runFor(100ms);
    std::this_thread::sleep_for(200ms);
    for (const auto &caller : callers) {
        caller->write("cd");
    }
    for (const auto &caller : callers) {
        CHECK(this->waitFor(*caller, "abcd"));
    }
}

// Guards against connections over the limit being dropped without an answer.
TEST_CASE_METHOD(HttpConnectionFixture, "connections_overTheLimit_areRefusedWith503")
{
    this->options.maxConnections = 2;
    this->options.keepAlive = 10s;
    this->listen();
    const auto first = this->connectKept();
    const auto second = this->connectKept();
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 100; ++i) {
        callers.push_back(this->connect());
        callers.back()->write(plainRequest);
    }
    for (const auto &caller : callers) {
        CHECK(this->waitFor(*caller, "HTTP/1.1 503"));
        CHECK(caller->count("Retry-After: ") == 1);
        CHECK(caller->count("Connection: close") == 1);
    }
    CHECK(this->requests == 2);
    CHECK(this->unserved[ErrorCode::NotReady] == 100);
}

// Guards against an accept loop that keeps the processor busy while the process has no file descriptor left.
TEST_CASE_METHOD(HttpConnectionFixture, "accept_noDescriptorLeft_pausesAndGoesOnLater")
{
    this->listen();
    this->runFor(10ms);
    const auto caller = this->connect();
    caller->write(plainRequest);
    rlimit limit{};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
    const int lowestFree = ::dup(0);
    REQUIRE(::close(lowestFree) == 0);
    const rlimit none{static_cast<rlim_t>(lowestFree), limit.rlim_max};
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &none) == 0);
    this->loop.restart();
    const std::size_t handlers = this->loop.run_for(100ms);
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
    CHECK(handlers < 50);
    CHECK(this->waitFor(*caller, okLine));
}

// Guards against a change of the idle limit that closes waiting connections earlier than the previous or the new limit lets callers expect.
TEST_CASE_METHOD(HttpConnectionFixture, "idleLimit_changed_waitingConnectionsKeepTheLongerOne")
{
    this->listen();
    const auto grown = this->connectKept();
    updateLimits(*this->server, 8192, 1000, 5s, 1s);
    this->runFor(500ms);
    grown->write(plainRequest);
    CHECK(this->waitFor(*grown, okLine));
    grown->received.clear();
    updateLimits(*this->server, 8192, 1000, 5s, 200ms);
    const auto later = this->connectKept();
    this->runFor(500ms);
    for (RawCaller *caller : {grown.get(), later.get()}) {
        caller->write(plainRequest);
        CHECK(this->waitFor(*caller, okLine));
    }
    this->runFor(600ms);
    const auto shortened = this->connectKept();
    CHECK(this->waitClosed(*shortened, 400ms));
}

// Guards against answering a request with Connection: close although the next one on the connection has arrived, which is then dropped.
TEST_CASE_METHOD(HttpConnectionFixture, "announceClose_nextRequestHasArrived_isAnsweredBeforeTheClose")
{
    this->listen();
    const auto pipelined = this->connect();
    const auto unread = this->connect();
    const std::string slow = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n";
    pipelined->write(slow + plainRequest);
    unread->write(slow);
    this->runFor(30ms);
    unread->write(plainRequest);
    announceClose(*this->server);
    for (RawCaller *caller : {pipelined.get(), unread.get()}) {
        CHECK(this->waitFor(*caller, "Connection: close"));
        CHECK(this->waitClosed(*caller));
        CHECK(caller->count(okLine) == 2);
        CHECK(caller->count("Connection: close") == 1);
    }
}

// Guards against targets that work on for a caller that has closed its connection after bytes of a next request.
TEST_CASE_METHOD(HttpConnectionFixture, "callerDisconnect_bytesOfTheNextRequestWereSent_isNoticed")
{
    this->listen();
    const bool resets = GENERATE(false, true);
    const auto caller = this->connect();
    caller->write("GET /watched HTTP/1.1\r\nHost: h\r\n\r\n");
    this->runFor(50ms);
    REQUIRE(this->requests == 1);
    caller->write(plainRequest.substr(0, 10));
    this->runFor(150ms);
    CHECK(this->callersGone == 0);
    if (resets) {
        caller->socket.set_option(asio::socket_base::linger(true, 0));
    }
    caller->socket.close();
    CHECK(this->runUntil(
        [this] {
            return this->callersGone == 1;
        },
        400ms));
}

// Guards against a request that is forwarded for nobody: its caller left while it waited for admission, before the handler watched the connection.
TEST_CASE_METHOD(HttpConnectionFixture, "callerDisconnect_beforeTheHandlerWatches_isReportedAtOnce")
{
    this->listen();
    const auto caller = this->connect();
    caller->write("GET /watchedLate HTTP/1.1\r\nHost: h\r\n\r\n");
    this->runFor(30ms);
    caller->socket.close();
    CHECK(this->runUntil(
        [this] {
            return this->callersGone == 1;
        },
        1s));
}

// Guards against a look for the end of a connection that acts on the next request of the caller.
TEST_CASE_METHOD(HttpConnectionFixture, "callerDisconnect_nextRequestWasSentAhead_bothAreAnswered")
{
    this->listen();
    const auto caller = this->connect();
    caller->write("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    this->runFor(30ms);
    caller->write("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(this->runUntil([&caller] {
        caller->poll();
        return caller->count(okLine) == 2;
    }));
    CHECK(this->requests == 2);
    CHECK(this->callersGone == 0);
}

// Guards against a response that is cut off although its caller reads on, because the whole of it takes longer than the limit of one write.
TEST_CASE_METHOD(HttpConnectionFixture, "sendResponse_callerReadsSlowly_responseIsWhole")
{
    this->options.writeTimeout = 300ms;
    this->listen();
    const auto caller = this->connect();
    caller->write("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto begun = std::chrono::steady_clock::now();
    std::string piece(std::size_t{256} << 10U, '\0');
    std::size_t received = 0;
    boost::system::error_code error;
    while ((!error || error == asio::error::would_block) && received < largeBody) {
        this->runFor(10ms);
        received += caller->socket.read_some(asio::buffer(piece), error);
    }
    CHECK(received >= largeBody);
    CHECK(std::chrono::steady_clock::now() - begun > this->options.writeTimeout);
}

// Guards against a caller that reads nothing and holds a response for longer than the limit of one write.
TEST_CASE_METHOD(HttpConnectionFixture, "sendResponse_callerReadsNothing_connectionIsClosed")
{
    this->options.writeTimeout = 200ms;
    this->listen();
    const auto caller = this->connect();
    caller->write("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(this->runUntil(
        [this] {
            return this->requests == 1 && openConnections(*this->server) == 0;
        },
        1s));
}

namespace {

/** A server with a small budget. */
struct HttpMemoryFixture : HttpConnectionFixture {
    std::map<ClientLimit, int> limits; ///< Number of reports of the server by cause.
    std::shared_ptr<MemoryAccount> memory{MemoryAccount::create(loop.get_executor(), makeBudget(std::uint64_t{1} << 20U))};

    HttpMemoryFixture()
    {
        this->options.maxBody = 600000;
        this->options.maxHeader = 2048;
        this->options.bodyTimeout = 10s;
        this->options.memory = this->memory;
        const auto report = [this](const ClientLimitReport &met) {
            ++this->limits[met.cause];
        };
        this->options.onClientLimit = report;
        this->memory->onClose = [report](const MemoryHold & /*hold*/, std::chrono::milliseconds /*idle*/) {
            report({ClientLimit::MemoryClosed});
        };
    }

    /** Sends @p bytes, and waits until the server has answered or closed the connection. @return What was received. */
    std::string exchange(const std::string &bytes)
    {
        RawCaller caller(this->loop, this->endpoint);
        caller.write(bytes);
        CHECK(this->runUntil([&caller] {
            caller.poll();
            return caller.closed || !caller.received.empty();
        }));
        return caller.received;
    }
};

std::string postHead(const std::string &framing)
{
    return "POST /echo HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n";
}

} // namespace

// Guards against trailers that are not counted against the limit of the head.
TEST_CASE_METHOD(HttpMemoryFixture, "httpServer_trailersOverHeaderLimit_answers431")
{
    this->listen();
    const std::string trailers = "X-Trailer: " + std::string(2000, 't') + "\r\n\r\n";
    CHECK(this->exchange(postHead("Transfer-Encoding: chunked") + "1\r\na\r\n0\r\n" + trailers).starts_with("HTTP/1.1 431"));
    CHECK(this->requests == 0);
    CHECK(this->limits[ClientLimit::FramingTooLarge] == 1);
}

// Guards against chunk extensions that are each small, but not together.
TEST_CASE_METHOD(HttpMemoryFixture, "httpServer_extensionsOverHeaderLimit_answers431")
{
    this->listen();
    std::string body;
    for (unsigned i = 0; i < 30; ++i) {
        body += "1;e=" + std::string(80, 'e') + "\r\na\r\n";
    }
    CHECK(this->exchange(postHead("Transfer-Encoding: chunked") + body + "0\r\n\r\n").starts_with("HTTP/1.1 431"));
    CHECK(this->requests == 0);
}

// Guards against refusing trailers and extensions within the limit.
TEST_CASE_METHOD(HttpMemoryFixture, "httpServer_framingWithinHeaderLimit_isServed")
{
    this->listen();
    CHECK(this->exchange(postHead("Transfer-Encoding: chunked") + "1;e=f\r\na\r\n0\r\nX-Trailer: t\r\n\r\n").starts_with(okLine));
}

// Guards against a body without progress that holds its memory until the limit of the whole body.
TEST_CASE_METHOD(HttpMemoryFixture, "httpServer_bodyStalls_answers408")
{
    this->options.bodyLimits.stall = 100ms;
    this->listen();
    CHECK(this->exchange(postHead("Content-Length: 1000") + "part").starts_with("HTTP/1.1 408"));
    CHECK(this->limits[ClientLimit::BodyStalled] == 1);
}

// Guards against a body that trickles and is never without progress for long.
TEST_CASE_METHOD(HttpMemoryFixture, "httpServer_bodyTooSlow_answers408")
{
    this->options.bodyLimits = {.stall = 5000ms, .grace = 200ms, .minRate = 1000};
    this->listen();
    RawCaller caller(this->loop, this->endpoint);
    caller.write(postHead("Content-Length: 100000"));
    CHECK(this->runUntil([&caller] {
        caller.poll();
        if (!caller.closed && caller.received.empty()) {
            caller.write("b");
        }
        return caller.closed || !caller.received.empty();
    }));
    CHECK(caller.received.starts_with("HTTP/1.1 408"));
    CHECK(this->limits[ClientLimit::BodyTooSlow] == 1);
}

// Guards against cutting off a body whose link is slow but steady, beyond the time after which the minimum rate applies.
TEST_CASE_METHOD(HttpMemoryFixture, "httpServer_bodySlowButSteady_isServed")
{
    this->options.bodyLimits = {.stall = 5000ms, .grace = 200ms, .minRate = 1000};
    this->listen();
    RawCaller caller(this->loop, this->endpoint);
    caller.write(postHead("Content-Length: 10000"));
    for (unsigned i = 0; i < 20; ++i) {
        caller.write(std::string(500, 'b'));
        this->runFor(40ms);
    }
    CHECK(this->runUntil([&caller] {
        caller.poll();
        return !caller.received.empty();
    }));
    CHECK(caller.received.starts_with(okLine));
}

// Guards against a body that stops short of its end and keeps the memory for which another request waits.
TEST_CASE_METHOD(HttpMemoryFixture, "httpServer_budgetUsedByUnfinishedBody_itIsRefusedAndOtherServed")
{
    this->listen();
    RawCaller unfinished(this->loop, this->endpoint);
    unfinished.write(postHead("Content-Length: 500000") + std::string(499000, 'b'));
    this->runFor(50ms);
    CHECK(this->memory->use.large >= 500000);
    RawCaller other(this->loop, this->endpoint);
    boost::asio::write(other.socket, boost::asio::buffer(postHead("Content-Length: 500000")));
    std::string rest(500000, 'b');
    CHECK(this->runUntil([&] {
        boost::system::error_code error;
        rest.erase(0, rest.empty() ? 0 : other.socket.write_some(boost::asio::buffer(rest), error));
        other.poll();
        unfinished.poll();
        return !other.received.empty() && !unfinished.received.empty();
    }));
    CHECK(other.received.starts_with(okLine));
    CHECK(unfinished.received.starts_with("HTTP/1.1 503"));
    CHECK(this->limits[ClientLimit::MemoryClosed] == 1);
}

// Guards against a connection that keeps the account's bytes after its request, or after its end.
TEST_CASE_METHOD(HttpMemoryFixture, "httpServer_requestsEnd_bytesAreGivenBack")
{
    this->listen();
    CHECK(this->exchange(postHead("Content-Length: 300000") + std::string(300000, 'b')).starts_with(okLine));
    CHECK(this->exchange(postHead("Content-Length: 700000")).starts_with("HTTP/1.1 413"));
    CHECK(this->runUntil([this] {
        return openConnections(*this->server) == 0;
    }));
    CHECK(this->memory->use.held == 0);
    CHECK(this->memory->use.large == 0);
}

// Guards against a kept connection that keeps the bytes of its last request.
TEST_CASE_METHOD(HttpMemoryFixture, "httpServer_keptConnection_bytesOfItsRequestAreGivenBack")
{
    this->listen();
    const auto caller = this->connect();
    caller->write(postHead("Content-Length: 300000") + std::string(300000, 'b'));
    CHECK(this->runUntil([&caller] {
        caller->poll();
        return caller->received.size() > 300000;
    }));
    this->runFor(20ms);
    CHECK_FALSE(caller->closed);
    CHECK(this->memory->use.large == 0);
}

// Guards against an answer that its caller does not read and that keeps the memory for which another request waits.
TEST_CASE_METHOD(HttpMemoryFixture, "httpServer_budgetUsedByUnreadAnswer_itIsClosedAndOtherServed")
{
    this->listen();
    const auto unread = this->connect();
    unread->write("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(this->runUntil([this] {
        return this->memory->use.large > largeBody;
    }));
    this->runFor(200ms);
    const auto other = this->connect();
    other->write(postHead("Content-Length: 300000") + std::string(300000, 'b'));
    CHECK(this->runUntil([&other] {
        other->poll();
        return !other->received.empty();
    }));
    CHECK(other->received.starts_with(okLine));
    CHECK(this->limits[ClientLimit::MemoryClosed] == 1);
}
