/** @file test_engine.cpp Engine client against the engine stand-in. */
#include "../standins/engine_text_func.h"
#include "core/json_member_func.h"
#include "engine/engine_client_func.h"
#include "support/process_func.h"

#include <boost/asio/steady_timer.hpp>
#include <thread>

using namespace skylark;
using namespace skylark::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/** Content of a generation stream that has been read. */
struct Generated {
    std::string text;
    unsigned tokens{0};
    std::string finishReason; ///< Finish reason in the last event read.
    unsigned cachedTokens{0}; ///< Prompt tokens found in the prefix cache.
    std::optional<Error> error; ///< Error that ended the stream, if any.
};

/** Reads a stream to its end, or until it has delivered @p limit tokens. */
asio::awaitable<Generated> readAll(GenerateStream &stream, unsigned limit)
{
    Generated got;
    while (got.tokens < limit) {
        auto event = co_await readToken(stream, 2s);
        if (!isOk(event)) {
            got.error = errorOf(event);
            break;
        }
        if (!valueOf(event)) {
            break;
        }
        got.text += valueOf(event)->text;
        got.tokens += valueOf(event)->tokens;
        got.finishReason = valueOf(event)->finishReason;
        got.cachedTokens = valueOf(event)->cachedTokens;
    }
    co_return got;
}

/** An engine stand-in and a client. */
struct EngineFixture : TestLoop {
    RunningProgram standin{RunningProgram::create("standin-engine", {"--slots=2", "--step_base_ms=20", "--load_lag_ms=0", "--order_timeout_ms=500"})};
    Endpoint endpoint{standin.endpoint}; ///< Address of standin.
    HttpTimeouts timeouts; ///< Defaults.
    int lastRequest{0}; ///< Number in the id of the last request.

    void setFaults(std::string body)
    {
        this->callJson(this->endpoint, "POST", "/faults", std::move(body));
    }

    json::object stats()
    {
        return this->callJson(this->endpoint, "GET", "/stats").get_object();
    }

    std::uint64_t stat(std::string_view name)
    {
        return numberMember(this->stats(), name);
    }

    GenerateCall makeCall(const std::string &content, unsigned maxTokens)
    {
        GenerateCall call;
        call.requestId.value = "r" + std::to_string(++this->lastRequest);
        call.body =
            R"({"model":"drafter","user":"u","max_tokens":)" + std::to_string(maxTokens) + R"(,"messages":[{"role":"user","content":")" + content + "\"}]}";
        return call;
    }

    Result<GenerateStream> start(GenerateCall call)
    {
        return this->run(startGenerate(this->http, this->endpoint, std::move(call), this->timeouts));
    }

    Generated generate(GenerateCall call, unsigned limit = 100000)
    {
        auto stream = this->start(std::move(call));
        if (!isOk(stream)) {
            return {{}, 0, {}, 0, errorOf(stream)};
        }
        return this->run(readAll(valueOf(stream), limit));
    }

    static std::string expected(const std::string &content, unsigned tokens)
    {
        return standin::expectedText("user: " + content + "\n", tokens);
    }
};

ErrorCode codeOf(const Generated &got)
{
    REQUIRE(got.error);
    return got.error->code;
}

} // namespace

// Guards against a response that is incomplete or belongs to another prompt, and against connections that are not reused.
TEST_CASE_METHOD(EngineFixture, "readToken_wholeStream_givesExpectedTextAndReusesConnection")
{
    const Generated got = this->generate(this->makeCall("hello", 12));
    CHECK_FALSE(got.error);
    CHECK(got.text == this->expected("hello", 12));
    CHECK(got.tokens == 12);
    CHECK(got.finishReason == "length");
    CHECK(this->http->idle[this->endpoint].size() == 1);
    CHECK(this->generate(this->makeCall("other", 3)).text == this->expected("other", 3));
    CHECK(this->http->idle[this->endpoint].size() == 1);
}

// Guards against a stream that breaks off being taken for a complete one, and against tokens that are generated again when it is resumed.
TEST_CASE_METHOD(EngineFixture, "readToken_streamCut_resumesWithoutRegeneration")
{
    this->setFaults(R"({"cut_after_tokens":5})");
    GenerateCall call = this->makeCall("draft", 12);
    unsigned cuts = 0;
    for (Generated got; call.tokensDone < 12; ++cuts) {
        call.requestId.value += "x";
        got = this->generate(call);
        CHECK(codeOf(got) == ErrorCode::StreamBroken);
        CHECK(got.tokens == 5);
        call.continueFrom += got.text;
        call.tokensDone += got.tokens;
        if (call.tokensDone == 10) {
            this->setFaults(R"({"cut_after_tokens":0})");
            got = this->generate(call);
            CHECK_FALSE(got.error);
            call.continueFrom += got.text;
            call.tokensDone += got.tokens;
        }
    }
    CHECK(cuts == 2);
    CHECK(call.continueFrom == this->expected("draft", 12));
    CHECK(this->stat("finished") == 1);
    // When a stream is cut, the engine may already have generated tokens that were not sent: at most those of one step for each of the two cuts.
    CHECK(this->stat("tokens_regenerated") <= 2);
}

TEST_CASE_METHOD(EngineFixture, "startGenerate_withContinueFrom_generatesOnlyTheRest")
{
    GenerateCall call = this->makeCall("resume", 10);
    call.continueFrom = this->expected("resume", 7);
    call.tokensDone = 7;
    const Generated got = this->generate(call);
    CHECK(call.continueFrom + got.text == this->expected("resume", 10));
    CHECK(this->stat("tokens") == 3);
    CHECK(this->stat("tokens_regenerated") == 0);
    call.continueFrom[3] = call.continueFrom[3] == '0' ? '1' : '0';
    CHECK(codeOf(this->generate(call)) == ErrorCode::TargetRejected);
}

// Guards against a cancelled stream that keeps its slot, which would make online requests wait for batch work.
TEST_CASE_METHOD(EngineFixture, "generate_streamDestroyed_freesSlotForWaitingRequest")
{
    auto first = this->start(this->makeCall("one", 50000));
    auto second = this->start(this->makeCall("two", 50000));
    REQUIRE(isOk(first));
    REQUIRE(isOk(second));
    CHECK(valueOf(this->run(readLoad(this->http, this->endpoint, this->timeouts))).running == 2);
    first = makeError(ErrorCode::Cancelled, "caller gave up");
    CHECK_FALSE(this->generate(this->makeCall("three", 2)).error);
    CHECK(this->stat("cancelled") == 1);
    REQUIRE(isOk(this->run(cancelGenerate(this->http, this->endpoint, valueOf(second).requestId, this->timeouts))));
    CHECK(codeOf(this->run(readAll(valueOf(second), 100000))) == ErrorCode::StreamBroken);
    CHECK(this->runUntil([this] {
        return this->stat("running") == 0;
    }));
    CHECK(this->stat("cancelled") == 2);
}

TEST_CASE_METHOD(EngineFixture, "abortGenerate_readPending_endsWithCancelled")
{
    auto stream = this->start(this->makeCall("one", 50000));
    REQUIRE(isOk(stream));
    asio::steady_timer timer(this->loop, 100ms);
    timer.async_wait([&stream](const boost::system::error_code &) {
        abortGenerate(valueOf(stream));
    });
    CHECK(codeOf(this->run(readAll(valueOf(stream), 100000))) == ErrorCode::Cancelled);
    CHECK(this->runUntil([this] {
        return this->stat("running") == 0;
    }));
}

TEST_CASE_METHOD(EngineFixture, "startGenerate_errorResponses_reportWhetherTheyRan")
{
    this->setFaults(R"({"reject_on":"bad","fail_on":"crash"})");
    const Generated rejected = this->generate(this->makeCall("a bad one", 2));
    CHECK(codeOf(rejected) == ErrorCode::TargetRejected);
    CHECK(rejected.error->run == RunState::No);
    const Generated failed = this->generate(this->makeCall("a crash", 2));
    CHECK(codeOf(failed) == ErrorCode::TargetFailed);
    CHECK(failed.error->run == RunState::Maybe);
    GenerateCall unknown = this->makeCall("x", 2);
    unknown.body.replace(unknown.body.find("drafter"), 7, "missing");
    const Generated unloaded = this->generate(unknown);
    CHECK(codeOf(unloaded) == ErrorCode::TargetOverloaded);
    CHECK_FALSE(unloaded.error->targetLeaving);
    this->setFaults(R"({"draining":true})");
    const Generated draining = this->generate(this->makeCall("x", 2));
    CHECK(codeOf(draining) == ErrorCode::TargetOverloaded);
    CHECK(draining.error->targetLeaving);
    CHECK(draining.error->run == RunState::No);
    CHECK(valueOf(this->run(readLoad(this->http, this->endpoint, this->timeouts))).draining);
    CHECK(this->stat("started") == 0);
    GenerateCall broken;
    broken.body = "[]";
    CHECK(codeOf(this->generate(broken)) == ErrorCode::InvalidRequest);
}

// Guards against the response to another request being delivered to the caller.
TEST_CASE_METHOD(EngineFixture, "startGenerate_responseToAnotherRequest_isRejected")
{
    this->setFaults(R"({"wrong_id":true})");
    CHECK(codeOf(this->generate(this->makeCall("x", 2))) == ErrorCode::ResponseMismatch);
    CHECK(this->http->idle[this->endpoint].empty());
}

// Guards against silent connections that are reused: after a timeout on one connection, the idle ones to the same engine may be silent, too.
TEST_CASE_METHOD(EngineFixture, "readToken_connectionSilent_timesOutAndIdleConnectionsAreDropped")
{
    auto idle = this->start(this->makeCall("short", 1));
    auto stream = this->start(this->makeCall("long", 50000));
    REQUIRE(isOk(stream));
    REQUIRE_FALSE(this->run(readAll(valueOf(idle), 100000)).error);
    CHECK(this->http->idle[this->endpoint].size() == 1);
    this->setFaults(R"({"silent":true})");
    CHECK(codeOf(this->run(readAll(valueOf(stream), 100000))) == ErrorCode::IdleTimeout);
    CHECK(this->http->idle[this->endpoint].empty());
    CHECK(this->generate(this->makeCall("again", 2)).text == this->expected("again", 2));
}

TEST_CASE_METHOD(EngineFixture, "generate_promptCrashesEngine_streamBreaksAndEngineExits")
{
    this->setFaults(R"({"die_on":"crashing"})");
    CHECK(codeOf(this->generate(this->makeCall("crashing", 2))) == ErrorCode::StreamBroken);
    CHECK(waitExit(*this->standin.process, 5s) == 70);
    CHECK(codeOf(this->generate(this->makeCall("x", 2))) == ErrorCode::ConnectFailed);
}

TEST_CASE_METHOD(EngineFixture, "generate_samePrefixAgain_isCachedAndPublished")
{
    const std::string prefix(640, 'p');
    CHECK(this->generate(this->makeCall(prefix + "1", 1)).cachedTokens == 0);
    CHECK(this->generate(this->makeCall(prefix + "2", 1)).cachedTokens == 160);
    this->runFor(1000ms);
    const auto events = this->run(readCacheEvents(this->http, this->endpoint, 0, this->timeouts));
    REQUIRE(isOk(events));
    REQUIRE_FALSE(valueOf(events).empty());
    const auto hashes = standin::prefixHashes("user: " + prefix);
    const CacheEvent &event = valueOf(events).front();
    CHECK(event.stored);
    CHECK(std::find(hashes.begin(), hashes.end(), event.prefixHash) != hashes.end());
}

TEST_CASE_METHOD(EngineFixture, "sendOrder_olderFencingNumber_isRefused")
{
    const auto allow = []() -> Result<Done> {
        return Done{};
    };
    const EngineOrder newer{"load_adapter", {"drafter"}, "1", "masks", "", {7}};
    REQUIRE(isOk(this->run(sendOrder(this->http, this->endpoint, newer, this->timeouts, allow))));
    const EngineOrder older{"unload_model", {"drafter"}, "1", "", "", {6}};
    const auto refused = this->run(sendOrder(this->http, this->endpoint, older, this->timeouts, allow));
    REQUIRE_FALSE(isOk(refused));
    CHECK(errorOf(refused).code == ErrorCode::StaleFencing);
    const auto report = this->run(readLoad(this->http, this->endpoint, this->timeouts));
    REQUIRE(valueOf(report).models.size() == 1);
    CHECK(valueOf(report).models[0].adapters == std::vector<std::string>{"masks"});
}

// Guards against an order that takes effect although its sender was paused between the lease check and sending the body, so that the lease may have expired.
TEST_CASE_METHOD(EngineFixture, "sendOrder_senderPausedPastOrderTimeout_hasNoEffect")
{
    const EngineOrder order{"unload_model", {"drafter"}, "1", "", "", {8}};
    const auto result = this->run(sendOrder(this->http, this->endpoint, order, this->timeouts, []() -> Result<Done> {
        std::this_thread::sleep_for(1500ms);
        return Done{};
    }));
    CHECK_FALSE(isOk(result));
    CHECK(this->stats()["orders"].get_array().empty());
    CHECK(valueOf(this->run(readLoad(this->http, this->endpoint, this->timeouts))).models.size() == 1);
}

// Checks that the load report of the stand-in lags by --load_lag_ms. Without it, batch limits would be tested only with up-to-date load reports.
TEST_CASE_METHOD(EngineFixture, "readLoad_streamJustStarted_reportLags")
{
    const RunningProgram lagging = RunningProgram::create("standin-engine", {"--load_lag_ms=5000"});
    auto stream = this->run(startGenerate(this->http, lagging.endpoint, this->makeCall("one", 50000), this->timeouts));
    REQUIRE(isOk(stream));
    const auto report = this->run(readLoad(this->http, lagging.endpoint, this->timeouts));
    REQUIRE(isOk(report));
    CHECK(valueOf(report).running == 0);
    CHECK(valueOf(report).slots == 8);
    CHECK(numberMember(this->callJson(lagging.endpoint, "GET", "/stats").get_object(), "running") == 1);
}

// Checks that the stand-in runs requests in order of arrival, without priorities. Otherwise tests would not notice batch work beyond the slots, which makes
// online requests wait.
TEST_CASE_METHOD(EngineFixture, "startGenerate_moreThanSlots_waitsInOrderOfArrival")
{
    std::vector<GenerateStream> batch;
    for (int i = 0; i < 2; ++i) {
        auto stream = this->start(this->makeCall("batch" + std::to_string(i), 25));
        REQUIRE(isOk(stream));
        batch.push_back(std::move(valueOf(stream)));
    }
    CHECK_FALSE(this->generate(this->makeCall("online", 1)).error);
    CHECK(this->stat("max_waiting") == 1);
    // One batch stream must finish before the online stream can run.
    CHECK(this->stat("finished") >= 2);
}

namespace {

/** A service stand-in and a client. */
struct ServiceFixture : TestLoop {
    RunningProgram standin{RunningProgram::create("standin-service")};
    HttpTimeouts timeouts; ///< Defaults.

    Result<HttpResponse> order(const std::string &key)
    {
        HttpRequest request{"POST", "/orders", {{"idempotency-key", key}, {"X-Request-Id", "caller"}}, R"({"mask":"dodo"})"};
        return this->run(callService(this->http, this->standin.endpoint, std::move(request), RequestId{key}, this->timeouts, ConnectionUse::Fresh));
    }

    json::object stats()
    {
        return this->callJson(this->standin.endpoint, "GET", "/stats").get_object();
    }
};

} // namespace

// Guards against a call whose response was lost being reported as not run, after which a caller would repeat the order.
TEST_CASE_METHOD(ServiceFixture, "callService_responseLost_reportsMaybeRun")
{
    const auto first = this->order("k1");
    REQUIRE(isOk(first));
    CHECK(valueOf(first).status == 201);
    CHECK(headerValue(valueOf(first).headers, "x-request-id") == "k1");
    this->callJson(this->standin.endpoint, "POST", "/faults", R"({"cut_after_executing":1})");
    const auto lost = this->order("k2");
    REQUIRE_FALSE(isOk(lost));
    CHECK(errorOf(lost).run == RunState::Maybe);
    CHECK(numberMember(this->stats(), "orders") == 2);
    CHECK(numberMember(this->stats()["executions"].get_object(), "k2") == 1);
}

TEST_CASE_METHOD(ServiceFixture, "callService_serviceDraining_isRefusedAsNotRun")
{
    this->callJson(this->standin.endpoint, "POST", "/faults", R"({"draining":true})");
    const auto refused = this->order("k1");
    REQUIRE(isOk(refused));
    CHECK(valueOf(refused).status == 503);
    CHECK(headerValue(valueOf(refused).headers, "x-not-run") == "1");
    CHECK(numberMember(this->stats(), "orders") == 0);
}
