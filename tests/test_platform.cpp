/** @file test_platform.cpp Tests of the key-value service client against the platform stand-in. */
#include "core/json_member_func.h"
#include "keyvalue/kv_client_func.h"
#include "support/process_func.h"

#include <boost/asio/detached.hpp>

using namespace skylark;
using namespace skylark::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/** A process of the platform stand-in, and a client of it. */
struct PlatformFixture : TestLoop {
    RunningProgram standin{RunningProgram::create("standin-platform", {"--history=16", "--host_lag_ms=1500"})};
    std::shared_ptr<KvClient> kv;

    PlatformFixture()
    {
        auto created = KvClient::create(this->standin.endpoint, this->http);
        REQUIRE(isOk(created));
        this->kv = valueOf(created);
    }

    void faults(std::string body)
    {
        this->callJson(this->standin.endpoint, "POST", "/faults", std::move(body));
    }

    json::object stats()
    {
        return this->callJson(this->standin.endpoint, "GET", "/stats").get_object();
    }

    Result<KvVersion> put(std::string key, std::string value, KvVersion expected = {}, LeaseId lease = {})
    {
        return this->run(kvPut(*this->kv, std::move(key), std::move(value), expected, std::move(lease)));
    }

    Result<KvVersion> putVerified(std::string key, const std::string &writeId, KvVersion expected = {})
    {
        std::string value = R"({"writeId":")" + writeId + "\"}";
        return this->run(kvPutVerified(*this->kv, std::move(key), std::move(value), WriteId{writeId}, expected));
    }

    std::optional<KvEntry> get(std::string key)
    {
        auto entry = this->run(kvGet(*this->kv, std::move(key)));
        REQUIRE(isOk(entry));
        return valueOf(entry);
    }
};

ErrorCode codeOf(const auto &result)
{
    REQUIRE_FALSE(isOk(result));
    return errorOf(result).code;
}

} // namespace

TEST_CASE_METHOD(PlatformFixture, "kvPut_staleVersion_conflictHoldsCurrentValue")
{
    const auto first = this->put("a/ä b", "{\"n\":1}");
    REQUIRE(isOk(first));
    const auto second = this->put("a/ä b", "{\"n\":2}");
    CHECK(codeOf(second) == ErrorCode::VersionConflict);
    CHECK(errorOf(second).detail == "{\"n\":1}");
    CHECK(isOk(this->put("a/ä b", "{\"n\":3}", valueOf(first))));
    CHECK(this->get("a/ä b")->value == "{\"n\":3}");
}

// Guards against a fencing number being reused after its lease key was deleted and created again.
TEST_CASE_METHOD(PlatformFixture, "kvPut_keyDeletedAndCreatedAgain_versionRises")
{
    const auto first = this->put("lease/x", "{}");
    REQUIRE(isOk(this->run(kvDelete(*this->kv, "lease/x", valueOf(first)))));
    CHECK_FALSE(this->get("lease/x"));
    const auto second = this->put("lease/x", "{}");
    REQUIRE(isOk(second));
    CHECK(valueOf(second) > valueOf(first));
}

// Guards against a write whose response is lost being reported as failed, or being applied twice.
TEST_CASE_METHOD(PlatformFixture, "kvPutVerified_responsesLost_eachWriteTakesEffectOnce")
{
    this->faults(R"({"lose_answers":1,"seed":7})");
    CHECK(codeOf(this->put("plain", "{}")) == ErrorCode::OutcomeUnknown);
    KvVersion version;
    for (int i = 0; i < 20; ++i) {
        const auto written = this->putVerified("head", "w" + std::to_string(i), version);
        REQUIRE(isOk(written));
        CHECK(valueOf(written) > version);
        version = valueOf(written);
        CHECK(this->get("head")->version == version);
    }
    CHECK(numberMember(this->stats(), "lost") == 21);
    CHECK(numberMember(this->stats(), "writes") == 21);
}

// Guards against mistaking another writer's value for the own one after a lost response.
TEST_CASE_METHOD(PlatformFixture, "kvPutVerified_anotherWriterFirst_reportsConflict")
{
    REQUIRE(isOk(this->putVerified("head", "other")));
    this->faults(R"({"lose_answers":1})");
    CHECK(codeOf(this->putVerified("head", "mine")) == ErrorCode::VersionConflict);
    CHECK(this->get("head")->value == R"({"writeId":"other"})");
}

// Guards against a write being applied twice when it reaches the service late, after the key was read back unchanged.
TEST_CASE_METHOD(PlatformFixture, "kvPutVerified_writeArrivesLate_takesEffectOnce")
{
    this->kv->timeout = 300ms;
    this->faults(R"({"slow_ms":2000})");
    auto unknown = this->putVerified("head", "late");
    CHECK(codeOf(unknown) == ErrorCode::OutcomeUnknown);
    this->faults(R"({"slow_ms":0})");
    this->kv->timeout = 1500ms;
    const auto again = this->putVerified("head", "late");
    REQUIRE(isOk(again));
    this->runFor(2500ms);
    CHECK(this->get("head")->version == valueOf(again));
}

// Guards against a write being reported as failed, or applied twice, when it is still in transit while the key is read back.
TEST_CASE_METHOD(PlatformFixture, "kvPutVerified_writeStillInTransit_takesEffectOnce")
{
    this->faults(R"({"slow_writes_ms":2000})");
    const auto written = this->putVerified("head", "late");
    REQUIRE(isOk(written));
    this->runFor(3000ms);
    CHECK(this->get("head")->version == valueOf(written));
    const auto events = this->run(kvWatch(*this->kv, "head", 0, 0ms));
    REQUIRE(isOk(events));
    CHECK(valueOf(events).events.size() == 1);
}

TEST_CASE_METHOD(PlatformFixture, "kvPutVerified_writesDroppedAndResponsesLost_successMeansOneEffect")
{
    this->faults(R"({"drop_writes":0.4,"lose_answers":0.4,"seed":11})");
    KvVersion version;
    int unknown = 0;
    for (int i = 0; i < 60; ++i) {
        const std::string writeId = "w" + std::to_string(i);
        const auto written = this->putVerified("head", writeId, version);
        const auto present = this->get("head");
        if (isOk(written)) {
            REQUIRE(present);
            CHECK(present->value == R"({"writeId":")" + writeId + "\"}");
            CHECK(present->version == valueOf(written));
        } else {
            CHECK(codeOf(written) == ErrorCode::OutcomeUnknown);
            ++unknown;
        }
        version = present ? present->version : KvVersion{};
    }
    CHECK(unknown > 0);
    CHECK(unknown < 20);
    // Each logical write takes effect at most once.
    CHECK(numberMember(this->stats(), "cursor") <= 60);
    CHECK(numberMember(this->stats(), "cursor") >= static_cast<std::uint64_t>(60 - unknown));
}

TEST_CASE_METHOD(PlatformFixture, "kvClient_serviceDown_reportsWhetherCallMayHaveRun")
{
    this->faults(R"({"down":true})");
    CHECK(codeOf(this->put("k", "{}")) == ErrorCode::PlatformUnavailable);
    CHECK_FALSE(this->kv->reachable);
    this->faults(R"({"down_mode":"close"})");
    CHECK(codeOf(this->putVerified("k", "w")) == ErrorCode::OutcomeUnknown);
    this->faults(R"({"down_mode":"hang"})");
    this->kv->timeout = 200ms;
    CHECK(codeOf(this->run(kvGet(*this->kv, "k"))) == ErrorCode::PlatformUnavailable);
    killProcess(*this->standin.process);
    const auto refused = this->put("k", "{}");
    CHECK(codeOf(refused) == ErrorCode::PlatformUnavailable);
    CHECK(errorOf(refused).run == RunState::No);
}

// Guards against keys of an expired lease not being deleted, which would block a takeover by another host.
TEST_CASE_METHOD(PlatformFixture, "kvLease_notRenewed_deletesItsKeys")
{
    const auto lease = this->run(kvGrantLease(*this->kv, 2500ms));
    REQUIRE(isOk(lease));
    REQUIRE(isOk(this->put("session/s1", "{}", {}, valueOf(lease))));
    this->runFor(1000ms);
    REQUIRE(isOk(this->run(kvRenewLease(*this->kv, valueOf(lease)))));
    const auto cursor = valueOf(this->run(kvRange(*this->kv, "session/", "", 10))).cursor;
    const auto events = this->run(kvWatch(*this->kv, "session/", cursor, 5s));
    REQUIRE(isOk(events));
    REQUIRE(valueOf(events).events.size() == 1);
    CHECK(valueOf(events).events[0].version.value == 0);
    CHECK_FALSE(this->get("session/s1"));
    CHECK(codeOf(this->run(kvRenewLease(*this->kv, valueOf(lease)))) == ErrorCode::LeaseExpired);
    CHECK(codeOf(this->put("session/s1", "{}", {}, valueOf(lease))) == ErrorCode::LeaseExpired);
}

TEST_CASE_METHOD(PlatformFixture, "kvLease_revoked_deletesItsKeysAtOnce")
{
    const auto lease = this->run(kvGrantLease(*this->kv, 60s));
    REQUIRE(isOk(this->put("session/s1", "{}", {}, valueOf(lease))));
    REQUIRE(isOk(this->run(kvRevokeLease(*this->kv, valueOf(lease)))));
    CHECK_FALSE(this->get("session/s1"));
}

TEST_CASE_METHOD(PlatformFixture, "kvRangeAll_manyKeys_readsAllPagesInOrder")
{
    for (int i = 0; i < 1100; ++i) {
        REQUIRE(isOk(this->put("job/" + std::to_string(10000 + i), "{}")));
    }
    REQUIRE(isOk(this->put("jobless", "{}")));
    const auto page = this->run(kvRangeAll(*this->kv, "job/"));
    REQUIRE(isOk(page));
    REQUIRE(valueOf(page).entries.size() == 1100);
    CHECK(valueOf(page).entries.front().key == "job/10000");
    CHECK(valueOf(page).entries.back().key == "job/11099");
}

// Guards against a watcher missing changes without noticing.
TEST_CASE_METHOD(PlatformFixture, "kvWatch_historyOverrun_reportsGap")
{
    for (int i = 0; i < 40; ++i) {
        REQUIRE(isOk(this->put("job/" + std::to_string(i), "{}")));
    }
    const auto lost = this->run(kvWatch(*this->kv, "job/", 1, 1s));
    REQUIRE(isOk(lost));
    CHECK(valueOf(lost).gap);
    const auto known = this->run(kvWatch(*this->kv, "job/", 38, 1s));
    REQUIRE(isOk(known));
    CHECK_FALSE(valueOf(known).gap);
    CHECK(valueOf(known).events.size() == 2);
    const auto none = this->run(kvWatch(*this->kv, "job/", valueOf(known).cursor, 100ms));
    REQUIRE(isOk(none));
    CHECK(valueOf(none).events.empty());
}

TEST_CASE_METHOD(PlatformFixture, "kvWatch_changeWhileWaiting_isDelivered")
{
    std::optional<KvEvents> seen;
    asio::co_spawn(this->loop, kvWatch(*this->kv, "config/", 0, 10s), [&seen](const std::exception_ptr &, Result<KvEvents> result) {
        seen = valueOf(result);
    });
    this->runFor(100ms);
    REQUIRE(isOk(this->put("other/x", "{}")));
    CHECK_FALSE(seen);
    REQUIRE(isOk(this->put("config/head", "{}")));
    REQUIRE(this->runUntil([&seen] {
        return seen.has_value();
    }));
    REQUIRE(seen->events.size() == 1);
    CHECK(seen->events[0].key == "config/head");
}

TEST_CASE_METHOD(PlatformFixture, "kvClient_overRateLimit_refusedAsNotRun")
{
    this->faults(R"({"rate_limit":5})");
    int refused = 0;
    for (int i = 0; i < 20; ++i) {
        const auto result = this->put("k" + std::to_string(i), "{}");
        if (!isOk(result)) {
            CHECK(codeOf(result) == ErrorCode::RateLimited);
            CHECK(errorOf(result).retryAfter);
            ++refused;
        }
    }
    CHECK(refused > 0);
    this->faults(R"({"rate_limit":0})");
    CHECK(numberMember(this->stats(), "keys") == static_cast<std::uint64_t>(20 - refused));
    CHECK(this->kv->counts.writes == 20);
}

// Guards against tests that pass only because the stand-in's target list has no delay, unlike the platform's.
TEST_CASE_METHOD(PlatformFixture, "platformTargets_targetLeaves_listLags")
{
    this->callJson(this->standin.endpoint,
                   "POST",
                   "/targets",
                   R"([{"id":"e1","kind":"engine","domain":"a","address":"127.0.0.1","port":9000,"checks_fencing":false,"order_timeout_ms":700}])");
    CHECK(valueOf(this->run(platformTargets(*this->kv))).targets.empty());
    this->runFor(1800ms);
    const auto listed = this->run(platformTargets(*this->kv));
    REQUIRE(isOk(listed));
    REQUIRE(valueOf(listed).targets.size() == 1);
    const TargetInfo &info = valueOf(listed).targets.front();
    CHECK(info.id.value == "e1");
    CHECK(info.endpoint == Endpoint{"127.0.0.1", 9000});
    CHECK(info.orderTimeout == 700ms);
    CHECK_FALSE(info.checksFencing);
    this->callJson(this->standin.endpoint, "POST", "/targets", R"([{"id":"e1","leaving":true}])");
    CHECK_FALSE(valueOf(this->run(platformTargets(*this->kv))).targets.front().leaving);
    this->runFor(1800ms);
    CHECK(valueOf(this->run(platformTargets(*this->kv))).targets.front().leaving);
}

// Guards against a target that is used although its entry lacks fields, and against one such entry that hides the valid ones.
TEST_CASE_METHOD(PlatformFixture, "platformTargets_entryWithoutAField_namesNoTargetAndTheOthersHold")
{
    const std::string valid = R"({"id":"e1","kind":"engine","domain":"a","address":"127.0.0.1","port":9000})";
    const std::vector<std::pair<std::string, std::string>> odd{
        {"kind", R"({"id":"o1","domain":"a","address":"127.0.0.1","port":9000})"},
        {"kind", R"({"id":"o2","kind":"odd","domain":"a","address":"127.0.0.1","port":9000})"},
        {"service", R"({"id":"o3","kind":"service","domain":"a","address":"127.0.0.1","port":9000})"},
        {"domain", R"({"id":"o4","kind":"engine","domain":7,"address":"127.0.0.1","port":9000})"},
        {"address", R"({"id":"o5","kind":"engine","domain":"a","address":"nowhere","port":9000})"},
        {"port", R"({"id":"o6","kind":"engine","domain":"a","address":"127.0.0.1","port":"9000"})"},
        {"port", R"({"id":"o7","kind":"engine","domain":"a","address":"127.0.0.1","port":70000})"},
        {"leaving", R"({"id":"o8","kind":"engine","domain":"a","address":"127.0.0.1","port":9000,"leaving":"yes"})"}};
    std::string all = valid;
    for (const auto &[field, entry] : odd) {
        all += "," + entry;
    }
    this->callJson(this->standin.endpoint, "POST", "/targets", "[" + all + "]");
    this->runFor(1800ms);
    const auto listed = this->run(platformTargets(*this->kv));
    REQUIRE(isOk(listed));
    REQUIRE(valueOf(listed).targets.size() == 1);
    CHECK(valueOf(listed).targets.front().id.value == "e1");
    REQUIRE(valueOf(listed).refused.size() == odd.size());
    for (const Error &error : valueOf(listed).refused) {
        CHECK(std::count_if(odd.begin(),
                            odd.end(),
                            [&error](const auto &entry) {
                                return entry.first == error.param && error.detail.find(error.param) != std::string::npos;
                            })
              > 0);
    }
}
