/** @file test_control.cpp Tests of the control component: several hosts in one process against the platform stand-in. */
#include "config/config_json_func.h"
#include "control/control_base.h"
#include "support/process_func.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/use_future.hpp>
#include <future>
#include <thread>

using namespace skylark;
using namespace skylark::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/** One host: context, peer RPC server and control component with its own thread. */
struct TestHost {
    HostContext context;
    std::unique_ptr<PeerRpc> rpc;
    std::shared_ptr<Control> control; ///< Component under test.
    std::thread thread; ///< Runs the control loop.
    std::atomic<bool> created{false}; ///< Whether the RPC thread may use control.
    asio::executor_work_guard<asio::io_context::executor_type> guard{context.control.get_executor()}; ///< Keeps the control loop running without work.

    explicit TestHost(Settings settings)
    {
        this->context.settings = std::make_shared<const Settings>(std::move(settings));
        PeerHandlers handlers;
        handlers.pullState = [this](Revision known, std::uint64_t cursor, std::function<void(Result<StateBundle>)> reply) {
            if (!this->created) {
                reply(makeError(ErrorCode::NotReady, "starting"));
                return;
            }
            pullState(*this->control, known, cursor, std::move(reply));
        };
        auto peer = PeerRpc::create(this->self().peerRpc, std::move(handlers));
        REQUIRE(isOk(peer));
        this->rpc = std::move(valueOf(peer));
        auto component = Control::create(this->context, *this->rpc, nullptr);
        REQUIRE(isOk(component));
        this->control = valueOf(component);
        this->created = true;
        startControl(*this->control);
        this->thread = std::thread([this] {
            this->context.control.run();
        });
    }
    TestHost(const TestHost &) = delete;
    TestHost &operator=(const TestHost &) = delete;
    ~TestHost()
    {
        this->context.control.stop();
        this->thread.join();
        this->rpc.reset();
    }

    [[nodiscard]] const HostInfo &self() const
    {
        return *this->context.settings->self();
    }

    [[nodiscard]] std::shared_ptr<const ControlSnapshot> snapshot() const
    {
        return this->context.snapshot->current.load();
    }

    [[nodiscard]] std::uint64_t revision() const
    {
        const auto now = this->snapshot();
        return now->config ? now->config->revision.value : 0;
    }

    [[nodiscard]] bool leaseValid() const
    {
        return BootClock::now() < this->snapshot()->leaseDeadline;
    }
};

/** Hosts h0 and h1 in domain d0 and h2 in domain d1; each test starts the hosts that it needs. */
struct ControlFixture : TestLoop {
    Settings common; ///< Settings shared by all hosts; the name of the host is missing.
    std::unique_ptr<RunningProgram> platform; ///< Platform stand-in; null until started.
    std::vector<std::unique_ptr<TestHost>> hosts; ///< Started hosts, in the order of their start.

    ControlFixture()
    {
        this->common.platform = {"127.0.0.1", freePort()};
        this->common.leaseTtl = 3000ms;
        this->common.leaseRenew = 500ms;
        this->common.leaseMargin = 1000ms;
        this->common.hostListInterval = 200ms;
        this->common.statusInterval = 200ms;
        this->common.seed = 7;
        for (int i = 0; i < 3; ++i) {
            HostInfo info{.id = HostId{"h" + std::to_string(i)}, .domain = DomainId{i < 2 ? "d0" : "d1"}};
            info.http = {"127.0.0.1", freePort()};
            info.admin = {"127.0.0.1", freePort()};
            info.peerRpc = {"127.0.0.1", freePort()};
            info.status = {"127.0.0.1", freePort()};
            this->common.hosts.push_back(info);
        }
    }

    void startPlatform()
    {
        this->platform = std::make_unique<RunningProgram>();
        const std::vector<std::string> arguments{"--port=" + std::to_string(this->common.platform.port), "--host_lag_ms=0"};
        auto process = ChildProcess::create({.program = "standin-platform", .arguments = arguments, .outputFile = {}});
        REQUIRE(isOk(process));
        this->platform->process = std::move(valueOf(process));
        this->platform->endpoint = this->common.platform;
        REQUIRE(waitListening(this->common.platform.port));
    }

    TestHost &startHost(int index)
    {
        Settings settings = this->common;
        settings.host = HostId{"h" + std::to_string(index)};
        this->hosts.push_back(std::make_unique<TestHost>(settings));
        return *this->hosts.back();
    }

    void setFaults(std::string body)
    {
        this->callJson(this->common.platform, "POST", "/faults", std::move(body));
    }

    /** Applies template @p name on @p host. @param expected Expected document revision. */
    HttpResponse apply(const TestHost &host, const std::string &name, std::uint64_t expected, const std::string &body)
    {
        return this->applyAt(host.self().admin, name, expected, body, {});
    }

    /** As apply(). @param writeId Identifies the edit; omitted if empty. */
    HttpResponse applyAt(const Endpoint &admin, const std::string &name, std::uint64_t expected, const std::string &body, const std::string &writeId)
    {
        HttpRequest request{.method = "POST", .target = "/admin/v1/config/apply", .headers = {}, .body = {}};
        json::object edit{{"kind", "template"}, {"name", name}, {"expected_doc_revision", expected}, {"body", body}, {"by", "test"}};
        if (!writeId.empty()) {
            edit["write_id"] = writeId;
        }
        request.body = json::serialize(edit);
        HttpTimeouts timeouts;
        timeouts.firstByte = 12s;
        auto answer = this->run(httpCall(this->http, admin, std::move(request), timeouts, ConnectionUse::Fresh));
        REQUIRE(isOk(answer));
        return valueOf(answer);
    }

    int readyStatus(const TestHost &host)
    {
        const auto answer = this->call(host.self().admin, HttpRequest{.target = "/readyz"});
        REQUIRE(isOk(answer));
        return valueOf(answer).status;
    }

    bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit = 15s)
    {
        return this->runUntil(condition, limit);
    }
};

std::string bodyWithDeadline(int milliseconds)
{
    return R"({"online": {"deadline_ms": )" + std::to_string(milliseconds) + "}}";
}

} // namespace

TEST_CASE_METHOD(ControlFixture, "start_withoutAnyAnswer_staysNotReady")
{
    // Guards against a host that serves with an empty or outdated configuration although neither the key-value service nor a peer has answered it.
    TestHost &host = this->startHost(0);
    this->runFor(1500ms);
    CHECK(this->readyStatus(host) == 503);
    CHECK_FALSE(host.snapshot()->ready);
    CHECK(host.snapshot()->config == nullptr);
    CHECK(this->apply(host, "chat", 0, "{}").status == 503);
    this->startPlatform();
    REQUIRE(this->waitUntil([&host] {
        return host.snapshot()->ready && host.leaseValid();
    }));
    CHECK(this->readyStatus(host) == 200);
}

TEST_CASE_METHOD(ControlFixture, "start_duringOutage_takesConfigurationFromPeerOfTheDomain")
{
    // Guards against a host that cannot start while the key-value service is down: it must take the configuration from a peer of its domain.
    this->startPlatform();
    TestHost &first = this->startHost(0);
    REQUIRE(this->waitUntil([&first] {
        return first.snapshot()->ready;
    }));
    REQUIRE(this->apply(first, "chat", 0, bodyWithDeadline(1000)).status == 200);
    killProcess(*this->platform->process);
    TestHost &second = this->startHost(1);
    REQUIRE(this->waitUntil([&second] {
        return second.snapshot()->ready;
    }));
    CHECK(second.revision() == 1);
    CHECK(this->apply(second, "chat", 1, bodyWithDeadline(2000)).status == 503);
    CHECK_FALSE(second.leaseValid());
}

TEST_CASE_METHOD(ControlFixture, "edit_onOneHost_isInForceInAllDomains")
{
    // Guards against hosts that keep the old configuration: an edit on any host must be in force on all of them within 5 s.
    this->startPlatform();
    for (int i = 0; i < 3; ++i) {
        this->startHost(i);
    }
    const auto allAt = [this](std::uint64_t revision) {
        return std::all_of(this->hosts.begin(), this->hosts.end(), [revision](const auto &host) {
            return host->revision() == revision && host->snapshot()->ready;
        });
    };
    REQUIRE(this->waitUntil([&] {
        return allAt(0);
    }));
    for (std::uint64_t revision = 1; revision <= 3; ++revision) {
        REQUIRE(this->apply(*this->hosts[revision % 3], "chat", revision - 1, bodyWithDeadline(static_cast<int>(revision) * 100)).status == 200);
        CHECK(this->waitUntil(
            [&] {
                return allAt(revision);
            },
            5s));
    }
    const auto view = this->callJson(this->hosts[0]->self().admin, "GET", "/admin/v1/config?kind=template&name=chat");
    CHECK(view.at("doc_revision").to_number<int>() == 3);
}

TEST_CASE_METHOD(ControlFixture, "oldRevision_deliveredLate_doesNotRevert")
{
    // Guards against a configuration that reverts because a restored or lagging key-value service returns an older head.
    this->startPlatform();
    TestHost &first = this->startHost(0);
    TestHost &second = this->startHost(1);
    REQUIRE(this->waitUntil([&] {
        return first.snapshot()->ready && second.snapshot()->ready;
    }));
    REQUIRE(this->apply(first, "chat", 0, bodyWithDeadline(100)).status == 200);
    const auto old = this->call(this->common.platform, HttpRequest{.target = "/kv/config/head"});
    REQUIRE(this->apply(first, "chat", 1, bodyWithDeadline(200)).status == 200);
    REQUIRE(this->waitUntil([&] {
        return second.revision() == 2;
    }));
    const auto present = this->call(this->common.platform, HttpRequest{.target = "/kv/config/head"});
    REQUIRE(isOk(present));
    const std::string version(headerValue(valueOf(present).headers, "x-version"));
    const auto put =
        this->call(this->common.platform, {.method = "PUT", .target = "/kv/config/head?if_version=" + version, .headers = {}, .body = valueOf(old).body});
    REQUIRE(isOk(put));
    REQUIRE(valueOf(put).status == 200);
    this->runFor(1500ms);
    CHECK(first.revision() == 2);
    CHECK(second.revision() == 2);
}

TEST_CASE_METHOD(ControlFixture, "operators_racingWithLostAnswers_haveOneWinner")
{
    // Guards against lost or duplicate edits: of six edits that expect the same revision, sent while answers of the key-value service get
    // lost, exactly one must be committed and the others must get a conflict.
    this->startPlatform();
    TestHost &first = this->startHost(0);
    TestHost &second = this->startHost(2);
    REQUIRE(this->waitUntil([&] {
        return first.snapshot()->ready && second.snapshot()->ready;
    }));
    this->setFaults(R"({"lose_answers": 0.2, "seed": 11})");
    std::vector<std::future<int>> outcomes;
    for (int i = 0; i < 6; ++i) {
        const Endpoint admin = i % 2 == 0 ? first.self().admin : second.self().admin;
        outcomes.push_back(std::async(std::launch::async, [admin, i] {
            TestLoop loop;
            HttpRequest request{.method = "POST", .target = "/admin/v1/config/apply", .headers = {}, .body = {}};
            request.body = json::serialize(json::object{{"kind", "template"},
                                                        {"name", "chat"},
                                                        {"expected_doc_revision", 0},
                                                        {"body", bodyWithDeadline(100 + i)},
                                                        {"by", "operator " + std::to_string(i)}});
            HttpTimeouts timeouts;
            timeouts.firstByte = 15s;
            const auto answer = loop.run(httpCall(loop.http, admin, std::move(request), timeouts, ConnectionUse::Fresh));
            return isOk(answer) ? valueOf(answer).status : 0;
        }));
    }
    std::map<int, int> byStatus;
    for (auto &outcome : outcomes) {
        ++byStatus[outcome.get()];
    }
    this->setFaults(R"({"lose_answers": 0})");
    CHECK(byStatus[200] == 1);
    CHECK(byStatus[409] == 5);
    const auto head = this->call(this->common.platform, HttpRequest{.target = "/kv/config/head"});
    REQUIRE(isOk(head));
    const auto parsed = headFromJson(valueOf(head).body);
    REQUIRE(isOk(parsed));
    CHECK(valueOf(parsed).revision == Revision{1});
}

TEST_CASE_METHOD(ControlFixture, "edit_sentAgainWithItsWriteId_isCommittedOnce")
{
    // Guards against an edit that is committed twice: skylarkctl sends an edit with the same write id to the next host when the first one
    // does not answer.
    this->startPlatform();
    TestHost &first = this->startHost(0);
    TestHost &second = this->startHost(2);
    REQUIRE(this->waitUntil([&] {
        return first.snapshot()->ready && second.snapshot()->ready;
    }));
    CHECK(this->applyAt(first.self().admin, "chat", 0, "{}", "same").status == 200);
    const HttpResponse again = this->applyAt(second.self().admin, "chat", 0, "{}", "same");
    CHECK(again.status == 200);
    CHECK(json::parse(again.body).at("revision").to_number<int>() == 1);
    const HttpResponse conflict = this->applyAt(second.self().admin, "chat", 0, "{}", "other");
    CHECK(conflict.status == 409);
    CHECK(json::parse(conflict.body).at("error").at("param").as_string() == "1");
    CHECK(this->applyAt(second.self().admin, "chat", 1, R"({"online": 1})", "third").status == 422);
}

TEST_CASE_METHOD(ControlFixture, "history_longerThanTheLog_reachesHostsThatStartLater")
{
    // Guards against documents that are lost when their entry leaves the log of the head, which keeps 64 entries.
    this->startPlatform();
    TestHost &first = this->startHost(0);
    REQUIRE(this->waitUntil([&] {
        return first.snapshot()->ready;
    }));
    REQUIRE(this->apply(first, "oldest", 0, bodyWithDeadline(1)).status == 200);
    for (int i = 0; i < 70; ++i) {
        REQUIRE(this->apply(first, "chat", static_cast<std::uint64_t>(i), bodyWithDeadline(i + 1)).status == 200);
    }
    TestHost &other = this->startHost(2);
    REQUIRE(this->waitUntil([&] {
        return other.revision() == 71;
    }));
    const auto config = other.snapshot()->config;
    CHECK(config->documents.contains({DocumentKind::Template, "oldest"}));
    CHECK(config->documents.at({DocumentKind::Template, "chat"}).docRevision == 70);
}

TEST_CASE_METHOD(ControlFixture, "lease_lapsedAndGrantedAgain_keepsTheSession")
{
    // Guards against effects after the deadline of the lease: the host must stop by itself, because nobody can tell it during an outage of the
    // key-value service. Its session must survive the outage.
    this->startPlatform();
    TestHost &host = this->startHost(0);
    REQUIRE(this->waitUntil([&] {
        return host.snapshot()->ready && host.leaseValid();
    }));
    const SessionId session = host.snapshot()->session;
    const std::string key = "/kv/session/" + session.value;
    this->setFaults(R"({"down": true})");
    const TimePoint deadline = host.snapshot()->leaseDeadline;
    CHECK(deadline <= BootClock::now() + this->common.leaseTtl - this->common.leaseMargin);
    REQUIRE(this->waitUntil([&] {
        return !host.leaseValid() && !host.snapshot()->platformReachable;
    }));
    this->runFor(2000ms);
    CHECK_FALSE(host.leaseValid());
    CHECK(host.snapshot()->ready);
    this->setFaults(R"({"down": false})");
    REQUIRE(this->waitUntil([&] {
        return host.leaseValid();
    }));
    CHECK(host.snapshot()->session == session);
    this->runFor(3500ms);
    const auto value = this->call(this->common.platform, HttpRequest{.target = key});
    REQUIRE(isOk(value));
    CHECK(valueOf(value).status == 200);
    CHECK(host.leaseValid());
    std::promise<void> ended;
    asio::co_spawn(host.context.control, endSession(*host.control), [&ended](const std::exception_ptr &) {
        ended.set_value();
    });
    ended.get_future().wait();
    CHECK_FALSE(host.leaseValid());
    const auto gone = this->call(this->common.platform, HttpRequest{.target = key});
    REQUIRE(isOk(gone));
    CHECK(valueOf(gone).status == 404);
}

TEST_CASE_METHOD(ControlFixture, "leavingTarget_reportedByOneHost_isKnownToTheDomain")
{
    // Guards against new work for a leaving target: the other hosts of the domain must know of it within 3 s of the report by one host.
    this->startPlatform();
    this->callJson(this->common.platform,
                   "POST",
                   "/targets",
                   R"([{"id": "t1", "kind": "service", "service": "shop", "domain": "d0", "address": "127.0.0.1", "port": 9},
                       {"id": "t2", "kind": "service", "service": "shop", "domain": "d1", "address": "127.0.0.1", "port": 9}])");
    TestHost &first = this->startHost(0);
    TestHost &second = this->startHost(1);
    const auto target = [](const TestHost &host) {
        const auto snapshot = host.snapshot();
        return snapshot->targets.empty() ? TargetView() : snapshot->targets.front();
    };
    REQUIRE(this->waitUntil([&] {
        const auto owner = target(first).batchOwner;
        return !owner.empty() && owner == target(second).batchOwner && first.snapshot()->hosts[1].state == HostState::Live;
    }));
    CHECK(second.snapshot()->targets.size() == 1);
    CHECK_FALSE(target(second).leaving);
    reportTargetLeaving(*first.control, TargetId{"t1"});
    CHECK(this->waitUntil(
        [&] {
            return target(first).leaving && target(second).leaving;
        },
        3s));
}

TEST_CASE_METHOD(ControlFixture, "jobCancel_announcedByOneHost_isKnownToTheDomainDuringAnOutage")
{
    // Guards against batch work that continues after a cancellation because the watch of the job record is late: the other host must learn of
    // it from its peer, and an older record must not undo it.
    this->startPlatform();
    TestHost &first = this->startHost(0);
    TestHost &second = this->startHost(1);
    REQUIRE(this->waitUntil([&] {
        return first.snapshot()->ready && second.snapshot()->ready && first.snapshot()->hosts[1].state == HostState::Live
               && second.snapshot()->hosts[1].state == HostState::Live;
    }));
    killProcess(*this->platform->process);
    JobRecord job;
    job.id = JobId{"j1"};
    job.workspace = WorkspaceId{"w"};
    job.itemCount = 300;
    job.groupCount = 2;
    job.inputBlobs = {BlobId{"a"}, BlobId{"b"}};
    job.version = KvVersion{5};
    const auto stateAt = [](const TestHost &host, JobState state) {
        const auto jobs = host.snapshot()->jobs;
        return jobs.size() == 1 && jobs.front()->state == state && jobs.front()->inputBlobs.size() == 2;
    };
    announceJob(*first.control, job);
    CHECK(this->waitUntil([&] {
        return stateAt(second, JobState::Active);
    }));
    job.state = JobState::Cancelled;
    job.version = KvVersion{6};
    announceJob(*first.control, job);
    CHECK(this->waitUntil([&] {
        return stateAt(second, JobState::Cancelled);
    }));
    job.state = JobState::Active;
    job.version = KvVersion{5};
    announceJob(*second.control, job);
    this->runFor(300ms);
    CHECK(stateAt(second, JobState::Cancelled));
}
