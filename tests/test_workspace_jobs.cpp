/** @file test_workspace_jobs.cpp Batch jobs of workspaces: who may use them, what targets learn, and the bound on waiting tokens. */
#include "core/hash_func.h"
#include "support/jobs_fixture.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/detached.hpp>

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

/** Two hosts, two replicas and two workspaces. */
struct WorkspaceJobsFixture : JobsFixture {
    WorkspaceJobsFixture()
    {
        this->useKeys({"key-a1", "key-a2"});
        this->addRoute("open", "/open/", CallKind::Batch);
        this->config->routes.back().completionTarget = 18s;
        this->config->routes.back().retention = 60s;
        this->config->routes.back().isPublic = true;
        this->publishAll();
    }

    /** @param keys Keys of the workspace "acme". */
    void useKeys(std::vector<std::string> keys)
    {
        this->config->workspaces.emplace();
        this->config->workspaces->push_back({WorkspaceId{"acme"}, std::move(keys)});
        this->config->workspaces->push_back({WorkspaceId{"beta"}, {"key-b"}});
        ++this->config->version.value;
        this->publishAll();
    }

    static void addKey(HttpRequest &request, const std::string &key)
    {
        if (!key.empty()) {
            request.headers.push_back({"X-Api-Key", key});
        }
    }

    int submitAs(EntryTestHost &host, const std::string &key, const std::string &job, unsigned items, std::uint64_t tokens = 100)
    {
        HttpRequest request = EntryTestHost::request(job, "/batch/" + job);
        request.body = bodyOf(job, items, tokens);
        addKey(request, key);
        return host.send(std::move(request)).status;
    }

    int callAs(EntryTestHost &host, const std::string &key, const std::string &method, const std::string &target)
    {
        HttpRequest request;
        request.method = method;
        request.target = target;
        request.headers = {{"Host", "h.example"}};
        addKey(request, key);
        return host.send(std::move(request)).status;
    }

    /** @return Whether all items of the job have a result within @p limit. */
    bool finishes(EntryTestHost &host, const std::string &job, std::size_t items, std::chrono::milliseconds limit = 10s)
    {
        return this->runUntil(
            [&] {
                const auto found = host.jobs->jobs.find(JobId{job});
                return found != host.jobs->jobs.end() && found->second.record.listed.size() == items;
            },
            limit);
    }

    /** @return Values of the header @p name in the run of the request @p id, separated by commas; "not run" if there is none. */
    [[nodiscard]] std::string headerOfRun(const std::string &id, const std::string &name) const
    {
        for (const auto &replica : this->replicas) {
            for (const auto &run : replica->runs) {
                if (run->id != id) {
                    continue;
                }
                std::string values;
                for (const HttpHeader &header : run->headers) {
                    if (boost::algorithm::iequals(header.name, name)) {
                        values += (values.empty() ? "" : ",") + header.value;
                    }
                }
                return values;
            }
        }
        return "not run";
    }
};

/** A submission whose only item sets the headers that belong to the host. */
std::string forgedBody()
{
    return R"({"items":[{"id":"f-0","path":"/batch/f","headers":{"X-Skylarkstage-Tenant":"beta","x-api-key":"key-b","X-Mark":"m"},"body":"","tokens":1}]})";
}

} // namespace

// Guards against items without their workspace, or with one that the author of the job names.
TEST_CASE_METHOD(WorkspaceJobsFixture, "item_ofAWorkspace_namesItWhateverTheAuthorSets")
{
    HttpRequest request = EntryTestHost::request("f", "/batch/f");
    request.body = forgedBody();
    addKey(request, "key-a1");
    const int status = this->a->send(std::move(request)).status;
    REQUIRE(status == 202);
    REQUIRE(this->finishes(*this->a, "f", 1));
    CHECK(this->headerOfRun("f-0", "X-Skylarkstage-Tenant") == "acme");
    CHECK(this->headerOfRun("f-0", "X-Api-Key").empty());
    CHECK(this->headerOfRun("f-0", "X-Mark") == "m");
}

// Guards against items of a public route that name a workspace.
TEST_CASE_METHOD(WorkspaceJobsFixture, "item_onAPublicRoute_namesNoWorkspace")
{
    HttpRequest request = EntryTestHost::request("f", "/open/f");
    request.body = forgedBody();
    const int status = this->a->send(std::move(request)).status;
    REQUIRE(status == 202);
    REQUIRE(this->finishes(*this->a, "f", 1));
    CHECK(this->headerOfRun("f-0", "X-Skylarkstage-Tenant").empty());
    CHECK(this->headerOfRun("f-0", "X-Api-Key").empty());
    CHECK(this->callAs(*this->b, "", "GET", "/-/lots/f") == 200);
    CHECK(this->callAs(*this->b, "key-x", "GET", "/-/items/f?id=f-0") == 200);
    CHECK(this->callAs(*this->b, "", "DELETE", "/-/lots/f") == 200);
}

// Guards against the end of a job with its key, and against the use of the job with a removed key.
TEST_CASE_METHOD(WorkspaceJobsFixture, "job_itsKeyIsRemoved_runsOnForTheOtherKeysOfTheWorkspace")
{
    this->setPlan({.events = 60, .step = 10ms});
    REQUIRE(this->submitAs(*this->a, "key-a1", "j1", 12) == 202);
    this->useKeys({"key-a2"});
    REQUIRE(this->finishes(*this->a, "j1", 12));
    CHECK(this->headerOfRun("j1-11", "X-Skylarkstage-Tenant") == "acme");
    CHECK(this->callAs(*this->a, "key-a1", "GET", "/-/lots/j1") == 401);
    CHECK(this->callAs(*this->b, "key-a2", "GET", "/-/lots/j1") == 200);
    CHECK(this->submitAs(*this->b, "key-a2", "j1", 12) == 202);
}

// Guards against a workspace that reads, ends or replaces the jobs of another one.
TEST_CASE_METHOD(WorkspaceJobsFixture, "job_keyOfAnotherWorkspace_doesNotExist")
{
    this->setPlan({.events = 2000, .step = 10ms});
    REQUIRE(this->submitAs(*this->a, "key-a1", "j1", 2) == 202);
    for (EntryTestHost *host : {this->a.get(), this->b.get()}) {
        CHECK(this->callAs(*host, "key-b", "GET", "/-/lots/j1") == 404);
        CHECK(this->callAs(*host, "key-b", "GET", "/-/items/j1?id=j1-0") == 404);
        CHECK(this->callAs(*host, "key-b", "DELETE", "/-/lots/j1") == 404);
        CHECK(this->submitAs(*host, "key-b", "j1", 2) == 404);
        CHECK(this->callAs(*host, "key-b", "GET", "/-/lots/unknown") == 404);
    }
    CHECK_FALSE(this->a->jobs->jobs.at(JobId{"j1"}).record.ended);
    CHECK(this->callAs(*this->b, "key-a2", "GET", "/-/items/j1?id=j1-0") == 200);
    CHECK(this->callAs(*this->b, "key-a2", "DELETE", "/-/lots/j1") == 200);
}

// Guards against callers without a valid key, and against answers that tell them which jobs exist.
TEST_CASE_METHOD(WorkspaceJobsFixture, "jobCall_noValidKey_isRefusedAlikeForAnyJob")
{
    REQUIRE(this->submitAs(*this->a, "key-a1", "j1", 1) == 202);
    for (const char *key : {"", "key-x"}) {
        for (const char *job : {"j1", "unknown"}) {
            CHECK(this->callAs(*this->b, key, "GET", std::string("/-/lots/") + job) == 401);
            CHECK(this->callAs(*this->b, key, "GET", std::string("/-/items/") + job + "?id=j1-0") == 401);
            CHECK(this->callAs(*this->b, key, "DELETE", std::string("/-/lots/") + job) == 401);
        }
        CHECK(this->submitAs(*this->b, key, "j2", 1) == 401);
    }
}

// Guards against the loss of jobs that were accepted before the configuration had workspaces.
TEST_CASE_METHOD(WorkspaceJobsFixture, "job_olderThanTheWorkspaces_belongsToNone")
{
    this->config->workspaces.reset();
    this->publishAll();
    REQUIRE(this->submitAs(*this->a, "", "j1", 2) == 202);
    this->useKeys({"key-a1"});
    CHECK(this->callAs(*this->b, "", "GET", "/-/lots/j1") == 200);
    CHECK(this->callAs(*this->b, "key-b", "GET", "/-/lots/j1") == 200);
    CHECK(this->submitAs(*this->b, "key-a1", "j1", 2) == 202);
}

// Guards against a workspace that is lost when another host takes a job over.
TEST_CASE_METHOD(WorkspaceJobsFixture, "job_ownerGone_itsItemsStillNameTheWorkspace")
{
    this->setPlan({.events = 2000, .step = 10ms});
    REQUIRE(this->submitAs(*this->a, "key-a1", "j1", 2) == 202);
    REQUIRE(this->runUntil([this] {
        return this->running(2);
    }));
    this->a->runner.reset();
    this->a.reset();
    const std::size_t runs = this->startedItems();
    this->setPlan({.events = 20, .step = 1ms});
    this->publishAll();
    REQUIRE(this->finishes(*this->b, "j1", 2, 20s));
    CHECK(this->startedItems() > runs);
    for (const auto &replica : this->replicas) {
        for (const auto &run : replica->runs) {
            CHECK(headerValue(run->headers, "X-Skylarkstage-Tenant") == "acme");
        }
    }
}

// Guards against a final answer on a job that could not be looked up, and against job calls without a recent proof.
TEST_CASE_METHOD(WorkspaceJobsFixture, "jobCall_hostCannotTell_isRefusedForNow")
{
    REQUIRE(this->submitAs(*this->a, "key-a1", "j1", 1) == 202);
    SECTION("the store is down")
    {
        this->store->faults.down = true;
        CHECK(this->callAs(*this->b, "key-b", "GET", "/-/lots/unknown") == 503);
    }
    SECTION("the proof of the configuration is too old")
    {
        this->a->proof->limits = {true, 5000ms, 3000ms};
        this->a->proof->proof = ConfigProof{Revision{1}, BootClock::now() - 10s};
        CHECK(this->callAs(*this->a, "key-a1", "GET", "/-/lots/j1") == 503);
        CHECK(this->callAs(*this->a, "key-x", "GET", "/-/lots/j1") == 503);
    }
}

TEST_CASE("storedJob_workspace_isKeptAndMayBeAbsent", "[record]")
{
    StoredJob record;
    record.id.value = "j1";
    record.items = {{"i", 1}};
    CHECK(encodeStoredJob(record).find("workspace") == std::string::npos);
    CHECK(valueOf(decodeStoredJob(encodeStoredJob(record))).workspace.empty());
    record.workspace.value = "acme";
    CHECK(valueOf(decodeStoredJob(encodeStoredJob(record))).workspace.value == "acme");
}

namespace {

/** Hosts that submit jobs at the same time; items never finish. */
struct WaitingTokensFixture : WorkspaceJobsFixture {
    std::vector<std::unique_ptr<EntryTestHost>> more; ///< Hosts besides a and b.
    std::map<int, unsigned> answers; ///< Number of answers by status.
    unsigned answered{0};
    std::uint64_t acceptedTokens{0};

    WaitingTokensFixture()
    {
        this->setPlan({.events = 5000, .step = 10ms});
        this->routeNamed("batch").maxWaitingTokens = 400000;
        this->publishAll();
        // Transactions of several hosts overlap at the service.
        this->store->faults.callDelay = 8ms;
    }

    void addHosts(unsigned count)
    {
        std::set<SessionId> sessions{this->a->jobs->session, this->b->jobs->session};
        for (unsigned i = 0; i < count; ++i) {
            this->more.push_back(std::make_unique<EntryTestHost>(*this, "front-" + std::to_string(i + 3), false));
            sessions.insert(this->more.back()->jobs->session);
        }
        for (const auto &host : this->more) {
            host->publish(sessions);
        }
    }

    EntryTestHost &hostNumber(unsigned number)
    {
        const unsigned index = number % (2 + static_cast<unsigned>(this->more.size()));
        return index == 0 ? *this->a : index == 1 ? *this->b : *this->more[index - 2];
    }

    boost::asio::awaitable<void> submitLater(EntryTestHost &host, std::string key, std::string job, unsigned items, std::uint64_t tokens)
    {
        HttpRequest request = EntryTestHost::request(job, "/batch/" + job);
        request.body = bodyOf(job, items, tokens);
        addKey(request, key);
        auto answer = co_await httpCall(this->http, host.endpoint, std::move(request), {}, ConnectionUse::Fresh);
        const int status = isOk(answer) ? valueOf(answer).status : 0;
        ++this->answers[status];
        this->acceptedTokens += status == 202 ? items * tokens : 0;
        ++this->answered;
    }

    void start(EntryTestHost &host, const std::string &key, const std::string &job, unsigned items, std::uint64_t tokens)
    {
        boost::asio::co_spawn(this->loop, this->submitLater(host, key, job, items, tokens), boost::asio::detached);
    }

    bool allAnswered(unsigned count)
    {
        return this->runUntil(
            [&] {
                return this->answered == count;
            },
            10s);
    }
};

} // namespace

// Guards against the fault that was seen: 12 concurrent jobs at 7 hosts were all accepted, 489,600 tokens against a bound of 440,000.
TEST_CASE_METHOD(WaitingTokensFixture, "jobs_twelveAtSevenHostsAtOnce_boundHolds")
{
    this->addHosts(5);
    for (unsigned i = 0; i < 12; ++i) {
        this->start(this->hostNumber(i), "key-a1", "j" + std::to_string(i), 8, 5100);
    }
    REQUIRE(this->allAnswered(12));
    CHECK(this->answers[202] == 9);
    CHECK(this->answers[429] == 3);
    CHECK(this->acceptedTokens <= 440000);
}

// Guards against the same fault where the configuration has no workspaces.
TEST_CASE_METHOD(WaitingTokensFixture, "jobs_withoutWorkspacesAtOnce_boundHoldsForAllCallersTogether")
{
    this->config->workspaces.reset();
    this->publishAll();
    this->addHosts(5);
    for (unsigned i = 0; i < 12; ++i) {
        this->start(this->hostNumber(i), "", "j" + std::to_string(i), 8, 5100);
    }
    REQUIRE(this->allAnswered(12));
    CHECK(this->answers[202] == 9);
    CHECK(this->answers[429] == 3);
}

// Guards against a workspace that uses up the bound of another one.
TEST_CASE_METHOD(WaitingTokensFixture, "jobs_ofTwoWorkspaces_haveABoundEach")
{
    CHECK(this->submitAs(*this->a, "key-a1", "j1", 8, 40000) == 202);
    CHECK(this->submitAs(*this->b, "key-a2", "j2", 8, 40000) == 429);
    CHECK(this->submitAs(*this->b, "key-b", "j3", 8, 40000) == 202);
    CHECK(this->submitAs(*this->a, "key-a1", "j4", 2, 40000) == 202);
}

// Guards against a host that decides by what it knows: it has read no record and no ledger.
TEST_CASE_METHOD(WaitingTokensFixture, "job_hostKnowsNothingOfTheRoute_boundHolds")
{
    this->b->jobs->mirror->stopped = true;
    REQUIRE(this->submitAs(*this->a, "key-a1", "j1", 8, 40000) == 202);
    this->b->jobs->jobs.clear();
    this->b->jobs->mirror->items.clear();
    CHECK(this->submitAs(*this->b, "key-a1", "j2", 8, 40000) == 429);
    CHECK(this->submitAs(*this->b, "key-a1", "j3", 1, 40000) == 202);
}

// Guards against a write without an answer that is repeated although the tokens have been given to another job meanwhile.
TEST_CASE_METHOD(WaitingTokensFixture, "job_writeLostAndRoomTakenMeanwhile_isRefused")
{
    this->store->faults.dropsWrites = true;
    this->start(*this->a, "key-a1", "j1", 8, 40000);
    this->runFor(60ms);
    this->store->faults.dropsWrites = false;
    CHECK(this->submitAs(*this->b, "key-a1", "j2", 8, 40000) == 202);
    REQUIRE(this->allAnswered(1));
    CHECK(this->answers[429] == 1);
    CHECK_FALSE(this->store->items.contains(jobRecordKey(JobId{"j1"})));
}

// Guards against a write that takes effect late, beside another acceptance.
TEST_CASE_METHOD(WaitingTokensFixture, "job_writeDelayedAndRoomTakenMeanwhile_neverTakesEffect")
{
    this->store->faults.writeDelay = 400ms;
    this->start(*this->a, "key-a1", "j1", 8, 40000);
    this->runFor(60ms);
    this->store->faults.writeDelay = 0ms;
    CHECK(this->submitAs(*this->b, "key-a1", "j2", 8, 40000) == 202);
    REQUIRE(this->allAnswered(1));
    CHECK(this->answers[429] == 1);
    this->runFor(600ms);
    CHECK_FALSE(this->store->items.contains(jobRecordKey(JobId{"j1"})));
}

// Guards against a refusal that promises that a job was not stored while its write may still take effect.
TEST_CASE_METHOD(WaitingTokensFixture, "job_everyWriteIsDelayed_isNotReportedAsRefused")
{
    this->store->faults.writeDelay = 3000ms;
    this->start(*this->a, "key-a1", "j1", 8, 40000);
    REQUIRE(this->allAnswered(1));
    CHECK(this->answers[504] == 1);
}

// Guards against tokens that stay taken by jobs whose records have been removed.
TEST_CASE_METHOD(WaitingTokensFixture, "job_ledgerNamesRemovedJobs_theyDoNotCount")
{
    putKey(*this->store, jobQuotaKey("h.example", "/batch/", WorkspaceId{"acme"}), R"({"jobs":{"ghost":390000}})");
    CHECK(this->submitAs(*this->a, "key-a1", "j1", 8, 40000) == 202);
    CHECK(decodeLedger(this->store->items.at(jobQuotaKey("h.example", "/batch/", WorkspaceId{"acme"})).item.value).tokens
          == std::map<JobId, std::uint64_t>{{JobId{"j1"}, 320000}});
}

// Guards against jobs that a former program accepted without a ledger.
TEST_CASE_METHOD(WaitingTokensFixture, "job_recordWithoutLedger_counts")
{
    StoredJob record;
    record.id.value = "old";
    record.workspace.value = "acme";
    record.host = "h.example";
    record.path = "/batch/old";
    record.owner.value = "former";
    record.items = {{"i", 320000}};
    putKey(*this->store, jobRecordKey(record.id), encodeStoredJob(record));
    REQUIRE(this->runUntil([this] {
        return this->a->jobs->jobs.contains(JobId{"old"});
    }));
    CHECK(this->submitAs(*this->a, "key-a1", "j1", 3, 40000) == 429);
    CHECK(this->submitAs(*this->a, "key-a1", "j2", 2, 40000) == 202);
}

// Guards against a read of all records for each job of a caller that is over its limit.
TEST_CASE_METHOD(WaitingTokensFixture, "jobs_overTheLimitAgainAndAgain_readFewRecords")
{
    REQUIRE(this->submitAs(*this->a, "key-a1", "j1", 8, 40000) == 202);
    const auto before = this->store->counts;
    for (unsigned i = 0; i < 20; ++i) {
        CHECK(this->submitAs(*this->a, "key-a1", "more-" + std::to_string(i), 8, 40000) == 429);
    }
    CHECK(this->store->counts.commits <= before.commits + 1);
    CHECK(this->store->counts.gets - before.gets <= 40);
    CHECK(this->store->counts.ranges - before.ranges <= 10);
}

// Guards against tokens that stay taken by many removed jobs, which are found by one read of all records.
TEST_CASE_METHOD(WaitingTokensFixture, "job_ledgerNamesManyRemovedJobs_theyDoNotCount")
{
    WaitingLedger ledger;
    for (unsigned i = 0; i < 20; ++i) {
        ledger.tokens[JobId{"ghost-" + std::to_string(i)}] = 19000;
    }
    putKey(*this->store, jobQuotaKey("h.example", "/batch/", WorkspaceId{"acme"}), encodeLedger(ledger));
    CHECK(this->submitAs(*this->a, "key-a1", "j1", 8, 40000) == 202);
}

// Guards against tokens that stay taken by a job that its caller has ended.
TEST_CASE_METHOD(WaitingTokensFixture, "job_endedAtAnotherHost_givesItsTokensBack")
{
    REQUIRE(this->submitAs(*this->a, "key-a1", "j1", 8, 40000) == 202);
    CHECK(this->submitAs(*this->b, "key-a1", "j2", 8, 40000) == 429);
    CHECK(this->callAs(*this->b, "key-a1", "DELETE", "/-/lots/j1") == 200);
    CHECK(this->submitAs(*this->a, "key-a1", "j2", 8, 40000) == 202);
}

// Guards against a bound where none is configured.
TEST_CASE_METHOD(WaitingTokensFixture, "job_noLimit_isAcceptedWithoutALedger")
{
    this->routeNamed("batch").maxWaitingTokens = 0;
    this->publishAll();
    CHECK(this->submitAs(*this->a, "key-a1", "j1", 8, 4000000) == 202);
    CHECK(this->submitAs(*this->b, "key-a1", "j2", 8, 4000000) == 202);
    CHECK_FALSE(this->store->items.contains(jobQuotaKey("h.example", "/batch/", WorkspaceId{"acme"})));
}

// Guards against the bound under any interleaving: hosts know any earlier state of the jobs, and decide from any ledger they have read.
TEST_CASE("reduceLedger_hostsWithOldKnowledge_boundHolds", "[accept]")
{
    constexpr std::uint64_t limit = 1000;
    std::uint64_t random = 815;
    std::size_t accepted = 0;
    for (unsigned round = 0; round < 200; ++round) {
        std::vector<std::map<JobId, std::uint64_t>> history(1); // Waiting tokens of all jobs, after each change.
        WaitingLedger stored;
        std::uint64_t revision = 0;
        struct Decision {
            JobId job;
            WaitingLedger next;
            std::uint64_t tokens{0};
            std::uint64_t revision{0};
        };
        std::vector<Decision> pending; // Writes that have not reached the service yet.
        for (unsigned step = 0; step < 60; ++step) {
            if (nextRandom(random) % 2U == 0) {
                const auto &known = history[nextRandom(random) % history.size()];
                const std::uint64_t tokens = 50 + nextRandom(random) % 300U;
                WaitingLedger ledger = reduceLedger(stored, known, {});
                if (decideJobAdmission(totalTokens(ledger), tokens, limit) == JobAdmission::AcceptSerialized) {
                    const JobId job{"j" + std::to_string(step)};
                    ledger.tokens[job] = tokens;
                    pending.push_back({job, ledger, tokens, revision});
                }
            } else if (!pending.empty()) {
                const std::size_t index = nextRandom(random) % pending.size();
                const Decision decision = pending[index];
                pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(index));
                if (decision.revision == revision) {
                    stored = decision.next;
                    ++revision;
                    ++accepted;
                    auto next = history.back();
                    next[decision.job] = decision.tokens;
                    history.push_back(next);
                }
            }
            auto next = history.back();
            for (auto &[job, tokens] : next) {
                tokens -= nextRandom(random) % 4U == 0 ? tokens / 3 : 0;
            }
            history.push_back(next);
            std::uint64_t waiting = 0;
            for (const auto &[job, tokens] : next) {
                waiting += tokens;
            }
            REQUIRE(waiting <= limit);
        }
    }
    CHECK(accepted > 1000);
}
