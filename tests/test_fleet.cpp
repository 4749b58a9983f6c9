/** @file test_fleet.cpp Route matching, load tracker, key mirror, fleet controller and host entries. */
#include "core/hash_func.h"
#include "documents_func.h"
#include "fleet/fleet_controller_func.h"
#include "fleet/fleet_intervals_func.h"
#include "fleet/host_entry_func.h"
#include "fleet/load_tracker_base.h"
#include "fleet/route_match_func.h"
#include "memory_store_base.h"
#include "store/key_mirror_func.h"
#include "support/fleet_fixture.h"

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

RouteRule route(const std::string &name, const std::string &host, const std::string &prefix)
{
    RouteRule rule;
    rule.name = name;
    rule.host = host;
    rule.prefix = prefix;
    rule.services = {{ServiceId{"s"}, 1}};
    return rule;
}

} // namespace

TEST_CASE("matchRoute_nestedPrefixes_longestWins", "[route]")
{
    RoutingConfig config;
    config.routes = {route("outer", "h.example", "/a/"), route("inner", "h.example", "/a/b/"), route("other", "x.example", "/a/b/c/")};
    CHECK(matchRoute(config, "h.example", "/a/b/c/d")->name == "inner");
    CHECK(matchRoute(config, "H.EXAMPLE:8080", "/a/x")->name == "outer");
    CHECK(matchRoute(config, "h.example", "/b/") == nullptr);
    CHECK(matchRoute(config, "h.example", "/a") == nullptr);
}

TEST_CASE("chooseService_weights_shareByWeight", "[route]")
{
    RouteRule rule = route("r", "h", "/");
    rule.services = {{ServiceId{"a"}, 90}, {ServiceId{"b"}, 10}, {ServiceId{"c"}, 0}};
    std::map<std::string, unsigned> counts;
    for (std::uint64_t draw = 0; draw < 1000; ++draw) {
        ++counts[chooseService(rule, draw).value];
    }
    CHECK(counts["a"] == 900);
    CHECK(counts["b"] == 100);
    CHECK(counts.count("c") == 0);
}

TEST_CASE("loadTracker_statusOutOfOrder_keepsNewest", "[load]")
{
    LoadTracker tracker;
    const TimePoint now = BootClock::now();
    HostStatus status;
    status.host.value = "h";
    status.incarnation = 5;
    status.sequence = 2;
    status.onlineInFlight = {{TargetId{"t"}, 3}};
    status.batchInFlight = {{TargetId{"t"}, 2}};
    CHECK(applyStatus(tracker, status, now));
    status.sequence = 1;
    status.onlineInFlight = {{TargetId{"t"}, 9}};
    CHECK_FALSE(applyStatus(tracker, status, now));
    CHECK(countsOf(tracker, TargetId{"t"}, now).online == 3);
    CHECK(countsOf(tracker, TargetId{"t"}, now).batch == 2);
    CHECK(countsOf(tracker, TargetId{"t"}, now + 2s).online == 0);
}

// Guards against ignoring the status of a host forever after its wall clock was set back before its restart.
TEST_CASE("loadTracker_restartWithEarlierClock_isAcceptedAfterExpiry", "[load]")
{
    LoadTracker tracker;
    const TimePoint now = BootClock::now();
    HostStatus status;
    status.host.value = "h";
    status.session.value = "first";
    status.incarnation = 5000;
    status.sequence = 100;
    CHECK(applyStatus(tracker, status, now));
    status.session.value = "second";
    status.incarnation = 2000;
    status.sequence = 1;
    CHECK_FALSE(applyStatus(tracker, status, now + 100ms));
    CHECK(applyStatus(tracker, status, now + 2s));
    CHECK(hasRecentStatus(tracker, SessionId{"second"}, now + 2s));
    CHECK_FALSE(hasRecentStatus(tracker, SessionId{"first"}, now + 2s));
}

TEST_CASE("inFlightGuard_lastOneEnds_removesTarget", "[load]")
{
    const auto tracker = std::make_shared<LoadTracker>();
    {
        const InFlightGuard online(tracker, TargetId{"t"}, false);
        const InFlightGuard batch(tracker, TargetId{"t"}, true);
        CHECK(tracker->own.at(TargetId{"t"}).online == 1);
        CHECK(tracker->own.at(TargetId{"t"}).batch == 1);
    }
    CHECK(tracker->own.empty());
}

TEST_CASE_METHOD(MirrorFixture, "keyMirror_changes_areFollowed")
{
    putKey(*this->store, "k/a", "1");
    this->start({});
    CHECK(this->becomes("k/a", "1"));
    putKey(*this->store, "k/a", "2");
    CHECK(this->becomes("k/a", "2"));
    removeKey(*this->store, "k/a");
    CHECK(this->becomes("k/a", ""));
}

// Guards against lost changes when a watch stays open for 25 s and reports nothing, as in hunt-758c-35 of odb-gnomon (LOST 19).
TEST_CASE_METHOD(MirrorFixture, "keyMirror_watchReportsNothing_checkFindsChange")
{
    putKey(*this->store, "k/a", "1");
    this->start({.pollInterval = 100ms});
    REQUIRE(this->becomes("k/a", "1"));
    this->store->faults.hidesChanges = true;
    putKey(*this->store, "k/a", "2");
    putKey(*this->store, "k/b", "1");
    CHECK(this->becomes("k/a", "2"));
    CHECK(this->becomes("k/b", "1"));
    removeKey(*this->store, "k/a");
    CHECK(this->becomes("k/a", ""));
}

// Guards against a missed configuration when a watch is interrupted while the store drops its history, as in scale-2 of dodo-masks (CONFIG 4).
TEST_CASE_METHOD(MirrorFixture, "keyMirror_watchInterruptedDuringCompaction_readsPrefixAgain")
{
    putKey(*this->store, "k/a", "1");
    this->start({});
    REQUIRE(this->becomes("k/a", "1"));
    this->runFor(30ms);
    this->store->faults.hidesChanges = true;
    putKey(*this->store, "k/a", "2");
    compact(*this->store);
    CHECK(this->becomes("k/a", "2"));
    CHECK(this->failures > 0);
}

// Guards against a mirror that advances its revision past a change: the answer of a watch that missed changes looks like one without changes.
TEST_CASE_METHOD(MirrorFixture, "keyMirror_emptyAnswerAfterMissedChange_changeIsFoundByNextWatch")
{
    putKey(*this->store, "k/a", "1");
    this->start({.watchTimeout = 100ms});
    REQUIRE(this->becomes("k/a", "1"));
    this->store->faults.hidesChanges = true;
    putKey(*this->store, "k/a", "2");
    this->runFor(250ms);
    this->store->faults.hidesChanges = false;
    CHECK(this->becomes("k/a", "2"));
}

// Guards against hosts whose mirrors all pay for failing reads throughout an outage: after the second failure a mirror waits for another call to succeed.
TEST_CASE_METHOD(MirrorFixture, "keyMirror_storeDown_readsAgainOnlyOnceTheStoreAnswersOtherCalls")
{
    putKey(*this->store, "k/a", "1");
    this->start({.watchTimeout = 50ms, .retryMin = 10ms, .retryMax = 20ms});
    REQUIRE(this->becomes("k/a", "1"));
    bool answering = false;
    this->mirror->isStoreAnswering = [&answering] {
        return answering;
    };
    this->store->faults.down = true;
    this->runFor(800ms);
    CHECK(this->failures == 2);
    this->store->faults.down = false;
    putKey(*this->store, "k/a", "2");
    this->runFor(300ms);
    CHECK(this->valueOfKey("k/a") == "1");
    answering = true;
    CHECK(this->becomes("k/a", "2"));
}

// Guards against a mirror that stays out of date for good because no other call tells it of the end of an outage.
TEST_CASE_METHOD(MirrorFixture, "keyMirror_noOtherCallSucceeds_readsAgainAfterTheLongestWait")
{
    this->start({.watchTimeout = 50ms, .retryMin = 10ms, .retryMax = 20ms, .maxOutageWait = 200ms});
    this->mirror->isStoreAnswering = [] {
        return false;
    };
    this->store->faults.down = true;
    this->runFor(150ms);
    this->store->faults.down = false;
    putKey(*this->store, "k/a", "1");
    CHECK(this->becomes("k/a", "1"));
}

TEST_CASE_METHOD(MirrorFixture, "keyMirror_staleCheck_doesNotRevertValue")
{
    putKey(*this->store, "k/a", "1");
    const std::uint64_t old = this->store->revision;
    this->start({.pollInterval = 50ms});
    REQUIRE(this->becomes("k/a", "1"));
    putKey(*this->store, "k/a", "2");
    REQUIRE(this->becomes("k/a", "2"));
    this->store->faults.staleReadRevision = old;
    this->runFor(400ms);
    CHECK(this->valueOfKey("k/a") == "2");
}

TEST_CASE("readAllKeys_manyPages_continueFromFirstRevision", "[mirror]")
{
    TestLoop test;
    const auto store = MemoryStore::create(test.loop.get_executor());
    for (unsigned i = 0; i < 1203; ++i) {
        putKey(*store, "k/" + std::to_string(10000 + i), "v");
    }
    auto page = test.run(readAllKeys(storeInterface(store), "k/", KvFreshness::Linearizable));
    REQUIRE(isOk(page));
    CHECK(valueOf(page).items.size() == 1203);
    CHECK(valueOf(page).storeRevision == store->revision);
}

TEST_CASE_METHOD(ControllerFixture, "fleetController_configurations_onlyNewerOnesAreAdopted")
{
    this->putConfig(7);
    this->start();
    REQUIRE(this->runUntil([this] {
        return this->version() == 7;
    }));
    this->putConfig(5);
    this->runFor(150ms);
    CHECK(this->version() == 7);
    this->putConfig(12);
    CHECK(this->runUntil([this] {
        return this->version() == 12;
    }));
}

TEST_CASE_METHOD(ControllerFixture, "fleetController_invalidConfiguration_keepsTheOneInForce")
{
    this->putConfig(7);
    this->start();
    REQUIRE(this->runUntil([this] {
        return this->version() == 7;
    }));
    putKey(*this->store, "op/config", R"({"version":9,"routes":[{"name":"r","host":"","prefix":"x","kind":"?"}]})");
    this->runFor(150ms);
    CHECK(this->version() == 7);
    putKey(*this->store, "op/config", "garbage");
    this->runFor(150ms);
    CHECK(this->version() == 7);
}

TEST_CASE_METHOD(ControllerFixture, "fleetController_targetDrainsAndIsRemoved_snapshotFollowsAtOnce")
{
    this->putTarget("i-1", "ready");
    this->start();
    REQUIRE(this->runUntil([this] {
        return this->hasTarget("i-1", false);
    }));
    this->putTarget("i-1", "draining");
    CHECK(this->runUntil([this] {
        return this->hasTarget("i-1", true);
    }));
    removeKey(*this->store, "servers/i-1");
    CHECK(this->runUntil([this] {
        return this->snapshot->targets->empty();
    }));
}

// Guards against a restart of a target under its identifier that the traffic thread never learns of, because the rest of the entry is as before.
TEST_CASE_METHOD(ControllerFixture, "fleetController_targetRestartsUnderItsIdentifier_snapshotHasItsNewStart")
{
    const auto putBorn = [this](std::int64_t born) {
        putKey(*this->store, "servers/i-1", boost::json::serialize(targetEntryWith("born", born)));
    };
    const auto isBorn = [this](std::chrono::milliseconds born) {
        const auto &targets = this->snapshot->targets;
        return targets && targets->contains(TargetId{"i-1"}) && targets->at(TargetId{"i-1"}).born == UnixTime(born);
    };
    putBorn(1764892000123);
    this->start();
    REQUIRE(this->runUntil([&] {
        return isBorn(1764892000123ms);
    }));
    putBorn(1764892009999);
    CHECK(this->runUntil(
        [&] {
            return isBorn(1764892009999ms);
        },
        3s));
}

TEST_CASE_METHOD(ControllerFixture, "fleetController_invalidTargetEntries_areIgnored")
{
    this->start();
    const std::vector<std::string> odd{"not json",
                                       boost::json::serialize(targetEntryWith("service", 7)),
                                       boost::json::serialize(targetEntryWith("address", "nowhere")),
                                       boost::json::serialize(targetEntryWith("state", "asleep")),
                                       boost::json::serialize(targetEntryWith("address", "127.0.0.1:1x"))};
    for (std::size_t i = 0; i < odd.size(); ++i) {
        putKey(*this->store, "servers/odd-" + std::to_string(i), odd[i]);
    }
    this->putTarget("i-1", "ready");
    REQUIRE(this->runUntil([this] {
        return this->hasTarget("i-1", false);
    }));
    CHECK(this->snapshot->targets->size() == 1);
}

// Guards against requests to the wrong service while another writer's entry, which lacks fields, is in the place of a target's own one (review/4).
TEST_CASE_METHOD(ControllerFixture, "fleetController_entryOverwrittenWithoutFields_namesNoTargetUntilItIsWhole")
{
    this->start();
    this->putTarget("i-1", "ready");
    this->putTarget("i-2", "ready");
    REQUIRE(this->runUntil([this] {
        return this->hasTarget("i-1", false) && this->hasTarget("i-2", false);
    }));
    boost::json::object entry = targetEntryWith("service", "other");
    entry.erase("zone");
    putKey(*this->store, "servers/i-1", boost::json::serialize(entry));
    CHECK(this->runUntil(
        [this] {
            return !this->hasTarget("i-1", false);
        },
        3s));
    CHECK(this->hasTarget("i-2", false));
    this->putTarget("i-1", "ready");
    CHECK(this->runUntil([this] {
        return this->hasTarget("i-1", false);
    }));
}

// Guards against dropping live targets whose entries expired while the service was down: requests must still be sent to them.
TEST_CASE_METHOD(ControllerFixture, "fleetController_entryExpiredDuringOutage_isKeptForTheGracePeriod")
{
    this->putTarget("i-1", "ready");
    this->putTarget("i-2", "ready");
    this->start(600ms);
    REQUIRE(this->runUntil([this] {
        return this->hasTarget("i-2", false);
    }));
    this->store->faults.down = true;
    removeKey(*this->store, "servers/i-1");
    removeKey(*this->store, "servers/i-2");
    this->runFor(500ms);
    this->store->faults.down = false;
    this->runFor(250ms);
    CHECK(this->hasTarget("i-1", false));
    this->putTarget("i-1", "ready");
    CHECK(this->runUntil([this] {
        return !this->hasTarget("i-2", false);
    }));
    CHECK(this->hasTarget("i-1", false));
}

// Guards against requests to a removed target for seconds, because one watch was cut shortly before the removal.
TEST_CASE_METHOD(ControllerFixture, "fleetController_watchIsCutBeforeARemoval_targetIsRemovedAtOnce")
{
    this->putTarget("i-1", "ready");
    this->putTarget("i-2", "ready");
    this->start(2000ms, 1200ms);
    REQUIRE(this->runUntil([this] {
        return this->hasTarget("i-1", false);
    }));
    this->store->abortsWatches = true;
    REQUIRE(this->runUntil([this] {
        return !this->snapshot->storeReachable;
    }));
    this->store->abortsWatches = false;
    REQUIRE(this->runUntil([this] {
        return this->snapshot->storeReachable;
    }));
    removeKey(*this->store, "servers/i-1");
    CHECK(this->runUntil(
        [this] {
            return !this->hasTarget("i-1", false);
        },
        1000ms));
    CHECK(this->hasTarget("i-2", false));
}

// Guards against both mistakes after an outage: dropping live targets whose entries lapsed, and using removed ones for longer than the grace period.
TEST_CASE_METHOD(ControllerFixture, "fleetController_entriesAreMissingAfterAnOutage_lapsedOnesAreKeptAndRemovedOnesGoInTime")
{
    for (const char *id : {"lapsed", "dead", "silent", "released"}) {
        this->putTarget(id, "ready");
    }
    this->start(1500ms);
    REQUIRE(this->runUntil([this] {
        return this->hasTarget("released", false);
    }));
    this->store->faults.down = true;
    removeKey(*this->store, "servers/lapsed");
    removeKey(*this->store, "servers/dead");
    REQUIRE(this->runUntil([this] {
        return this->snapshot->storeAway;
    }));
    this->store->faults.down = false;
    REQUIRE(this->runUntil([this] {
        return !this->snapshot->storeAway;
    }));
    const TimePoint returnedAt = BootClock::now();
    this->runFor(500ms);
    CHECK(this->hasTarget("lapsed", false));
    CHECK(this->hasTarget("dead", false));
    this->putTarget("released", "ready");
    this->runFor(100ms);
    removeKey(*this->store, "servers/released");
    CHECK(this->runUntil(
        [this] {
            return !this->hasTarget("released", false);
        },
        500ms));
    this->putTarget("lapsed", "ready");
    removeKey(*this->store, "servers/silent"); // Its entry lapses only now, and it has not written since.
    this->runFor(100ms);
    CHECK(this->hasTarget("silent", false));
    CHECK(this->runUntil(
        [this] {
            return !this->hasTarget("silent", false) && !this->hasTarget("dead", false);
        },
        2000ms));
    CHECK(BootClock::now() - returnedAt >= 1400ms);
    CHECK(BootClock::now() - returnedAt < 1900ms);
    CHECK(this->hasTarget("lapsed", false));
}

// Guards against a grace period that ends while the service is away again, so that live targets are dropped.
TEST_CASE_METHOD(ControllerFixture, "fleetController_secondOutageInTheGracePeriod_lapsedTargetsAreKeptUntilAfterIt")
{
    this->putTarget("lapsed", "ready");
    this->start(600ms);
    REQUIRE(this->runUntil([this] {
        return this->hasTarget("lapsed", false);
    }));
    for (unsigned outage = 0; outage < 2; ++outage) {
        this->store->faults.down = true;
        removeKey(*this->store, "servers/lapsed");
        REQUIRE(this->runUntil([this] {
            return this->snapshot->storeAway;
        }));
        this->runFor(400ms);
        this->store->faults.down = false;
        REQUIRE(this->runUntil([this] {
            return !this->snapshot->storeAway;
        }));
        this->runFor(200ms);
        CHECK(this->hasTarget("lapsed", false));
    }
    this->putTarget("lapsed", "ready");
    this->runFor(800ms);
    CHECK(this->hasTarget("lapsed", false));
}

// Guards against one failed call that stands for an outage of the service, and against an outage that nobody notices.
TEST_CASE_METHOD(ControllerFixture, "fleetController_watchFails_isAwayOnlyWhenNothingIsAnswered")
{
    this->start(400ms, 1200ms);
    REQUIRE(this->runUntil([this] {
        return this->snapshot->storeReachable;
    }));
    unsigned away = 0;
    const auto countAway = [this, &away] {
        away += this->snapshot->storeAway ? 1 : 0;
        return false;
    };
    this->store->abortsWatches = true;
    this->runUntil(countAway, 3s);
    CHECK(away == 0);
    this->store->abortsWatches = false;
    this->store->faults.down = true;
    CHECK(this->runUntil(
        [this] {
            return this->snapshot->storeAway;
        },
        5s));
    this->store->faults.down = false;
    CHECK(this->runUntil([this] {
        return !this->snapshot->storeAway && this->snapshot->storeReachable;
    }));
}

// Guards against removed targets that are used for too long because a host notices late that the service is back.
TEST_CASE_METHOD(ControllerFixture, "fleetController_storeIsDown_leaseIsRenewedTwiceAsOften")
{
    this->start(400ms, 1200ms, 1000ms);
    REQUIRE(this->runUntil([this] {
        return this->store->items.contains("hosts/front-1");
    }));
    this->store->faults.down = true;
    this->runFor(1200ms);
    this->store->counts = {};
    this->runFor(2400ms);
    CHECK(this->store->counts.renewals >= 3);
}

TEST_CASE_METHOD(ControllerFixture, "fleetController_hostEntryExpires_isWrittenAgain")
{
    this->start();
    REQUIRE(this->runUntil([this] {
        return this->store->items.contains("hosts/front-1");
    }));
    expireLease(*this->store, this->store->items.at("hosts/front-1").lease);
    CHECK_FALSE(this->store->items.contains("hosts/front-1"));
    CHECK(this->runUntil([this] {
        return this->store->items.contains("hosts/front-1");
    }));
}

// Guards against watch calls that grow with the square of the number of hosts: all hosts of a fleet start within 0.3 s, each would make one call for
// each new entry, and each call is paid for.
// Guards against a host that grants quota tokens while the others still use its share.
TEST_CASE_METHOD(ControllerFixture, "fleetController_hostIsNew_grantsOnceOthersKnow")
{
    const TimePoint before = BootClock::now();
    this->start();
    REQUIRE(this->runUntil([&] {
        return !this->leases.empty();
    }));
    CHECK(this->leases.front().entry == 1);
    CHECK(this->leases.front().grantsFrom >= before + 3s);
    CHECK(this->leases.front().provedUntil >= before + 3s);
    CHECK(this->leases.front().provedUntil <= BootClock::now() + 3s);
}

// Guards against a share that nobody uses after the restart of a host whose entry had not lapsed.
TEST_CASE_METHOD(ControllerFixture, "fleetController_hostRestarts_grantsAtOnce")
{
    putKey(*this->store, "hosts/front-1", encodeHostEntry({HostId{"front-1"}, SessionId{"earlier"}, DomainId{"north"}, {"127.0.0.1", 7000}}));
    this->start();
    REQUIRE(this->runUntil([&] {
        return !this->leases.empty();
    }));
    CHECK(this->leases.front().grantsFrom <= BootClock::now());
}

// Guards against a host that takes its own entry, written by a call whose answer was lost, for that of a predecessor.
TEST_CASE_METHOD(ControllerFixture, "fleetController_answerToTheWriteIsLost_waitsUntilOthersKnow")
{
    this->store->faults.losesWriteAnswers = true;
    this->start();
    this->runFor(200ms);
    CHECK(this->leases.empty());
    this->store->faults.losesWriteAnswers = false;
    const TimePoint before = BootClock::now();
    REQUIRE(this->runUntil([&] {
        return !this->leases.empty();
    }));
    CHECK(this->leases.front().grantsFrom >= before + 3s);
}

// Guards against a host that takes the place of an entry which has lapsed since it was seen, so that others have taken over.
TEST_CASE_METHOD(ControllerFixture, "fleetController_predecessorLapsesMeanwhile_waitsUntilOthersKnow")
{
    putKey(*this->store, "hosts/front-1", encodeHostEntry({HostId{"front-1"}, SessionId{"earlier"}, DomainId{"north"}, {"127.0.0.1", 7000}}));
    auto lapsing = std::make_shared<KvStore>(*this->calls);
    lapsing->commit = [this, commit = this->calls->commit](KvTransaction transaction) -> boost::asio::awaitable<Result<KvTransactionResult>> {
        auto result = co_await commit(std::move(transaction));
        if (isOk(result) && !valueOf(result).applied && this->store->items.contains("hosts/front-1")) {
            removeKey(*this->store, "hosts/front-1");
        }
        co_return result;
    };
    this->calls = lapsing;
    const TimePoint before = BootClock::now();
    this->start();
    REQUIRE(this->runUntil([&] {
        return !this->leases.empty();
    }));
    CHECK(this->leases.front().grantsFrom >= before + 3s);
}

// Guards against a proof that grows without an answer of the store.
TEST_CASE_METHOD(ControllerFixture, "fleetController_renewalsFail_proofDoesNotGrow")
{
    this->start();
    REQUIRE(this->runUntil([&] {
        return this->leases.size() >= 3;
    }));
    CHECK(this->leases.back().entry == 1);
    this->store->faults.down = true;
    this->runFor(50ms);
    const TimePoint proved = this->leases.back().provedUntil;
    this->runFor(500ms);
    CHECK(this->leases.back().provedUntil == proved);
}

// Guards against a right to grant that goes on after others have taken over.
TEST_CASE_METHOD(ControllerFixture, "fleetController_ownEntryHasLapsed_proofEndsAndTheNextEntryIsNew")
{
    this->start();
    REQUIRE(this->runUntil([&] {
        return this->leases.size() >= 2;
    }));
    expireLease(*this->store, this->store->items.at("hosts/front-1").lease);
    const TimePoint before = BootClock::now();
    REQUIRE(this->runUntil([&] {
        return this->leases.back().entry == 2;
    }));
    CHECK(this->leases[this->leases.size() - 2].provedUntil == TimePoint{});
    CHECK(this->leases.back().grantsFrom >= before + 3s);
}

TEST_CASE_METHOD(ControllerFixture, "fleetController_manyHostsStart_watchCallsAreBatched")
{
    this->start();
    REQUIRE(this->runUntil([this] {
        return this->store->items.contains("hosts/front-1");
    }));
    constexpr unsigned hosts = 40;
    for (unsigned i = 0; i < hosts; ++i) {
        const HostId host{"other-" + std::to_string(i)};
        putKey(*this->store, hostEntryKey(host), encodeHostEntry({host, SessionId{"s"}, DomainId{"north"}, {"127.0.0.1", 7000}}));
        this->runFor(7ms);
    }
    CHECK(this->runUntil([this] {
        return this->snapshot->peers.size() == hosts;
    }));
    CHECK(this->store->counts.watches <= hosts / 2);
}

// Guards against a fleet that is restarted as a whole and crashes the targets once more to learn the same part.
TEST_CASE_METHOD(ControllerFixture, "fleetController_hostRestarts_learnsQuarantinedPartsFromTheStore")
{
    this->start();
    writeQuarantineEntry(*this->controller, {PromptPartId{0xbad}, 60s, 2});
    REQUIRE(this->runUntil([this] {
        return !this->quarantined.empty();
    }));
    this->quarantined.clear();
    this->controller.reset();
    this->start();
    REQUIRE(this->runUntil([this] {
        return !this->quarantined.empty();
    }));
    CHECK(this->quarantined.front().part == PromptPartId{0xbad});
    CHECK(this->quarantined.front().duration == 60s);
    CHECK(this->quarantined.front().rounds == 2);
    removeQuarantineEntry(*this->controller, PromptPartId{0xbad});
    this->runFor(300ms);
    this->quarantined.clear();
    this->controller.reset();
    this->start();
    this->runFor(300ms);
    CHECK(this->quarantined.empty());
}

TEST_CASE("hostEntry_validAndInvalidInput_isDecodedOrRefused", "[host]")
{
    const PeerEntry entry{HostId{"h"}, SessionId{"s"}, DomainId{"d"}, {"10.0.0.1", 7660}};
    auto decoded = decodeHostEntry(hostEntryKey(entry.host), encodeHostEntry(entry));
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded).session == entry.session);
    CHECK(valueOf(decoded).endpoint == entry.endpoint);
    CHECK_FALSE(isOk(decodeHostEntry("hosts/h", "[]")));
    CHECK_FALSE(isOk(decodeHostEntry("hosts/h", R"({"session":"s","address":"a","port":70000})")));
}

// Guards against watch calls of each of hundreds of hosts for each change of the target list, and against leaving targets that are noticed too late.
// Guards against shares of quotas that are computed from an old list of hosts because a watch reports nothing: without the reads the list stays old for good.
TEST_CASE_METHOD(ControllerFixture, "fleetController_watchOfHostsMissesAChange_listIsReadAgain")
{
    putKey(*this->store, "op/config", R"({"version":1,"routes":[],"tenants":[]})");
    this->start();
    REQUIRE(this->runUntil([this] {
        return this->snapshot->peersKnown && this->version() == 1;
    }));
    this->runFor(2700ms); // The first read happens before the configuration is known.
    this->store->faults.hidesChanges = true;
    putKey(*this->store, "hosts/front-2", R"({"session":"s2","domain":"north","address":"127.0.0.1","port":7001})");
    CHECK(this->runUntil(
        [this] {
            return this->snapshot->peers.size() == 1;
        },
        4s));
}

// Guards against a price that grows with hosts times changes: each host of a large fleet pays for a call with every change of a quick series.
TEST_CASE("watchIntervals_largeFleet_groupChanges", "[fleet]")
{
    FleetOptions options;
    options.configLimit = 3000ms;
    CHECK(configWatchIntervalFor(options, 64) == 1000ms);
    CHECK(configWatchIntervalFor(options, 7) == 0ms);
    CHECK(hostWatchIntervalFor(64) == 2000ms);
    CHECK(hostWatchIntervalFor(7) == 70ms);
    CHECK_FALSE(watchesQuarantine(64));
    CHECK(watchesQuarantine(7));
}

TEST_CASE("targetWatchIntervalFor_largeFleet_isHalfOfTheDrainLimit", "[fleet]")
{
    FleetOptions options;
    options.drainLimit = 4000ms;
    CHECK(targetWatchIntervalFor(options, 250) == 2000ms);
    CHECK(targetWatchIntervalFor(options, 7) == 700ms);
    options.drainLimit = 1000ms;
    CHECK(targetWatchIntervalFor(options, 250) == 700ms);
}

// Guards against load that is counted for ever, or not at all, where hosts of other failure domains send their status every few seconds.
TEST_CASE("loadTracker_otherDomain_countsUntilItsOwnExpiry", "[load]")
{
    LoadTracker tracker;
    tracker.domain.value = "north";
    tracker.otherDomainExpiry = 6s;
    const TimePoint now = BootClock::now();
    HostStatus status;
    status.sequence = 1;
    status.onlineInFlight = {{TargetId{"t"}, 3}};
    status.host.value = "near";
    status.domain.value = "north";
    CHECK(applyStatus(tracker, status, now));
    status.host.value = "far";
    status.domain.value = "south";
    CHECK(applyStatus(tracker, status, now));
    CHECK(countsOf(tracker, TargetId{"t"}, now + 1s).online == 6);
    CHECK(countsOf(tracker, TargetId{"t"}, now + 2s).online == 3);
    CHECK(countsOf(tracker, TargetId{"t"}, now + 7s).online == 0);
    dropPeer(tracker, HostId{"far"});
    CHECK(tracker.peerTotals.empty());
}

// Property: the totals by target are the sums of what the peers announced last, whatever arrives, expires or is forgotten.
TEST_CASE("loadTracker_randomStatuses_totalsEqualTheSums", "[load]")
{
    std::uint64_t random = 23;
    LoadTracker tracker;
    TimePoint now = BootClock::now();
    for (unsigned round = 0; round < 5000; ++round) {
        now += std::chrono::milliseconds(nextRandom(random) % 100);
        HostStatus status;
        status.host.value = "h" + std::to_string(nextRandom(random) % 9);
        status.sequence = round + 1;
        for (unsigned target = 0; target < 4; ++target) {
            status.onlineInFlight.emplace_back(TargetId{"t" + std::to_string(target)}, static_cast<unsigned>(nextRandom(random) % 5));
            status.batchInFlight.emplace_back(TargetId{"t" + std::to_string(target)}, static_cast<unsigned>(nextRandom(random) % 5));
        }
        applyStatus(tracker, status, now);
        if (nextRandom(random) % 16 == 0) {
            dropPeer(tracker, HostId{"h" + std::to_string(nextRandom(random) % 9)});
        }
        const TargetId target{"t1"};
        TargetCounts sum;
        for (const auto &[host, peer] : tracker.peers) {
            const auto found = peer.counts.find(target);
            if (found != peer.counts.end() && isCurrent(tracker, peer, now)) {
                sum.online += found->second.online;
                sum.batch += found->second.batch;
            }
        }
        const TargetCounts counts = countsOf(tracker, target, now);
        REQUIRE(counts.online == sum.online);
        REQUIRE(counts.batch == sum.batch);
    }
}

// Guards against a stampede at the service: each host retries several mirrors during an outage, and each call is paid for.
TEST_CASE("storeRetryMaxFor_largeFleet_followsTheDrainLimit", "[fleet]")
{
    FleetOptions options;
    options.drainLimit = 4000ms;
    CHECK(storeRetryMaxFor(options, 250) == 2500ms);
    CHECK(storeRetryMaxFor(options, 7) == 1000ms);
    options.drainLimit = 1000ms;
    CHECK(storeRetryMaxFor(options, 250) == 1000ms);
}
