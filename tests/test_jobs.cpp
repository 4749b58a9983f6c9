/** @file test_jobs.cpp Batch jobs on two hosts: acceptance, results, end, loss of the owner, and failing items. */
#include "job/job_peer_func.h"
#include "job/job_record_func.h"
#include "job/job_runner_base.h"
#include "support/jobs_fixture.h"

#include <boost/asio/detached.hpp>
#include <kj/encoding.h>

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

TEST_CASE_METHOD(JobsFixture, "job_submitted_isRunOnceAndReadableAtEveryHost")
{
    CHECK(this->submit(*this->a, "j1", 6).status == 202);
    for (EntryTestHost *host : {this->b.get(), this->a.get()}) {
        const auto read = this->results(*host, "j1", 6);
        REQUIRE(read.size() == 6);
        std::set<std::string> seen;
        for (const auto &entry : read) {
            const std::string id(entry.at("id").get_string());
            CHECK(seen.insert(id).second);
            CHECK(entry.at("state") == "completed");
            CHECK(std::string(entry.at("text").get_string()) == wholeText(id, 10));
        }
    }
    CHECK(this->runsOf("j1-0") == 1);
    CHECK(this->page(*this->a, "j1", 6).at("next") == 6);
    CHECK(this->page(*this->b, "j1", 4).at("results").get_array().size() == 2);
}

TEST_CASE_METHOD(JobsFixture, "job_positions_areTheSameAtEveryHostAndAtEveryRead")
{
    this->submit(*this->a, "j1", 8);
    const auto once = this->results(*this->a, "j1", 8);
    CHECK(this->results(*this->b, "j1", 8) == once);
    CHECK(this->results(*this->a, "j1", 8) == once);
}

TEST_CASE_METHOD(JobsFixture, "job_resubmittedAtAnotherHost_isAcceptedOnce")
{
    CHECK(this->submit(*this->a, "j1", 3).status == 202);
    CHECK(this->submit(*this->b, "j1", 3).status == 202);
    CHECK(this->submit(*this->a, "j1", 3).status == 202);
    CHECK(this->results(*this->b, "j1", 3).size() == 3);
    this->runFor(200ms);
    CHECK(this->runsOf("j1-1") == 1);
    SECTION("other content under the same identifier is refused")
    {
        CHECK(this->submit(*this->b, "j1", 4).status == 409);
    }
}

TEST_CASE_METHOD(JobsFixture, "job_malformedItem_isRefusedWithTheItemNamed")
{
    HttpRequest request = EntryTestHost::request("j1", "/batch/j1");
    request.body = R"({"items":[{"id":"ok","path":"/batch/1","body":"","tokens":1},{"id":"","path":"/batch/2"}]})";
    const HttpResponse answer = this->a->send(std::move(request));
    CHECK(answer.status == 400);
    CHECK(answer.body.find("items[1]") != std::string::npos);
    CHECK(this->get(*this->b, "/-/lots/j1").status == 404);
    CHECK(this->runsOf("ok") == 0);
}

// Guards against a refusal that says the job does not run although it does: a write whose answer is lost may have taken effect.
TEST_CASE_METHOD(JobsFixture, "job_storeAnswerLost_isAcceptedAndNotRunTwice")
{
    this->store->faults.losesWriteAnswers = true;
    const HttpResponse answer = this->submit(*this->a, "j1", 2);
    CHECK(answer.status == 202);
    this->store->faults.losesWriteAnswers = false;
    CHECK(this->results(*this->b, "j1", 2).size() == 2);
    CHECK(this->runsOf("j1-0") == 1);
}

TEST_CASE_METHOD(JobsFixture, "job_writeTakesEffectLate_isNotReportedAsRefused")
{
    this->store->faults.writeDelay = 1500ms;
    const int status = this->submit(*this->a, "j1", 2).status;
    CHECK(status != 429);
    CHECK(status != 503);
    this->store->faults.writeDelay = 0ms;
    REQUIRE(this->runUntil([this] {
        return this->b->jobs->jobs.contains(JobId{"j1"});
    }));
    CHECK(this->results(*this->b, "j1", 2).size() == 2);
}

TEST_CASE_METHOD(JobsFixture, "job_storeDown_isRefusedAndNotRun")
{
    this->store->faults.down = true;
    const HttpResponse answer = this->submit(*this->a, "j1", 2);
    CHECK(answer.status == 503);
    CHECK_FALSE(headerValue(answer.headers, "Retry-After").empty());
    this->store->faults.down = false;
    this->runFor(500ms);
    CHECK(this->runsOf("j1-0") == 0);
}

TEST_CASE_METHOD(JobsFixture, "job_overTheLimitOfTheRoute_isRefusedUntilItemsAreDone")
{
    this->routeNamed("batch").maxWaitingTokens = 1000;
    this->publishAll();
    this->setPlan({.events = 40, .step = 10ms});
    CHECK(this->submit(*this->a, "j1", 4, 150).status == 202);
    CHECK(this->submit(*this->b, "j2", 4, 150).status == 429);
    CHECK(this->submit(*this->b, "j1", 4, 150).status == 202);
    CHECK(this->results(*this->a, "j1", 4).size() == 4);
    CHECK(this->submit(*this->b, "j2", 4, 150).status == 202);
}

// Guards against exceeding the token limit: two hosts that accept a job at the same time each know only of their own.
TEST_CASE_METHOD(JobsFixture, "job_twoHostsAcceptAtOnce_limitHolds")
{
    this->routeNamed("batch").maxWaitingTokens = 1000;
    this->publishAll();
    this->setPlan({.events = 2000, .step = 10ms});
    int accepted = 0;
    unsigned answered = 0;
    const auto send = [&](EntryTestHost &host, std::string job) -> boost::asio::awaitable<void> {
        HttpRequest request = EntryTestHost::request(job, "/batch/" + job);
        request.body = bodyOf(job, 6, 100);
        auto answer = co_await httpCall(this->http, host.endpoint, std::move(request), {}, ConnectionUse::Fresh);
        accepted += isOk(answer) && valueOf(answer).status == 202 ? 1 : 0;
        ++answered;
    };
    boost::asio::co_spawn(this->loop, send(*this->a, "j1"), boost::asio::detached);
    boost::asio::co_spawn(this->loop, send(*this->b, "j2"), boost::asio::detached);
    REQUIRE(this->runUntil([&] {
        return answered == 2;
    }));
    CHECK(accepted == 1);
}

TEST_CASE_METHOD(JobsFixture, "job_ended_itsItemsStop")
{
    this->setPlan({.events = 2000, .step = 5ms});
    this->submit(*this->a, "j1", 4);
    REQUIRE(this->runUntil([this] {
        return this->running(4);
    }));
    CHECK(this->end(*this->b, "j1").status == 200);
    CHECK(this->end(*this->a, "j1").status == 200);
    CHECK(this->runUntil([this] {
        return this->first.active + this->second.active == 0;
    }));
    CHECK(this->end(*this->a, "unknown").status == 404);
}

TEST_CASE_METHOD(JobsFixture, "job_itemBodyAndUnknownIdentifiers_areAnswered")
{
    this->setPlan({.events = 2000, .step = 5ms});
    this->submit(*this->a, "j1", 2);
    const HttpResponse body = this->get(*this->b, "/-/items/j1?id=j1-1");
    CHECK(body.status == 200);
    CHECK(body.body == "qwert");
    CHECK(this->get(*this->b, "/-/items/j1?id=other").status == 404);
    CHECK(this->get(*this->b, "/-/lots/none").status == 404);
    this->store->faults.down = true;
    CHECK(this->get(*this->b, "/-/lots/none").status == 503);
}

// Guards against a read that goes back: a host whose watch of the store received nothing answered "no result" for a position that had
// already been read at another host (hunt-758c-35).
TEST_CASE_METHOD(JobsFixture, "job_watchReceivesNothing_readerStillGetsTheResults")
{
    this->setPlan({.events = 20, .step = 20ms});
    this->submit(*this->a, "j1", 2);
    REQUIRE(this->runUntil([this] {
        return this->b->jobs->jobs.contains(JobId{"j1"});
    }));
    this->store->faults.hidesChanges = true;
    CHECK(this->results(*this->a, "j1", 2).size() == 2);
    CHECK(this->page(*this->b, "j1", 0, 1000ms).at("results").get_array().size() == 2);
}

TEST_CASE_METHOD(JobsFixture, "item_streamBroken_resumesAfterTheLastEvent")
{
    for (Replica *replica : {&this->first, &this->second}) {
        replica->plan = [](const HttpRequest &request, unsigned /*number*/) {
            const bool resumed = !headerValue(request.headers, platform::headerLastEvent).empty();
            return resumed ? ReplicaPlan{} : ReplicaPlan{.breakAfter = 4, .breakInsideEvent = true};
        };
    }
    this->submit(*this->a, "j1", 2);
    const auto read = this->results(*this->a, "j1", 2);
    REQUIRE(read.size() == 2);
    for (const auto &entry : read) {
        CHECK(std::string(entry.at("text").get_string()) == wholeText(std::string(entry.at("id").get_string()), 10));
    }
    CHECK(this->runsOf("j1-0") == 2);
}

TEST_CASE_METHOD(JobsFixture, "item_alwaysFailsOrIsRejected_endsAsFailedAfterBoundedRuns")
{
    for (Replica *replica : {&this->first, &this->second}) {
        replica->plan = [](const HttpRequest &request, unsigned /*number*/) {
            const std::string id(headerValue(request.headers, platform::headerRequestId));
            return id == "j1-0" ? ReplicaPlan{.status = 500} : id == "j1-1" ? ReplicaPlan{.status = 422} : ReplicaPlan{};
        };
    }
    this->submit(*this->a, "j1", 3);
    const auto read = this->results(*this->a, "j1", 3);
    REQUIRE(read.size() == 3);
    std::map<std::string, std::string> states;
    for (const auto &entry : read) {
        states[std::string(entry.at("id").get_string())] = std::string(entry.at("state").get_string());
    }
    CHECK(states["j1-0"] == "dead_letter");
    CHECK(states["j1-1"] == "dead_letter");
    CHECK(states["j1-2"] == "completed");
    CHECK(this->runsOf("j1-0") == 2);
    CHECK(this->runsOf("j1-1") == 1);
}

// Guards against an item that is given up because targets crashed while it ran on them.
TEST_CASE_METHOD(JobsFixture, "item_moreTargetsCrashThanAttemptsAreAllowed_isCompletedAtTheNextOne")
{
    constexpr unsigned crashes = 5;
    const auto seen = std::make_shared<unsigned>(0);
    for (Replica *replica : {&this->first, &this->second}) {
        replica->plan = [seen](const HttpRequest & /*request*/, unsigned /*number*/) {
            return (*seen)++ < crashes ? ReplicaPlan{.crashesAtBegin = true} : ReplicaPlan{};
        };
    }
    REQUIRE(this->routeNamed("batch").maxAttempts < crashes);
    this->submit(*this->a, "j1", 1);
    const auto read = this->results(*this->a, "j1", 1, 20s);
    REQUIRE(read.size() == 1);
    CHECK(read[0].at("state") == "completed");
    CHECK(std::string(read[0].at("text").get_string()) == wholeText("j1-0", 10));
    CHECK(this->first.crashes + this->second.crashes == crashes);
}

TEST_CASE_METHOD(JobsFixture, "item_refusedOrAnsweredWithWrongId_isNotCountedAsFailed")
{
    const auto seen = std::make_shared<unsigned>(0);
    for (Replica *replica : {&this->first, &this->second}) {
        replica->plan = [seen](const HttpRequest & /*request*/, unsigned /*number*/) {
            const unsigned number = (*seen)++;
            return number < 4 ? ReplicaPlan{.status = 503} : number < 8 ? ReplicaPlan{.wrongId = true} : ReplicaPlan{};
        };
    }
    this->submit(*this->a, "j1", 1);
    const auto read = this->results(*this->a, "j1", 1, 20s);
    REQUIRE(read.size() == 1);
    CHECK(read[0].at("state") == "completed");
}

TEST_CASE_METHOD(JobsFixture, "item_retentionOver_isFailed")
{
    this->routeNamed("batch").retention = 500ms;
    this->publishAll();
    this->setPlan({.events = 2000, .step = 20ms});
    this->submit(*this->a, "j1", 2);
    const auto read = this->results(*this->a, "j1", 2);
    REQUIRE(read.size() == 2);
    CHECK(read[0].at("state") == "dead_letter");
}

// Guards against batch items that exceed a target's slots, keep them when online requests arrive, or lose output when they are cancelled.
TEST_CASE_METHOD(JobsFixture, "items_onlineRequestsArrive_freeTheirSlotsAndResumeLater")
{
    this->setPlan({.events = 60, .step = 10ms});
    this->submit(*this->a, "j1", 12);
    REQUIRE(this->runUntil([this] {
        return this->running(6);
    }));
    CHECK(this->first.mostActive <= 4);
    CHECK(this->second.mostActive <= 4);
    {
        std::vector<std::unique_ptr<InFlightGuard>> online;
        for (unsigned i = 0; i < 4; ++i) {
            online.push_back(std::make_unique<InFlightGuard>(loadTrackerOf(this->a->proxy), TargetId{"i-1"}, false));
        }
        yieldToOnline(*this->a->runner);
        CHECK(this->runUntil([this] {
            return this->first.active == 0;
        }));
        this->runFor(100ms);
        CHECK(this->first.active == 0);
    }
    const auto read = this->results(*this->a, "j1", 12, 20s);
    REQUIRE(read.size() == 12);
    for (const auto &entry : read) {
        CHECK(std::string(entry.at("text").get_string()) == wholeText(std::string(entry.at("id").get_string()), 60));
    }
}

// Guards against lost output when the owner of a job dies: another host must resume from the stored checkpoints.
TEST_CASE_METHOD(JobsFixture, "job_ownerGone_anotherHostResumesFromCheckpoints")
{
    this->setPlan({.events = 400, .step = 10ms});
    this->submit(*this->a, "j1", 3);
    this->checkTakeoverAfterOwnerLoss();
}

// Guards against skipped checkpoints: a host that already holds the items of a job, because a caller asked for a body there, must still load
// the stored checkpoints when it claims the job.
TEST_CASE_METHOD(JobsFixture, "job_ownerGoneAndItemsHeld_anotherHostResumesFromCheckpoints")
{
    this->setPlan({.events = 400, .step = 10ms});
    this->submit(*this->a, "j1", 3);
    REQUIRE(this->get(*this->b, "/-/items/j1?id=j1-0").status == 200);
    this->checkTakeoverAfterOwnerLoss();
}

TEST_CASE_METHOD(JobsFixture, "job_hostStops_handsOverItsJobs")
{
    this->setPlan({.events = 300, .step = 10ms});
    this->submit(*this->a, "j1", 3);
    REQUIRE(this->runUntil([this] {
        return this->running(3);
    }));
    this->runFor(300ms);
    auto handOver = [this]() -> boost::asio::awaitable<bool> {
        co_await releaseJobs(*this->a->runner);
        co_return true;
    };
    CHECK(this->run(handOver()));
    CHECK(this->runUntil([this] {
        const auto known = this->b->jobs->jobs.find(JobId{"j1"});
        return known != this->b->jobs->jobs.end() && known->second.record.owner == this->b->jobs->session;
    }));
    CHECK(this->results(*this->b, "j1", 3, 20s).size() == 3);
}

// Guards against results of a stale owner: a host that was paused while another one claimed its job must not store results when it resumes.
TEST_CASE_METHOD(JobsFixture, "job_formerOwner_cannotStoreResults")
{
    this->setPlan({.events = 2000, .step = 10ms});
    this->submit(*this->a, "j1", 2);
    REQUIRE(this->runUntil([this] {
        return this->b->jobs->jobs.contains(JobId{"j1"});
    }));
    CHECK(this->run(claimJob(this->b->jobs, JobId{"j1"})));
    std::map<std::uint32_t, JobResult> finished;
    finished[0] = {"j1-0", ItemState::Completed, "stale"};
    const auto committed = this->run(commitResults(this->a->jobs, JobId{"j1"}, finished, {}));
    REQUIRE_FALSE(isOk(committed));
    CHECK(errorOf(committed).code == ErrorCode::LeaseExpired);
    CHECK(this->page(*this->b, "j1").at("results").get_array().empty());
}

TEST_CASE_METHOD(JobsFixture, "commitResults_answerLost_isNotListedTwice")
{
    this->setPlan({.events = 2000, .step = 10ms});
    this->submit(*this->a, "j1", 2);
    this->store->faults.losesWriteAnswers = true;
    std::map<std::uint32_t, JobResult> finished;
    finished[1] = {"j1-1", ItemState::Completed, "text"};
    const auto committed = this->run(commitResults(this->a->jobs, JobId{"j1"}, finished, {}));
    CHECK(isOk(committed));
    this->store->faults.losesWriteAnswers = false;
    const auto read = this->page(*this->b, "j1").at("results").get_array();
    REQUIRE(read.size() == 1);
    CHECK(read[0].at("id") == "j1-1");
}

// Guards against late reads: when the owner announces a newer revision, a reader at another host must read the record at once.
TEST_CASE_METHOD(JobsFixture, "job_ownerAnnouncesNewRevision_readerElsewhereDoesNotWait")
{
    this->setPlan({.events = 30, .step = 10ms});
    this->submit(*this->a, "j1", 2);
    REQUIRE(this->runUntil([this] {
        return this->b->jobs->jobs.contains(JobId{"j1"});
    }));
    REQUIRE(this->results(*this->a, "j1", 2).size() == 2);
    this->store->faults.staleReadRevision = 1; // The periodic check of the mirror sees only the state before all writes.
    HostStatus status;
    status.session = this->a->jobs->session;
    status.jobRevisions = jobRevisionsToAnnounce(*this->a->jobs);
    REQUIRE(status.jobRevisions.size() == 1);
    applyAnnouncedRevisions(this->b->jobs, status);
    CHECK(this->page(*this->b, "j1", 0, 0ms).at("results").get_array().size() == 2);
}

// Guards against items that keep running after the end of their job: an end accepted by another host must reach the owner by announcement.
TEST_CASE_METHOD(JobsFixture, "job_endAnnouncedToOwner_itsItemsStop")
{
    this->setPlan({.events = 2000, .step = 5ms});
    this->submit(*this->a, "j1", 2);
    REQUIRE(this->runUntil([this] {
        return this->running(2);
    }));
    this->store->faults.staleReadRevision = this->store->revision;
    REQUIRE(this->end(*this->b, "j1").status == 200);
    HostStatus status;
    status.session = this->b->jobs->session;
    status.jobRevisions = jobRevisionsToAnnounce(*this->b->jobs);
    applyAnnouncedRevisions(this->a->jobs, status);
    // The owner's next checkpoint, 2 s after the last at the earliest, would find the end as well; the bound excludes it.
    CHECK(this->runUntil(
        [this] {
            return this->first.active + this->second.active == 0;
        },
        1500ms));
}

TEST_CASE_METHOD(JobsFixture, "isCurrent_revisionNotAnnouncedByOwner_isFalse")
{
    this->setPlan({.events = 2000, .step = 5ms});
    this->submit(*this->a, "j1", 2);
    REQUIRE(this->runUntil([this] {
        return this->b->jobs->jobs.contains(JobId{"j1"});
    }));
    const KnownJob &known = this->b->jobs->jobs.at(JobId{"j1"});
    CHECK_FALSE(isCurrent(*this->b->jobs, known));
    HostStatus status;
    status.session = this->a->jobs->session;
    status.jobRevisions = {{JobId{"j1"}, known.revision}};
    applyAnnouncedRevisions(this->b->jobs, status);
    CHECK(isCurrent(*this->b->jobs, known));
    status.jobRevisions = {{JobId{"j1"}, known.revision + 1}};
    applyAnnouncedRevisions(this->b->jobs, status);
    CHECK_FALSE(isCurrent(*this->b->jobs, known));
}

// Guards against records and results that stay in the store forever when the owner of a closed job is gone.
TEST_CASE_METHOD(JobsFixture, "job_closedAndItsOwnerGone_isRemovedByAnotherHost")
{
    this->submit(*this->a, "j1", 40);
    REQUIRE(this->results(*this->b, "j1", 40, 20s).size() == 40);
    this->a->runner.reset();
    this->a.reset();
    this->publishAll();
    this->b->runner->impl->closedRetention = 0ms;
    this->b->runner->impl->closedReadTime = 0ms;
    CHECK(this->runUntil([this] {
        return std::none_of(this->store->items.begin(), this->store->items.end(), [](const auto &entry) {
            return entry.first.find("j1") != std::string::npos;
        });
    }));
}

// Guards against reads of the store for each read of a job at a host that does not run it: callers read twice a second, at a random host each time.
TEST_CASE_METHOD(JobsFixture, "readJob_ownerAnnounced_isReadAtTheOwner")
{
    this->setPlan({.events = 30, .step = 10ms});
    this->b->jobs->mirror->options.pollInterval = 60s;
    this->b->jobs->readFromHost = [this](HostId host, JobId job, std::uint64_t after) -> boost::asio::awaitable<Result<std::string>> {
        CHECK(host.value == "front-1");
        co_return *encodeOwnedJob(*this->a->jobs, job, after);
    };
    this->submit(*this->a, "j1", 3);
    REQUIRE(this->results(*this->a, "j1", 3).size() == 3);
    HostStatus status;
    status.host.value = "front-1";
    status.session = this->a->jobs->session;
    status.jobRevisions = jobRevisionsToAnnounce(*this->a->jobs);
    applyAnnouncedRevisions(this->b->jobs, status);
    this->store->counts = {};
    const auto read = this->page(*this->b, "j1").at("results").get_array();
    CHECK(read == this->page(*this->a, "j1").at("results").get_array());
    CHECK(read.size() == 3);
    CHECK(this->store->counts.gets + this->store->counts.ranges == 0);
}

// Guards against answers from a host that does not know yet that another one has changed the job.
TEST_CASE_METHOD(JobsFixture, "readJob_ownerBehindAnAnnouncedRevision_isReadInTheStore")
{
    this->setPlan({.events = 2000, .step = 5ms});
    this->submit(*this->a, "j1", 2);
    const std::string old = *encodeOwnedJob(*this->a->jobs, JobId{"j1"}, 0);
    REQUIRE(this->end(*this->a, "j1").status == 200);
    this->b->jobs->readFromHost = [old](HostId /*host*/, JobId /*job*/, std::uint64_t /*after*/) -> boost::asio::awaitable<Result<std::string>> {
        co_return old;
    };
    HostStatus status;
    status.host.value = "front-1";
    status.jobRevisions = jobRevisionsToAnnounce(*this->a->jobs);
    applyAnnouncedRevisions(this->b->jobs, status);
    this->page(*this->b, "j1");
    CHECK(this->b->jobs->jobs.at(JobId{"j1"}).record.ended);
}

TEST_CASE_METHOD(JobsFixture, "applyOwnedJob_malformedDocument_isRefused")
{
    this->submit(*this->a, "j1", 2);
    const std::string document = *encodeOwnedJob(*this->a->jobs, JobId{"j1"}, 0);
    CHECK_FALSE(encodeOwnedJob(*this->b->jobs, JobId{"j1"}, 0));
    for (std::size_t length = 0; length < document.size(); ++length) {
        CHECK_FALSE(isOk(applyOwnedJob(this->b->jobs, JobId{"j1"}, document.substr(0, length), BootClock::now())));
    }
    CHECK_FALSE(isOk(applyOwnedJob(this->b->jobs, JobId{"j2"}, document, BootClock::now())));
    CHECK(isOk(applyOwnedJob(this->b->jobs, JobId{"j1"}, document, BootClock::now())));
}

// Guards against items that are given up because the wall clock of a host has jumped.
TEST_CASE_METHOD(JobsFixture, "job_wallClockOfAcceptingHostAnHourBehind_itemsAreStillRun")
{
    this->routeNamed("batch").retention = 60s;
    this->publishAll();
    StoredJob record;
    record.id.value = "j1";
    record.host = "h.example";
    record.path = "/batch/j1";
    record.created = unixNow() - 1h;
    record.bodyParts = 1;
    record.items = {{"j1-0", 100}, {"j1-1", 100}};
    putKey(*this->store, jobBodyKey(record.id, 0), bodyOf("j1", 2));
    putKey(*this->store, jobRecordKey(record.id), encodeStoredJob(record));
    const auto read = this->results(*this->b, "j1", 2);
    REQUIRE(read.size() == 2);
    CHECK(read.at(0).at("state") == "completed");
}

// Guards against a read that repeats itself without end because a stored result cannot be decoded.
TEST_CASE_METHOD(JobsFixture, "readJob_storedResultIsNoResult_isAnsweredAsUnavailable")
{
    this->submit(*this->a, "j1", 2);
    REQUIRE(this->results(*this->a, "j1", 2).size() == 2);
    putKey(*this->store, jobResultKey(JobId{"j1"}, 0), "no result");
    CHECK(this->get(*this->b, "/-/lots/j1?after=0").status == 503);
}

// Guards against items that hang on a target which sends a byte now and then but no event.
TEST_CASE_METHOD(JobsFixture, "job_targetStallsButSendsBytes_itemIsContinuedElsewhere")
{
    const auto stalls = std::make_shared<bool>(true);
    for (Replica *replica : {&this->first, &this->second}) {
        replica->plan = [stalls](const HttpRequest & /*request*/, unsigned /*number*/) {
            return std::exchange(*stalls, false) ? ReplicaPlan{.events = 10, .stallAfter = 3} : ReplicaPlan{.events = 10};
        };
    }
    this->submit(*this->a, "j1", 1);
    const auto read = this->results(*this->a, "j1", 1, 6s);
    REQUIRE(read.size() == 1);
    CHECK(std::string(read.at(0).at("text").get_string()) == wholeText("j1-0", 10));
}

// Guards against an item that moves or counts as failed because its target is silent.
TEST_CASE_METHOD(JobsFixture, "item_targetIsSilent_isNotCountedAsFailed")
{
    ReplicaPlan silent{.silentAfter = 3, .silence = 1400ms};
    std::size_t silentRuns = 1;
    std::size_t expectedRuns = 1;
    SECTION("sound target")
    {
    }
    SECTION("as many targets that hang as the route allows attempts")
    {
        silent.silence = 4s;
        silentRuns = 2;
        expectedRuns = 3;
    }
    const auto seen = std::make_shared<std::size_t>(0);
    for (Replica *replica : {&this->first, &this->second}) {
        replica->plan = [seen, silent, silentRuns](const HttpRequest & /*request*/, unsigned /*number*/) {
            return (*seen)++ < silentRuns ? silent : ReplicaPlan{};
        };
    }
    this->submit(*this->a, "j1", 1);
    const auto read = this->results(*this->a, "j1", 1, 10s);
    REQUIRE(read.size() == 1);
    CHECK(std::string(read.at(0).at("text").get_string()) == wholeText("j1-0", 10));
    CHECK(this->runsOf("j1-0") == expectedRuns);
}
