/** @file test_job_end.cpp Ends of jobs: what their owner does when nobody tells it. */
#include "job/job_runner_base.h"
#include "support/jobs_fixture.h"

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;

namespace {

/** A job of more items than there are slots, and a store whose stale reads do not show what happens after the job has started. */
struct JobEndFixture : JobsFixture {
    static constexpr std::chrono::milliseconds cancelLimit{3000}; ///< Limit with which the hosts of the fixture run.
    static constexpr std::size_t slots{8}; ///< Slots of both replicas.

    /** Submits job j1 at host a and waits until its items take all slots. */
    void startJob(const ReplicaPlan &plan)
    {
        this->setPlan(plan);
        REQUIRE(this->submit(*this->a, "j1", 3 * slots).status == 202);
        REQUIRE(this->runUntil([this] {
            return this->running(slots);
        }));
        this->store->faults.staleReadRevision = this->store->revision;
    }

    /** Publishes to the owner that the store is away or back. */
    void publishStoreAway(bool away)
    {
        this->a->storeAway = away;
        this->publishAll();
    }
};

} // namespace

// Guards against items that begin to run after the end of their job was confirmed by a host that was killed before it announced the end.
TEST_CASE_METHOD(JobEndFixture, "job_hostThatConfirmedItsEndIsKilled_ownerStartsNoItemAfterTheLimit")
{
    this->startJob({.events = 170, .step = 20ms});
    REQUIRE(this->end(*this->b, "j1").status == 200);
    this->b->runner.reset();
    this->b.reset();
    this->runFor(cancelLimit);
    const std::size_t started = this->startedItems();
    this->runFor(1200ms);
    CHECK(this->startedItems() == started);
}

// Guards against the end of a job that is confirmed but never announced, because the answer to its write was lost.
TEST_CASE_METHOD(JobEndFixture, "job_answerToTheWriteOfItsEndIsLost_endIsAnnouncedAtOnce")
{
    this->startJob({.events = 170, .step = 20ms});
    unsigned announced = 0;
    this->b->jobs->onJobEnded = [&announced] {
        ++announced;
    };
    this->store->faults.losesWriteAnswers = true;
    REQUIRE(this->end(*this->b, "j1").status == 200);
    this->store->faults.losesWriteAnswers = false;
    CHECK(announced == 1);
    HostStatus status;
    status.session = this->b->jobs->session;
    status.jobRevisions = jobRevisionsToAnnounce(*this->b->jobs);
    REQUIRE(status.jobRevisions.size() == 1);
    applyAnnouncedRevisions(this->a->jobs, status);
    CHECK(this->runUntil(
        [this] {
            return !this->running(1);
        },
        1000ms));
}

// Guards against batch work that stops in an outage of the store: nobody can be told of an end then, and the hosts know the items.
TEST_CASE_METHOD(JobEndFixture, "job_storeIsAway_itsItemsGoOn")
{
    this->a->runner->impl->maxRecordAge = 100ms;
    this->startJob({.events = 30, .step = 10ms});
    this->store->faults.down = true;
    this->publishStoreAway(true);
    CHECK(this->runUntil(
        [this] {
            return this->startedItems() == 3 * slots;
        },
        3s));
}

// Guards against one failed read that is taken for an outage of the store, and against a read of each job in each round while reads fail.
TEST_CASE_METHOD(JobEndFixture, "job_readOfItsRecordFails_startsNothingAndReadsSeldom")
{
    this->a->runner->impl->maxRecordAge = 100ms;
    this->startJob({.events = 30, .step = 10ms});
    this->store->faults.down = true;
    this->runFor(200ms);
    this->store->counts = {};
    const std::size_t started = this->startedItems();
    this->runFor(1000ms);
    CHECK(this->startedItems() == started);
    CHECK(this->store->counts.gets <= 5);
    this->store->faults.down = false;
    CHECK(this->runUntil(
        [this, started] {
            return this->startedItems() > started;
        },
        1000ms));
}

// Guards against reads of the store for each item: they are paid for.
TEST_CASE_METHOD(JobEndFixture, "job_itemsStartOneAfterAnother_recordIsReadOnceInItsAge")
{
    this->a->runner->impl->maxRecordAge = 400ms;
    this->startJob({.events = 10, .step = 10ms});
    this->store->counts = {};
    const TimePoint startedAt = BootClock::now();
    REQUIRE(this->results(*this->a, "j1", 3 * slots).size() == 3 * slots);
    CHECK(this->store->counts.gets <= (BootClock::now() - startedAt) / 400ms + 1);
}

// Guards against reads of the records of all waiting jobs whenever one slot is free: each of them would be the next one in its turn.
TEST_CASE_METHOD(JobEndFixture, "jobs_manyWaitForFewSlots_noMoreRecordsAreReadThanThereAreSlots")
{
    this->startJob({.events = 30, .step = 10ms});
    constexpr unsigned waiting = 40;
    for (unsigned i = 0; i < waiting; ++i) {
        REQUIRE(this->submit(*this->a, "w" + std::to_string(i), 1).status == 202);
    }
    this->a->runner->impl->maxRecordAge = 100ms;
    this->runFor(150ms);
    this->store->counts = {};
    const std::size_t before = this->startedItems();
    REQUIRE(this->runUntil([this, before] {
        return this->startedItems() >= before + slots;
    }));
    CHECK(this->store->counts.gets <= 2 * slots);
}

// Guards against an owner that reads a removed record again and again.
TEST_CASE_METHOD(JobEndFixture, "job_itsRecordIsGone_ownerDropsIt")
{
    this->a->runner->impl->maxRecordAge = 100ms;
    this->startJob({.events = 30, .step = 10ms});
    removeKey(*this->store, jobRecordKey(JobId{"j1"}));
    CHECK(this->runUntil([this] {
        return !this->a->jobs->jobs.contains(JobId{"j1"});
    }));
    CHECK(this->runUntil([this] {
        return !this->running(1);
    }));
}
