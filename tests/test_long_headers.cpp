/** @file test_long_headers.cpp Header fields that are longer than the 65,533 bytes which the container of the HTTP library holds. */
#include "entry/caller_memory_func.h"
#include "support/byte_target.h"
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

// Guards against an accepted item that has run and is never listed, and a caller without an answer, because the head of the answer is longer than 8 KiB.
TEST_CASE_METHOD(LongHeaderFixture, "answer_headOf20000Bytes_completesTheItemAndReachesTheCaller")
{
    const HttpHeader header = longHeader("X-Mark", 20000);
    this->setPlan({.events = 2, .step = 1ms, .headers = {header}});
    REQUIRE(this->submit(*this->a, "j1", 1).status == 202);
    const auto read = this->results(*this->a, "j1", 1, 5s);
    REQUIRE(read.size() == 1);
    CHECK(read[0].at("state") == "completed");
    this->setPlan({.stream = false, .headers = {header}});
    const HttpResponse answer = this->a->send(EntryTestHost::request("q1", "/lookup/x"));
    CHECK(answer.status == 200);
    CHECK(headerValue(answer.headers, "X-Mark") == header.value);
}

// Guards against an exception for an answer whose fields the HTTP library cannot hold.
TEST_CASE_METHOD(LongHeaderFixture, "answer_headOverTheLimit_isAFailureOfTheTarget")
{
    this->setPlan({.stream = false, .headers = {{"X-Mark", std::string(60000, 'x')}, {"X-Other", std::string(60000, 'x')}}});
    CHECK(this->a->send(EntryTestHost::request("q1", "/order/x")).status == 502);
}

// Guards against memory that grows with what a target sends as a trailer without end.
TEST_CASE_METHOD(LongHeaderFixture, "answer_trailerWithoutEnd_endsTheConnection")
{
    ByteTarget target(this->loop);
    target.answer = [](const std::string &id, unsigned /*number*/) {
        const std::string head = "HTTP/1.1 200 OK\r\n" + ByteTarget::idLine(id) + ByteTarget::signatureLine(id) + "Transfer-Encoding: chunked\r\n\r\n";
        return ByteAnswer{.bytes = head + "4\r\nbody\r\n0\r\nX-Mark: " + std::string(std::size_t{8} << 20U, 'x')};
    };
    HttpRequest request;
    request.method = "POST";
    request.target = "/x";
    const TimePoint startedAt = BootClock::now();
    const auto answer = this->run(httpCall(this->http, target.endpoint(), request, {}, ConnectionUse::Fresh));
    CHECK_FALSE(isOk(answer));
    CHECK(BootClock::now() - startedAt < 1s);
    REQUIRE(this->runUntil(
        [&target] {
            return target.closed == 1;
        },
        1s));
}

// Guards against a job that is accepted although its record does not fit into the store, and against answers that cannot name the item.
TEST_CASE_METHOD(LongHeaderFixture, "submission_identifierThatCannotBeStored_isRefusedAtOnce")
{
    json::object document = json::parse(bodyOf("j1", 1)).as_object();
    document["items"].as_array()[0].as_object()["id"] = std::string(5000, 'i');
    HttpRequest request = EntryTestHost::request("j1", "/batch/j1");
    request.body = json::serialize(document);
    const HttpResponse longItem = this->a->send(std::move(request));
    CHECK(longItem.status == 400);
    CHECK(longItem.body.find("items[0].id") != std::string::npos);
    const HttpResponse longJob = this->submit(*this->a, std::string(200, 'j'), 1);
    CHECK(longJob.status == 400);
    CHECK(this->first.arrivals + this->second.arrivals == 0);
}

// Guards against jobs that take more memory than they are charged for: their items have few bytes in the body and many in the headers.
TEST_CASE_METHOD(LongHeaderFixture, "itemsWithLongHeaders_fillTheMemoryForJobs_noFurtherJobIsTaken")
{
    ClientLimits limits;
    limits.memoryMegabytes = 1;
    const auto memory = CallerMemory::create(this->loop.get_executor(), limits, 0, this->a->proxy, this->a->jobs);
    REQUIRE(hasRoomForJob(*memory, 1000));
    KnownJob &known = this->a->jobs->jobs[JobId{"j1"}];
    JobItem item;
    item.headers.push_back({"X-Mark", std::string(std::size_t{1} << 20U, 'x')});
    known.items.push_back(item);
    CHECK_FALSE(hasRoomForJob(*memory, 1000));
}
