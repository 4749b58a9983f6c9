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
    CHECK(mustReplaceWatch(WatchDoubt::ServiceReturned, this->start, returned, returned));
    CHECK_FALSE(mustReplaceWatch(WatchDoubt::ServiceReturned, returned, returned, returned));
    CHECK_FALSE(mustReplaceWatch(WatchDoubt::ServiceReturned, returned + 1ms, returned, returned + 1ms));
}

// Guards against calls that are paid for because a read was a little quicker than the watch.
TEST_CASE_METHOD(WatchTrustFixture, "mustReplaceWatch_changeWasRead_givesTheWatchTimeToReportIt")
{
    const TimePoint readAt = this->start + 2s;
    CHECK_FALSE(mustReplaceWatch(WatchDoubt::ChangeRead, this->start, readAt, readAt + reportGrace(WatchDoubt::ChangeRead) - 1ms));
    CHECK(mustReplaceWatch(WatchDoubt::ChangeRead, this->start, readAt, readAt + reportGrace(WatchDoubt::ChangeRead)));
    CHECK_FALSE(mustReplaceWatch(WatchDoubt::ChangeRead, readAt, readAt, readAt + reportGrace(WatchDoubt::ChangeRead)));
}

// The last renewal of a host follows its last status at most by the margin, so that an entry that is still listed then was not reported to be gone.
TEST_CASE_METHOD(WatchTrustFixture, "entryOverdueAt_hostFellSilent_isLaterThanItsLease")
{
    CHECK(entryOverdueAt(this->start, 3s) > this->start + 3s);
    CHECK(entryOverdueAt(this->start, 3s) <= this->start + 4s);
    CHECK(entryOverdueAt(this->start, 6s) - entryOverdueAt(this->start, 3s) == 3s);
}

TEST_CASE("watchDoubtName_allDoubts_differ", "[watch]")
{
    CHECK(watchDoubtName(WatchDoubt::ServiceReturned) != watchDoubtName(WatchDoubt::ChangeRead));
    CHECK(watchDoubtName(WatchDoubt::ChangeRead) != watchDoubtName(WatchDoubt::EntryOverdue));
}
