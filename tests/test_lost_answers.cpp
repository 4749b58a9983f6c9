/** @file test_lost_answers.cpp Answers of the key-value service to watches that are lost, and how soon a host follows the service again. */
#include "entry/peer_link_func.h"
#include "fleet/host_entry_func.h"
#include "support/entry_fixture.h"
#include "support/fleet_fixture.h"

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds drainLimit{2000}; ///< A leaving target gets no requests after this time.

/** A controller that follows two targets and two other hosts, and stale reads that never show anything new. */
struct LostAnswersFixture : ControllerFixture {
    LostAnswersFixture()
    {
        this->putConfig(1);
        this->putTarget("i-1", "ready");
        this->putTarget("i-2", "ready");
        this->putHost("front-2");
        this->putHost("front-3");
        this->start();
        REQUIRE(this->runUntil(
            [this] {
                return this->hasTarget("i-1", false) && this->hasTarget("i-2", false) && this->peers() == 2 && this->version() == 1;
            },
            3s));
        this->runFor(200ms); // All watches wait.
        this->freezeStaleReads();
    }

    void putHost(const std::string &name)
    {
        putKey(*this->store, hostEntryKey(HostId{name}), encodeHostEntry({HostId{name}, SessionId{"session-" + name}, DomainId{"north"}, {"127.0.0.1", 7001}}));
    }

    /** Makes stale reads return the present state from now on. */
    void freezeStaleReads()
    {
        this->store->faults.staleReadRevision = this->store->revision;
    }

    [[nodiscard]] std::size_t peers() const
    {
        return this->snapshot->peers.size();
    }

    /** The service answers nothing for @p time, while @p change happens. */
    void beSilent(std::chrono::milliseconds time, const std::function<void()> &change)
    {
        this->store->faults.silent = true;
        this->runFor(time / 2);
        change();
        this->runFor(time / 2);
        this->store->faults.silent = false;
    }

    /** Checks that the host follows targets, hosts and the configuration at once. */
    void checkFollowsAtOnce()
    {
        this->putTarget("i-2", "draining");
        this->putHost("front-4");
        this->putConfig(7);
        CHECK(this->runUntil(
            [this] {
                return this->hasTarget("i-2", true) && this->peers() >= 2 && this->version() == 7;
            },
            300ms));
    }
};

/** A host whose list has another one, which never sends its status. */
struct SilentHostFixture : EntryFixture {
    EntryTestHost host{*this, "front-1", false};
    std::unique_ptr<PeerLink> link;
    std::vector<TimePoint> overdue; ///< When entries were reported to be overdue.

    SilentHostFixture()
    {
        PeerLinkOptions options{HostId{"front-1"}, SessionId{"session-front-1"}, DomainId{"north"}, {"127.0.0.1", freePort()}};
        options.leaseTtl = 200ms;
        options.onStatus = [](const HostStatus & /*status*/) {
        };
        options.completeStatus = [](HostStatus & /*status*/) {
        };
        options.onEntryOverdue = [this](const HostId & /*host*/, TimePoint /*overdueAt*/) {
            this->overdue.push_back(BootClock::now());
        };
        this->host.publish({SessionId{"session-front-2"}});
        auto created = PeerLink::create(this->host.proxy, std::move(options));
        REQUIRE(isOk(created));
        this->link = std::move(valueOf(created));
        updatePeers(*this->link);
    }
};

} // namespace

// Guards against a host that sends requests to a draining target, because the answer to its watch was lost while the store served it nothing (review/7).
TEST_CASE_METHOD(LostAnswersFixture, "targets_watchAnswerLostInASilence_drainIsNoticedAtOnceAfterTheReturn")
{
    this->beSilent(800ms, [this] {
        this->putTarget("i-1", "draining");
    });
    CHECK(this->runUntil(
        [this] {
            return this->hasTarget("i-1", true);
        },
        drainLimit));
    this->checkFollowsAtOnce();
}

// Guards against a host that goes on to see a lost host, whose jobs it should claim, because the answer to its watch was lost (review/6).
TEST_CASE_METHOD(LostAnswersFixture, "hosts_watchAnswerLostInASilence_removalIsNoticedAfterTheReturn")
{
    this->beSilent(800ms, [this] {
        removeKey(*this->store, hostEntryKey(HostId{"front-2"}));
    });
    CHECK(this->runUntil(
        [this] {
            return this->peers() == 1;
        },
        drainLimit));
    this->checkFollowsAtOnce();
}

TEST_CASE_METHOD(LostAnswersFixture, "configuration_watchAnswerLostInASilence_versionIsInForceAfterTheReturn")
{
    this->beSilent(800ms, [this] {
        this->putConfig(2);
    });
    CHECK(this->runUntil(
        [this] {
            return this->version() == 2;
        },
        drainLimit));
}

// Guards against a watch that is never replaced because no call was sent in a silence shorter than the interval of the calls; only a read shows the change.
TEST_CASE_METHOD(LostAnswersFixture, "targets_onlyTheWatchAnswerIsLost_aReadThatShowsTheChangeReplacesTheWatch")
{
    this->store->faults.lostWatchAnswers.insert("servers/");
    this->putTarget("i-1", "draining");
    this->runFor(500ms);
    REQUIRE(this->hasTarget("i-1", false));
    this->freezeStaleReads(); // They show the change from now on, and nothing later.
    CHECK(this->runUntil(
        [this] {
            return this->hasTarget("i-1", true);
        },
        drainLimit));
    this->runFor(500ms);
    this->checkFollowsAtOnce();
}

TEST_CASE_METHOD(LostAnswersFixture, "targets_onlyTheAnswerWithARemovalIsLost_aReadWithoutTheTargetReplacesTheWatch")
{
    this->store->faults.lostWatchAnswers.insert("servers/");
    removeKey(*this->store, "servers/i-1");
    this->runFor(500ms);
    REQUIRE(this->hasTarget("i-1", false));
    this->freezeStaleReads();
    CHECK(this->runUntil(
        [this] {
            return !this->hasTarget("i-1", false);
        },
        drainLimit));
    this->runFor(500ms);
    this->checkFollowsAtOnce();
}

// Guards against a lost host that stays listed: no call of this host has failed, and the list of hosts is read once a minute only.
TEST_CASE_METHOD(LostAnswersFixture, "hosts_onlyTheWatchAnswerIsLost_silenceOfTheHostReplacesTheWatch")
{
    this->store->faults.lostWatchAnswers.insert("hosts/");
    removeKey(*this->store, hostEntryKey(HostId{"front-2"}));
    this->runFor(500ms);
    REQUIRE(this->peers() == 2);
    doubtHostList(*this->controller, BootClock::now());
    CHECK(this->runUntil(
        [this] {
            return this->peers() == 1;
        },
        300ms));
}

// Guards against calls that are paid for without a reason: each fact costs one call a watch, and refusals by the rate limit none.
TEST_CASE_METHOD(LostAnswersFixture, "watches_nothingIsLost_areNotReplaced")
{
    const unsigned before = this->store->counts.watches;
    this->runFor(1500ms);
    doubtHostList(*this->controller, BootClock::now() - 10s);
    this->runFor(200ms);
    CHECK(this->store->counts.watches == before);
    this->beSilent(400ms, [] {
    });
    this->runFor(1500ms);
    CHECK(this->store->counts.watches <= before + 8); // Four watches, and at most as many that were sent again in the silence.
}

// Guards against a lost host that nobody doubts: its status ends, and the list of hosts is not followed.
TEST_CASE_METHOD(SilentHostFixture, "peerLink_registeredHostIsSilent_itsEntryIsReportedOnceAsOverdue")
{
    const TimePoint since = BootClock::now();
    const auto allowed = std::max<std::chrono::milliseconds>(200ms, this->host.proxy->loadTracker.otherDomainExpiry);
    REQUIRE(this->runUntil(
        [this] {
            return !this->overdue.empty();
        },
        5s));
    CHECK(this->overdue.front() - since >= allowed);
    this->runFor(1500ms);
    CHECK(this->overdue.size() == 1);
}

TEST_CASE_METHOD(SilentHostFixture, "peerLink_hostIsNoLongerRegistered_isNotReported")
{
    this->host.publish({});
    updatePeers(*this->link);
    this->runFor(3500ms);
    CHECK(this->overdue.empty());
}
