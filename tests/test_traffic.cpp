/** @file test_traffic.cpp Tests of the callers' server: online generations on stand-in targets. */
#include "core/async_sleep_func.h"
#include "policy/silence_type.h"
#include "support/raw_caller.h"
#include "support/traffic_fixture.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

using namespace skylark;
using skylark::test::RawCaller;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace json = boost::json;

TEST_CASE_METHOD(TrafficFixture, "chat_notStreamed_textUsageAndIdReturned")
{
    const StubTarget &target = this->addTarget();
    this->startServer();
    const HttpResponse response = this->chat(false, {{"x-request-id", "caller-1"}});
    CHECK(response.status == 200);
    CHECK(answerText(response) == words(10));
    CHECK(headerValue(response.headers, "x-request-id") == "caller-1");
    const json::value answer = json::parse(response.body);
    CHECK(answer.at("usage").at("completion_tokens").as_int64() == 10);
    CHECK(answer.at("usage").at("prompt_tokens").as_int64() == 7);
    CHECK(answer.at("choices").at(0).at("finish_reason").as_string() == "stop");
    REQUIRE(target.generations == 1);
    CHECK(headerValue(target.requests[0].headers, "x-request-id") != "caller-1");
    CHECK(metricValue(*this->context.metrics, "skylark_requests_total", {{"workspace", "atelier"}, {"code", "ok"}}) == 1);
    CHECK_FALSE(decisionsOf(this->context.decisions, RequestId{"caller-1"}).empty());
}

TEST_CASE_METHOD(TrafficFixture, "chat_streamedAnswer_eventsEndWithDone")
{
    this->addTarget();
    this->startServer();
    const HttpResponse response = this->chat(true);
    CHECK(response.status == 200);
    CHECK(headerValue(response.headers, "content-type") == "text/event-stream");
    CHECK(answerText(response) == words(10));
    CHECK(response.body.ends_with("data: [DONE]\n\n"));
    CHECK(response.body.find(R"("finish_reason":"stop")") != std::string::npos);
    CHECK(response.body.find(R"("completion_tokens":10)") != std::string::npos);
}

// A request without a valid API key must be refused before any target is called.
TEST_CASE_METHOD(TrafficFixture, "chat_missingOrWrongKey_401AndNoTargetCall")
{
    const StubTarget &target = this->addTarget();
    this->startServer();
    for (const char *value : {"Bearer wrong", "Basic key", "Bearer"}) {
        const HttpResponse response = this->chat(false, {{"authorization", value}});
        CHECK(response.status == 401);
        CHECK(errorMember(response, "code") == "invalid_api_key");
        CHECK(errorMember(response, "run") == "no");
    }
    CHECK(target.requests.empty());
}

TEST_CASE_METHOD(TrafficFixture, "chat_invalidBody_errorNamesTheMember")
{
    const StubTarget &target = this->addTarget();
    this->startServer();
    const auto paramOf = [this](const std::string &body) {
        const HttpResponse response = this->call("POST", "/v1/chat/completions", body);
        return std::to_string(response.status) + " " + errorMember(response, "param");
    };
    CHECK(paramOf("[]") == "400 body");
    CHECK(paramOf(R"({"messages":[]})") == "400 model");
    CHECK(paramOf(R"({"model":"brief","messages":[]})") == "400 messages");
    CHECK(paramOf(R"({"model":"brief","messages":[{"role":"user","content":1}]})") == "400 messages[0].content");
    CHECK(paramOf(R"({"model":"other","messages":[{"role":"user","content":"x"}]})") == "404 model");
    CHECK(target.requests.empty());
}

// A target closes its connection in the middle of an answer. The answer must be resumed on another target, with no text lost or repeated.
TEST_CASE_METHOD(TrafficFixture, "chat_targetDisconnectsMidAnswer_answerCompletedByAnotherTarget")
{
    StubTarget &cutting = this->addTarget({}, 8, 0);
    const StubTarget &other = this->addTarget({}, 8, 6);
    cutting.mode = TargetMode::Cut;
    this->startServer();
    for (const bool stream : {false, true}) {
        const HttpResponse response = this->chat(stream);
        CHECK(response.status == 200);
        CHECK(answerText(response) == words(10));
    }
    CHECK(cutting.generations >= 1);
    CHECK(other.generations == 2);
    CHECK(metricValue(*this->context.metrics, "skylark_resumes_total") >= 1);
}

// A target stops responding after a first request has left a connection in the pool. The next request must move to another target after
// the first-byte timeout, and no pooled connection to the silent target may be used again.
TEST_CASE_METHOD(TrafficFixture, "chat_silentTarget_answeredElsewhereInBoundedTime")
{
    StubTarget &silent = this->addTarget({}, 8, 0);
    this->addTarget({}, 8, 6);
    this->startServer();
    REQUIRE(this->chat(false).status == 200);
    REQUIRE(this->server->impl->http->idle[silent.endpoint()].size() == 1);
    silent.mode = TargetMode::Silent;
    const TimePoint before = BootClock::now();
    const HttpResponse response = this->chat(false);
    CHECK(answerText(response) == words(10));
    CHECK(BootClock::now() - before < 3s);
    CHECK(silent.generations == 2);
    CHECK(this->server->impl->http->idle[silent.endpoint()].empty());
    CHECK(invariantCounts()[static_cast<std::size_t>(Promise::SilentConnection)] > 0);
}

// A target stops sending in the middle of an answer but keeps the connection open. After the idle timeout the answer must be resumed on
// another target, and the connection to the stalled one closed.
TEST_CASE_METHOD(TrafficFixture, "chat_targetStallsMidAnswer_answerResumedElsewhere")
{
    StubTarget &stalling = this->addTarget({}, 8, 0);
    this->addTarget({}, 8, 6);
    stalling.mode = TargetMode::Stall;
    this->startServer();
    CHECK(answerText(this->chat(true)) == words(10));
    this->runFor(50ms);
    CHECK(stalling.callersGone == 1);
}

// Guards against giving up the last run of a request for a silence, although no other target can run it.
TEST_CASE_METHOD(TrafficFixture, "chat_onlyTargetIsSilentForASecond_isWaitedFor")
{
    StubTarget &pausing = this->addTarget();
    pausing.mode = TargetMode::Pause;
    this->startServer();
    for (const unsigned tokensBefore : {0U, 3U}) {
        pausing.cutAfter = tokensBefore;
        pausing.generations = 0;
        for (const bool stream : {false, true}) {
            CHECK(answerText(this->chat(stream)) == words(10));
        }
        CHECK(pausing.generations == 2);
    }
}

// Guards against giving up the second of two silent targets by the limit of the first, when there is no third.
TEST_CASE_METHOD(TrafficFixture, "chat_otherTargetIsSilentForGood_lastTargetIsWaitedFor")
{
    StubTarget &silent = this->addTarget({}, 8, 0);
    StubTarget &pausing = this->addTarget({}, 8, 6);
    silent.mode = TargetMode::Silent;
    pausing.mode = TargetMode::Pause;
    pausing.cutAfter = 0;
    this->startServer();
    CHECK(answerText(this->chat(false)) == words(10));
    CHECK(silent.generations == 1);
    CHECK(pausing.generations == 1);
}

// Guards against a target that is blamed, and avoided, for a silence that is normal for it.
TEST_CASE_METHOD(TrafficFixture, "chat_targetIsSilentForLessThanTheSoundLimit_isNotBlamed")
{
    StubTarget &silent = this->addTarget({}, 8, 0);
    this->addTarget({}, 8, 6);
    this->startServer();
    silent.mode = TargetMode::Silent;
    for (int i = 0; i < 2; ++i) {
        CHECK(answerText(this->chat(false)) == words(10));
    }
    CHECK(silent.generations == 2);
    CHECK(loadOf(*this->context.loads, TargetId{"t1"}).consecutiveFailures == 0);
    this->workspace().online.firstByteTimeout = maxSoundSilence + 200ms;
    CHECK(answerText(this->chat(false)) == words(10));
    CHECK(loadOf(*this->context.loads, TargetId{"t1"}).consecutiveFailures == 1);
}

// Guards against a run that is waited for without end, and against further runs on a silent target after the deadline.
TEST_CASE_METHOD(TrafficFixture, "chat_onlyTargetIsSilentForGood_failsAtTheDeadlineAfterOneRun")
{
    StubTarget &silent = this->addTarget();
    this->workspace().online.deadline = 800ms;
    this->startServer();
    silent.mode = TargetMode::Silent;
    const TimePoint before = BootClock::now();
    const HttpResponse response = this->chat(false);
    CHECK(response.status == 504);
    CHECK(errorMember(response, "run") == "maybe");
    CHECK(BootClock::now() - before >= 800ms);
    CHECK(BootClock::now() - before < 2s);
    CHECK(silent.generations == 1);
}

// Guards against a begun stream that is waited for without end where no other target can go on.
TEST_CASE_METHOD(TrafficFixture, "chat_onlyTargetStallsForGood_streamIsBrokenOffAfterOneRun")
{
    StubTarget &stalling = this->addTarget();
    stalling.mode = TargetMode::Stall;
    this->workspace().online.deadline = 800ms;
    this->startServer();
    const std::string body = R"({"model":"brief","messages":[{"role":"user","content":"x"}],"stream":true})";
    HttpRequest request{"POST", "/v1/chat/completions", {{"authorization", "Bearer key"}}, body};
    const TimePoint before = BootClock::now();
    const auto result = this->run(httpCall(this->client, this->endpoint(), std::move(request), HttpTimeouts{1s, 1s, 15s, 15s}));
    REQUIRE_FALSE(isOk(result));
    CHECK(errorOf(result).code == ErrorCode::StreamBroken);
    CHECK(BootClock::now() - before >= 800ms);
    CHECK(BootClock::now() - before < 2s);
    CHECK(stalling.generations == 1);
}

// Guards against an answer that is complete but held back, because the target does not end the body of its response.
TEST_CASE_METHOD(TrafficFixture, "chat_targetDoesNotEndItsBody_wholeAnswerIsDelivered")
{
    StubTarget &target = this->addTarget();
    target.mode = TargetMode::Unended;
    this->startServer();
    const TimePoint before = BootClock::now();
    CHECK(answerText(this->chat(true)) == words(10));
    CHECK(BootClock::now() - before < 1s);
}

// Guards against breaking off a stream that has begun because no target can go on with it for a moment.
TEST_CASE_METHOD(TrafficFixture, "chat_noTargetAfterTheStreamHasBegun_streamWaitsForOne")
{
    StubTarget &target = this->addTarget();
    target.mode = TargetMode::Cut;
    this->startServer();
    const auto replaceTarget = [this, &target]() -> asio::awaitable<void> {
        const std::vector<TargetView> views = this->snapshot.targets;
        while (target.generations == 0) {
            co_await sleepFor(1ms);
        }
        this->snapshot.targets.clear();
        this->publish();
        co_await sleepFor(300ms);
        target.mode = TargetMode::Complete;
        this->snapshot.targets = views;
        this->publish();
    };
    asio::co_spawn(this->context.online, replaceTarget(), asio::detached);
    CHECK(answerText(this->chat(true)) == words(10));
}

// Guards against breaking off a stream that has begun because targets refuse to go on with it for a moment.
TEST_CASE_METHOD(TrafficFixture, "chat_targetsRefuseAfterTheStreamHasBegun_streamWaitsForOne")
{
    StubTarget &target = this->addTarget();
    target.mode = TargetMode::Cut;
    this->startServer();
    target.modeAfterCut = TargetMode::NotRun;
    const auto serveAgain = [&target]() -> asio::awaitable<void> {
        co_await sleepFor(1500ms);
        target.mode = TargetMode::Complete;
    };
    asio::co_spawn(this->context.online, serveAgain(), asio::detached);
    CHECK(answerText(this->chat(true)) == words(10));
}

// A target starts each answer and closes the connection before the first token. The error must not say "not run".
TEST_CASE_METHOD(TrafficFixture, "chat_allTargetsCut_runMaybe")
{
    StubTarget &cutting = this->addTarget();
    cutting.mode = TargetMode::Cut;
    cutting.cutAfter = 0;
    this->startServer();
    const HttpResponse response = this->chat(false);
    CHECK(response.status >= 500);
    CHECK(errorMember(response, "run") == "maybe");
}

// The only target closes its connection after one token of each attempt, until no retry is left. The stream to the caller must end without
// its final chunk, so that the caller does not take a partial answer for a complete one.
TEST_CASE_METHOD(TrafficFixture, "chat_streamCannotBeCompleted_callerSeesBrokenStream")
{
    StubTarget &cutting = this->addTarget();
    cutting.mode = TargetMode::Cut;
    cutting.cutAfter = 1;
    this->startServer();
    const std::string body = R"({"model":"brief","messages":[{"role":"user","content":"x"}],"stream":true})";
    HttpRequest request{"POST", "/v1/chat/completions", {{"authorization", "Bearer key"}}, body};
    const auto result = this->run(httpCall(this->client, this->endpoint(), std::move(request), HttpTimeouts{1s, 1s, 15s, 15s}));
    REQUIRE_FALSE(isOk(result));
    CHECK(errorOf(result).code == ErrorCode::StreamBroken);
}

TEST_CASE_METHOD(TrafficFixture, "chat_allTargetsLeaving_503NotRun")
{
    const StubTarget &target = this->addTarget();
    this->snapshot.targets[0].leaving = true;
    this->startServer();
    const HttpResponse response = this->chat(false);
    CHECK(response.status == 503);
    CHECK(errorMember(response, "code") == "no_target");
    CHECK(errorMember(response, "run") == "no");
    CHECK_FALSE(headerValue(response.headers, "retry-after").empty());
    CHECK(target.requests.empty());
}

// A target is leaving, but the platform's list does not show it yet. Its refusal leads to a check of its load report; after that it must
// be reported as leaving and get no further requests.
TEST_CASE_METHOD(TrafficFixture, "chat_targetRefusesAndDrains_reportedAndAvoided")
{
    StubTarget &draining = this->addTarget({}, 8, 0);
    this->addTarget({}, 8, 6);
    draining.mode = TargetMode::NotRun;
    draining.draining = true;
    this->startServer();
    CHECK(answerText(this->chat(false)) == words(10));
    this->runFor(50ms);
    CHECK(this->leaving == std::vector<std::string>{"t1"});
    const std::size_t before = draining.requests.size();
    CHECK(answerText(this->chat(false)) == words(10));
    CHECK(draining.requests.size() == before);
}

// Guards against requests to a target that has refused one because it is draining, while its load report is too old to say so.
TEST_CASE_METHOD(TrafficFixture, "chat_refusalSaysTargetDrains_avoidedAtOnce")
{
    StubTarget &draining = this->addTarget({}, 8, 0);
    this->addTarget({}, 8, 6);
    draining.mode = TargetMode::NotRun;
    draining.refusesAsDraining = true;
    this->startServer();
    CHECK(answerText(this->chat(false)) == words(10));
    CHECK(this->leaving == std::vector<std::string>{"t1"});
    this->runFor(300ms);
    for (int i = 0; i < 5; ++i) {
        CHECK(answerText(this->chat(false)) == words(10));
    }
    CHECK(draining.requests.size() == 1);
}

// Guards against requests to a draining target half a minute after its refusal, when the host is cut off from the list of targets.
TEST_CASE_METHOD(TrafficFixture, "chat_refusalOfDrainingTargetIsLongAgo_avoidedUntilItsReportSaysOtherwise")
{
    StubTarget &draining = this->addTarget({}, 8, 0);
    this->addTarget({}, 8, 6);
    draining.draining = true;
    this->startServer();
    this->server->impl->leavingSince[TargetId{"t1"}] = BootClock::now() - 60s;
    CHECK(answerText(this->chat(false)) == words(10));
    this->runFor(300ms);
    CHECK(answerText(this->chat(false)) == words(10));
    CHECK(draining.requests.empty());
    draining.draining = false;
    this->server->impl->leavingSince[TargetId{"t1"}] = BootClock::now() - 60s;
    this->runFor(300ms);
    CHECK(answerText(this->chat(false)) == words(10));
    this->runFor(300ms);
    CHECK(answerText(this->chat(false)) == words(10));
    CHECK(draining.requests.size() == 1);
}

TEST_CASE_METHOD(TrafficFixture, "chat_targetJustFull_isNotTakenAsLeaving")
{
    StubTarget &full = this->addTarget({}, 8, 0);
    this->addTarget({}, 8, 6);
    full.mode = TargetMode::NotRun;
    this->startServer();
    CHECK(answerText(this->chat(false)) == words(10));
    this->runFor(300ms);
    CHECK(this->leaving.empty());
}

// The caller disconnects before the first token, and in the middle of an answer. The connection to the target must be closed, so that the
// target stops generating, and the stream must no longer be counted.
TEST_CASE_METHOD(TrafficFixture, "chat_callerDisconnects_targetConnectionClosed")
{
    StubTarget &target = this->addTarget();
    this->workspace().online.firstByteTimeout = 10s;
    this->workspace().online.idleTimeout = 10s;
    this->startServer();
    for (const TargetMode mode : {TargetMode::Silent, TargetMode::Stall}) {
        target.mode = mode;
        target.callersGone = 0;
        const std::string body = R"({"model":"brief","messages":[{"role":"user","content":"x"}],"stream":true})";
        HttpRequest request{"POST", "/v1/chat/completions", {{"authorization", "Bearer key"}}, body};
        const auto result = this->run(httpCall(this->client, this->endpoint(), std::move(request), HttpTimeouts{1s, 1s, 200ms, 200ms}));
        REQUIRE_FALSE(isOk(result));
        this->runFor(300ms);
        CHECK(target.callersGone == 1);
        CHECK(loadOf(*this->context.loads, TargetId{"t1"}).online == 0);
    }
    CHECK(metricValue(*this->context.metrics, "skylark_callers_gone_total") == 2);
}

// All slots are taken and the estimated wait exceeds the deadline. The request must be refused at once instead of waiting in vain.
TEST_CASE_METHOD(TrafficFixture, "chat_slotsTakenPastDeadline_429WithRetryAfter")
{
    const StubTarget &target = this->addTarget({}, 2, 2);
    this->snapshot.targets[0].onlineElsewhere = 2;
    this->workspace().online.deadline = 200ms;
    this->startServer();
    const HttpResponse response = this->chat(false);
    CHECK(response.status == 429);
    CHECK(errorMember(response, "code") == "overloaded");
    CHECK(errorMember(response, "run") == "no");
    CHECK_FALSE(headerValue(response.headers, "retry-after").empty());
    CHECK(target.requests.empty());
}

TEST_CASE_METHOD(TrafficFixture, "chat_allTargetsRefuse_429NotRun")
{
    StubTarget &target = this->addTarget();
    target.mode = TargetMode::NotRun;
    this->startServer();
    const HttpResponse response = this->chat(false);
    CHECK(response.status == 429);
    CHECK(errorMember(response, "run") == "no");
    CHECK(target.requests.size() >= 2);
}

// Three requests compete for one slot. Each queued request must be served when the slot becomes free, one at a time.
TEST_CASE_METHOD(TrafficFixture, "chat_slotsTaken_waitsForTheNextSlot")
{
    StubTarget &target = this->addTarget({}, 1, 0);
    target.tokens = 40;
    this->startServer();
    this->server->impl->queues[ModelId{"brief"}].serviceMs = 100;
    const std::string body = R"({"model":"brief","messages":[{"role":"user","content":"x"}]})";
    int done = 0;
    for (int i = 0; i < 3; ++i) {
        HttpRequest request{"POST", "/v1/chat/completions", {{"authorization", "Bearer key"}}, body};
        asio::co_spawn(this->context.online,
                       httpCall(this->client, this->endpoint(), std::move(request), HttpTimeouts{1s, 1s, 15s, 15s}),
                       [&done](const std::exception_ptr &, const Result<HttpResponse> &result) {
                           done += isOk(result) && valueOf(result).status == 200 ? 1 : 0;
                       });
    }
    unsigned most = 0;
    for (int i = 0; i < 200 && done < 3; ++i) {
        this->runFor(20ms);
        most = std::max(most, loadOf(*this->context.loads, TargetId{"t1"}).online);
    }
    CHECK(done == 3);
    CHECK(most == 1);
}

// All slots are taken by batch streams. The slot must be requested before the online request is sent, or the request waits behind batch
// work at the target.
TEST_CASE_METHOD(TrafficFixture, "chat_slotsTakenByBatch_yieldRequested")
{
    StubTarget &target = this->addTarget({}, 4, 4);
    this->startServer();
    int requestsAtYield = -1;
    this->context.requestYield = [this, &target, &requestsAtYield](const TargetId &id, unsigned slots) {
        requestsAtYield = target.generations;
        this->yields.emplace_back(id.value, slots);
    };
    CHECK(this->chat(false).status == 200);
    CHECK(this->yields == std::vector<std::pair<std::string, unsigned>>{{"t1", 1U}});
    CHECK(requestsAtYield == 0);
}

// Concurrent online requests find all slots taken by batch streams. Each must request one further slot, and not ask again for slots that
// other requests have asked for.
TEST_CASE_METHOD(TrafficFixture, "chat_concurrentRequestsOverBatch_oneYieldEach")
{
    this->addTarget({}, 4, 4);
    this->startServer();
    int done = 0;
    for (int i = 0; i < 3; ++i) {
        HttpRequest request{"POST", "/v1/chat/completions", {{"authorization", "Bearer key"}}, R"({"model":"brief","messages":[{"role":"user"}]})"};
        asio::co_spawn(this->context.online,
                       httpCall(this->client, this->endpoint(), std::move(request), HttpTimeouts{1s, 1s, 15s, 15s}),
                       [&done](const std::exception_ptr &, const Result<HttpResponse> &result) {
                           done += isOk(result) && valueOf(result).status == 200 ? 1 : 0;
                       });
    }
    for (int i = 0; i < 100 && done < 3; ++i) {
        this->runFor(20ms);
    }
    CHECK(done == 3);
    CHECK(this->yields == std::vector<std::pair<std::string, unsigned>>(3, {"t1", 1U}));
}

// Placement has just unloaded the model from a target whose last load report still lists it. The 404 of that target must lead to another
// target, not to an error for the caller.
TEST_CASE_METHOD(TrafficFixture, "chat_modelUnloadedFromTarget_answeredElsewhere")
{
    StubTarget &unloaded = this->addTarget({}, 8, 0);
    this->addTarget({}, 8, 6);
    unloaded.mode = TargetMode::Unloaded;
    this->startServer();
    CHECK(answerText(this->chat(false)) == words(10));
    CHECK(unloaded.requests.size() == 1);
}

// Without a local target, a request must be forwarded to a failure domain with free slots. A request that was forwarded already must not
// be forwarded again, or it could loop between domains. A forwarded answer whose connection closes early is resumed on a local target.
TEST_CASE_METHOD(TrafficFixture, "chat_noLocalTarget_forwardedOnceAndResumedAfterDisconnect")
{
    StubTarget remote(this->context.online);
    HostView host;
    host.info.id.value = "h2";
    host.info.domain.value = "south";
    host.info.http = remote.endpoint();
    host.state = HostState::Live;
    host.freeByModel.emplace_back(ModelId{"brief"}, 4U);
    this->snapshot.hosts.push_back(host);
    this->startServer();
    const HttpResponse response = this->chat(true);
    CHECK(answerText(response) == words(10));
    REQUIRE(remote.requests.size() == 1);
    CHECK(headerValue(remote.requests[0].headers, "x-skylark-hops") == "1");
    CHECK(headerValue(remote.requests[0].headers, "authorization") == "Bearer key");
    const HttpResponse refused = this->chat(false, {{"x-skylark-hops", "1"}});
    CHECK(refused.status == 503);
    CHECK(remote.requests.size() == 1);
    this->addTarget({}, 8, 8);
    this->snapshot.targets[0].onlineElsewhere = 8;
    this->publish();
    remote.mode = TargetMode::Cut;
    CHECK(answerText(this->chat(false)) == words(10));
    CHECK(remote.requests.size() == 2);
}

TEST_CASE_METHOD(TrafficFixture, "callerServer_unknownPathAndNotReady_typedErrors")
{
    this->startServer();
    CHECK(this->call("GET", "/v1/unknown", "").status == 404);
    CHECK(this->call("GET", "/v1/models", "").body.find("\"brief\"") != std::string::npos);
    CHECK(this->call("GET", "/v1/jobs", "").status == 503);
    this->snapshot.ready = false;
    this->publish();
    const HttpResponse response = this->chat(false);
    CHECK(response.status == 503);
    CHECK(errorMember(response, "code") == "not_ready");
}

// A planned stop begins while a request is running. drainCallers() must wait until the answer is complete.
TEST_CASE_METHOD(TrafficFixture, "drainCallers_requestRunning_waitsForIt")
{
    StubTarget &target = this->addTarget();
    target.tokens = 100;
    this->startServer();
    std::optional<HttpResponse> answer;
    const std::string body = R"({"model":"brief","messages":[{"role":"user","content":"x"}]})";
    HttpRequest request{"POST", "/v1/chat/completions", {{"authorization", "Bearer key"}}, body};
    asio::co_spawn(this->context.online,
                   httpCall(this->client, this->endpoint(), std::move(request), HttpTimeouts{1s, 1s, 15s, 15s}),
                   [&answer](const std::exception_ptr &, Result<HttpResponse> result) {
                       if (isOk(result)) {
                           answer = std::move(valueOf(result));
                       }
                   });
    this->runFor(30ms);
    announceStop(*this->server);
    CHECK(this->run(drainCallers(*this->server, 10s)) == 0);
    this->runFor(20ms);
    REQUIRE(answer);
    CHECK(answerText(*answer) == words(100));
    CHECK(headerValue(answer->headers, "connection") == "close");
}

// Guards against a stop that ends while a host still reads a request, because only requests that run were counted.
TEST_CASE_METHOD(TrafficFixture, "drainCallers_requestIsBeingRead_waitsForIt")
{
    this->addTarget();
    this->startServer();
    std::string received;
    const auto callSlowly = [this, &received]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket(this->context.online);
        co_await socket.async_connect({asio::ip::make_address("127.0.0.1"), this->endpoint().port}, asio::use_awaitable);
        const std::string body = R"({"model":"brief","messages":[{"role":"user","content":"x"}]})";
        const std::string head =
            "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(head + body.substr(0, 5)), asio::use_awaitable);
        co_await sleepFor(100ms);
        co_await asio::async_write(socket, asio::buffer(body.substr(5)), asio::use_awaitable);
        boost::system::error_code error;
        co_await asio::async_read(socket, asio::dynamic_buffer(received), asio::redirect_error(asio::use_awaitable, error));
    };
    asio::co_spawn(this->context.online, callSlowly(), asio::detached);
    this->runFor(50ms);
    announceStop(*this->server);
    CHECK(this->run(drainCallers(*this->server, 10s)) == 0);
    this->runFor(50ms);
    CHECK(received.starts_with("HTTP/1.1 200"));
}

// Guards against a stop that cuts off the requests that are left at its drain timeout without an answer.
TEST_CASE_METHOD(TrafficFixture, "answerRemaining_requestsLeftAfterTheDrain_areAnsweredByTheirState")
{
    StubTarget &target = this->addTarget({}, 1, 0);
    this->workspace().online.firstByteTimeout = 10s;
    this->startServer();
    target.mode = TargetMode::Silent;
    const std::string body = R"({"model":"brief","messages":[{"role":"user","content":"x"}]})";
    const std::string request =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    RawCaller passedOn(this->context.online, this->endpoint());
    passedOn.write(request);
    this->runFor(50ms);
    RawCaller queued(this->context.online, this->endpoint());
    queued.write(request);
    RawCaller beingRead(this->context.online, this->endpoint());
    beingRead.write(request.substr(0, request.size() - 5));
    this->runFor(50ms);
    REQUIRE(target.generations == 1);
    announceStop(*this->server);
    CHECK(this->run(drainCallers(*this->server, 50ms)) == 2);
    CHECK(answerRemaining(*this->server) == 2);
    passedOn.poll();
    CHECK(passedOn.received.starts_with("HTTP/1.1 504"));
    CHECK(passedOn.count(R"("run":"maybe")") == 1);
    for (RawCaller *notRun : {&queued, &beingRead}) {
        notRun->poll();
        CHECK(notRun->received.starts_with("HTTP/1.1 503"));
        CHECK(notRun->count(R"("run":"no")") == 1);
        CHECK(notRun->count("retry-after: 1") == 1);
    }
}

// Guards against a stop after which a stream that has begun looks complete, or is followed by a second response.
TEST_CASE_METHOD(TrafficFixture, "answerRemaining_streamHasBegun_isLeftIncomplete")
{
    StubTarget &target = this->addTarget();
    this->workspace().online.idleTimeout = 10s;
    this->startServer();
    target.mode = TargetMode::Stall;
    const std::string body = R"({"model":"brief","messages":[{"role":"user","content":"x"}],"stream":true})";
    RawCaller streaming(this->context.online, this->endpoint());
    streaming.write("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                    + body);
    this->runFor(50ms);
    CHECK(this->run(drainCallers(*this->server, 50ms)) == 1);
    CHECK(answerRemaining(*this->server) == 1);
    streaming.poll();
    CHECK(streaming.count("HTTP/1.1") == 1);
    CHECK(streaming.count("w0 ") == 1);
    CHECK(streaming.count("[DONE]") == 0);
    CHECK(streaming.count("\r\n0\r\n\r\n") == 0);
}

// Guards against prompts with one prefix that crash one engine after the other, and against rejecting the prompts that share less than that prefix.
TEST_CASE_METHOD(TrafficFixture, "chat_promptPrefixCrashesTargets_isQuarantinedAndOthersAreServed")
{
    std::vector<StubTarget *> stubs;
    for (unsigned i = 0; i < 4; ++i) {
        stubs.push_back(&this->addTarget());
        stubs.back()->cutAfter = 0;
    }
    this->startServer();
    const auto send = [this](const std::string &prompt) {
        return this->call("POST", "/v1/chat/completions", R"({"model":"brief","messages":[{"role":"user","content":")" + prompt + R"("}],"stream":false})");
    };
    const auto setMode = [&stubs](TargetMode mode) {
        for (StubTarget *stub : stubs) {
            stub->mode = mode;
        }
    };
    const std::string shared(400, 'a');
    const std::string crashing = shared + std::string(400, 'b');
    std::string code;
    for (unsigned i = 0; i < 12 && code != "quarantined"; ++i) {
        setMode(TargetMode::Complete);
        CHECK(send(shared + "sound " + std::to_string(i)).status == 200);
        setMode(TargetMode::Cut);
        const HttpResponse response = send(crashing + std::to_string(i));
        code = errorMember(response, "code");
        this->runFor(150ms);
    }
    CHECK(code == "quarantined");
    setMode(TargetMode::Complete);
    int before = 0;
    for (const StubTarget *stub : stubs) {
        before += stub->generations;
    }
    const HttpResponse rejected = send(crashing + "again");
    CHECK(rejected.status == 503);
    CHECK(errorMember(rejected, "run") == "no");
    int after = 0;
    for (const StubTarget *stub : stubs) {
        after += stub->generations;
    }
    CHECK(after == before);
    CHECK(send(shared + "sound at the end").status == 200);
}
