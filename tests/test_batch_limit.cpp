/** @file test_batch_limit.cpp Tests of the limit of batch streams on a target. */
#include "policy/batch_limit_func.h"
#include "support/property_func.h"

using namespace skylark;
using namespace std::chrono_literals;

namespace {

struct LimitFixture {
    BatchLimitState state; ///< Kept between reports.
    BatchLimitInput input; ///< Input with the next report.

    LimitFixture()
    {
        this->input.slots = 16;
        this->input.reportFresh = true;
        this->input.tailWeight = 0.3;
    }

    /** Delivers the next report and returns the limit. */
    unsigned report()
    {
        ++this->input.reportSequence;
        const BatchLimit limit = decideBatchLimit(this->state, this->input);
        this->state = limit.state;
        return limit.streams;
    }
};

} // namespace

TEST_CASE_METHOD(LimitFixture, "decideBatchLimit_idleTarget_allSlots")
{
    CHECK(this->report() == 16);
}

TEST_CASE_METHOD(LimitFixture, "decideBatchLimit_onlineHereAndElsewhere_isSubtracted")
{
    this->input.ownOnline = 3;
    this->input.onlineElsewhere = 4;
    CHECK(this->report() == 9);
}

TEST_CASE_METHOD(LimitFixture, "decideBatchLimit_onlineWeighsMore_keepsOneSlotFree")
{
    this->input.tailWeight = 1.0;
    CHECK(this->report() == 15);
    this->input.onlinePeak = 3.2;
    this->input.onlineMean = 1.0;
    CHECK(this->report() == 13);
}

// Guards against batch keeping its slots while online requests wait in the engine.
TEST_CASE_METHOD(LimitFixture, "decideBatchLimit_requestsWait_halvesThenRecovers")
{
    CHECK(this->report() == 16);
    this->input.ownBatch = 16;
    this->input.running = 16;
    this->input.ownAtReport = 16;
    this->input.waiting = 2;
    CHECK(this->report() == 8);
    this->input.ownBatch = 8;
    this->input.waiting = 0;
    this->input.running = 8;
    this->input.ownAtReport = 8;
    CHECK(this->report() == 10);
    CHECK(this->report() == 12);
}

// Guards against one report lowering the limit each time the limit is computed, until the next report arrives.
TEST_CASE_METHOD(LimitFixture, "decideBatchLimit_sameReportTwice_changesOnce")
{
    this->input.ownBatch = 16;
    this->input.waiting = 2;
    this->input.ownAtReport = 18;
    const unsigned first = this->report();
    const BatchLimit again = decideBatchLimit(this->state, this->input);
    CHECK(again.streams == first);
}

TEST_CASE_METHOD(LimitFixture, "decideBatchLimit_slowFirstToken_halves")
{
    this->input.firstTokenMs = 100;
    this->input.ownOnline = 1;
    CHECK(this->report() == 15);
    this->input.ownBatch = 14;
    this->input.ownAtReport = 15;
    this->input.firstTokenMs = 109;
    CHECK(this->report() == 15);
    this->input.firstTokenMs = 112;
    CHECK(this->report() == 7);
}

// Guards against a target being filled twice when two hosts both consider themselves its batch owner.
TEST_CASE_METHOD(LimitFixture, "decideBatchLimit_unattributedStreamsInTwoReports_areSubtracted")
{
    this->input.running = 10;
    this->input.ownAtReport = 2;
    this->input.ownBatch = 2;
    CHECK(this->report() == 16);
    CHECK(this->report() == 8);
}

TEST_CASE_METHOD(LimitFixture, "decideBatchLimit_staleReport_startsNothingNew")
{
    this->input.ownBatch = 5;
    this->input.reportFresh = false;
    CHECK(this->report() == 5);
}

TEST_CASE("effectiveTailWeight_withinShopHours_isOne")
{
    BatchPolicy policy;
    policy.tailWeight = 0.2;
    policy.shopHours = {8 * 60, 18 * 60};
    CHECK(effectiveTailWeight(policy, UnixTime(10h)) == 1.0);
    CHECK(effectiveTailWeight(policy, UnixTime(18h)) == 0.2);
    policy.shopHours = {22 * 60, 2 * 60};
    CHECK(effectiveTailWeight(policy, UnixTime(23h)) == 1.0);
    CHECK(effectiveTailWeight(policy, UnixTime(1h)) == 1.0);
    CHECK(effectiveTailWeight(policy, UnixTime(12h)) == 0.2);
    policy.shopHours = {0, 0};
    CHECK(effectiveTailWeight(policy, UnixTime(0h)) == 0.2);
}

TEST_CASE("decideBatchLimit_anyReports_neverExceedsFreeSlots")
{
    CHECK(propertyHolds({.name = "limit within the free slots", .cases = 500}, [] {
        BatchLimitState state;
        BatchLimitInput input;
        input.slots = *rc::gen::inRange(0U, 64U);
        for (int step = 0; step < 30; ++step) {
            input.reportSequence += *rc::gen::inRange(0U, 2U);
            input.running = *rc::gen::inRange(0U, 70U);
            input.waiting = *rc::gen::inRange(0U, 3U);
            input.reportFresh = *rc::gen::inRange(0, 5) > 0;
            input.ownOnline = *rc::gen::inRange(0U, 20U);
            input.ownBatch = *rc::gen::inRange(0U, 64U);
            input.ownAtReport = *rc::gen::inRange(0U, 70U);
            input.onlineElsewhere = *rc::gen::inRange(0U, 20U);
            input.onlineMean = *rc::gen::inRange(0, 20);
            input.onlinePeak = input.onlineMean + *rc::gen::inRange(0, 8);
            input.firstTokenMs = *rc::gen::inRange(0, 300);
            input.tailWeight = *rc::gen::inRange(0, 11) / 10.0;
            const BatchLimit limit = decideBatchLimit(state, input);
            const unsigned online = input.ownOnline + input.onlineElsewhere;
            RC_ASSERT((limit.streams == 0U || limit.streams + online + limit.headroom <= input.slots));
            RC_ASSERT((input.tailWeight <= 0.5 || limit.headroom >= 1U));
            RC_ASSERT((input.reportFresh || limit.streams <= input.ownBatch));
            const bool harmed = input.reportSequence != state.reportSequence && input.waiting > 0 && input.ownBatch > 0;
            RC_ASSERT((!harmed || limit.streams <= input.ownBatch / 2));
            state = limit.state;
        }
    }));
}

// Guards against slots staying idle after a burst of online requests because the batch limit recovers too slowly.
TEST_CASE("decideBatchLimit_quietTarget_recoversWithinEightReports")
{
    CHECK(propertyHolds({.name = "recovery", .cases = 500}, [] {
        BatchLimitState state;
        state.adaptiveLimit = 0;
        BatchLimitInput input;
        input.slots = *rc::gen::inRange(1U, 64U);
        input.reportFresh = true;
        input.tailWeight = 0;
        unsigned limit = 0;
        for (int step = 0; step < 8; ++step) {
            ++input.reportSequence;
            input.ownBatch = limit;
            input.running = limit;
            input.ownAtReport = limit;
            const BatchLimit next = decideBatchLimit(state, input);
            state = next.state;
            limit = next.streams;
        }
        RC_ASSERT(limit == input.slots);
    }));
}
