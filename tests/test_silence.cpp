/** @file test_silence.cpp Forwarding of requests to replicas that are silent for a while, and waiting of streams that have begun. */
#include "core/async_sleep_func.h"
#include "policy/silence_func.h"
#include "proxy/event_splitter_base.h"
#include "support/entry_fixture.h"
#include "support/property_seed.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <rapidcheck.h>
#include <thread>

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/** Two replicas and one host that forwards requests to them. */
struct SilenceFixture : EntryFixture {
    Replica &first{this->addReplica("i-1")};
    Replica &second{this->addReplica("i-2")};
    EntryTestHost host{*this, "front-1", false}; ///< Host without a job runner.

    SilenceFixture()
    {
        for (RouteRule &rule : this->config->routes) {
            rule.timeout = 8s;
        }
        this->host.publish({});
    }

    /** Makes the requests on both replicas follow @p plans in the order of their arrival, and all later ones the last plan. */
    void setPlans(const std::vector<ReplicaPlan> &plans)
    {
        const auto seen = std::make_shared<std::size_t>(0);
        for (const auto &replica : this->replicas) {
            replica->plan = [seen, plans](const HttpRequest & /*request*/, unsigned /*number*/) {
                return plans[std::min((*seen)++, plans.size() - 1)];
            };
        }
    }

    /** Sends a request and requires an answer. @return Its body; of a stream the data of all events, joined by line feeds. */
    std::string textOf(const std::string &id, const std::string &path, milliseconds callerTimeout = 8s)
    {
        const HttpTimeouts patient{500ms, 2s, 10s, 10s};
        const HttpRequest request = EntryTestHost::request(id, path, callerTimeout);
        const auto answer = this->run(httpCall(this->http, this->host.endpoint, request, patient, ConnectionUse::Fresh));
        INFO("error " << (isOk(answer) ? "none" : errorOf(answer).detail));
        REQUIRE(isOk(answer));
        REQUIRE(valueOf(answer).status == 200);
        if (headerValue(valueOf(answer).headers, "Content-Type") != "text/event-stream") {
            return valueOf(answer).body;
        }
        EventSplitter splitter;
        auto events = splitEvents(splitter, valueOf(answer).body);
        REQUIRE(isOk(events));
        std::string text;
        for (const StreamEvent &event : valueOf(events)) {
            text += (text.empty() ? "" : "\n") + event.data;
        }
        return text;
    }
};

} // namespace

// Guards against a request that gets no answer because its last allowed run is cut while its target is silent.
TEST_CASE_METHOD(SilenceFixture, "forward_lastRunIsSilent_isWaitedForUntilTheDeadline")
{
    SECTION("within a stream")
    {
        this->setPlans({{.silentAfter = 3, .silence = 2500ms}});
        CHECK(this->textOf("s1", "/chat/x") == wholeText("s1", 10));
        CHECK(this->runsOf("s1") == 2);
    }
    SECTION("before the first answer of a stream")
    {
        this->setPlans({{.firstDelay = 2500ms}});
        CHECK(this->textOf("s1", "/chat/x") == wholeText("s1", 10));
        CHECK(this->runsOf("s1") == 2);
    }
    SECTION("before a whole answer")
    {
        this->setPlans({{.stream = false, .firstDelay = 2500ms}});
        CHECK(this->textOf("q1", "/lookup/x") == wholeText("q1", 10));
        CHECK(this->runsOf("q1") == 2);
    }
}

// Guards against a sound target that is cut, blamed or replaced because it is silent for a second or so.
TEST_CASE_METHOD(SilenceFixture, "forward_soundTargetIsSilentForAWhile_isWaitedFor")
{
    SECTION("within a stream")
    {
        this->setPlans({{.silentAfter = 3, .silence = 1400ms}, {}});
        CHECK(this->textOf("s1", "/chat/x") == wholeText("s1", 10));
    }
    SECTION("before the first answer of a stream")
    {
        this->setPlans({{.firstDelay = 1400ms}, {}});
        CHECK(this->textOf("s1", "/chat/x") == wholeText("s1", 10));
    }
    SECTION("before a whole answer")
    {
        this->setPlans({{.stream = false, .firstDelay = 1400ms}, {.stream = false}});
        CHECK(this->textOf("s1", "/lookup/x") == wholeText("s1", 10));
    }
    CHECK(this->runsOf("s1") == 1);
    for (const auto &[id, health] : this->host.proxy->health) {
        CHECK(health.suspectUntil == TimePoint{});
    }
}

// Guards against a repeatable request that spends all of its short time on a silent target, and against blame for a silence that is normal.
TEST_CASE_METHOD(SilenceFixture, "forward_silentTargetAndLittleTime_anotherOneAnswersAndNoneIsBlamed")
{
    this->setPlans({{.stream = false, .firstDelay = 3s}, {.stream = false}});
    CHECK(this->textOf("q1", "/lookup/x", 900ms) == wholeText("q1", 10));
    CHECK(this->runsOf("q1") == 2);
    this->setPlans({{.stream = false, .firstDelay = 3s}});
    const auto answer = this->call(this->host.endpoint, EntryTestHost::request("o1", "/order/x", 300ms));
    REQUIRE(isOk(answer));
    CHECK(valueOf(answer).status == 504);
    CHECK(this->runsOf("o1") == 1);
    for (const auto &[id, health] : this->host.proxy->health) {
        CHECK(health.failures == 0);
    }
}

// Guards against a limit that cuts sound targets, one that callers of streams do not wait for, and one that leaves no time for another target.
TEST_CASE("silenceLimit_anyRequest_isBetweenSoundSilenceAndTheGapThatCallersAccept", "[silence]")
{
    seedRapidCheck();
    constexpr milliseconds shortestAcceptedGap{2000};
    CHECK(rc::check("limit of the silence", [=] {
        SilenceInput input{.mayMove = *rc::gen::arbitrary<bool>(), .moved = *rc::gen::arbitrary<bool>(), .stream = *rc::gen::arbitrary<bool>()};
        input.timeLeft = milliseconds(*rc::gen::inRange(0, 10000));
        const milliseconds limit = silenceLimit(input);
        if (!input.mayMove) {
            RC_ASSERT(limit == input.timeLeft);
            return;
        }
        RC_ASSERT(limit <= input.timeLeft);
        RC_ASSERT(limit <= shortestAcceptedGap - 300ms);
        const bool mustLeaveTime = !input.stream && !input.moved;
        RC_ASSERT(!mustLeaveTime || limit <= input.timeLeft * 4 / 5);
        const milliseconds leastTime = mustLeaveTime ? maxSoundSilence * 5 / 4 : maxSoundSilence;
        RC_ASSERT(input.timeLeft <= leastTime || limit > maxSoundSilence - 1ms);
    }));
}

// Guards against a request that leaves its silent target while no other one has room, and against one that never leaves although one has.
TEST_CASE("leavesSilentTarget_anyRequest_onlyAfterTheLimitAndForATargetWithRoom", "[silence]")
{
    seedRapidCheck();
    CHECK(rc::check("leaving a silent target", [] {
        SilenceInput input{.mayMove = *rc::gen::arbitrary<bool>(), .moved = *rc::gen::arbitrary<bool>(), .stream = *rc::gen::arbitrary<bool>()};
        input.timeLeft = milliseconds(*rc::gen::inRange(0, 10000));
        const milliseconds silence(*rc::gen::inRange(0, 10000));
        const bool over = input.mayMove && silence >= silenceLimit(input);
        for (const BalanceReason room : {BalanceReason::FreeSlot, BalanceReason::BatchYields, BalanceReason::Queued}) {
            RC_ASSERT(leavesSilentTarget(input, silence, room) == over);
        }
        for (const BalanceReason none : {BalanceReason::Full, BalanceReason::RateLimited, BalanceReason::NoTarget}) {
            RC_ASSERT(!leavesSilentTarget(input, silence, none));
        }
    }));
}

// Guards against a wait beyond the deadline, one that passes over the limit, and one that spins.
TEST_CASE("silenceWait_anyRequest_endsAtTheLimitAndThenOftenUntilTheDeadline", "[silence]")
{
    seedRapidCheck();
    CHECK(rc::check("wait until the next decision", [] {
        SilenceInput input{.mayMove = *rc::gen::arbitrary<bool>(), .moved = *rc::gen::arbitrary<bool>(), .stream = *rc::gen::arbitrary<bool>()};
        input.timeLeft = milliseconds(*rc::gen::inRange(1, 10000));
        const milliseconds silence(*rc::gen::inRange(0, static_cast<int>(input.timeLeft.count())));
        const milliseconds wait = silenceWait(input, silence);
        RC_ASSERT(wait >= 1ms);
        RC_ASSERT(silence + wait <= input.timeLeft);
        if (silence < silenceLimit(input)) {
            RC_ASSERT(silence + wait == silenceLimit(input));
        } else {
            RC_ASSERT(wait <= 100ms);
            RC_ASSERT(wait == std::min(100ms, input.timeLeft - silence));
        }
    }));
}

TEST_CASE("isSilent_requestsWaitForTheTarget_fromHalfASecondUntilItRespondsOrIsForgotten", "[silence]")
{
    const TimePoint begin = TimePoint{} + 1h;
    TargetSilence silence;
    CHECK_FALSE(isSilent(silence, begin));
    beginWait(silence, begin);
    CHECK_FALSE(isSilent(silence, begin + 499ms));
    beginWait(silence, begin + 499ms);
    CHECK(isSilent(silence, begin + 500ms));
    CHECK_FALSE(isSilent(silence, begin + 3200ms));
    beginWait(silence, begin + 3200ms);
    CHECK(isSilent(silence, begin + 3700ms));
    endWait(silence);
    CHECK_FALSE(isSilent(silence, begin + 3700ms));
}

TEST_CASE("isSoundSilence_anyError_onlyForShortSilences", "[silence]")
{
    for (const ErrorCode code : {ErrorCode::FirstByteTimeout, ErrorCode::IdleTimeout}) {
        CHECK(isSoundSilence(makeError(code, "", RunState::Maybe), maxSoundSilence));
        CHECK_FALSE(isSoundSilence(makeError(code, "", RunState::Maybe), maxSoundSilence + 1ms));
    }
    CHECK_FALSE(isSoundSilence(makeError(ErrorCode::StreamBroken, "", RunState::Maybe), 0ms));
    CHECK_FALSE(isSoundSilence(makeError(ErrorCode::ConnectTimeout, "", RunState::No), 0ms));
}

// Guards against a request that is taken from a silent target although no other one could run it.
TEST_CASE_METHOD(SilenceFixture, "forward_onlyTargetIsSilent_isWaitedForUntilTheDeadline")
{
    this->targets->erase(TargetId{"i-2"});
    this->host.publish({});
    SECTION("within a stream")
    {
        this->setPlans({{.silentAfter = 3, .silence = 2500ms}});
        CHECK(this->textOf("s1", "/chat/x") == wholeText("s1", 10));
    }
    SECTION("before a whole answer")
    {
        this->setPlans({{.stream = false, .firstDelay = 2500ms}});
        CHECK(this->textOf("s1", "/lookup/x") == wholeText("s1", 10));
    }
    CHECK(this->runsOf("s1") == 1);
}

// Guards against a request that fails, or runs again on the silent target, because the other one is full when it moves.
TEST_CASE_METHOD(SilenceFixture, "forward_otherTargetIsFullAfterASilence_requestWaitsForAPlaceThere")
{
    TargetCounts &load = this->host.proxy->loadTracker.own[TargetId{"i-2"}];
    load.online = 8;
    auto freePlaces = [&load]() -> boost::asio::awaitable<void> {
        co_await sleepFor(2s);
        load.online = 0;
    };
    boost::asio::co_spawn(this->loop, freePlaces(), boost::asio::detached);
    SECTION("within a stream")
    {
        this->setPlans({{.silentAfter = 3, .silence = 5s}, {}});
        CHECK(this->textOf("s1", "/chat/x") == wholeText("s1", 10));
    }
    SECTION("before a whole answer")
    {
        this->setPlans({{.stream = false, .firstDelay = 5s}, {.stream = false}});
        CHECK(this->textOf("s1", "/lookup/x") == wholeText("s1", 10));
    }
    CHECK(this->first.runs.size() == 1);
    CHECK(this->second.runs.size() == 1);
}

// Guards against a stream that leaves a target which goes on, for others that are full.
TEST_CASE_METHOD(SilenceFixture, "forward_otherTargetIsFullAfterASilence_streamStaysWithATargetThatGoesOn")
{
    constexpr milliseconds shortestAcceptedGap{2000};
    this->host.proxy->loadTracker.own[TargetId{"i-2"}].online = 8;
    this->setPlans({{.silentAfter = 3, .silence = 1700ms}, {}});
    const TimePoint begun = BootClock::now();
    CHECK(this->textOf("s1", "/chat/x") == wholeText("s1", 10));
    CHECK(BootClock::now() - begun < shortestAcceptedGap);
}

// Guards against a stream that leaves its target for one that is silent itself, beside a change that all targets take at once.
TEST_CASE_METHOD(SilenceFixture, "forward_allTargetsAreSilent_streamStaysWithItsOwn")
{
    constexpr milliseconds shortestAcceptedGap{2000};
    this->setPlans({{.silentAfter = 3, .silence = 1800ms}});
    const TimePoint begun = BootClock::now();
    beginWait(this->host.proxy->health[TargetId{"i-2"}].silence, begun);
    this->host.proxy->loadTracker.own[TargetId{"i-2"}].online = 1; // The request goes to the other target.
    CHECK(this->textOf("s1", "/chat/x") == wholeText("s1", 10));
    CHECK(BootClock::now() - begun < shortestAcceptedGap);
    CHECK(this->second.runs.empty());
}

// Guards against a sound second target that is left so late that no third one can answer in time.
TEST_CASE_METHOD(SilenceFixture, "forward_secondTargetIsSlowAndLittleTimeIsLeft_isWaitedFor")
{
    this->addReplica("i-3");
    this->routeNamed("lookup").maxAttempts = 3;
    this->host.publish({});
    this->setPlans({{.stream = false, .firstDelay = 5s}, {.stream = false, .events = 1, .step = 1ms, .firstDelay = 262ms}});
    CHECK(this->textOf("q1", "/lookup/x", 1500ms) == wholeText("q1", 1));
    CHECK(this->runsOf("q1") == 2);
}

// Guards against a request that left a silent target and fails with time left, because the other target refuses it for a while.
TEST_CASE_METHOD(SilenceFixture, "forward_otherTargetRefusesAfterASilence_requestIsServedBeforeItsDeadline")
{
    this->host.proxy->loadTracker.own[TargetId{"i-2"}].online = 5; // The request goes to the other target first.
    const TimePoint begun = BootClock::now();
    this->first.plan = [](const HttpRequest & /*request*/, unsigned /*number*/) {
        return ReplicaPlan{.stream = false, .firstDelay = 5s};
    };
    this->second.plan = [begun](const HttpRequest & /*request*/, unsigned /*number*/) {
        return ReplicaPlan{.status = BootClock::now() - begun < 2s ? 503 : 200, .stream = false};
    };
    CHECK(this->textOf("q1", "/lookup/x", 3s) == wholeText("q1", 10));
    CHECK(this->first.runs.size() == 1);
}

// Guards against a stream that is given up with time left, because the targets refuse to continue it for a while.
TEST_CASE_METHOD(SilenceFixture, "forward_begunStreamIsRefusedForAWhile_continuesBeforeItsDeadline")
{
    constexpr unsigned mostRefusals = 24;
    const TimePoint begun = BootClock::now();
    const auto refusals = std::make_shared<unsigned>(0);
    for (Replica *replica : {&this->first, &this->second}) {
        replica->plan = [begun, refusals, this](const HttpRequest & /*request*/, unsigned /*number*/) {
            if (this->runsOf("s1") == 0) {
                return ReplicaPlan{.breakAfter = 3};
            }
            const bool refuses = BootClock::now() - begun < 1500ms;
            *refusals += refuses ? 1 : 0;
            return refuses ? ReplicaPlan{.status = 503} : ReplicaPlan{};
        };
    }
    CHECK(this->textOf("s1", "/chat/x") == wholeText("s1", 10));
    CHECK(this->runsOf("s1") == 2);
    CHECK(*refusals > 6);
    CHECK(*refusals <= mostRefusals);
}

/** A stream with a quarantined prompt part, whose target breaks it off. */
struct QuarantinedStreamFixture : SilenceFixture {
    PromptParts prompt{{PromptPartId{0xbad}}, {PromptPartId{0xf1}}};

    QuarantinedStreamFixture()
    {
        for (Replica *replica : {&this->first, &this->second}) {
            replica->plan = [this](const HttpRequest & /*request*/, unsigned /*number*/) {
                const bool begun = this->runsOf("s1") > 0;
                applyStoredQuarantine(*this->host.proxy, this->prompt.shared.front(), 60s, 1);
                return begun ? ReplicaPlan{} : ReplicaPlan{.breakAfter = 3};
            };
        }
    }

    Result<HttpResponse> callStream(milliseconds callerTimeout)
    {
        HttpRequest request = EntryTestHost::request("s1", "/chat/x", callerTimeout);
        request.headers.push_back({"X-Skylarkstage-Prompt-Prefix", "bad:100,f1:20"});
        return this->call(this->host.endpoint, std::move(request));
    }
};

// Guards against a begun stream that is given up because its prompt is quarantined for a while.
TEST_CASE_METHOD(QuarantinedStreamFixture, "forward_quarantineOfABegunStreamIsLifted_streamContinues")
{
    auto lift = [this]() -> boost::asio::awaitable<void> {
        co_await sleepFor(800ms);
        recordSoundRun(*this->host.proxy, this->prompt);
    };
    boost::asio::co_spawn(this->loop, lift(), boost::asio::detached);
    const auto answer = this->callStream(5s);
    REQUIRE(isOk(answer));
    CHECK(valueOf(answer).body.find(eventData("s1", 10)) != std::string::npos);
    CHECK(this->runsOf("s1") == 2);
}

// Guards against a second run of a prompt that crashes targets.
TEST_CASE_METHOD(QuarantinedStreamFixture, "forward_quarantineOfABegunStreamLasts_streamEndsAtItsDeadline")
{
    const TimePoint begun = BootClock::now();
    CHECK_FALSE(isOk(this->callStream(1200ms)));
    CHECK(BootClock::now() - begun >= 1100ms);
    CHECK(this->runsOf("s1") == 1);
}

// Guards against a request that leaves a silent target which goes on, although its quarantined prompt may not be sent to another one.
TEST_CASE_METHOD(SilenceFixture, "forward_promptIsQuarantinedDuringASilence_requestStaysWithItsTarget")
{
    const std::string path = GENERATE("/chat/x", "/lookup/x");
    const bool stream = path == "/chat/x";
    this->setPlans({{.stream = stream, .firstDelay = 2s}, {.stream = stream}});
    auto quarantine = [this]() -> boost::asio::awaitable<void> {
        co_await sleepFor(300ms);
        applyStoredQuarantine(*this->host.proxy, PromptPartId{0xbad}, 60s, 1);
    };
    boost::asio::co_spawn(this->loop, quarantine(), boost::asio::detached);
    HttpRequest request = EntryTestHost::request("r1", path, 4s);
    request.headers.push_back({"X-Skylarkstage-Prompt-Prefix", "bad:100,f1:20"});
    const HttpTimeouts patient{500ms, 2s, 10s, 10s};
    const auto answer = this->run(httpCall(this->http, this->host.endpoint, std::move(request), patient, ConnectionUse::Fresh));
    REQUIRE(isOk(answer));
    CHECK(valueOf(answer).status == 200);
    CHECK(this->runsOf("r1") == 1);
}

/** A target that accepts connections but reads nothing. */
struct NonReadingTarget {
    boost::asio::ip::tcp::acceptor acceptor;
    std::vector<boost::asio::ip::tcp::socket> accepted;

    explicit NonReadingTarget(boost::asio::io_context &loop)
        : acceptor(loop)
    {
        using boost::asio::ip::tcp;
        this->acceptor.open(tcp::v4());
        this->acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        this->acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
        this->acceptor.listen();
        boost::asio::co_spawn(loop, this->serve(), boost::asio::detached);
    }

    boost::asio::awaitable<void> serve()
    {
        for (;;) {
            this->accepted.push_back(co_await this->acceptor.async_accept(boost::asio::use_awaitable));
        }
    }
};

/** A request with a body that does not fit into the buffers of a connection, for a target that reads nothing. */
struct NonReadingTargetFixture : SilenceFixture {
    NonReadingTarget nonReading{loop};

    NonReadingTargetFixture()
    {
        this->targets->at(TargetId{"i-1"}).endpoint = {"127.0.0.1", this->nonReading.acceptor.local_endpoint().port()};
        this->host.proxy->loadTracker.own[TargetId{"i-2"}].online = 5; // The request goes to the other target first.
        this->host.publish({});
        this->setPlans({{.stream = false}});
    }

    Result<HttpResponse> sendLongBody(const std::string &path, milliseconds callerTimeout)
    {
        HttpRequest request = EntryTestHost::request("q1", path, callerTimeout);
        request.headers.push_back({"X-Skylarkstage-Prompt-Prefix", "aaa:100,f1:20"});
        request.body.assign(std::size_t{4} << 20U, 'x');
        return this->run(httpCall(this->http, this->host.endpoint, request, HttpTimeouts{500ms, 10s, 10s, 10s}, ConnectionUse::Fresh));
    }
};

// Guards against a target that is counted as crashed by the request, because it reads no further part of the body before the deadline.
TEST_CASE_METHOD(NonReadingTargetFixture, "forward_targetReadsNothing_isNoCrashOfTheTarget")
{
    const auto answer = this->sendLongBody("/order/x", 900ms);
    REQUIRE(isOk(answer));
    CHECK(valueOf(answer).status == 504);
    CHECK(this->nonReading.accepted.size() == 1);
    CHECK(this->host.proxy->quarantine.crashes.empty());
    CHECK(this->host.proxy->health[TargetId{"i-1"}].failures == 0);
}

/** A target that answers each request with a long stream as fast as the connection takes it. */
struct LongStreamTarget {
    static constexpr unsigned eventCount = 64;
    static constexpr std::size_t eventBytes = std::size_t{256} << 10U;
    boost::asio::ip::tcp::acceptor acceptor;

    explicit LongStreamTarget(boost::asio::io_context &loop)
        : acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        boost::asio::co_spawn(loop, this->serve(), boost::asio::detached);
    }

    boost::asio::awaitable<void> serve()
    {
        std::string answer = "HTTP/1.1 200 OK\r\nX-Skylarkstage-Request-Id: s1\r\nX-Skylarkstage-Server-Signature: x\r\n\r\n";
        for (unsigned number = 1; number <= eventCount; ++number) {
            answer += "id: " + std::to_string(number) + "\ndata: " + std::string(eventBytes, 'x') + "\n\n";
        }
        for (;;) {
            auto socket = co_await this->acceptor.async_accept(boost::asio::use_awaitable);
            std::array<char, 8192> request{};
            co_await socket.async_read_some(boost::asio::buffer(request), boost::asio::use_awaitable);
            co_await boost::asio::async_write(socket, boost::asio::buffer(answer), boost::asio::use_awaitable);
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both);
        }
    }
};

// Guards against a sound target that is cut and blamed because the caller reads slowly.
TEST_CASE_METHOD(SilenceFixture, "forward_callerReadsNothingForAWhile_isNoSilenceOfTheTarget")
{
    using boost::asio::ip::tcp;
    LongStreamTarget target(this->loop);
    this->targets->at(TargetId{"i-1"}).endpoint = {"127.0.0.1", target.acceptor.local_endpoint().port()};
    this->host.proxy->loadTracker.own[TargetId{"i-2"}].online = 5; // The request goes to the other target first.
    this->host.publish({});
    auto readLate = [this]() -> boost::asio::awaitable<std::size_t> {
        tcp::socket socket(this->loop);
        co_await socket.async_connect({boost::asio::ip::make_address("127.0.0.1"), this->host.endpoint.port}, boost::asio::use_awaitable);
        const std::string request =
            "POST /chat/x HTTP/1.1\r\nHost: h.example\r\nX-Skylarkstage-Request-Id: s1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        co_await boost::asio::async_write(socket, boost::asio::buffer(request), boost::asio::use_awaitable);
        co_await sleepFor(2500ms);
        std::string answer;
        boost::system::error_code error;
        co_await boost::asio::async_read(socket, boost::asio::dynamic_buffer(answer), boost::asio::redirect_error(boost::asio::use_awaitable, error));
        co_return answer.ends_with("\r\n0\r\n\r\n") ? answer.size() : 0;
    };
    CHECK(this->run(readLate()) > LongStreamTarget::eventCount * LongStreamTarget::eventBytes);
    CHECK(this->second.runs.empty());
    CHECK(this->host.proxy->health[TargetId{"i-1"}].failures == 0);
}

// Guards against new requests that keep going to a target while it is silent, and against avoiding it once it answers again.
TEST_CASE_METHOD(SilenceFixture, "forward_targetIsSilent_newRequestsPreferOthersUntilItAnswers")
{
    this->setPlans({{.stream = false, .firstDelay = 800ms}, {.stream = false}});
    const auto late = this->call(this->host.endpoint, EntryTestHost::request("o1", "/order/x", 600ms));
    REQUIRE(isOk(late));
    REQUIRE(valueOf(late).status == 504);
    Replica &silent = this->first.runs.empty() ? this->second : this->first;
    constexpr unsigned requestCount = 8;
    for (unsigned i = 0; i < requestCount; ++i) {
        CHECK(this->textOf("r" + std::to_string(i), "/order/x") == wholeText("r" + std::to_string(i), 10));
    }
    CHECK(silent.runs.size() == 1);
    this->host.proxy->loadTracker.own[TargetId{silent.id == "i-1" ? "i-2" : "i-1"}].online = 6; // The other target is full.
    for (unsigned i = 0; i < requestCount; ++i) {
        CHECK(this->textOf("s" + std::to_string(i), "/order/x") == wholeText("s" + std::to_string(i), 10));
    }
    CHECK(silent.runs.size() == 1 + requestCount);
    for (const BalanceCandidate &candidate : candidatesOf(*this->host.proxy, ServiceId{"llm"}, {}, DomainId{"north"})) {
        CHECK_FALSE(candidate.silent);
        CHECK_FALSE(candidate.suspect);
    }
}

// Guards against requests that use one silent connection after the other, because each has too little time to mark the target as failing.
TEST_CASE_METHOD(SilenceFixture, "forward_requestEndsInASilence_idleConnectionsToTheTargetAreClosed")
{
    this->targets->erase(TargetId{"i-2"});
    this->host.publish({});
    const auto idleCount = [this] {
        return this->host.proxy->http->idle[this->targets->at(TargetId{"i-1"}).endpoint].size();
    };
    this->setPlans({{.stream = false}, {.stream = false, .firstDelay = 100ms}, {.stream = false, .firstDelay = 5s}});
    CHECK(this->textOf("q1", "/lookup/x") == wholeText("q1", 10));
    CHECK(this->textOf("o1", "/order/x") == wholeText("o1", 10)); // Uses a connection of its own.
    REQUIRE(idleCount() == 2);
    const auto silent = this->call(this->host.endpoint, EntryTestHost::request("q2", "/lookup/x", 700ms));
    REQUIRE(isOk(silent));
    CHECK(valueOf(silent).status == 504);
    CHECK(idleCount() == 0);
    CHECK(this->host.proxy->health[TargetId{"i-1"}].failures == 0);
}

/** A target whose answer arrives at once, after which the process of the test does not run for a while. */
struct StallingTarget {
    static constexpr milliseconds stall{600};
    boost::asio::ip::tcp::acceptor acceptor;
    std::string answer; ///< Bytes that are sent.

    explicit StallingTarget(boost::asio::io_context &loop)
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
            boost::asio::write(socket, boost::asio::buffer(this->answer));
            std::this_thread::sleep_for(stall);
            co_await sleepFor(stall);
        }
    }
};

// Guards against an answer that has arrived in time and is thrown away, because this process did not run until after the deadline.
TEST_CASE_METHOD(SilenceFixture, "forward_hostStallsUntilAfterTheDeadline_answerThatHasArrivedIsDelivered")
{
    StallingTarget target(this->loop);
    this->targets->erase(TargetId{"i-2"});
    this->targets->at(TargetId{"i-1"}).endpoint = {"127.0.0.1", target.acceptor.local_endpoint().port()};
    for (RouteRule &rule : this->config->routes) {
        rule.timeout = StallingTarget::stall / 2;
    }
    this->host.publish({});
    const std::string head = "HTTP/1.1 200 OK\r\nX-Skylarkstage-Request-Id: r1\r\nX-Skylarkstage-Server-Signature: x\r\n";
    SECTION("whole answer")
    {
        const std::size_t size = 100000; // More than one read takes.
        target.answer = head + "Content-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x');
        CHECK(this->textOf("r1", "/order/x") == std::string(size, 'x'));
    }
    SECTION("stream")
    {
        const std::string event = "id: 1\ndata: " + std::string(50000, 'x') + "\n\n";
        target.answer = head + "Content-Type: text/event-stream\r\nContent-Length: " + std::to_string(event.size()) + "\r\n\r\n" + event;
        CHECK(this->textOf("r1", "/once/x") == std::string(50000, 'x'));
    }
}
