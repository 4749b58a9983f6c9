/** @file test_retry.cpp Tests of retry decisions and the retry budget. */
#include "core/hash_func.h"
#include "core/invariant_func.h"
#include "core/table/error_table.h"
#include "policy/retry_func.h"
#include "support/property_seed.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace skylark;
using namespace std::chrono_literals;

namespace {

struct RetryFixture {
    int violations{0}; ///< Reported invariant violations.

    RetryFixture()
    {
        seedRapidCheck();
        setViolationHandler([this](Promise, std::string_view, std::string_view, int) {
            ++this->violations;
        });
    }
    ~RetryFixture()
    {
        setViolationHandler({});
    }

    static RetryQuestion randomInput(std::uint64_t seed)
    {
        RetryQuestion input;
        input.code = errorTable[nextRandom(seed) % errorTable.size()].code;
        input.mayHaveRun = nextRandom(seed) % 2 == 0;
        input.repeatable = nextRandom(seed) % 2 == 0;
        input.resumable = nextRandom(seed) % 2 == 0;
        input.tokensDelivered = static_cast<unsigned>(nextRandom(seed) % 3);
        input.attempts = static_cast<unsigned>(1 + nextRandom(seed) % 5);
        return input;
    }
};

} // namespace

// Guards against a second execution of a call that is not repeatable, and against a caller that receives the same tokens twice.
TEST_CASE_METHOD(RetryFixture, "decideRetry_anyInput_nonRepeatableSentOnlyIfNotRun")
{
    for (std::uint64_t seed = propertySeed(); seed < propertySeed() + propertyRuns(5000); ++seed) {
        INFO("seed " << seed);
        const RetryQuestion input = randomInput(seed);
        const RetryVerdict decision = mayRetry(input);
        REQUIRE(this->violations == 0);
        if (decision == RetryVerdict::GiveUp) {
            continue;
        }
        REQUIRE(input.attempts < input.maxAttempts);
        REQUIRE((input.repeatable || !input.mayHaveRun));
        REQUIRE((decision == RetryVerdict::Resume) == (input.tokensDelivered > 0));
    }
}

TEST_CASE_METHOD(RetryFixture, "decideRetry_callerErrors_givesUp")
{
    RetryQuestion input;
    input.repeatable = true;
    for (const ErrorCode code : {ErrorCode::TargetRejected, ErrorCode::CallerGone, ErrorCode::Cancelled, ErrorCode::InvalidRequest}) {
        input.code = code;
        CHECK(mayRetry(input) == RetryVerdict::GiveUp);
    }
    input.code = ErrorCode::StreamBroken;
    CHECK(mayRetry(input) == RetryVerdict::Retry);
}

// Guards against a retry storm: retries are at most a tenth of the requests, plus two per second, plus the initial burst.
TEST_CASE_METHOD(RetryFixture, "tryConsumeRetry_anyLoad_staysWithinBudget")
{
    const bool passed = rc::check("retries are bounded", [](const std::vector<std::uint8_t> &steps) {
        RetryBudget budget;
        const double burst = budget.tokens;
        TimePoint now(1000s);
        noteRequest(budget, now);
        unsigned requests = 1;
        unsigned retries = 0;
        for (const std::uint8_t step : steps) {
            now += std::chrono::milliseconds(step);
            noteRequest(budget, now);
            ++requests;
            for (int i = 0; i < 4; ++i) {
                retries += takeRetry(budget, now) ? 1 : 0;
            }
        }
        const double seconds = std::chrono::duration<double>(now - TimePoint(1000s)).count();
        RC_ASSERT(retries <= burst + requests * 0.1 + seconds * 2.0 + 1e-6);
    });
    CHECK(passed);
}

TEST_CASE_METHOD(RetryFixture, "tryConsumeRetry_idleSecond_refillsBudget")
{
    RetryBudget budget;
    const TimePoint now(1000s);
    while (takeRetry(budget, now)) {
    }
    CHECK_FALSE(takeRetry(budget, now + 100ms));
    CHECK(takeRetry(budget, now + 1s));
}
