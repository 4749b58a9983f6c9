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

    static RetryInput randomInput(std::uint64_t seed)
    {
        RetryInput input;
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
        const RetryInput input = randomInput(seed);
        const RetryDecision decision = decideRetry(input);
        REQUIRE(this->violations == 0);
        if (decision == RetryDecision::GiveUp) {
            continue;
        }
        REQUIRE(input.attempts < input.maxAttempts);
        REQUIRE((input.repeatable || !input.mayHaveRun));
        REQUIRE((decision == RetryDecision::Resume) == (input.tokensDelivered > 0));
    }
}

TEST_CASE_METHOD(RetryFixture, "decideRetry_callerErrors_givesUp")
{
    RetryInput input;
    input.repeatable = true;
    for (const ErrorCode code : {ErrorCode::TargetRejected, ErrorCode::CallerGone, ErrorCode::Cancelled, ErrorCode::InvalidRequest}) {
        input.code = code;
        CHECK(decideRetry(input) == RetryDecision::GiveUp);
    }
    input.code = ErrorCode::StreamBroken;
    CHECK(decideRetry(input) == RetryDecision::Retry);
}

// Guards against a retry storm: retries are at most a tenth of the requests, plus two per second, plus the initial burst.
TEST_CASE_METHOD(RetryFixture, "tryConsumeRetry_anyLoad_staysWithinBudget")
{
    const bool passed = rc::check("retries are bounded", [](const std::vector<std::uint8_t> &steps) {
        RetryBudget budget;
        const double burst = budget.bucket.tokens;
        TimePoint now(1000s);
        creditRetryBudget(budget, now);
        unsigned requests = 1;
        unsigned retries = 0;
        for (const std::uint8_t step : steps) {
            now += std::chrono::milliseconds(step);
            creditRetryBudget(budget, now);
            ++requests;
            for (int i = 0; i < 4; ++i) {
                retries += tryConsumeRetry(budget, now) ? 1 : 0;
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
    while (tryConsumeRetry(budget, now)) {
    }
    CHECK_FALSE(tryConsumeRetry(budget, now + 100ms));
    CHECK(tryConsumeRetry(budget, now + 1s));
}
