/** @file test_stream_version.cpp Streams and outputs of batch items that are continued while several software versions serve. */
#include "core/async_sleep_func.h"
#include "support/jobs_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

constexpr unsigned streams = 12; ///< By chance, all of them stay with their version once in 4,096 runs.

/** A run of a request or item. */
struct VersionedRun {
    SoftwareVersion version; ///< Version of its target.
    std::uint64_t after{0}; ///< Last event that the run was asked to continue after; 0 for a run from the beginning.
};

/** Two replicas each of two software versions, and two hosts. */
struct VersionFixture : JobsFixture {
    std::map<std::string, std::vector<VersionedRun>> runs; ///< Runs by the identifier of their request, in order.

    VersionFixture()
    {
        this->addReplica("i-3");
        this->addReplica("i-4");
        for (const auto &[id, version] : {std::pair("i-1", "v1"), std::pair("i-2", "v1"), std::pair("i-3", "v2"), std::pair("i-4", "v2")}) {
            this->targets->at(TargetId{id}).version.value = version;
        }
        this->servedVersions.clear();
        this->publishAll();
    }

    /** Makes the first run of each request follow @p firstPlan, and all later ones @p laterPlan. */
    void setPlans(const ReplicaPlan &firstPlan, const ReplicaPlan &laterPlan)
    {
        for (const auto &replica : this->replicas) {
            const SoftwareVersion version = this->targets->at(TargetId{replica->id}).version;
            replica->plan = [this, version, firstPlan, laterPlan](const HttpRequest &request, unsigned /*number*/) {
                auto &done = this->runs[std::string(headerValue(request.headers, platform::headerRequestId))];
                const std::string after(headerValue(request.headers, platform::headerLastEvent));
                done.push_back({version, after.empty() ? 0 : std::stoull(after)});
                return done.size() == 1 ? firstPlan : laterPlan;
            };
        }
    }

    /** Removes the replicas of @p version from the list. */
    void removeVersion(const std::string &version)
    {
        std::erase_if(*this->targets, [&version](const auto &entry) {
            return entry.second.version.value == version;
        });
        this->publishAll();
    }

    /** @return A request that resumes the stream of attempt @p begunAs after event @p after. */
    static HttpRequest takeUp(const std::string &id, const std::string &begunAs, unsigned after)
    {
        HttpRequest request = EntryTestHost::request(id, "/chat/x");
        request.headers.push_back({"Resumes", begunAs});
        request.headers.push_back({std::string(platform::headerLastEvent), std::to_string(after)});
        return request;
    }

    /** @return Number of requests or items with a run that goes on at another version than the run before. */
    [[nodiscard]] std::size_t joined() const
    {
        std::size_t count = 0;
        for (const auto &[id, done] : this->runs) {
            bool isJoined = false;
            for (std::size_t i = 1; i < done.size(); ++i) {
                isJoined = isJoined || (done[i].after > 0 && done[i].version != done[i - 1].version);
            }
            count += isJoined ? 1 : 0;
        }
        return count;
    }
};

} // namespace

// Guards against an answer that holds events of two software versions.
TEST_CASE_METHOD(VersionFixture, "stream_targetBreaksOff_goesOnAtTheVersionThatBeganIt")
{
    this->setPlans({.breakAfter = 6}, {});
    unsigned whole = 0;
    for (unsigned i = 0; i < streams; ++i) {
        const std::string id = "s" + std::to_string(i);
        const auto answer = this->call(this->a->endpoint, EntryTestHost::request(id, "/chat/x"));
        whole += isOk(answer) && valueOf(answer).body.find(eventData(id, 10)) != std::string::npos ? 1 : 0;
    }
    CHECK(this->joined() == 0);
    CHECK(whole == streams);
}

// Guards against a stream that a caller resumes at another host and that goes on at another software version.
TEST_CASE_METHOD(VersionFixture, "callerResumedStream_beganAtAnotherHost_goesOnAtTheVersionThatBeganIt")
{
    this->routeNamed("chat").maxAttempts = 1;
    this->publishAll();
    this->setPlans({.breakAfter = 3}, {});
    std::size_t wrong = 0;
    std::size_t whole = 0;
    for (unsigned i = 0; i < streams; ++i) {
        const std::string begun = "s" + std::to_string(i);
        REQUIRE_FALSE(isOk(this->call(this->a->endpoint, EntryTestHost::request(begun, "/chat/x"))));
        const std::string id = "again" + begun;
        this->runs[id].push_back({}); // The first run of this attempt follows the later plan.
        whole += this->b->send(takeUp(id, begun, 3)).status == 200 ? 1 : 0;
        wrong += this->runs[id].size() > 1 && this->runs[id].back().version != this->runs[begun].front().version ? 1 : 0;
    }
    CHECK(wrong == 0);
    CHECK(whole == streams);
}

// Guards against a stream that goes on at a guessed software version, as after the loss of all hosts.
TEST_CASE_METHOD(VersionFixture, "callerResumedStream_noHostKnowsIt_isRefusedWhileSeveralVersionsHaveServed")
{
    this->setPlans({}, {});
    SECTION("both versions serve")
    {
        CHECK(this->b->send(takeUp("again", "s1", 3)).status == 503);
    }
    SECTION("the targets of the other version have left")
    {
        this->removeVersion("v2");
        CHECK(this->b->send(takeUp("again", "s1", 3)).status == 503);
    }
    CHECK(this->runs.empty());
}

// Guards against a fleet of one software version that refuses the streams that a restarted host does not know.
TEST_CASE_METHOD(VersionFixture, "callerResumedStream_noHostKnowsIt_goesOnWhereOneVersionServes")
{
    for (auto &[id, entry] : *this->targets) {
        entry.version.value = "v1";
    }
    this->servedVersions.clear();
    this->publishAll();
    this->setPlans({}, {});
    CHECK(this->b->send(takeUp("again", "s1", 3)).status == 200);
    CHECK(this->runs["again"].front().after == 3);
}

// Guards against a caller that waits for the rest of a stream whose software version has left.
TEST_CASE_METHOD(VersionFixture, "stream_itsVersionHasLeft_isBrokenOffAtOnce")
{
    this->setPlans({.step = 50ms, .breakAfter = 6}, {});
    const TimePoint begun = BootClock::now();
    this->targets->at(TargetId{"i-2"}).version.value = "v2";
    this->targets->at(TargetId{"i-3"}).leaving = true;
    this->targets->at(TargetId{"i-2"}).leaving = true;
    this->targets->at(TargetId{"i-4"}).leaving = true;
    this->publishAll();
    auto change = [](VersionFixture &fixture) -> boost::asio::awaitable<void> {
        co_await sleepFor(150ms);
        fixture.targets->at(TargetId{"i-1"}).leaving = true;
        fixture.targets->at(TargetId{"i-3"}).leaving = false;
        fixture.publishAll();
    };
    boost::asio::co_spawn(this->loop, change(*this), boost::asio::detached);
    CHECK_FALSE(isOk(this->call(this->a->endpoint, EntryTestHost::request("s1", "/chat/x"))));
    CHECK(BootClock::now() - begun < 1s);
    CHECK(this->joined() == 0);
}

// Guards against a batch result whose text is of two software versions.
TEST_CASE_METHOD(VersionFixture, "item_targetBreaksOff_textIsOfOneVersion")
{
    this->setPlans({.breakAfter = 6}, {});
    REQUIRE(this->submit(*this->a, "j1", streams).status == 202);
    const auto read = this->results(*this->a, "j1", streams);
    CHECK(read.size() == streams);
    for (const auto &entry : read) {
        CHECK(std::string(entry.at("text").get_string()) == wholeText(std::string(entry.at("id").get_string()), 10));
    }
    CHECK(this->joined() == 0);
}

// Guards against an item that waits without end for a software version that has left.
TEST_CASE_METHOD(VersionFixture, "item_itsVersionHasLeft_beginsAnew")
{
    this->setPlans({.step = 20ms, .breakAfter = 6}, {});
    REQUIRE(this->submit(*this->a, "j1", streams).status == 202);
    REQUIRE(this->runUntil(
        [this] {
            return this->runs.size() == streams;
        },
        3s));
    this->removeVersion("v1");
    CHECK(this->results(*this->a, "j1", streams).size() == streams);
    CHECK(this->joined() == 0);
}
