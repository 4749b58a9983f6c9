/** @file test_service_calls.cpp Tests of the callers' server: calls of plain services on stand-in targets. */
#include "support/raw_caller.h"
#include "support/traffic_fixture.h"

using namespace skylark;
using namespace std::chrono_literals;

namespace {

struct ServiceFixture : TrafficFixture {
    StubTarget &first{addTarget("shop")};
    StubTarget &second{addTarget("shop")};

    [[nodiscard]] int calls() const
    {
        return this->first.serviceCalls + this->second.serviceCalls;
    }

    /** Sends the request line and headers @p start with a key of the workspace. @return What arrives within two seconds at most. */
    std::string rawCall(const std::string &start)
    {
        test::RawCaller caller(this->context.online, this->endpoint());
        caller.write(start + "Host: h\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n\r\n");
        for (unsigned i = 0; i < 100 && caller.received.find("\r\n\r\n") == std::string::npos; ++i) {
            this->runFor(20ms);
            caller.poll();
        }
        return caller.received;
    }

    HttpResponse postOrder(const std::string &body, const std::string &key)
    {
        HttpHeaders headers;
        if (!key.empty()) {
            headers.push_back({"idempotency-key", key});
        }
        return this->call("POST", "/v1/services/shop/orders/new?x=1", body, headers);
    }
};

} // namespace

TEST_CASE_METHOD(ServiceFixture, "serviceCall_permitted_relayed")
{
    this->startServer();
    const HttpResponse response = this->call("GET", "/v1/services/shop/items/3?size=2", "");
    CHECK(response.status == 200);
    CHECK(response.body == "served /items/3?size=2 ");
    REQUIRE(this->calls() == 1);
    const StubTarget &used = this->first.serviceCalls == 1 ? this->first : this->second;
    CHECK(headerValue(used.requests[0].headers, "authorization").empty());
    CHECK(this->call("GET", "/v1/services/shop/itemsx", "").status == 403);
    CHECK(this->call("DELETE", "/v1/services/shop/items/3", "").status == 403);
    CHECK(this->call("GET", "/v1/services/other/items", "").status == 404);
    CHECK(this->calls() == 1);
}

// Guards against a call that its target reads in another way than this host, and against headers of the caller's connection that reach the target.
TEST_CASE_METHOD(ServiceFixture, "serviceCall_outsideTheGrammar_isRefusedAndHopByHopHeadersAreNotForwarded")
{
    this->startServer();
    CHECK(this->rawCall("GET /v1/services/shop/items/%zz HTTP/1.1\r\n").starts_with("HTTP/1.1 400 "));
    // Refused where it is accepted, and not only where a call is written to a target.
    CHECK(this->rawCall("GET /v1/models?%zz HTTP/1.1\r\n").starts_with("HTTP/1.1 400 "));
    CHECK(this->rawCall("GET /v1/services/shop/items/\xc3\xa9 HTTP/1.1\r\n").starts_with("HTTP/1.1 400 "));
    CHECK(this->calls() == 0);
    CHECK(
        this->rawCall("GET /v1/services/shop/items/3 HTTP/1.1\r\nConnection: X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nX-Kept: 1\r\n").starts_with("HTTP/1.1 200 "));
    REQUIRE(this->calls() == 1);
    const StubTarget &used = this->first.serviceCalls == 1 ? this->first : this->second;
    CHECK(headerValue(used.requests[0].headers, "X-Kept") == "1");
    CHECK(headerValue(used.requests[0].headers, "X-Hop").empty());
    CHECK(headerValue(used.requests[0].headers, "TE").empty());
}

// A target closes the connection after it has received a call that is not repeatable. The call must not be sent again, as it may have run.
TEST_CASE_METHOD(ServiceFixture, "serviceCall_notRepeatableCutAfterSending_oneExecutionRunMaybe")
{
    this->first.mode = TargetMode::Cut;
    this->second.mode = TargetMode::Cut;
    this->startServer();
    const HttpResponse response = this->postOrder("one mask", {});
    CHECK(response.status == 502);
    CHECK(errorMember(response, "run") == "maybe");
    CHECK(this->calls() == 1);
}

// Guards against calls to a service target that has refused one because it is draining.
TEST_CASE_METHOD(ServiceFixture, "serviceCall_refusalSaysTargetDrains_avoidedAtOnce")
{
    this->first.mode = TargetMode::NotRun;
    this->first.refusesAsDraining = true;
    this->startServer();
    for (int i = 0; i < 20; ++i) {
        CHECK(this->postOrder("one mask", {}).status == 200);
        this->runFor(20ms);
    }
    CHECK(this->first.requests.size() <= 1);
}

// Guards against giving up the last run of a call for a silence, although no other target may run it.
TEST_CASE_METHOD(ServiceFixture, "serviceCall_targetsAreSilentForASecond_lastRunIsWaitedFor")
{
    this->first.mode = TargetMode::Pause;
    this->second.mode = TargetMode::Pause;
    this->startServer();
    CHECK(this->postOrder("one mask", {}).status == 200);
    CHECK(this->calls() == 1);
    CHECK(this->call("GET", "/v1/services/shop/items/1", "").status == 200);
    CHECK(this->calls() == 3);
}

// Guards against a service target that is blamed, and avoided, for a silence that is normal for it.
TEST_CASE_METHOD(ServiceFixture, "serviceCall_targetIsSilentForLessThanTheSoundLimit_isNotBlamed")
{
    this->first.mode = TargetMode::Silent;
    this->startServer();
    for (int i = 0; i < 6; ++i) {
        CHECK(this->call("GET", "/v1/services/shop/items/1", "").status == 200);
    }
    CHECK(this->first.serviceCalls >= 1);
    CHECK(loadOf(*this->context.loads, TargetId{"t1"}).consecutiveFailures == 0);
}

// Guards against a call that is waited for without end, and against further runs after its deadline.
TEST_CASE_METHOD(ServiceFixture, "serviceCall_targetsAreSilentForGood_failsAtTheDeadline")
{
    this->first.mode = TargetMode::Silent;
    this->second.mode = TargetMode::Silent;
    this->workspace().online.deadline = 1s;
    this->startServer();
    const TimePoint before = BootClock::now();
    const HttpResponse response = this->call("GET", "/v1/services/shop/items/1", "");
    CHECK(response.status == 504);
    CHECK(errorMember(response, "run") == "maybe");
    CHECK(BootClock::now() - before >= 1s);
    CHECK(BootClock::now() - before < 2s);
    CHECK(this->calls() == 2);
}

TEST_CASE_METHOD(ServiceFixture, "serviceCall_repeatableCut_answeredByAnotherTarget")
{
    this->first.mode = TargetMode::Cut;
    this->startServer();
    for (int i = 0; i < 4; ++i) {
        CHECK(this->call("GET", "/v1/services/shop/items/1", "").status == 200);
    }
    CHECK(this->second.serviceCalls == 4);
}

// A call whose connection was refused did not run. It must be sent to another target even when it is not repeatable, and be reported as
// "not run" when no target accepts connections.
TEST_CASE_METHOD(ServiceFixture, "serviceCall_notRepeatableConnectionRefused_sentElsewhere")
{
    this->startServer();
    this->first.server.reset();
    this->runFor(20ms);
    for (int i = 0; i < 4; ++i) {
        const HttpResponse response = this->postOrder("one mask", {});
        CHECK(response.status == 200);
    }
    CHECK(this->second.serviceCalls == 4);
    this->second.server.reset();
    this->runFor(20ms);
    const HttpResponse refused = this->postOrder("one mask", {});
    CHECK(refused.status == 503);
    CHECK(errorMember(refused, "run") == "no");
}

TEST_CASE_METHOD(ServiceFixture, "serviceCall_idempotencyKeyResent_answerReplayed")
{
    this->startServer();
    const HttpResponse first = this->postOrder("one mask", "k1");
    const HttpResponse again = this->postOrder("one mask", "k1");
    CHECK(first.status == 200);
    CHECK(again.status == 200);
    CHECK(again.body == first.body);
    CHECK(this->calls() == 1);
    const HttpResponse conflict = this->postOrder("two masks", "k1");
    CHECK(conflict.status == 409);
    CHECK(errorMember(conflict, "code") == "idempotency_conflict");
    CHECK(this->postOrder("two masks", "k2").status == 200);
    CHECK(this->calls() == 2);
}

// The response of a first call is lost, so that its outcome is unknown. A second call with the same idempotency key must not run.
TEST_CASE_METHOD(ServiceFixture, "serviceCall_keyOfCallWithUnknownOutcome_notRunAgain")
{
    this->first.mode = TargetMode::Cut;
    this->second.mode = TargetMode::Cut;
    this->startServer();
    CHECK(errorMember(this->postOrder("one mask", "k1"), "run") == "maybe");
    this->first.mode = TargetMode::Complete;
    this->second.mode = TargetMode::Complete;
    const HttpResponse again = this->postOrder("one mask", "k1");
    CHECK(again.status == 409);
    CHECK(errorMember(again, "code") == "idempotency_in_progress");
    CHECK(errorMember(again, "run") == "maybe");
    CHECK(this->calls() == 1);
}

// All targets refuse a call without running it. Its idempotency record must be deleted, or the caller could not send the call again.
TEST_CASE_METHOD(ServiceFixture, "serviceCall_keyOfCallThatDidNotRun_canBeSentAgain")
{
    this->first.mode = TargetMode::NotRun;
    this->second.mode = TargetMode::NotRun;
    this->startServer();
    const HttpResponse refused = this->postOrder("one mask", "k1");
    CHECK(refused.status == 429);
    CHECK(errorMember(refused, "run") == "no");
    this->first.mode = TargetMode::Complete;
    this->second.mode = TargetMode::Complete;
    CHECK(this->postOrder("one mask", "k1").status == 200);
    CHECK(this->calls() == 1);
}

// The key-value service is down, so that no idempotency record can be written. The workspace's setting decides whether the call is refused
// or sent without a record.
TEST_CASE_METHOD(ServiceFixture, "serviceCall_recordUnavailable_followsTheWorkspace")
{
    this->startServer();
    this->store->server.reset();
    this->runFor(20ms);
    const HttpResponse refused = this->postOrder("one mask", "k1");
    CHECK(refused.status == 503);
    CHECK(errorMember(refused, "code") == "platform_unavailable");
    CHECK(errorMember(refused, "run") == "no");
    CHECK(this->calls() == 0);
    this->workspace().whenRecordUnavailable = RecordUnavailable::Pass;
    CHECK(this->postOrder("one mask", "k1").status == 200);
    CHECK(this->calls() == 1);
}

// Guards against a call that ends all targets of its service again and again, and against rejecting other calls with it.
TEST_CASE_METHOD(ServiceFixture, "serviceCall_callCrashesTargets_isRejectedAndOthersAreServed")
{
    this->startServer();
    const auto setMode = [this](TargetMode mode) {
        this->first.mode = mode;
        this->second.mode = mode;
    };
    std::string code;
    for (unsigned i = 0; i < 8 && code != "quarantined"; ++i) {
        setMode(TargetMode::Cut);
        code = errorMember(this->call("GET", "/v1/services/shop/items/bad", ""), "code");
        setMode(TargetMode::Complete);
        this->runFor(1100ms); // Within a second, two ends of one target would be reports on the same crash.
    }
    CHECK(code == "quarantined");
    const int before = this->calls();
    const HttpResponse rejected = this->call("GET", "/v1/services/shop/items/bad", "");
    CHECK(rejected.status == 503);
    CHECK_FALSE(headerValue(rejected.headers, "retry-after").empty());
    CHECK(this->calls() == before);
    CHECK(this->call("GET", "/v1/services/shop/items/3", "").status == 200);
}
