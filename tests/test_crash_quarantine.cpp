/** @file test_crash_quarantine.cpp Hosts between callers and targets that crash under requests with one prompt part. */
#include "support/entry_fixture.h"

#include <algorithm>

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view crashingPart = "bad0";

/** Targets that crash as soon as they begin to answer a request with the part bad0, and one host. */
struct CrashFixture : EntryFixture {
    static constexpr unsigned targetCount = 12;
    static constexpr unsigned maxRunsAfterFifth = 3; ///< Bound of the issue: further requests that may reach targets after the fifth crash.

    std::unique_ptr<EntryTestHost> host;

    CrashFixture()
    {
        for (unsigned i = 0; i < targetCount; ++i) {
            Replica &replica = this->addReplica("i-" + std::to_string(i));
            replica.plan = [](const HttpRequest &request, unsigned /*number*/) {
                return ReplicaPlan{.events = 12, .crashesAtBegin = carriesCrashingPart(request.headers)};
            };
        }
        this->host = std::make_unique<EntryTestHost>(*this, "front-1");
    }

    static bool carriesCrashingPart(const HttpHeaders &headers)
    {
        return headerValue(headers, platform::headerPromptParts).find(crashingPart) != std::string_view::npos;
    }

    /** @return A request with the shared parts @p shared and a last part of its own. */
    static HttpRequest promptRequest(const std::string &id, const std::string &shared)
    {
        HttpRequest message = EntryTestHost::request(id, "/chat/x");
        message.headers.push_back({std::string(platform::headerPromptParts), shared + ",f" + std::to_string(std::hash<std::string>()(id) % 100000) + ":250"});
        return message;
    }

    /** @return Status of the answer; 0 when the connection was closed without a complete one. */
    int statusOf(HttpRequest message)
    {
        auto answer = this->call(this->host->endpoint, std::move(message));
        return isOk(answer) ? valueOf(answer).status : 0;
    }

    [[nodiscard]] unsigned crashes() const
    {
        unsigned count = 0;
        for (const auto &replica : this->replicas) {
            count += replica->crashes;
        }
        return count;
    }
};

} // namespace

// Guards against requests with one prompt part that crash one target after the other.
TEST_CASE_METHOD(CrashFixture, "forward_promptPartCrashesTargets_reachesFewMoreTargets")
{
    for (unsigned i = 0; i < 20; ++i) {
        const std::string number = std::to_string(i);
        this->statusOf(promptRequest("bad-" + number, "a1:100,b1:100,bad0:50"));
        CHECK(this->statusOf(promptRequest("sound-" + number, "a1:100,b1:100")) == 200);
        this->runFor(120ms);
    }
    CHECK(this->crashes() <= 5 + maxRunsAfterFifth);
}

// Guards against sound requests that are rejected because they share a part with those that crash targets.
TEST_CASE_METHOD(CrashFixture, "forward_soundRequestsShareOtherParts_areServed")
{
    for (unsigned i = 0; i < 12; ++i) {
        this->statusOf(promptRequest("bad-" + std::to_string(i), "a1:100,b1:100,bad0:50"));
        this->runFor(120ms);
    }
    CHECK(this->statusOf(promptRequest("s1", "a1:100,b1:100")) == 200);
    CHECK(this->statusOf(promptRequest("s2", "a1:100")) == 200);
    CHECK(this->statusOf(promptRequest("s3", "a1:100,c1:100")) == 200);
}

// Guards against items of batch jobs that crash targets on behalf of a part that is quarantined already.
TEST_CASE_METHOD(CrashFixture, "job_itemHasQuarantinedPart_waitsAndOtherItemsFinish")
{
    for (unsigned i = 0; i < 6; ++i) {
        this->statusOf(promptRequest("bad-" + std::to_string(i), "a1:100,b1:100,bad0:50"));
        this->runFor(120ms);
    }
    const unsigned before = this->crashes();
    HttpRequest submission = EntryTestHost::request("j1", "/batch/j1");
    const auto item = [](const std::string &id, const std::string &parts) {
        return R"({"id":")" + id + R"(","path":"/batch/)" + id + R"(","headers":{"X-Skylarkstage-Prompt-Prefix":")" + parts
               + R"("},"body":"cXdlcnQ=","tokens":100})";
    };
    submission.body = R"({"items":[)" + item("x1", "a1:100,bad0:50,e1:9") + "," + item("x2", "a1:100,e2:9") + "]}";
    REQUIRE(this->statusOf(submission) == 202);
    CHECK(this->runUntil([this] {
        return this->runsOf("x2") == 1;
    }));
    this->runFor(1s);
    CHECK(this->runsOf("x1") == 0);
    CHECK(this->crashes() == before);
}

// Guards against a rejection that promises "not run" for a request whose run has ended a target, and against sending that request to further targets.
TEST_CASE_METHOD(CrashFixture, "forward_requestCrashedItsTarget_isNotReportedAsNotRun")
{
    for (unsigned i = 0; i < 8; ++i) {
        const std::string id = "bad-" + std::to_string(i);
        const int status = this->statusOf(promptRequest(id, "a1:100,b1:100,bad0:50"));
        CHECK(status == (this->runsOf(id) > 0 ? 502 : 503));
        this->runFor(120ms);
    }
}
