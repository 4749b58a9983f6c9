/** @file test_watch_trust.cpp Decides when a call that waits for changes is replaced. */
#include "policy/watch_trust_func.h"

#include <catch2/catch.hpp>

using namespace skylark;
using namespace std::chrono_literals;

namespace {

struct WatchTrustFixture {
    TimePoint start{TimePoint{} + 1h};
    ServiceTrust trust;
};

} // namespace

TEST_CASE_METHOD(WatchTrustFixture, "recordServedCall_noCallWasLost_leavesTheWatches")
{
    CHECK_FALSE(recordServedCall(this->trust, this->start));
    CHECK_FALSE(recordServedCall(this->trust, this->start + 1s));
}

// Guards against a watch that waits for its whole limit although other calls of the same host have failed and succeed again (review/6, review/7).
TEST_CASE_METHOD(WatchTrustFixture, "recordServedCall_firstAnswerAfterLostCalls_doubtsTheWatchesOnce")
{
    recordLostCall(this->trust, this->start);
    recordLostCall(this->trust, this->start + 1s);
    CHECK(recordServedCall(this->trust, this->start + 2s));
    CHECK_FALSE(recordServedCall(this->trust, this->start + 3s));
}

// Guards against calls that are paid for without news: a call that was sent in the silence ends after the service has returned.
TEST_CASE_METHOD(WatchTrustFixture, "recordLostCall_sentBeforeTheServiceReturned_doubtsNothing")
{
    recordLostCall(this->trust, this->start);
    REQUIRE(recordServedCall(this->trust, this->start + 2s));
    recordLostCall(this->trust, this->start + 1s);
    CHECK_FALSE(recordServedCall(this->trust, this->start + 3s));
    recordLostCall(this->trust, this->start + 4s);
    CHECK(recordServedCall(this->trust, this->start + 5s));
}

TEST_CASE_METHOD(WatchTrustFixture, "mustReplaceWatch_serviceReturned_concernsWatchesThatWereSentBefore")
{
    const TimePoint returned = this->start + 2s;
    CHECK(mustReplaceWatch(this->start, returned));
    CHECK_FALSE(mustReplaceWatch(returned, returned));
    CHECK_FALSE(mustReplaceWatch(returned + 1ms, returned));
}
