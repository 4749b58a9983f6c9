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
