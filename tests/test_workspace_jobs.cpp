/** @file test_workspace_jobs.cpp Batch jobs of workspaces: who may use them, and what targets learn. */
#include "support/jobs_fixture.h"

#include <boost/algorithm/string/predicate.hpp>

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
    REQUIRE(this->a->send(std::move(request)).status == 202);
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
    REQUIRE(this->a->send(std::move(request)).status == 202);
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
