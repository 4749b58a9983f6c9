/** @file test_caller_input.cpp Tests of slow, oversized, truncated and ambiguous requests of callers, and of header forwarding. */
#include "support/entry_fixture.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/** One host with low limits, and a caller that writes raw bytes. */
struct CallerInputFixture : EntryFixture {
    Replica &replica{this->addReplica("i-1")};
    EntryTestHost node{*this, "front-1", false};

    CallerInputFixture()
    {
        updateLimits(*this->node.server, 1024, 2048, 200ms, 2s);
        this->replica.plan = [](const HttpRequest & /*request*/, unsigned /*number*/) {
            return ReplicaPlan{.stream = false};
        };
    }

    /** Bytes that the caller writes, and the time that it waits after them. */
    struct Step {
        std::string bytes;
        std::chrono::milliseconds pause{0};
    };

    /** Writes @p steps on a new connection. @return What the host sends until it closes the connection; empty with @p closeAfter. */
    asio::awaitable<std::string> exchange(std::vector<Step> steps, bool closeAfter)
    {
        tcp::socket socket(this->loop);
        co_await socket.async_connect({asio::ip::make_address(this->node.endpoint.address), this->node.endpoint.port}, asio::use_awaitable);
        asio::steady_timer timer(this->loop);
        for (const Step &step : steps) {
            const auto [error, written] = co_await asio::async_write(socket, asio::buffer(step.bytes), awaitTuple);
            if (error) {
                break;
            }
            timer.expires_after(step.pause);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (closeAfter) {
            socket.close();
            co_return std::string();
        }
        std::string answer;
        co_await asio::async_read(socket, asio::dynamic_buffer(answer), awaitTuple);
        co_return answer;
    }

    /** @return What the host sends until it closes the connection. */
    std::string answerTo(std::vector<Step> steps)
    {
        return this->run(this->exchange(std::move(steps), false));
    }

    /** @return A request head with request id @p id and the header lines @p more, each with its line end. */
    [[nodiscard]] static std::string head(const std::string &id, const std::string &more)
    {
        return "POST /lookup/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n" + std::string(platform::headerRequestId) + ": " + id + "\r\n" + more
               + "\r\n";
    }

    /** @return Requests that reached the replica. */
    [[nodiscard]] std::size_t runs() const
    {
        return this->replica.runs.size();
    }
};

bool hasStatus(const std::string &answer, int status)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

} // namespace

TEST_CASE_METHOD(CallerInputFixture, "caller_headOverLimit_gets431AndIsNotForwarded")
{
    CHECK(hasStatus(this->answerTo({{head("q1", "X-Long: " + std::string(4000, 'x') + "\r\n")}}), 431));
    CHECK(this->runs() == 0);
}

// A head that arrives too slowly must not hold a connection. 408 lets the caller retry, because nothing was run.
TEST_CASE_METHOD(CallerInputFixture, "caller_headTooSlow_gets408InTime")
{
    const std::string whole = head("q1", "");
    const TimePoint begun = BootClock::now();
    CHECK(hasStatus(this->answerTo({{whole.substr(0, 20), 0ms}}), 408));
    CHECK(BootClock::now() - begun < 1s);
    CHECK(this->runs() == 0);
}

TEST_CASE_METHOD(CallerInputFixture, "caller_idleConnection_isClosedWithoutAnAnswer")
{
    updateLimits(*this->node.server, 1024, 2048, 200ms, 300ms);
    CHECK(this->answerTo({}).empty());
}

TEST_CASE_METHOD(CallerInputFixture, "caller_bodyOverLimitWithLengthOrChunked_gets413")
{
    const std::string body(200000, 'b');
    CHECK(hasStatus(this->answerTo({{head("q1", "Content-Length: 200000\r\n") + body}}), 413));
    std::string chunked = head("q2", "Transfer-Encoding: chunked\r\n");
    for (unsigned i = 0; i < 10; ++i) {
        chunked += "400\r\n" + std::string(1024, 'c') + "\r\n";
    }
    CHECK(hasStatus(this->answerTo({{chunked + "0\r\n\r\n"}}), 413));
    CHECK(this->runs() == 0);
}

// A caller disconnects before its body is complete. The truncated request must not be forwarded and run.
TEST_CASE_METHOD(CallerInputFixture, "caller_disconnectsWithinBody_nothingIsForwarded")
{
    this->run(this->exchange({{head("q1", "Content-Length: 100\r\n") + "only a part", 50ms}}, true));
    this->run(this->exchange({{head("q2", "Transfer-Encoding: chunked\r\n") + "5\r\nparts\r\n", 50ms}}, true));
    this->runFor(200ms);
    CHECK(this->runs() == 0);
}

// Request smuggling: a message with two lengths or two hosts can be read in two ways, and the bytes after the shorter reading would be run
// as another caller's request.
TEST_CASE_METHOD(CallerInputFixture, "caller_ambiguousLengthOrHost_gets400AndNothingRuns")
{
    const std::string inner =
        "POST /lookup/y HTTP/1.1\r\nHost: h.example\r\n" + std::string(platform::headerRequestId) + ": inner\r\nContent-Length: 0\r\n\r\n";
    const std::string size = std::to_string(inner.size());
    const std::vector<std::string> heads{
        "Content-Length: " + size + "\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: " + size + "\r\n",
        "Content-Length: 0\r\nContent-Length: " + size + "\r\n",
        "Host: other.example\r\nContent-Length: 0\r\n",
    };
    for (const std::string &more : heads) {
        INFO(more);
        CHECK(hasStatus(this->answerTo({{head("outer", more) + "0\r\n\r\n" + inner}}), 400));
    }
    CHECK(this->runs() == 0);
}

TEST_CASE_METHOD(CallerInputFixture, "caller_malformedRequest_gets400")
{
    CHECK(hasStatus(this->answerTo({{"GET\r\n\r\n"}}), 400));
    CHECK(hasStatus(this->answerTo({{std::string(300, '\x01') + "\r\n\r\n"}}), 400));
    CHECK(this->runs() == 0);
}

TEST_CASE_METHOD(CallerInputFixture, "caller_requestInPieces_isServed")
{
    const std::string whole = head("q1", "Content-Length: 7\r\n") + "the sum";
    std::vector<Step> steps;
    for (std::size_t at = 0; at < whole.size(); at += 40) {
        steps.push_back({whole.substr(at, 40), 5ms});
    }
    CHECK(hasStatus(this->answerTo(steps), 200));
    REQUIRE(this->runs() == 1);
    CHECK(this->replica.runs[0]->body == "the sum");
}

// Repeated headers, such as Set-Cookie, must be forwarded as often as they were sent. Headers that Connection lists are for one hop and
// must not be forwarded.
TEST_CASE_METHOD(CallerInputFixture, "forward_repeatedHeaders_arriveAsSent")
{
    this->replica.plan = [](const HttpRequest & /*request*/, unsigned /*number*/) {
        return ReplicaPlan{.stream = false, .headers = {{"Set-Cookie", "a=1"}, {"Set-Cookie", "b=2"}}};
    };
    const std::string answer =
        this->answerTo({{head("q1", "X-Mark: one\r\nX-Mark: two\r\nConnection: X-Hop\r\nX-Hop: 1\r\nHop: kept\r\nContent-Length: 0\r\n")}});
    CHECK(answer.find("Set-Cookie: a=1") != std::string::npos);
    CHECK(answer.find("Set-Cookie: b=2") != std::string::npos);
    REQUIRE(this->runs() == 1);
    const HttpHeaders &arrived = this->replica.runs[0]->headers;
    const auto countOf = [&arrived](std::string_view name) {
        return std::count_if(arrived.begin(), arrived.end(), [name](const HttpHeader &header) {
            return header.name == name;
        });
    };
    CHECK(countOf("X-Mark") == 2);
    CHECK(countOf("X-Hop") == 0);
    CHECK(countOf("Hop") == 1);
}
