/** @file test_lost_links.cpp Callers of a host that has lost its connections to all targets, while the other hosts have theirs. */
#include "support/entry_fixture.h"
#include "support/unreachable_endpoint.h"

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds contactTime{3000}; ///< Time after the beginning of a cut from which callers must be served.

/** Four replicas and two hosts. */
struct LinkFixture : EntryFixture {
    std::vector<Replica *> targetsInOrder{&this->addReplica("i-1"), &this->addReplica("i-2"), &this->addReplica("i-3"), &this->addReplica("i-4")};
    EntryTestHost a{*this, "front-1", false};
    EntryTestHost b{*this, "front-2", false};
    std::vector<std::unique_ptr<UnreachableEndpoint>> unreachable;
    unsigned sent{0}; ///< Requests sent by serveDuring() and countServed().

    LinkFixture()
    {
        this->routeNamed("chat").sessionAffinity = false;
        this->a.publish({SessionId{"session-front-2"}});
        this->b.publish({SessionId{"session-front-1"}});
    }

    /** Cuts @p host off from all targets. @param hangs Whether new connections hang rather than being refused. */
    void cut(EntryTestHost &host, bool hangs)
    {
        host.ownTargets = std::make_shared<TargetMap>(*this->targets);
        for (auto &[id, entry] : *host.ownTargets) {
            this->unreachable.push_back(std::make_unique<UnreachableEndpoint>(this->loop, hangs));
            entry.endpoint = this->unreachable.back()->endpoint();
        }
        host.publish({SessionId{"session-front-1"}, SessionId{"session-front-2"}});
    }

    /** @return Status of one request; 0 for none. */
    int statusOf(EntryTestHost &host, const std::string &path)
    {
        const auto answer = this->call(host.endpoint, EntryTestHost::request("r" + std::to_string(this->sent++), path, 1s));
        return isOk(answer) ? valueOf(answer).status : 0;
    }

    /** Sends requests until the contact time is over. */
    void sendDuringContactTime(EntryTestHost &host)
    {
        const TimePoint until = BootClock::now() + contactTime;
        while (BootClock::now() < until) {
            (void)this->statusOf(host, "/lookup/x");
        }
    }

    /** @return Number of @p count requests that are served. */
    unsigned countServed(EntryTestHost &host, const std::string &path, unsigned count)
    {
        unsigned served = 0;
        for (unsigned i = 0; i < count; ++i) {
            served += this->statusOf(host, path) == 200 ? 1 : 0;
        }
        return served;
    }
};

} // namespace

// Guards against a host that refuses its callers because it has lost its links, although another host could serve them.
TEST_CASE_METHOD(LinkFixture, "request_hostHasLostItsLinks_isServedByAnotherHost")
{
    const bool hangs = GENERATE(false, true);
    const std::string path = GENERATE(as<std::string>(), "/lookup/x", "/chat/x", "/order/x");
    CAPTURE(hangs, path);
    this->cut(this->a, hangs);
    this->sendDuringContactTime(this->a);
    CHECK(this->countServed(this->a, path, 20) == 20);
}

// Guards against requests that go round among hosts which have all lost their links, or wait until their deadline there.
TEST_CASE_METHOD(LinkFixture, "request_allHostsHaveLostTheirLinks_isRefusedAtOnceAndRelayedNowhere")
{
    this->cut(this->a, false);
    this->cut(this->b, false);
    this->sendDuringContactTime(this->a);
    this->sendDuringContactTime(this->b);
    const TimePoint begun = BootClock::now();
    CHECK(this->statusOf(this->a, "/lookup/x") == 503);
    CHECK(BootClock::now() - begun < 500ms);
    CHECK(acceptsCallers(*this->a.proxy));
}

// Guards against a host that is used as one without links after they are back, and against new callers at it before.
TEST_CASE_METHOD(LinkFixture, "host_linksAreBack_servesItsCallersItselfAgain")
{
    CHECK(acceptsCallers(*this->a.proxy));
    this->cut(this->a, false);
    this->sendDuringContactTime(this->a);
    CHECK_FALSE(acceptsCallers(*this->a.proxy));
    CHECK(acceptsCallers(*this->b.proxy));
    this->a.ownTargets.reset();
    this->a.publish({SessionId{"session-front-1"}, SessionId{"session-front-2"}});
    REQUIRE(this->runUntil(
        [this] {
            return acceptsCallers(*this->a.proxy);
        },
        1s));
    this->b.server.reset();
    this->b.relayServer.reset();
    this->b.proxy->relayPeers = {};
    std::erase(this->hosts, &this->b);
    CHECK(this->countServed(this->a, "/lookup/x", 10) == 10);
}

// Guards against a relayed request that must not be repeated and runs twice, or has other bytes.
TEST_CASE_METHOD(LinkFixture, "unsafeRequest_isRelayed_runsOnceAsItWasSent")
{
    this->cut(this->a, false);
    this->sendDuringContactTime(this->a);
    HttpRequest request = EntryTestHost::request("order-1", "/order/x?y=1");
    request.headers.push_back({"X-Mark", "m"});
    const HttpResponse answer = this->a.send(std::move(request));
    CHECK(answer.status == 200);
    REQUIRE(this->runsOf("order-1") == 1);
    for (const auto &replica : this->replicas) {
        for (const auto &run : replica->runs) {
            if (run->id == "order-1") {
                CHECK(run->target == "/order/x?y=1");
                CHECK(run->body == "body of order-1");
                CHECK(headerValue(run->headers, "X-Mark") == "m");
                CHECK(headerValue(run->headers, "Resumes").empty());
            }
        }
    }
}

// Guards against a relay that hides from a host which targets are leaving, or gives it a rate limit that it cannot attribute.
TEST_CASE_METHOD(LinkFixture, "answer_isRelayed_hasNoStateOfItsTarget")
{
    this->cut(this->a, false);
    this->sendDuringContactTime(this->a);
    for (Replica *replica : this->targetsInOrder) {
        replica->leaving = true;
        replica->plan = [](const HttpRequest & /*request*/, unsigned /*number*/) {
            return ReplicaPlan{.stream = false, .headers = {{std::string(platform::headerServerLimit), "50"}, {"X-Mark", "m"}}};
        };
    }
    const HttpResponse answer = this->a.send(EntryTestHost::request("q1", "/lookup/x"));
    CHECK(answer.status == 200);
    CHECK(headerValue(answer.headers, "X-Mark") == "m");
    CHECK(headerValue(answer.headers, platform::headerServerLeaving).empty());
    CHECK(headerValue(answer.headers, platform::headerServerLimit).empty());
}

// Guards against a relayed stream that goes on at another version, at another host or directly because the links are back.
TEST_CASE_METHOD(LinkFixture, "stream_relayedAndBrokenOff_goesOnAtTheVersionThatBeganIt")
{
    this->servedVersions.clear();
    for (const auto &[id, version] : {std::pair("i-1", "v1"), std::pair("i-2", "v1"), std::pair("i-3", "v2"), std::pair("i-4", "v2")}) {
        this->targets->at(TargetId{id}).version.value = version;
    }
    this->b.publish({SessionId{"session-front-1"}});
    this->cut(this->a, false);
    this->sendDuringContactTime(this->a);
    this->routeNamed("chat").maxAttempts = 1;
    this->b.publish({SessionId{"session-front-1"}});
    this->routeNamed("chat").maxAttempts = 2;
    const bool linksReturn = GENERATE(false, true);
    std::map<std::string, std::vector<std::string>> runs;
    for (Replica *replica : this->targetsInOrder) {
        const std::string version = this->targets->at(TargetId{replica->id}).version.value;
        replica->plan = [this, &runs, version, linksReturn](const HttpRequest &request, unsigned /*number*/) {
            auto &done = runs[std::string(headerValue(request.headers, platform::headerRequestId))];
            done.push_back(version);
            if (linksReturn) {
                this->a.ownTargets.reset();
                this->a.publish({SessionId{"session-front-1"}, SessionId{"session-front-2"}});
                this->a.proxy->links.lost = false;
            }
            return done.size() == 1 ? ReplicaPlan{.breakAfter = 4} : ReplicaPlan{};
        };
    }
    for (unsigned i = 0; i < 8; ++i) {
        const std::string id = "s" + std::to_string(i);
        this->a.proxy->links.lost = true;
        const auto answer = this->call(this->a.endpoint, EntryTestHost::request(id, "/chat/x"));
        CHECK(isOk(answer));
        REQUIRE_FALSE(runs[id].empty());
        CHECK(std::set<std::string>(runs[id].begin(), runs[id].end()).size() == 1);
    }
}
