/** @file test_once.cpp Tests of the records of calls with an idempotency key. */
#include "core/hash_func.h"
#include "core/invariant_func.h"
#include "policy/idempotency_func.h"
#include "support/property_seed.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace skylark;

namespace {

/** Simulated key-value service with one key, and hosts that handle copies of one call in any interleaving. */
struct IdempotencyFixture {
    /** One copy of the call at one host. */
    struct Copy {
        int step{0}; ///< 0: not begun; 1: record created; 2: sent; 3: finished.
        std::string body; ///< Request body.
    };

    std::optional<std::string> stored; ///< Value of the key; empty while it does not exist.
    int runs{0}; ///< Executions at the called service.

    IdempotencyFixture()
    {
        seedRapidCheck();
    }

    /** Executes the next step of @p copy. @param crash Whether the host crashes during this step. */
    void advance(Copy &copy, bool crash)
    {
        if (copy.step == 0) {
            this->begin(copy);
        } else if (copy.step == 1) {
            this->runs += crash ? 0 : 1;
            copy.step = crash ? 3 : 2;
        } else if (copy.step == 2) {
            if (!crash) {
                const auto started = idempotencyRecordFromJson(*this->stored);
                this->stored = idempotencyRecordToJson(completeIdempotencyRecord(valueOf(started), 200, "text/plain", "answer", WriteId{"w2"}));
            }
            copy.step = 3;
        }
    }

    void begin(Copy &copy)
    {
        const std::string hash = idempotencyRequestHash("POST", "/order", copy.body);
        if (this->stored) {
            const auto existing = idempotencyRecordFromJson(*this->stored);
            REQUIRE(isOk(existing));
            REQUIRE(decideOnExistingRecord(valueOf(existing), hash) != IdempotencyDecision::Execute);
            copy.step = 3;
            return;
        }
        IdempotencyRecord record;
        record.requestHash = hash;
        record.writeId.value = "w1";
        this->stored = idempotencyRecordToJson(record);
        copy.step = 1;
    }
};

} // namespace

// Guards against two executions of a call with one idempotency key, under any interleaving of resent calls and host crashes.
TEST_CASE_METHOD(IdempotencyFixture, "idempotencyRecord_resentCalls_runAtMostOnce")
{
    for (std::uint64_t seed = propertySeed(); seed < propertySeed() + propertyRuns(3000); ++seed) {
        INFO("seed " << seed);
        std::uint64_t state = seed;
        this->stored.reset();
        this->runs = 0;
        std::vector<Copy> copies(4);
        for (Copy &copy : copies) {
            copy.body = nextRandom(state) % 4 == 0 ? "other" : "same";
        }
        for (int i = 0; i < 40; ++i) {
            this->advance(copies[nextRandom(state) % copies.size()], nextRandom(state) % 5 == 0);
        }
        REQUIRE(this->runs <= 1);
    }
}

TEST_CASE_METHOD(IdempotencyFixture, "decideOnExistingRecord_recordStates_expectedDecision")
{
    IdempotencyRecord record;
    record.requestHash = "h";
    CHECK(decideOnExistingRecord(record, "h") == IdempotencyDecision::InProgress);
    CHECK(decideOnExistingRecord(record, "x") == IdempotencyDecision::Conflict);
    const IdempotencyRecord done = completeIdempotencyRecord(record, 201, "text/plain", "made", WriteId{"w"});
    CHECK(decideOnExistingRecord(done, "h") == IdempotencyDecision::Replay);
    CHECK(decideOnExistingRecord(done, "x") == IdempotencyDecision::Conflict);
    const IdempotencyRecord large = completeIdempotencyRecord(record, 200, "text/plain", std::string(maxRecordedBodyBytes + 1, 'x'), WriteId{"w"});
    CHECK(decideOnExistingRecord(large, "h") == IdempotencyDecision::InProgress);
    CHECK(large.responseBody.empty());
}

// Guards against a workspace's outage policy that overrides the existing record of another call.
TEST_CASE_METHOD(IdempotencyFixture, "decideOnRecordCreation_failures_followWorkspacePolicy")
{
    CHECK(decideOnRecordCreation({}, RecordUnavailable::Refuse) == IdempotencyDecision::Execute);
    for (const ErrorCode code : {ErrorCode::PlatformUnavailable, ErrorCode::RateLimited, ErrorCode::OutcomeUnknown}) {
        CHECK(decideOnRecordCreation(code, RecordUnavailable::Refuse) == IdempotencyDecision::Refuse);
        CHECK(decideOnRecordCreation(code, RecordUnavailable::Pass) == IdempotencyDecision::ExecuteUnrecorded);
    }
    CHECK(decideOnRecordCreation(ErrorCode::VersionConflict, RecordUnavailable::Pass) == IdempotencyDecision::InProgress);
}

TEST_CASE_METHOD(IdempotencyFixture, "idempotencyRecordJson_anyRecord_roundTrips")
{
    const bool passed = rc::check("round trip", [](const std::string &hash, bool done, std::uint8_t status) {
        IdempotencyRecord record;
        record.requestHash = hash128Hex(hash);
        record.writeId.value = "w";
        record.host.value = "h1";
        if (done) {
            record = completeIdempotencyRecord(record, status, "text/plain", "body \"quoted\"\n", WriteId{"w2"});
        }
        const auto parsed = idempotencyRecordFromJson(idempotencyRecordToJson(record));
        RC_ASSERT(isOk(parsed));
        RC_ASSERT(idempotencyRecordToJson(valueOf(parsed)) == idempotencyRecordToJson(record));
    });
    CHECK(passed);
    CHECK_FALSE(isOk(idempotencyRecordFromJson("[]")));
}
