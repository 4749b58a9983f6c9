/** @file test_batch.cpp Tests of the batch service with stand-ins for the platform and the engines. */
#include "batch/batch_internal_func.h"
#include "batch/batch_record_func.h"
#include "batch/job_parse_func.h"
#include "support/batch_host.h"
#include "support/silent_engine.h"

#include <algorithm>
#include <csignal>
#include <set>

using namespace skylark;
using namespace skylark::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

WorkspaceConfig testWorkspace()
{
    WorkspaceConfig workspace;
    workspace.id.value = "masks";
    workspace.models.push_back({ModelId{"drafter"}, "1", {}, 0});
    workspace.services.push_back({"orders", {{"POST", "/book", false}}});
    return workspace;
}

std::string itemLine(const std::string &id, const std::string &content, unsigned maxTokens = 8)
{
    return R"({"custom_id":")" + id + R"(","method":"POST","url":"/v1/chat/completions","body":{"model":"drafter","user":"batch","max_tokens":)"
           + std::to_string(maxTokens) + R"(,"messages":[{"role":"user","content":")" + content + "\"}]}}\n";
}

std::string jobBody(unsigned items, unsigned maxTokens = 8)
{
    std::string body;
    for (unsigned i = 0; i < items; ++i) {
        body += itemLine("i" + std::to_string(i), "describe mask " + std::to_string(i), maxTokens);
    }
    return body;
}

/** Stand-in platform and engines, disk hosts, and one or two batch hosts. */
struct BatchFixture : TestLoop {
    RunningProgram platform{RunningProgram::create("standin-platform")}; ///< Stand-in for the key-value service.
    BatchDisks disks; ///< Disk hosts for the blobs.
    std::map<std::string, RunningProgram> engines; ///< Engines by target id.
    std::map<std::string, std::unique_ptr<BatchHost>> hosts; ///< Batch hosts by name.
    WorkspaceConfig workspace{testWorkspace()};

    BatchFixture()
    {
        this->addHost("h1");
    }

    /** Starts a batch host and writes its session key. */
    BatchHost &addHost(const std::string &name)
    {
        auto &host = this->hosts[name] = std::make_unique<BatchHost>(name, this->platform.endpoint, this->disks);
        auto config = std::make_shared<FleetConfig>();
        config->workspaces[this->workspace.id] = this->workspace;
        host->view.config = config;
        this->put("session/session-" + name, "{}");
        return *host;
    }

    BatchHost &host(const std::string &name = "h1")
    {
        return *this->hosts.at(name);
    }

    /** Starts an engine process and adds it as a target to the host @p owner. */
    void addEngine(const std::string &id, std::vector<std::string> arguments, const std::string &owner = "h1")
    {
        arguments.emplace_back("--load_lag_ms=20");
        this->engines.emplace(id, RunningProgram::create("standin-engine", std::move(arguments)));
        this->host(owner).addTarget(id, this->engines.at(id).endpoint);
    }

    void put(const std::string &key, const std::string &value)
    {
        this->callJson(this->platform.endpoint, "PUT", "/kv/" + key, value);
    }

    void erase(const std::string &key)
    {
        this->callJson(this->platform.endpoint, "DELETE", "/kv/" + key);
    }

    /** Reads a group record. */
    GroupRecord group(const JobId &job, unsigned index)
    {
        const json::value value = this->callJson(this->platform.endpoint, "GET", "/kv/" + batchGroupKey(job, index));
        auto record = parseBatchGroup(json::serialize(value));
        REQUIRE(isOk(record));
        return valueOf(record);
    }

    /** @return Writes of keys with @p prefix that the platform counted. */
    std::uint64_t writes(const std::string &prefix)
    {
        const json::value stats = this->callJson(this->platform.endpoint, "GET", "/stats");
        return numberMember(stats.at("writes_by_prefix").as_object(), prefix);
    }

    json::object engineStats(const std::string &id)
    {
        return this->callJson(this->engines.at(id).endpoint, "GET", "/stats").get_object();
    }

    void engineFaults(const std::string &id, std::string body)
    {
        this->callJson(this->engines.at(id).endpoint, "POST", "/faults", std::move(body));
    }

    void platformFaults(std::string body)
    {
        this->callJson(this->platform.endpoint, "POST", "/faults", std::move(body));
    }

    /** Runs the event loops of all hosts until @p condition holds. @return False when it does not hold within @p limit. */
    template<typename Condition>
    bool driveUntil(Condition condition, std::chrono::milliseconds limit = 30s)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            for (const auto &[name, host] : this->hosts) {
                host->drive();
            }
        }
        return true;
    }

    void driveFor(std::chrono::milliseconds duration)
    {
        const auto end = std::chrono::steady_clock::now() + duration;
        this->driveUntil([end] {
            return std::chrono::steady_clock::now() >= end;
        });
    }

    /** Runs @p task in the event loop of @p host and returns its result. */
    template<typename T>
    T await(BatchHost &host, asio::awaitable<T> task)
    {
        std::optional<T> value;
        asio::co_spawn(host.context.batch, std::move(task), [&value](const std::exception_ptr &failure, T result) {
            REQUIRE_FALSE(failure);
            value.emplace(std::move(result));
        });
        REQUIRE(this->driveUntil([&value] {
            return value.has_value();
        }));
        return std::move(*value);
    }

    Result<JobProgress> submit(const std::string &key, std::string body)
    {
        return this->await(this->host(), submitJob(*this->host().service, this->workspace, key, {}, std::move(body)));
    }

    /** Submits a job that must be accepted. */
    JobId submitAccepted(const std::string &key, std::string body)
    {
        auto progress = this->submit(key, std::move(body));
        REQUIRE(isOk(progress));
        return valueOf(progress).job.id;
    }

    JobProgress progress(const JobId &job, const std::string &name = "h1")
    {
        auto progress = this->await(this->host(name), jobProgress(*this->host(name).service, this->workspace.id, job));
        REQUIRE(isOk(progress));
        return valueOf(progress);
    }

    /** @return Whether the job is done within @p limit, as host @p name reports it. */
    bool waitDone(const JobId &job, const std::string &name = "h1", std::chrono::milliseconds limit = 30s)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < end) {
            if (this->progress(job, name).job.state == JobState::Done) {
                return true;
            }
            this->driveFor(100ms);
        }
        return false;
    }

    /** @return All result lines, in the order of the groups. */
    std::vector<json::object> results(const JobId &job, unsigned groups)
    {
        std::vector<json::object> lines;
        for (unsigned i = 0; i < groups; ++i) {
            const auto text = this->await(this->host(), readGroupResults(*this->host().service, this->workspace.id, job, i));
            REQUIRE(isOk(text));
            std::string_view rest = valueOf(text);
            while (!rest.empty()) {
                const std::string_view line = rest.substr(0, rest.find('\n'));
                rest.remove_prefix(line.size() + 1);
                lines.push_back(json::parse(json::string_view(line.data(), line.size())).as_object());
            }
        }
        return lines;
    }

    /** Checks that each item has exactly one result with its own complete answer, in the order of submission. */
    void checkResults(const JobId &job, unsigned groups, unsigned items, unsigned tokens = 8)
    {
        const auto lines = this->results(job, groups);
        REQUIRE(lines.size() == items);
        unsigned wrong = 0;
        for (unsigned i = 0; i < items; ++i) {
            const std::string expected = standin::expectedText("user: describe mask " + std::to_string(i) + "\n", tokens);
            const bool right = lines[i].at("custom_id").as_string() == "i" + std::to_string(i) && lines[i].at("status").as_string() == "ok"
                               && lines[i].at("response").at("choices").at(0).at("message").at("content").as_string() == expected;
            wrong += right ? 0 : 1;
        }
        CHECK(wrong == 0);
    }
};

std::string errorCode(const json::object &line)
{
    REQUIRE(line.at("status").as_string() == "failed");
    return std::string(line.at("error").at("code").as_string());
}

} // namespace

// Guards against lost, duplicated or swapped results, and against more than two record writes per group.
TEST_CASE_METHOD(BatchFixture, "job_sixHundredItems_completesOnce")
{
    this->addEngine("e1", {"--slots=32", "--time_scale=20"});
    const JobId job = this->submitAccepted("evening", jobBody(600));
    REQUIRE(this->waitDone(job));
    const JobProgress done = this->progress(job);
    CHECK(done.finished == 600);
    CHECK(done.failed == 0);
    CHECK(done.groupsDone == 3);
    this->checkResults(job, 3, 600);
    CHECK(this->writes("group") == 6);
    CHECK(this->writes("job") == 2);
    CHECK(numberMember(this->engineStats("e1"), "finished") == 600);
}

TEST_CASE_METHOD(BatchFixture, "submitJob_resent_answersWithExistingJob")
{
    const JobId job = this->submitAccepted("evening", jobBody(10));
    const std::uint64_t writes = this->writes("job");
    auto again = this->submit("evening", jobBody(10));
    REQUIRE(isOk(again));
    CHECK(valueOf(again).job.id == job);
    CHECK(this->writes("job") == writes);
    auto other = this->submit("evening", jobBody(11));
    REQUIRE_FALSE(isOk(other));
    CHECK(errorOf(other).code == ErrorCode::JobKeyConflict);
}

// Guards against a partly accepted job when one line of the submission is malformed.
TEST_CASE_METHOD(BatchFixture, "submitJob_brokenLine_isNamedAndNothingAccepted")
{
    const std::string body = jobBody(299) + "{\"custom_id\": \n" + itemLine("last", "x");
    auto refused = this->submit("evening", body);
    REQUIRE_FALSE(isOk(refused));
    CHECK(errorOf(refused).code == ErrorCode::InvalidRequest);
    CHECK(errorOf(refused).param == "line 300");
    CHECK(this->writes("job") == 0);
    CHECK(std::filesystem::file_size(this->disks.folder / "d1" / "blobs.sqlite") < 100000);
}

// Guards against accepting a job whose input cannot be stored in two failure domains.
TEST_CASE_METHOD(BatchFixture, "submitJob_oneDomainLeft_isRefused")
{
    this->host().view.hosts.pop_back();
    this->host().publish();
    auto refused = this->submit("evening", jobBody(10));
    REQUIRE_FALSE(isOk(refused));
    CHECK(errorOf(refused).code == ErrorCode::InsufficientReplicas);
    CHECK(errorOf(refused).retryAfter);
    CHECK(this->writes("job") == 0);
}

TEST_CASE_METHOD(BatchFixture, "cancelJob_running_stopsStreamsAndClaims")
{
    this->addEngine("e1", {"--slots=8", "--time_scale=4"});
    const JobId job = this->submitAccepted("evening", jobBody(600, 50));
    REQUIRE(this->driveUntil([this] {
        return this->host().streams() == 8;
    }));
    auto cancelled = this->await(this->host(), cancelJob(*this->host().service, this->workspace.id, job));
    REQUIRE(isOk(cancelled));
    CHECK(valueOf(cancelled).job.state == JobState::Cancelled);
    CHECK(this->host().streams() == 0);
    this->driveFor(500ms);
    const json::object after = this->engineStats("e1");
    CHECK(numberMember(after, "running") == 0);
    this->driveFor(500ms);
    CHECK(numberMember(this->engineStats("e1"), "started") == numberMember(after, "started"));
    CHECK(this->progress(job).job.state == JobState::Cancelled);
    CHECK(this->writes("job") == 2);
}

// Guards against a host that keeps running a job after the cancel call went to another host.
TEST_CASE_METHOD(BatchFixture, "job_cancelledElsewhere_stopsWithTheSnapshot")
{
    this->addEngine("e1", {"--slots=8", "--time_scale=4"});
    const JobId job = this->submitAccepted("evening", jobBody(40, 50));
    REQUIRE(this->driveUntil([this] {
        return this->host().streams() == 8;
    }));
    JobRecord record = *this->host().view.jobs.front();
    record.state = JobState::Cancelled;
    this->host().updateJob(record);
    this->host().drive();
    this->driveFor(100ms);
    CHECK(this->host().streams() == 0);
    CHECK(this->host().service->impl->held.empty());
    CHECK(this->group(job, 0).state == GroupState::Claimed);
}

// Guards against two hosts running batch streams on one target after its batch owner changed.
TEST_CASE_METHOD(BatchFixture, "target_batchOwnerChanged_streamsAreCancelledAndResume")
{
    this->addEngine("e1", {"--slots=8", "--time_scale=4"});
    const JobId job = this->submitAccepted("evening", jobBody(16, 50));
    REQUIRE(this->driveUntil([this] {
        return this->host().streams() == 8;
    }));
    this->host().view.targets.front().batchOwner.value = "h2";
    this->host().publish();
    this->driveFor(100ms);
    CHECK(this->host().streams() == 0);
    this->host().view.targets.front().batchOwner.value = "h1";
    REQUIRE(this->waitDone(job));
    this->checkResults(job, 1, 16, 50);
}

// Guards against a job that never ends because an item fails on each attempt or is rejected by the target.
TEST_CASE_METHOD(BatchFixture, "job_itemsThatAlwaysFail_endAsTypedFailures")
{
    this->addEngine("e1", {"--slots=8", "--time_scale=20"});
    this->engineFaults("e1", R"({"fail_on":"impossible","reject_on":"malformed"})");
    const std::string body = jobBody(3) + itemLine("bad", "impossible shape") + itemLine("worse", "malformed shape") + itemLine("last", "x");
    const JobId job = this->submitAccepted("evening", body);
    REQUIRE(this->waitDone(job));
    const auto lines = this->results(job, 1);
    REQUIRE(lines.size() == 6);
    CHECK(errorCode(lines[3]) == "attempts_exhausted");
    CHECK(errorCode(lines[4]) == "target_rejected");
    CHECK(lines[5].at("status").as_string() == "ok");
    CHECK(this->progress(job).failed == 2);
}

// Guards against an item that is given up because targets crashed under it, that crashes one after the other, or that holds up the others.
TEST_CASE_METHOD(BatchFixture, "job_itemCrashesTargets_isRetriedAloneAndStillOwed")
{
    for (const std::string id : {"e1", "e2", "e3", "e4"}) {
        this->addEngine(id, {"--slots=4", "--time_scale=10"});
        this->engineFaults(id, R"({"die_on":"crashing"})");
    }
    const JobId job = this->submitAccepted("evening", itemLine("bad", "crashing shape") + jobBody(60));
    const auto crashed = [this] {
        return std::count_if(this->engines.begin(), this->engines.end(), [](const auto &engine) {
            return !isRunning(*engine.second.process);
        });
    };
    REQUIRE(this->driveUntil([&crashed] {
        return crashed() == 3;
    }));
    this->driveFor(2s);
    CHECK(crashed() == 3);
    CHECK(this->host().metric("skylark_batch_items_finished_total") == 60);
    CHECK(this->host().metric("skylark_batch_items_failed_total") == 0);
    for (auto &[id, engine] : this->engines) {
        if (isRunning(*engine.process)) {
            this->engineFaults(id, R"({"die_on":""})");
        }
    }
    REQUIRE(this->waitDone(job));
    const auto lines = this->results(job, 1);
    REQUIRE(lines.size() == 61);
    CHECK(lines[0].at("status").as_string() == "ok");
    CHECK(this->progress(job).failed == 0);
}

// Guards against an owed item that runs at once at its next holder, or whose failed answers are counted anew there.
TEST_CASE_METHOD(BatchFixture, "applyPartial_interruptedItem_keepsItsHistoryAndDelay")
{
    HeldGroup group;
    group.items.resize(3);
    group.items[0].history = {.failures = 2, .interruptions = 3, .isolated = true, .tried = {}};
    group.items[1].history = {.failures = 0, .interruptions = 1, .isolated = false, .tried = {}};
    HeldGroup next;
    next.items.resize(3);
    const TimePoint before = BootClock::now();
    applyPartial(next, renderPartial(group));
    CHECK(next.items[0].history.failures == 2);
    CHECK(next.items[0].history.interruptions == 3);
    CHECK(next.items[0].history.isolated);
    CHECK(next.items[0].notBefore >= before + 4s);
    CHECK(next.items[1].notBefore >= before + 1s);
    CHECK_FALSE(next.items[1].history.isolated);
    CHECK(next.items[2].notBefore <= BootClock::now());
}

// Guards against a sound silence of an engine that is taken for its end, so that the items that broke off there run one after another.
TEST_CASE_METHOD(BatchFixture, "job_engineIsSilentAfterBrokenStreams_itemsStillRunTogether")
{
    const auto engine = SilentEngine::create(this->host().context.batch.get_executor(), 4, 1200ms);
    this->host().addTarget("e1", engine->endpoint());
    const JobId job = this->submitAccepted("evening", jobBody(4));
    REQUIRE(this->waitDone(job));
    CHECK(engine->mostActive == 4);
}

// Guards against writing a completion twice, or dropping its group, when the answer to the write was lost.
TEST_CASE_METHOD(BatchFixture, "job_allWriteAnswersLost_completesOnce")
{
    this->addEngine("e1", {"--slots=32", "--time_scale=20"});
    this->platformFaults(R"({"lose_answers":1.0,"seed":3})");
    const JobId job = this->submitAccepted("evening", jobBody(300));
    REQUIRE(this->waitDone(job));
    this->platformFaults(R"({"lose_answers":0})");
    this->checkResults(job, 2, 300);
    CHECK(this->writes("group") == 4);
    CHECK(this->group(job, 0).epoch.value == 1);
}

// Guards against batch work after the lease deadline, and against losing the text produced before it.
TEST_CASE_METHOD(BatchFixture, "job_leaseLapses_suspendsAndResumesWithoutSecondResult")
{
    this->addEngine("e1", {"--slots=8", "--time_scale=4"});
    const JobId job = this->submitAccepted("evening", jobBody(40, 50));
    REQUIRE(this->driveUntil([this] {
        return this->host().streams() == 8;
    }));
    this->driveFor(150ms);
    this->host().renewing = false;
    this->host().view.leaseDeadline = BootClock::now();
    this->host().publish();
    this->driveFor(300ms);
    CHECK(this->host().streams() == 0);
    CHECK(numberMember(this->engineStats("e1"), "running") == 0);
    CHECK(this->group(job, 0).state == GroupState::Claimed);
    this->host().renewing = true;
    REQUIRE(this->waitDone(job));
    this->checkResults(job, 1, 40, 50);
    CHECK(this->writes("group") == 2);
    CHECK(this->host().metric("skylark_batch_tokens_resumed_total") > 0);
}

// Guards against items that run again after a pause or a cut of their host, in which their job was cancelled by another host.
TEST_CASE_METHOD(BatchFixture, "job_cancelledWhileItsHostWasSuspended_isNotResumedOnTheStaleState")
{
    this->addEngine("e1", {"--slots=8", "--time_scale=4"});
    const JobId job = this->submitAccepted("evening", jobBody(40, 50));
    REQUIRE(this->driveUntil([this] {
        return this->host().streams() == 8;
    }));
    this->host().renewing = false;
    this->host().view.leaseDeadline = BootClock::now();
    this->host().publish();
    this->driveFor(300ms);
    REQUIRE(this->host().streams() == 0);
    const json::value before = this->callJson(this->platform.endpoint, "GET", "/kv/" + batchJobKey(job));
    auto record = parseBatchJob(job, json::serialize(before), KvVersion{1});
    REQUIRE(isOk(record));
    valueOf(record).state = JobState::Cancelled;
    this->put(batchJobKey(job), renderBatchJob(valueOf(record)));
    this->host().renewing = true;
    this->host().publish();
    unsigned streams = 0;
    this->driveUntil(
        [this, &streams] {
            streams = std::max(streams, static_cast<unsigned>(this->host().streams()));
            return false;
        },
        2s);
    CHECK(streams == 0);
}

// Guards against a second completion when a host renews its lease after its session key was gone and its group was taken over.
TEST_CASE_METHOD(BatchFixture, "job_holderSessionGone_otherHostTakesOverAndHolderDrops")
{
    this->addEngine("e1", {"--slots=4", "--time_scale=2"});
    this->addHost("h2");
    const JobId job = this->submitAccepted("evening", jobBody(20, 40));
    REQUIRE(this->driveUntil([this] {
        return this->host().streams() == 4;
    }));
    this->host().renewing = false;
    this->host().view.leaseDeadline = BootClock::now();
    this->host().publish();
    this->erase("session/session-h1");
    this->addEngine("e2", {"--slots=8", "--time_scale=20"}, "h2");
    this->host("h2").updateJob(*this->host().view.jobs.front());
    REQUIRE(this->waitDone(job, "h2"));
    CHECK(this->group(job, 0).epoch.value == 2);
    const WriteId written = this->group(job, 0).writeId;
    this->host().renewing = true;
    this->driveFor(1s);
    CHECK(this->host().service->impl->held.empty());
    CHECK(this->group(job, 0).writeId == written);
    this->checkResults(job, 1, 20, 40);
}

// Guards against batch streams that stay on a target after a yield, and against regenerating tokens that were received.
TEST_CASE_METHOD(BatchFixture, "yieldBatch_runningStreams_newestStopAtOnceAndResume")
{
    this->addEngine("e1", {"--slots=8", "--time_scale=4"});
    const JobId job = this->submitAccepted("evening", jobBody(24, 60));
    REQUIRE(this->driveUntil([this] {
        return this->host().streams() == 8;
    }));
    this->driveFor(200ms);
    yieldBatch(*this->host().service, TargetId{"e1"}, 5);
    CHECK(this->host().streams() == 3);
    CHECK(loadOf(*this->host().context.loads, TargetId{"e1"}).batch == 3);
    this->driveFor(150ms);
    CHECK(numberMember(this->engineStats("e1"), "running") <= 3);
    REQUIRE(this->waitDone(job));
    this->checkResults(job, 1, 24, 60);
    CHECK(this->host().metric("skylark_batch_items_yielded_total") == 5);
    // Tokens in transit to this host when the stream was cancelled are generated again.
    CHECK(numberMember(this->engineStats("e1"), "tokens_regenerated") <= 10);
}

// Guards against streams that cannot be cancelled before their first token.
TEST_CASE_METHOD(BatchFixture, "yieldBatch_streamsBeforeFirstToken_areCancelledAtTheEngine")
{
    this->addEngine("e1", {"--slots=4", "--step_base_ms=4500"});
    this->submitAccepted("evening", jobBody(4));
    REQUIRE(this->driveUntil([this] {
        const json::object stats = this->engineStats("e1");
        return numberMember(stats, "running") + numberMember(stats, "waiting") == 4;
    }));
    yieldBatch(*this->host().service, TargetId{"e1"}, 4);
    CHECK(this->host().streams() == 0);
    CHECK(this->driveUntil(
        [this] {
            return numberMember(this->engineStats("e1"), "cancelled") == 4;
        },
        2s));
}

// Guards against running finished items again after a planned shutdown.
TEST_CASE_METHOD(BatchFixture, "drainBatch_heldGroup_isReleasedWithPartialResults")
{
    this->addEngine("e1", {"--slots=4", "--time_scale=10"});
    const JobId job = this->submitAccepted("evening", jobBody(40, 20));
    REQUIRE(this->driveUntil([this] {
        return this->host().metric("skylark_batch_items_finished_total") >= 12;
    }));
    this->await(this->host(), [](BatchService &service) -> asio::awaitable<Done> {
        co_await drainBatch(service);
        co_return Done{};
    }(*this->host().service));
    const GroupRecord released = this->group(job, 0);
    CHECK(released.state == GroupState::Released);
    CHECK_FALSE(released.partialBlob.empty());
    CHECK(this->writes("group") == 2);
    const auto finished = static_cast<std::uint64_t>(this->host().metric("skylark_batch_items_finished_total"));
    this->addHost("h2");
    this->addEngine("e2", {"--slots=4", "--time_scale=10"}, "h2");
    this->host("h2").updateJob(*this->host().view.jobs.front());
    REQUIRE(this->waitDone(job, "h2"));
    this->checkResults(job, 1, 40, 20);
    CHECK(numberMember(this->engineStats("e2"), "finished") == 40 - finished);
}

TEST_CASE("parseJobLine_badItem_namesLineAndCode")
{
    const WorkspaceConfig workspace = testWorkspace();
    const auto refusal = [&workspace](const std::string &line) {
        JobParser parser;
        parser.workspace = &workspace;
        REQUIRE(isOk(parseJobLine(parser, itemLine("a", "x"))));
        const auto parsed = parseJobLine(parser, line);
        REQUIRE_FALSE(isOk(parsed));
        CHECK(errorOf(parsed).param == "line 2");
        return errorOf(parsed).code;
    };
    CHECK(refusal(itemLine("a", "x")) == ErrorCode::InvalidRequest);
    CHECK(refusal("[]") == ErrorCode::InvalidRequest);
    CHECK(refusal(R"({"custom_id":"b","method":"GET","url":"/v1/chat/completions","body":{"model":"drafter"}})") == ErrorCode::InvalidRequest);
    CHECK(refusal(R"({"custom_id":"b","method":"POST","url":"/v1/other","body":{"model":"drafter"}})") == ErrorCode::InvalidRequest);
    CHECK(refusal(R"({"custom_id":"b","method":"POST","url":"/v1/chat/completions","body":{"model":"none"}})") == ErrorCode::ModelNotFound);
    CHECK(refusal(R"({"custom_id":"b","method":"POST","url":"/v1/services/orders/book","body":{}})") == ErrorCode::CallNotRepeatable);
    CHECK(refusal(itemLine("b", std::string(950000, 'x'))) == ErrorCode::PayloadTooLarge);
}

TEST_CASE("parseJobLine_largeItems_cutIntoSmallerGroupsOfOneModel")
{
    WorkspaceConfig workspace = testWorkspace();
    workspace.models.push_back({ModelId{"orders"}, "1", {}, 0});
    JobParser parser;
    parser.workspace = &workspace;
    for (int i = 0; i < 20; ++i) {
        std::string line = itemLine("i" + std::to_string(i), std::string(100000, 'x'));
        if (i % 2 == 1) {
            line.replace(line.find("drafter"), 7, "orders");
        }
        REQUIRE(isOk(parseJobLine(parser, line)));
    }
    CHECK(parser.job.models.size() == 2);
    CHECK(parser.job.groups.size() == 4);
    std::uint32_t items = 0;
    for (const GroupInput &group : parser.job.groups) {
        CHECK(group.lines.size() < 1000000);
        items += group.items;
    }
    CHECK(items == 20);
}
