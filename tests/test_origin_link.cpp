/** @file test_origin_link.cpp Records of streams' versions, questions and the state of links between hosts, over their datagrams. */
#include "entry/origin_link_func.h"
#include "support/entry_fixture.h"

using namespace skylark;
using namespace skylark::test;
using namespace std::chrono_literals;

namespace {

const ServiceVersion v1{ServiceId{"llm"}, SoftwareVersion{"v1"}};

/** A host with its link to the others. */
struct LinkedHost {
    Endpoint endpoint{"127.0.0.1", freePort()};
    PeerEntry entry;
    EntryTestHost host;
    std::unique_ptr<PeerLink> link;

    LinkedHost(EntryFixture &fixture, const std::string &name, const std::string &domain)
        : entry{HostId{name}, SessionId{"session-" + name}, DomainId{domain}, this->endpoint}
        , host(fixture, name, false)
    {
        PeerLinkOptions options{this->entry.host, this->entry.session, this->entry.domain, this->endpoint};
        options.onStatus = [](const HostStatus & /*status*/) {
        };
        options.completeStatus = [](HostStatus & /*status*/) {
        };
        options.onNewerConfig = [](Revision /*version*/, const Endpoint & /*peer*/) {
        };
        auto created = PeerLink::create(this->host.proxy, std::move(options));
        REQUIRE(isOk(created));
        this->link = std::move(valueOf(created));
    }
};

/** Three hosts in three failure domains that know one another. */
struct OriginLinkFixture : EntryFixture {
    std::vector<std::unique_ptr<LinkedHost>> linked;

    OriginLinkFixture()
    {
        this->addReplica("i-1");
        for (const std::string name : {"front-1", "front-2", "front-3"}) {
            this->linked.push_back(std::make_unique<LinkedHost>(*this, name, "domain-of-" + name));
        }
        this->introduceHosts();
    }

    /** Gives each host the list of the others. */
    void introduceHosts()
    {
        for (const auto &own : this->linked) {
            own->host.publish({});
            auto fleet = std::make_shared<FleetSnapshot>(*own->host.proxy->fleet);
            for (const auto &other : this->linked) {
                if (other != own) {
                    fleet->peers.push_back(other->entry);
                }
            }
            applyFleet(*own->host.proxy, std::move(fleet));
            updatePeers(*own->link);
        }
    }
};

} // namespace

// Guards against a stream whose version no host knows after the host that began it has ended.
TEST_CASE_METHOD(OriginLinkFixture, "originRecord_hostThatBeganHasEnded_isFoundAtAKeeper")
{
    for (std::uint64_t stream = 1; stream <= 20; ++stream) {
        sendOriginRecord(*this->linked[0]->link->impl, stream, v1);
    }
    this->runFor(100ms);
    this->linked.erase(this->linked.begin());
    this->introduceHosts();
    for (std::uint64_t stream = 1; stream <= 20; ++stream) {
        for (const auto &asking : this->linked) {
            const auto known = recordedOrigin(asking->host.proxy->origins, stream, BootClock::now());
            const auto found = known ? known : this->run(askOrigin(asking->link->impl, stream));
            CHECK(found == v1);
        }
    }
}

// Guards against a request that waits long for hosts that do not answer, or for a record that none of them has.
TEST_CASE_METHOD(OriginLinkFixture, "originQuestion_noKeeperKnows_endsSoonWithoutAnAnswer")
{
    const TimePoint begun = BootClock::now();
    CHECK_FALSE(this->run(askOrigin(this->linked[0]->link->impl, 99)));
    this->linked[1]->link.reset();
    this->linked[2]->link.reset();
    CHECK_FALSE(this->run(askOrigin(this->linked[0]->link->impl, 99)));
    CHECK(BootClock::now() - begun < 500ms);
}

// Guards against requests that are relayed to a host which has lost its links too.
TEST_CASE_METHOD(OriginLinkFixture, "hostStatus_linksLost_isKnownToTheOtherHosts")
{
    const auto countLinked = [this] {
        unsigned count = 0;
        for (const RelayPeer &peer : listRelayPeers(*this->linked[0]->link->impl)) {
            count += peer.candidate.linked ? 1 : 0;
        }
        return count;
    };
    CHECK(this->runUntil([&countLinked] {
        return countLinked() == 2;
    }));
    this->linked[1]->host.proxy->links.lost = true;
    CHECK(this->runUntil([&countLinked] {
        return countLinked() == 1;
    }));
    this->linked[2]->link.reset();
    CHECK(this->runUntil([&countLinked] {
        return countLinked() == 0;
    }));
}
