/** @file test_store_outage.cpp Outages of the key-value service, told from single failed calls, and entries that lapsed in them, told from removed ones. */
#include "policy/store_outage_func.h"

#include <catch2/catch.hpp>

using namespace skylark;
using namespace std::chrono_literals;

namespace {

/** Answers of a service, and a clock that the test moves. */
struct StoreOutageFixture {
    StoreContact contact{.heartbeat = 1200ms};
    TimePoint now{TimePoint{} + 1000s};

    /** Moves the clock and records an answer. @return Whether it ends an outage. */
    bool answerAfter(std::chrono::milliseconds time)
    {
        this->now += time;
        return recordAnswer(this->contact, this->now);
    }
};

} // namespace

// Guards against one failed call that stands for an outage: between two answers less than two heartbeats apart no entry of a live target lapses.
TEST_CASE_METHOD(StoreOutageFixture, "isStoreAway_answersFollowOneAnother_isFalse")
{
    CHECK_FALSE(isStoreAway(this->contact, this->now));
    for (unsigned call = 0; call < 20; ++call) {
        CHECK_FALSE(this->answerAfter(2399ms));
    }
    CHECK(this->contact.returnedAt == TimePoint{});
    CHECK_FALSE(isStoreAway(this->contact, this->now + 2399ms));
}

TEST_CASE_METHOD(StoreOutageFixture, "isStoreAway_noAnswerForTwoHeartbeats_isTrueUntilTheNextOne")
{
    CHECK_FALSE(this->answerAfter(0ms));
    CHECK(isStoreAway(this->contact, this->now + 2400ms));
    CHECK(this->answerAfter(2400ms));
    CHECK(this->contact.returnedAt == this->now);
    CHECK_FALSE(isStoreAway(this->contact, this->now));
    CHECK_FALSE(this->answerAfter(100ms));
}

// Guards against removals that are taken for the work of an outage that did not happen.
TEST_CASE_METHOD(StoreOutageFixture, "mayHaveLapsed_noOutage_isFalse")
{
    this->answerAfter(0ms);
    this->answerAfter(2000ms);
    CHECK_FALSE(mayHaveLapsed(this->contact, {.writtenRevision = 5, .returnRevision = 0}, this->now, 2s));
    CHECK_FALSE(mayHaveLapsed(this->contact, {.writtenRevision = 0, .returnRevision = 0}, this->now, 2s));
}

TEST_CASE_METHOD(StoreOutageFixture, "mayHaveLapsed_afterAnOutage_dependsOnTheLastWriteAndTheGracePeriod")
{
    this->answerAfter(0ms);
    this->answerAfter(5000ms);
    const EntryRemoval silent{.writtenRevision = 90, .returnRevision = 100};
    const EntryRemoval atReturn{.writtenRevision = 100, .returnRevision = 100};
    const EntryRemoval writtenSince{.writtenRevision = 101, .returnRevision = 100};
    CHECK(mayHaveLapsed(this->contact, silent, this->now + 1999ms, 2s));
    CHECK(mayHaveLapsed(this->contact, atReturn, this->now + 1999ms, 2s));
    CHECK_FALSE(mayHaveLapsed(this->contact, silent, this->now + 2000ms, 2s));
    CHECK_FALSE(mayHaveLapsed(this->contact, writtenSince, this->now, 2s));
}
