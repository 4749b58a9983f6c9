/** @file test_retry.cpp Properties of retry decisions and the retry budget. */
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

    static RetryQuestion randomQuestion(std::uint64_t seed)
    {
        RetryQuestion question;
        question.code = errorTable[nextRandom(seed) % errorTable.size()].code;
        question.mayHaveRun = nextRandom(seed) % 2 == 0;
        question.repeatable = nextRandom(seed) % 2 == 0;
        question.resumable = nextRandom(seed) % 2 == 0;
        question.tokensDelivered = static_cast<unsigned>(nextRandom(seed) % 3);
        question.attempts = static_cast<unsigned>(1 + nextRandom(seed) % 5);
        return question;
    }
};

} // namespace

// Guards against a second execution of a call that must not be repeated, and against a caller that sees tokens twice.
TEST_CASE_METHOD(RetryFixture, "mayRetry_anyQuestion_nonRepeatableSentOnlyIfNotRun")
{
    for (std::uint64_t seed = propertySeed(); seed < propertySeed() + propertyRuns(5000); ++seed) {
        INFO("seed " << seed);
        const RetryQuestion question = randomQuestion(seed);
        const RetryVerdict verdict = mayRetry(question);
        REQUIRE(this->violations == 0);
        if (verdict == RetryVerdict::GiveUp) {
            continue;
        }
        REQUIRE(question.attempts < question.maxAttempts);
        REQUIRE((question.repeatable || !question.mayHaveRun));
        REQUIRE((verdict == RetryVerdict::Resume) == (question.tokensDelivered > 0));
    }
}

TEST_CASE_METHOD(RetryFixture, "mayRetry_callerErrors_givesUp")
{
    RetryQuestion question;
    question.repeatable = true;
    for (const ErrorCode code : {ErrorCode::TargetRejected, ErrorCode::CallerGone, ErrorCode::Cancelled, ErrorCode::InvalidRequest}) {
        question.code = code;
        CHECK(mayRetry(question) == RetryVerdict::GiveUp);
    }
    question.code = ErrorCode::StreamBroken;
    CHECK(mayRetry(question) == RetryVerdict::Retry);
}

// Guards against a retry storm: retries stay within a tenth of the requests plus two a second plus the first burst.
TEST_CASE_METHOD(RetryFixture, "takeRetry_anyLoad_staysWithinBudget")
{
    const bool held = rc::check("retries are bounded", [](const std::vector<std::uint8_t> &steps) {
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
    CHECK(held);
}

TEST_CASE_METHOD(RetryFixture, "takeRetry_quietSecond_refills")
{
    RetryBudget budget;
    const TimePoint now(1000s);
    while (takeRetry(budget, now)) {
    }
    CHECK_FALSE(takeRetry(budget, now + 100ms));
    CHECK(takeRetry(budget, now + 1s));
}
