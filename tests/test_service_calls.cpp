/** @file test_service_calls.cpp Callers' server: calls of plain services against stand-in targets. */
#include "support/traffic_fixture.h"

using namespace skylark;
using namespace std::chrono_literals;

namespace {

struct ServiceFixture : TrafficFixture {
    StubTarget &first{addTarget("shop")}; ///< First target.
    StubTarget &second{addTarget("shop")}; ///< Second target.

    [[nodiscard]] int calls() const
    {
        return this->first.serviceCalls + this->second.serviceCalls;
    }

    HttpResponse order(const std::string &body, const std::string &key)
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

// Guards against a second execution of a call that must not be repeated.
TEST_CASE_METHOD(ServiceFixture, "serviceCall_notRepeatableCutAfterSending_oneExecutionRunMaybe")
{
    this->first.mode = TargetMode::Cut;
    this->second.mode = TargetMode::Cut;
    this->startServer();
    const HttpResponse response = this->order("one mask", {});
    CHECK(response.status == 502);
    CHECK(errorMember(response, "run") == "maybe");
    CHECK(this->calls() == 1);
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

// Guards against giving up a call that provably did not run.
TEST_CASE_METHOD(ServiceFixture, "serviceCall_notRepeatableConnectionRefused_sentElsewhere")
{
    this->startServer();
    this->first.server.reset();
    this->runFor(20ms);
    for (int i = 0; i < 4; ++i) {
        const HttpResponse response = this->order("one mask", {});
        CHECK(response.status == 200);
    }
    CHECK(this->second.serviceCalls == 4);
    this->second.server.reset();
    this->runFor(20ms);
    const HttpResponse refused = this->order("one mask", {});
    CHECK(refused.status == 503);
    CHECK(errorMember(refused, "run") == "no");
}

TEST_CASE_METHOD(ServiceFixture, "serviceCall_idempotencyKeyResent_answerReplayed")
{
    this->startServer();
    const HttpResponse first = this->order("one mask", "k1");
    const HttpResponse again = this->order("one mask", "k1");
    CHECK(first.status == 200);
    CHECK(again.status == 200);
    CHECK(again.body == first.body);
    CHECK(this->calls() == 1);
    const HttpResponse conflict = this->order("two masks", "k1");
    CHECK(conflict.status == 409);
    CHECK(errorMember(conflict, "code") == "idempotency_conflict");
    CHECK(this->order("two masks", "k2").status == 200);
    CHECK(this->calls() == 2);
}

// Guards against a resent call that runs again after the answer of the first one was lost.
TEST_CASE_METHOD(ServiceFixture, "serviceCall_keyOfCallWithUnknownOutcome_notRunAgain")
{
    this->first.mode = TargetMode::Cut;
    this->second.mode = TargetMode::Cut;
    this->startServer();
    CHECK(errorMember(this->order("one mask", "k1"), "run") == "maybe");
    this->first.mode = TargetMode::Whole;
    this->second.mode = TargetMode::Whole;
    const HttpResponse again = this->order("one mask", "k1");
    CHECK(again.status == 409);
    CHECK(errorMember(again, "code") == "idempotency_in_progress");
    CHECK(errorMember(again, "run") == "maybe");
    CHECK(this->calls() == 1);
}

// Guards against a key that stays taken by a call that did not run.
TEST_CASE_METHOD(ServiceFixture, "serviceCall_keyOfCallThatDidNotRun_canBeSentAgain")
{
    this->first.mode = TargetMode::NotRun;
    this->second.mode = TargetMode::NotRun;
    this->startServer();
    const HttpResponse refused = this->order("one mask", "k1");
    CHECK(refused.status == 429);
    CHECK(errorMember(refused, "run") == "no");
    this->first.mode = TargetMode::Whole;
    this->second.mode = TargetMode::Whole;
    CHECK(this->order("one mask", "k1").status == 200);
    CHECK(this->calls() == 1);
}

// Guards against an unrecorded call where the workspace forbids it.
TEST_CASE_METHOD(ServiceFixture, "serviceCall_recordUnavailable_followsTheWorkspace")
{
    this->startServer();
    this->store->server.reset();
    this->runFor(20ms);
    const HttpResponse refused = this->order("one mask", "k1");
    CHECK(refused.status == 503);
    CHECK(errorMember(refused, "code") == "platform_unavailable");
    CHECK(errorMember(refused, "run") == "no");
    CHECK(this->calls() == 0);
    this->workspace().whenRecordUnavailable = RecordUnavailable::Pass;
    CHECK(this->order("one mask", "k1").status == 200);
    CHECK(this->calls() == 1);
}
