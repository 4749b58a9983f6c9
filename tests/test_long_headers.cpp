/** @file test_long_headers.cpp Header fields that are longer than the 65,533 bytes which the container of the HTTP library holds. */
#include "support/jobs_fixture.h"
#include "support/raw_caller.h"

#include <boost/algorithm/string/predicate.hpp>

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

constexpr std::size_t longFieldBytes = 75600; ///< A prompt of 6,300 parts of 16 tokens has a header of this length.
constexpr std::uint32_t largeHeadLimit = 262144;

/** @return A header with a value of @p bytes that differs in each place, so that a shortened or shifted one is noticed. */
HttpHeader longHeader(const std::string &name, std::size_t bytes)
{
    std::string value;
    for (unsigned part = 0; value.size() < bytes; ++part) {
        value += std::to_string(part) + ":16,";
    }
    value.resize(bytes - 1);
    return {name, value + "z"};
}

struct LongHeaderFixture : JobsFixture {
    LongHeaderFixture()
    {
        this->setPlan({.events = 2, .step = 1ms});
    }

    /** Submits job "j1" to host a: a common item "j1-0" and an item "j1-1" with @p header. */
    HttpResponse submitWith(const HttpHeader &header)
    {
        json::object document = json::parse(bodyOf("j1", 2)).as_object();
        document["items"].as_array()[1].as_object()["headers"].as_object()[header.name] = header.value;
        HttpRequest request = EntryTestHost::request("j1", "/batch/j1");
        request.body = json::serialize(document);
        return this->a->send(std::move(request));
    }

    /** @return The run of request @p id on any replica; null if there is none. */
    [[nodiscard]] std::shared_ptr<ReplicaRun> findRun(const std::string &id) const
    {
        for (const auto &replica : this->replicas) {
            for (const auto &run : replica->runs) {
                if (run->id == id) {
                    return run;
                }
            }
        }
        return nullptr;
    }
};

} // namespace

// Guards against an accepted item that is neither run nor listed, because a header is longer than the HTTP library can hold (review/8).
TEST_CASE_METHOD(LongHeaderFixture, "item_headerOf75600Bytes_isRunAsSubmittedAndListed")
{
    const HttpHeader header = longHeader("X-Skylarkstage-Prompt-Prefix", longFieldBytes);
    REQUIRE(this->submitWith(header).status == 202);
    const auto read = this->results(*this->a, "j1", 2, 8s);
    REQUIRE(read.size() == 2);
    for (const auto &entry : read) {
        CHECK(entry.at("state") == "completed");
    }
    const auto run = this->findRun("j1-1");
    REQUIRE(run);
    CHECK(headerValue(run->headers, header.name) == header.value);
}

// Guards against the same limit on the way in: a request whose head is within the operator's limit gets no answer, and its connection is closed.
TEST_CASE_METHOD(LongHeaderFixture, "caller_longHeaderWithinTheLimitOfTheHead_isForwardedAsSent")
{
    updateLimits(*this->a->server, largeHeadLimit, std::size_t{4} << 20U, 3000ms, 15000ms);
    HttpRequest request = EntryTestHost::request("q1", "/lookup/x");
    this->setPlan({.stream = false});
    request.headers.push_back(longHeader("X-Mark", longFieldBytes));
    const HttpHeader sent = request.headers.back();
    const HttpResponse answer = this->a->send(std::move(request));
    CHECK(answer.status == 200);
    const auto run = this->findRun("q1");
    REQUIRE(run);
    CHECK(headerValue(run->headers, "X-Mark") == sent.value);
    CHECK(headerValue(run->headers, "Host") == "h.example");
}

// Guards against a long Host header that is overlooked when repeated ones are looked for, so that a target takes another route than this host.
TEST_CASE_METHOD(LongHeaderFixture, "caller_longHostHeader_isRefused")
{
    updateLimits(*this->a->server, largeHeadLimit, std::size_t{4} << 20U, 3000ms, 15000ms);
    RawCaller caller(this->loop, this->a->endpoint);
    caller.write("GET /lookup/x HTTP/1.1\r\nHost: h.example\r\nX-Skylarkstage-Request-Id: q1\r\nHost: " + std::string(longFieldBytes, 'h') + "\r\n\r\n");
    REQUIRE(this->runUntil(
        [&caller] {
            caller.poll();
            return caller.closed;
        },
        5s));
    CHECK(caller.received.starts_with("HTTP/1.1 431 "));
    CHECK(this->first.arrivals + this->second.arrivals == 0);
}

// Guards against a long trailer, which the host drops, that ends the connection without an answer.
TEST_CASE_METHOD(LongHeaderFixture, "caller_longTrailerWithinTheLimit_getsAnAnswer")
{
    updateLimits(*this->a->server, largeHeadLimit, std::size_t{4} << 20U, 3000ms, 15000ms);
    this->setPlan({.stream = false});
    RawCaller caller(this->loop, this->a->endpoint);
    caller.write("POST /lookup/x HTTP/1.1\r\nHost: h.example\r\nX-Skylarkstage-Request-Id: q1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "0\r\nX-Mark: "
                 + std::string(longFieldBytes, 'x') + "\r\n\r\n");
    REQUIRE(this->runUntil(
        [&caller] {
            caller.poll();
            return caller.closed;
        },
        5s));
    CHECK(caller.received.starts_with("HTTP/1.1 200 "));
}
