/** @file test_forward.cpp Forwarding of requests and streams to replicas, with failures of the replicas, the connections and the callers. */
#include "core/async_sleep_func.h"
#include "core/hash_func.h"
#include "proxy/event_splitter_base.h"
#include "support/entry_fixture.h"
#include "support/property_seed.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <rapidcheck.h>
#include <sys/socket.h>

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

/** A listener whose backlog is full: further connection attempts get no response. */
struct SilentListener {
    boost::asio::ip::tcp::acceptor acceptor; ///< Accepts no connection.
    std::vector<boost::asio::ip::tcp::socket> waiting; ///< Connections that fill the backlog.
    Endpoint endpoint;

    explicit SilentListener(boost::asio::io_context &loop)
        : acceptor(loop)
    {
        using boost::asio::ip::tcp;
        this->acceptor.open(tcp::v4());
        this->acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
        this->acceptor.listen(0);
        this->endpoint = {"127.0.0.1", this->acceptor.local_endpoint().port()};
        constexpr unsigned connectionCount = 4;
        for (unsigned i = 0; i < connectionCount; ++i) {
            this->waiting.emplace_back(loop, tcp::v4());
            this->waiting.back().native_non_blocking(true);
            const auto address = this->acceptor.local_endpoint();
            // The synchronous connect of Asio would block while the backlog is full.
            REQUIRE((::connect(this->waiting.back().native_handle(), address.data(), address.size()) == 0 || errno == EINPROGRESS));
        }
    }
};

/** A target that answers each connection's first request with the same bytes and then closes the connection. */
struct FixedAnswerTarget {
    boost::asio::ip::tcp::acceptor acceptor;
    std::string answer; ///< Bytes that are sent.
    unsigned answered{0}; ///< Number of connections answered.

    explicit FixedAnswerTarget(boost::asio::io_context &loop)
        : acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        boost::asio::co_spawn(loop, this->serve(), boost::asio::detached);
    }

    boost::asio::awaitable<void> serve()
    {
        for (;;) {
            auto socket = co_await this->acceptor.async_accept(boost::asio::use_awaitable);
            std::array<char, 8192> request{};
            co_await socket.async_read_some(boost::asio::buffer(request), boost::asio::use_awaitable);
            ++this->answered;
            co_await boost::asio::async_write(socket, boost::asio::buffer(this->answer), boost::asio::use_awaitable);
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both);
        }
    }

    [[nodiscard]] Endpoint endpoint() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }
};

/** @return Event @p number of the answer to @p id as a target sends it. */
std::string rawEventOf(const std::string &id, unsigned number)
{
    return "id: " + std::to_string(number) + "\ndata: " + eventData(id, number) + "\n\n";
}

/** Two replicas and one host that forwards requests to them. */
struct ForwardFixture : EntryFixture {
    Replica &first{this->addReplica("i-1")};
    Replica &second{this->addReplica("i-2")};
    EntryTestHost host{*this, "front-1", false}; ///< Host without a job runner.

    /** Makes the first request that arrives at either replica follow @p firstPlan, and all later ones @p laterPlan. */
    void setPlans(const ReplicaPlan &firstPlan, const ReplicaPlan &laterPlan)
    {
        const auto seen = std::make_shared<unsigned>(0);
        for (Replica *replica : {&this->first, &this->second}) {
            replica->plan = [seen, firstPlan, laterPlan](const HttpRequest & /*request*/, unsigned /*number*/) {
                return (*seen)++ == 0 ? firstPlan : laterPlan;
            };
        }
    }

    /** Makes all requests follow @p plan. */
    void setPlan(const ReplicaPlan &plan)
    {
        this->setPlans(plan, plan);
    }

    /** @return The data of all events in @p answer, joined by line feeds. */
    [[nodiscard]] static std::string joinedData(const HttpResponse &answer)
    {
        EventSplitter splitter;
        auto events = splitEvents(splitter, answer.body);
        REQUIRE(isOk(events));
        CHECK(isAtEventBoundary(splitter));
        std::string text;
        for (const StreamEvent &event : valueOf(events)) {
            text += (text.empty() ? "" : "\n") + event.data;
        }
        return text;
    }

    [[nodiscard]] static std::string signatureOf(const HttpResponse &answer)
    {
        return std::string(headerValue(answer.headers, platform::headerSignature));
    }
};

} // namespace

TEST_CASE_METHOD(ForwardFixture, "forward_plainRequest_isForwardedUnchanged")
{
    this->setPlan({.stream = false});
    const HttpResponse answer = this->host.send(EntryTestHost::request("q1", "/lookup/x?y=1"));
    CHECK(answer.status == 200);
    CHECK(answer.body == wholeText("q1", 10));
    CHECK(signatureOf(answer) == "signature-of-q1");
    REQUIRE(this->runsOf("q1") == 1);
    const Replica &used = this->first.runs.empty() ? this->second : this->first;
    CHECK(used.runs[0]->target == "/lookup/x?y=1");
    CHECK(used.runs[0]->body == "body of q1");
    CHECK(used.runs[0]->budgetMs <= 3000);
    CHECK(used.runs[0]->budgetMs > 2500);
}

TEST_CASE_METHOD(ForwardFixture, "forward_stream_arrivesWholeAndInOrder")
{
    const HttpResponse answer = this->host.send(EntryTestHost::request("s1", "/chat/x"));
    CHECK(answer.status == 200);
    CHECK(joinedData(answer) == wholeText("s1", 10));
    CHECK(signatureOf(answer) == "signature-of-s1");
}

// Guards against missing or repeated events when a replica closes the connection, also in the middle of an event, and another continues the stream.
TEST_CASE_METHOD(ForwardFixture, "forward_resumableStreamBroken_continuesInTheSameAnswer")
{
    for (unsigned after = 1; after < 10; ++after) {
        this->setPlans({.breakAfter = after, .breakInsideEvent = after % 2 == 0}, {});
        const std::string id = "s" + std::to_string(after);
        const HttpResponse answer = this->host.send(EntryTestHost::request(id, "/chat/x"));
        CHECK(joinedData(answer) == wholeText(id, 10));
        CHECK(this->runsOf(id) == 2);
    }
}

TEST_CASE_METHOD(ForwardFixture, "forward_streamResumedByCaller_beginsAfterItsLastEvent")
{
    HttpRequest request = EntryTestHost::request("s1", "/chat/x");
    request.headers.push_back({"Last-Event-Id", "4"});
    const HttpResponse answer = this->host.send(std::move(request));
    EventSplitter splitter{.lastId = 4, .partial = {}};
    auto events = splitEvents(splitter, answer.body);
    REQUIRE(isOk(events));
    CHECK(valueOf(events).size() == 6);
}

TEST_CASE_METHOD(ForwardFixture, "forward_repeatedOrMissingEvent_neverReachesTheCallerTwiceOrWithAGap")
{
    this->setPlans({.repeatsEvent = true}, {});
    CHECK(joinedData(this->host.send(EntryTestHost::request("s1", "/chat/x"))) == wholeText("s1", 10));
    this->setPlans({.skipsEvent = true}, {});
    CHECK(joinedData(this->host.send(EntryTestHost::request("s2", "/chat/x"))) == wholeText("s2", 10));
}

// Guards against a second run of a request that is not repeatable: an unsafe request, and a stream that is not resumable.
TEST_CASE_METHOD(ForwardFixture, "forward_notRepeatableRequestBroken_isSentOnceAndNotReportedAsRefused")
{
    this->setPlans({.stream = false, .breakAfter = 1}, {.stream = false});
    const HttpResponse order = this->host.send(EntryTestHost::request("o1", "/order/x"));
    CHECK(order.status == 502);
    CHECK(this->runsOf("o1") == 1);
    this->setPlans({.breakAfter = 3}, {});
    const auto broken = this->call(this->host.endpoint, EntryTestHost::request("o2", "/once/x"));
    CHECK_FALSE(isOk(broken));
    CHECK(this->runsOf("o2") == 1);
}

TEST_CASE_METHOD(ForwardFixture, "forward_safeRequestBroken_isSentToAnotherReplica")
{
    this->setPlans({.stream = false, .breakAfter = 1}, {.stream = false});
    const HttpResponse answer = this->host.send(EntryTestHost::request("q1", "/lookup/x"));
    CHECK(answer.status == 200);
    CHECK(this->runsOf("q1") == 2);
}

// Guards against more runs of one request than max_attempts of its route allows.
TEST_CASE_METHOD(ForwardFixture, "forward_everyRunFails_stopsAtMaxAttemptsOfTheRoute")
{
    this->addReplica("i-3").plan = [](const HttpRequest & /*request*/, unsigned /*number*/) {
        return ReplicaPlan{.stream = false, .breakAfter = 1};
    };
    this->host.publish({});
    this->setPlan({.stream = false, .breakAfter = 1});
    const HttpResponse answer = this->host.send(EntryTestHost::request("q1", "/lookup/x"));
    CHECK(answer.status == 502);
    CHECK(this->runsOf("q1") == 2);
}

TEST_CASE_METHOD(ForwardFixture, "forward_replicaDidNotRun_isRetriedElsewhereEvenIfUnsafe")
{
    this->setPlans({.status = 503}, {.stream = false});
    CHECK(this->host.send(EntryTestHost::request("o1", "/order/x")).status == 200);
    CHECK(this->runsOf("o1") == 1);
    this->setPlan({.status = 503});
    const HttpResponse refused = this->host.send(EntryTestHost::request("o2", "/order/x"));
    CHECK(refused.status == 503);
    CHECK_FALSE(headerValue(refused.headers, "Retry-After").empty());
    CHECK(this->runsOf("o2") == 0);
}

// Guards against a run on the wrong replica: one that has taken over the address of another answers 421 and does not run the request.
TEST_CASE_METHOD(ForwardFixture, "forward_addressOfAnotherReplica_isNotRunThere")
{
    this->targets->at(TargetId{"i-1"}).endpoint = this->targets->at(TargetId{"i-2"}).endpoint;
    this->host.publish({});
    for (unsigned i = 0; i < 5; ++i) {
        CHECK(this->host.send(EntryTestHost::request("s" + std::to_string(i), "/chat/x")).status == 200);
    }
    CHECK(this->first.runs.empty());
    CHECK(this->second.runs.size() == 5);
}

TEST_CASE_METHOD(ForwardFixture, "forward_answerOfAnotherRequest_neverReachesTheCaller")
{
    this->setPlans({.stream = false, .wrongId = true}, {.stream = false});
    const HttpResponse answer = this->host.send(EntryTestHost::request("q1", "/lookup/x"));
    CHECK(answer.body == wholeText("q1", 10));
    this->setPlans({.wrongId = true}, {});
    CHECK(joinedData(this->host.send(EntryTestHost::request("s1", "/chat/x"))) == wholeText("s1", 10));
    this->setPlan({.stream = false, .wrongId = true});
    CHECK(this->host.send(EntryTestHost::request("o1", "/order/x")).status == 502);
}

TEST_CASE_METHOD(ForwardFixture, "forward_failureOfTheReplica_isForwardedUnchanged")
{
    this->setPlan({.status = 500, .stream = false});
    const HttpResponse answer = this->host.send(EntryTestHost::request("o1", "/order/x"));
    CHECK(answer.status == 500);
    CHECK(signatureOf(answer) == "signature-of-o1");
    CHECK(this->runsOf("o1") == 1);
}

// Guards against work for callers that have closed their connection: the replica must see the close within half a second.
TEST_CASE_METHOD(ForwardFixture, "forward_callerCloses_replicaSeesTheCloseSoon")
{
    for (const auto delay : {0ms, 900ms}) {
        this->setPlan({.events = 400, .step = 5ms, .firstDelay = delay});
        const std::string id = "s" + std::to_string(delay.count());
        auto client = HttpClient::create(this->loop.get_executor());
        auto abort = std::make_shared<HttpAbortHandle>();
        auto task = [&]() -> boost::asio::awaitable<void> {
            const HttpTimeouts timeouts;
            auto opened = co_await httpOpen(client, this->host.endpoint, EntryTestHost::request(id, "/chat/x"), timeouts, ConnectionUse::Fresh, abort);
            if (isOk(opened)) {
                httpAbort(valueOf(opened));
            }
        };
        boost::asio::co_spawn(this->loop, task(), boost::asio::detached);
        REQUIRE(this->runUntil([&] {
            return this->runsOf(id) == 1;
        }));
        this->runFor(50ms);
        httpAbortOpening(*abort);
        CHECK(this->runUntil(
            [&] {
                const auto &runs = this->first.runs.empty() || this->first.runs.back()->id != id ? this->second.runs : this->first.runs;
                return !runs.empty() && runs.back()->callerClosed;
            },
            1500ms)); // The stream would take 2 s; the bench measures the time until the close.
        CHECK(this->runsOf(id) == 1);
    }
}

// Guards against requests that wait longer than the timeout of their route.
TEST_CASE_METHOD(ForwardFixture, "forward_timeoutOfTheRoute_endsTheRequest")
{
    this->routeNamed("order").timeout = 300ms;
    this->host.publish({});
    this->setPlan({.stream = false, .firstDelay = 2000ms});
    const TimePoint begun = BootClock::now();
    const HttpResponse answer = this->host.send(EntryTestHost::request("o1", "/order/x"));
    CHECK(answer.status == 504);
    CHECK(BootClock::now() - begun < 1500ms);
    CHECK(this->runsOf("o1") == 1);
}

// Guards against a repeatable request that spends all of its time on a replica that does not respond.
TEST_CASE_METHOD(ForwardFixture, "forward_replicaHangs_repeatableRequestIsRetriedElsewhere")
{
    this->setPlans({.firstDelay = 5000ms}, {});
    const TimePoint begun = BootClock::now();
    const HttpResponse answer = this->host.send(EntryTestHost::request("s1", "/chat/x", 4s));
    CHECK(joinedData(answer) == wholeText("s1", 10));
    CHECK(BootClock::now() - begun < 3s);
}

// Guards against failed requests when a target is behind a network partition: the connection attempt gets no response, so that nothing ran there
// and even an unsafe request may be sent to another target.
TEST_CASE_METHOD(ForwardFixture, "forward_targetDropsConnections_requestIsRetriedElsewhereAndTargetIsAvoided")
{
    const SilentListener silent(this->loop);
    this->targets->at(TargetId{"i-1"}).endpoint = silent.endpoint;
    this->host.publish({});
    this->setPlan({.stream = false});
    for (unsigned i = 0; i < 8; ++i) {
        const HttpResponse answer = this->host.send(EntryTestHost::request("o" + std::to_string(i), "/order/x"));
        CHECK(answer.status == 200);
    }
    CHECK(this->second.runs.size() == 8);
    CHECK(this->host.proxy->health.at(TargetId{"i-1"}).failures == 1);
}

// Guards against sending the next request to the target that did not answer the last one.
TEST_CASE_METHOD(ForwardFixture, "forward_afterTimeout_targetIsAvoidedForAWhile")
{
    this->setPlans({.stream = false, .firstDelay = 5000ms}, {.stream = false});
    REQUIRE(this->host.send(EntryTestHost::request("q1", "/lookup/x")).status == 200);
    const std::size_t slowRuns = this->first.runs.size();
    const std::size_t otherRuns = this->second.runs.size();
    for (unsigned i = 0; i < 4; ++i) {
        REQUIRE(this->host.send(EntryTestHost::request("r" + std::to_string(i), "/lookup/x")).status == 200);
    }
    CHECK((this->first.runs.size() == slowRuns || this->second.runs.size() == otherRuns));
}

// Guards against several hosts choosing the same target within one status interval, because they do not know of one another's requests.
TEST_CASE_METHOD(ForwardFixture, "forward_requestOnFreeSlot_isAnnouncedToOtherHostsAtOnce")
{
    unsigned announced = 0;
    this->host.proxy->onLoadChange = [this, &announced](LoadChange change) {
        CHECK(change == LoadChange::FreeSlotTaken);
        HostStatus status;
        addOwnLoad(this->host.proxy->loadTracker, status);
        announced += status.onlineInFlight.size() == 1 && status.onlineInFlight[0].second == 1 ? 1 : 0;
    };
    REQUIRE(this->host.send(EntryTestHost::request("s1", "/chat/x")).status == 200);
    CHECK(announced == 1);
}

TEST_CASE_METHOD(ForwardFixture, "forward_allTargetsFull_refusesAtOnceWithRetryAfter")
{
    for (const char *id : {"i-1", "i-2"}) {
        this->host.proxy->loadTracker.own[TargetId{id}].online = 8;
    }
    const TimePoint begun = BootClock::now();
    const HttpResponse answer = this->host.send(EntryTestHost::request("s1", "/chat/x"));
    CHECK(answer.status == 503);
    CHECK(BootClock::now() - begun < 1s);
    const double delay = std::stod(std::string(headerValue(answer.headers, "Retry-After")));
    CHECK(delay >= 0.2);
    CHECK(delay <= 1.0);
    CHECK(this->runsOf("s1") == 0);
}

TEST_CASE_METHOD(ForwardFixture, "forward_unknownRouteOrNoConfiguration_answers404Or503")
{
    CHECK(this->host.send(EntryTestHost::request("x1", "/nowhere/x")).status == 404);
    this->host.proxy->fleet = std::make_shared<const FleetSnapshot>();
    const HttpResponse answer = this->host.send(EntryTestHost::request("x2", "/chat/x"));
    CHECK(answer.status == 503);
    CHECK_FALSE(headerValue(answer.headers, "Retry-After").empty());
}

TEST_CASE_METHOD(ForwardFixture, "forward_requestWithoutIdentifier_answers400")
{
    HttpRequest request = EntryTestHost::request("x", "/chat/x");
    std::erase_if(request.headers, [](const HttpHeader &header) {
        return header.name == platform::headerRequestId;
    });
    const HttpResponse answer = this->host.send(std::move(request));
    CHECK(answer.status == 400);
}

// Guards against stalled streams that never end because a byte still comes now and then.
TEST_CASE_METHOD(ForwardFixture, "forward_streamStallsButSendsBytes_isContinuedElsewhere")
{
    this->setPlans({.events = 10, .stallAfter = 3}, {.events = 10});
    const TimePoint begun = BootClock::now();
    const HttpResponse answer = this->host.send(EntryTestHost::request("r1", "/chat/r1", 5s));
    CHECK(answer.status == 200);
    CHECK(answer.body.find(eventData("r1", 10)) != std::string::npos);
    CHECK(BootClock::now() - begun < 2s);
    CHECK(this->runsOf("r1") == 2);
}

// Guards against slow but sound streams that are cut: each event comes within the accepted pause.
TEST_CASE_METHOD(ForwardFixture, "forward_slowButSteadyStream_isNotCut")
{
    this->routeNamed("chat").timeout = 6s;
    this->host.publish({SessionId{"session-front-1"}});
    this->setPlans({.events = 5, .step = 500ms}, {.events = 5});
    const HttpResponse answer = this->host.send(EntryTestHost::request("r1", "/chat/r1", 6s));
    CHECK(answer.status == 200);
    CHECK(answer.body.find(eventData("r1", 5)) != std::string::npos);
    CHECK(this->runsOf("r1") == 1);
}

// Guards against bodies without end that fill the host's memory or keep it busy until the caller gives up.
TEST_CASE_METHOD(ForwardFixture, "forward_bodyWithoutEnd_endsWithinBounds")
{
    constexpr std::size_t mostBytes = std::size_t{32} << 20U;
    ReplicaPlan plan{.endless = true};
    std::string path = "/order/r1";
    int expected = 502;
    SECTION("whole answer")
    {
        plan.stream = false;
    }
    SECTION("stream")
    {
        path = "/once/r1";
    }
    SECTION("answer that says that the request did not run")
    {
        plan.stream = false;
        plan.headers = {{std::string(platform::headerNotExecuted), "1"}};
        expected = 503;
    }
    this->setPlans(plan, plan);
    const TimePoint begun = BootClock::now();
    const HttpResponse answer = this->host.send(EntryTestHost::request("r1", path, 3s));
    CHECK(answer.status == expected);
    CHECK(BootClock::now() - begun < 3s);
    this->runFor(100ms);
    for (const auto &replica : this->replicas) {
        for (const auto &run : replica->runs) {
            CHECK(run->callerClosed);
            CHECK(run->fillerBytes < mostBytes);
        }
    }
}

// Guards against events that are lost because a later one in the same piece is missing.
TEST_CASE("eventSplitter_gapInTheSamePiece_keepsTheEventsBeforeIt", "[events]")
{
    EventSplitter splitter;
    const auto events = splitEvents(splitter, "id: 1\ndata: a\n\nid: 3\ndata: c\n\n");
    REQUIRE(isOk(events));
    REQUIRE(valueOf(events).size() == 1);
    CHECK(valueOf(events)[0].data == "a");
    CHECK(splitter.lastId == 1);
    CHECK_FALSE(isAtEventBoundary(splitter));
    CHECK_FALSE(isOk(splitEvents(splitter, "")));
    CHECK(splitter.lastId == 1);
}

TEST_CASE("eventSplitter_bytesSplitAnywhere_givesTheSameEvents", "[events]")
{
    seedRapidCheck();
    CHECK(rc::check("bytes cut at any place give the same events", [] {
        std::string bytes;
        const auto count = *rc::gen::inRange(1U, 20U);
        for (unsigned i = 1; i <= count; ++i) {
            bytes += "id: " + std::to_string(i) + "\ndata: " + eventData("x", i) + (i % 3 == 0 ? "\r\n\r\n" : "\n\n");
        }
        EventSplitter splitter;
        std::string text;
        std::size_t at = 0;
        while (at < bytes.size()) {
            const std::size_t length = *rc::gen::inRange<std::size_t>(1, 40);
            auto events = splitEvents(splitter, std::string_view(bytes).substr(at, length));
            RC_ASSERT(isOk(events));
            for (const StreamEvent &event : valueOf(events)) {
                text += (text.empty() ? "" : "\n") + event.data;
            }
            at += length;
        }
        RC_ASSERT(text == wholeText("x", count));
        RC_ASSERT(isAtEventBoundary(splitter));
    }));
}

TEST_CASE("eventSplitter_eventExceedsLimit_isRefused", "[events]")
{
    EventSplitter splitter;
    CHECK_FALSE(isOk(splitEvents(splitter, std::string(maxEventBytes + 1, 'x'))));
}

// Guards against a stream without length or chunks that is taken as broken when it ends with its connection, or as complete when it ends inside an event.
TEST_CASE_METHOD(ForwardFixture, "forward_streamWithoutFraming_endsWithItsConnectionBetweenEventsOnly")
{
    FixedAnswerTarget target(this->loop);
    this->targets->erase(TargetId{"i-2"});
    this->targets->at(TargetId{"i-1"}).endpoint = target.endpoint();
    this->host.publish({});
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Skylarkstage-Request-Id: s1\r\nX-Skylarkstage-Server-Signature: x\r\nContent-Type: text/event-stream\r\n\r\n";
    target.answer = head + rawEventOf("s1", 1) + rawEventOf("s1", 2);
    CHECK(joinedData(this->host.send(EntryTestHost::request("s1", "/chat/x"))) == wholeText("s1", 2));
    CHECK(target.answered == 1);
    target.answer = head + rawEventOf("s1", 1) + rawEventOf("s1", 2).substr(0, 9);
    CHECK_FALSE(isOk(this->call(this->host.endpoint, EntryTestHost::request("s1", "/chat/x"))));
    CHECK(target.answered > 1);
}

TEST_CASE_METHOD(ForwardFixture, "forward_wholeAnswerWithoutFraming_isForwarded")
{
    FixedAnswerTarget target(this->loop);
    this->targets->erase(TargetId{"i-2"});
    this->targets->at(TargetId{"i-1"}).endpoint = target.endpoint();
    this->host.publish({});
    target.answer = "HTTP/1.1 200 OK\r\nX-Skylarkstage-Request-Id: q1\r\nX-Skylarkstage-Server-Signature: x\r\n\r\nbody until the end";
    CHECK(this->host.send(EntryTestHost::request("q1", "/lookup/x")).body == "body until the end");
}

namespace {

/** A target that refuses each request and never ends the body of the refusal. */
struct EndlessRefusalTarget {
    boost::asio::ip::tcp::acceptor acceptor;
    bool dribbles{false}; ///< Whether a byte of the body follows now and then.

    explicit EndlessRefusalTarget(boost::asio::io_context &loop)
        : acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        boost::asio::co_spawn(loop, this->serve(), boost::asio::detached);
    }

    boost::asio::awaitable<void> serve()
    {
        for (;;) {
            auto socket = co_await this->acceptor.async_accept(boost::asio::use_awaitable);
            boost::asio::co_spawn(this->acceptor.get_executor(), this->refuse(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> refuse(boost::asio::ip::tcp::socket socket)
    {
        const std::string head = "HTTP/1.1 503 Service Unavailable\r\nX-Skylarkstage-Not-Executed: 1\r\nContent-Length: 10000\r\n\r\n";
        std::array<char, 8192> request{};
        co_await socket.async_read_some(boost::asio::buffer(request), boost::asio::use_awaitable);
        co_await boost::asio::async_write(socket, boost::asio::buffer(head), boost::asio::use_awaitable);
        for (;;) {
            co_await sleepFor(20ms);
            co_await boost::asio::async_write(socket, boost::asio::buffer("x", this->dribbles ? 1 : 0), boost::asio::use_awaitable);
        }
    }
};

} // namespace

// Guards against a request that waits until its deadline for the body of a refusal, although another target could run it.
TEST_CASE_METHOD(ForwardFixture, "forward_bodyOfARefusalDoesNotEnd_otherTargetAnswersSoon")
{
    EndlessRefusalTarget target(this->loop);
    target.dribbles = GENERATE(false, true);
    this->targets->at(TargetId{"i-1"}).endpoint = {"127.0.0.1", target.acceptor.local_endpoint().port()};
    this->host.proxy->loadTracker.own[TargetId{"i-2"}].online = 3; // The request goes to the other target first.
    this->host.publish({});
    this->setPlan({.stream = false});
    const TimePoint begun = BootClock::now();
    const auto answer = this->call(this->host.endpoint, EntryTestHost::request("o1", "/order/x"));
    REQUIRE(isOk(answer));
    CHECK(valueOf(answer).status == 200);
    CHECK(BootClock::now() - begun < 1s);
    CHECK(this->second.runs.size() == 1);
}
