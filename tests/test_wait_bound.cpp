/** @file test_wait_bound.cpp Tests of the bound on the wait of requests, of the order of return, and of what callers get under changing load. */
#include "proxy/forwarding_base.h"
#include "support/entry_fixture.h"
#include "support/placement_simulation.h"

#include <catch2/catch.hpp>
#include <iostream>

using namespace skylark;
using namespace skylark::test;
using namespace std::chrono_literals;

namespace {

/** A service of 10 targets with 8 slots, whose requests hold a slot for 700 ms and have their first event after 50 ms. */
struct WaitFixture {
    static constexpr unsigned slots = 80;
    ServiceLoad load;
    std::vector<BalanceCandidate> candidates;
    BalanceLimits limits{.maxWait = 200ms};
    TimePoint now{TimePoint{} + 1h};
    WaitBoundInput input{.latencyTarget = 300ms, .timeLeft = 5000ms, .slots = slots};

    WaitFixture()
    {
        for (unsigned i = 0; i < 10; ++i) {
            this->candidates.push_back({.id = TargetId{"t" + std::to_string(i)}, .slots = 8});
        }
        recordServiceTime(this->load, 50ms, 700ms);
    }

    void setOnline(unsigned online)
    {
        for (BalanceCandidate &candidate : this->candidates) {
            candidate.online = online;
        }
    }

    /** Lets requests arrive for three seconds. @param share Their number relative to what the slots serve. */
    void arrive(double share)
    {
        const auto gap = std::chrono::microseconds(std::llround(700000.0 / slots / share));
        for (const TimePoint end = this->now + 3s; this->now < end; this->now += gap) {
            recordArrival(this->load, 0, 0, this->now);
        }
    }
};

} // namespace

// Guards against requests that wait until they are late, on targets whose queue is shorter than half of their slots.
TEST_CASE_METHOD(WaitFixture, "balanceRequest_everyWaitExceedsTheBound_isRefusedWithTheShortestWait")
{
    this->setOnline(11);
    this->candidates[3].online = 10;
    const BalanceChoice choice = balanceRequest(this->candidates, this->limits, 1);
    CHECK(choice.reason == BalanceReason::LateStart);
    CHECK(choice.target.empty());
    CHECK(choice.wait >= 215ms);
    CHECK(choice.wait <= 290ms);
    this->candidates[3].online = 9;
    CHECK(balanceRequest(this->candidates, this->limits, 1).target.value == "t3");
}

// Guards against a wait at a slow target that is predicted as if it were a usual one.
TEST_CASE_METHOD(WaitFixture, "balanceRequest_shortQueueAtSlowTargets_isRefused")
{
    this->setOnline(9);
    for (BalanceCandidate &candidate : this->candidates) {
        candidate.slowness = 3.0;
    }
    CHECK(balanceRequest(this->candidates, this->limits, 1).reason == BalanceReason::LateStart);
}

// Guards against requests that wait for others which arrived while the counts aged.
TEST_CASE_METHOD(WaitFixture, "balanceRequest_shortQueueOnOldCounts_isRefused")
{
    this->setOnline(9);
    CHECK(balanceRequest(this->candidates, this->limits, 1).reason == BalanceReason::Queued);
    for (BalanceCandidate &candidate : this->candidates) {
        candidate.countsAge = 700ms;
    }
    CHECK(balanceRequest(this->candidates, this->limits, 1).reason == BalanceReason::LateStart);
}

// Guards against refusals by an idle service whose counts are old.
TEST_CASE_METHOD(WaitFixture, "balanceRequest_idleTargetsOfOneSlot_areUsed")
{
    for (BalanceCandidate &candidate : this->candidates) {
        candidate.slots = 1;
        candidate.countsAge = 700ms;
    }
    this->limits.maxWait = 0ms;
    CHECK(balanceRequest(this->candidates, this->limits, 1).reason == BalanceReason::FreeSlot);
}

TEST_CASE_METHOD(WaitFixture, "balanceRequest_mayBeLate_waitsOnlyWhereNoTargetIsInTime")
{
    this->limits.lateWait = 2000ms;
    this->setOnline(14);
    CHECK(balanceRequest(this->candidates, this->limits, 1).reason == BalanceReason::Queued);
    this->candidates[6].online = 9;
    this->candidates[6].suspect = true;
    CHECK(balanceRequest(this->candidates, this->limits, 1).target.value == "t6");
    this->setOnline(40);
    CHECK(balanceRequest(this->candidates, this->limits, 1).reason == BalanceReason::LateStart);
}

TEST_CASE_METHOD(WaitFixture, "allowedWait_whatTheLatencyTargetLeaves_isTheBound")
{
    CHECK(allowedWait(this->load, this->input, this->now).usual == 250ms);
    this->input.elapsed = 100ms;
    CHECK(allowedWait(this->load, this->input, this->now).usual == 150ms);
    // A target time that is never met must not stop the service.
    this->input.elapsed = 400ms;
    CHECK(allowedWait(this->load, this->input, this->now).usual == 30ms);
}

// Guards against refusals of urgent requests while less urgent ones are placed.
TEST_CASE_METHOD(WaitFixture, "allowedWait_lessUrgent_isShorter")
{
    auto before = allowedWait(this->load, this->input, this->now).usual;
    for (this->input.priority = 1; this->input.priority < 4; ++this->input.priority) {
        const auto wait = allowedWait(this->load, this->input, this->now).usual;
        CHECK(wait < before);
        before = wait;
    }
    this->input.priority = 1000;
    CHECK(allowedWait(this->load, this->input, this->now).usual >= 90ms);
}

// Guards against refusals that nobody gains from, and against late requests that take the room of others.
TEST_CASE_METHOD(WaitFixture, "allowedWait_noOtherWantsTheRoom_requestMayBeLate")
{
    this->arrive(0.4);
    CHECK(allowedWait(this->load, this->input, this->now).late > 1500ms);
    this->arrive(1.2);
    CHECK(allowedWait(this->load, this->input, this->now).late == 0ms);
    this->now += 10s;
    CHECK(allowedWait(this->load, this->input, this->now).late > 1500ms);
    this->input.timeLeft = 500ms;
    CHECK(allowedWait(this->load, this->input, this->now).late == 0ms);
}

// Guards against refused callers that return all at once, before there is room, or after they have given up.
TEST_CASE_METHOD(WaitFixture, "returnDelay_callersRefusedOneAfterTheOther_returnInOrder")
{
    this->arrive(1.5);
    const ReturnInput refused{.shortestWait = 400ms, .allowedWait = 200ms, .timeLeft = 6000ms, .slots = slots};
    std::vector<TimePoint> returns;
    for (unsigned i = 0; i < 30; ++i) {
        returns.push_back(this->now + returnDelay(this->load, refused, this->now));
        this->now += 1ms;
    }
    CHECK(returns.front() - (this->now - 30ms) >= 200ms);
    for (std::size_t i = 1; i < returns.size(); ++i) {
        CHECK(returns[i] - returns[i - 1] >= 8ms);
        CHECK(returns[i] - this->now <= 2000ms);
    }
    for (unsigned i = 0; i < 1000; ++i) {
        REQUIRE(returnDelay(this->load, refused, this->now) <= 2000ms);
    }
    this->now += 10s;
    CHECK(returnDelay(this->load, refused, this->now) == 200ms);
}

namespace {

void print(const std::string &name, const PlacementResult &result)
{
    std::cout << name << ": callers " << result.callers << ", good " << result.good << ", late " << result.late << " (mean "
              << result.lateMs / std::max(1U, result.late) << " ms), refused at last " << result.refused << ", refused attempts " << result.refusals
              << ", served urgent " << result.urgentServed << ", other " << result.otherServed << ", largest tenth " << result.largeServed << "\n";
}

/** Results at one load, with today's choice and with all of this part. */
struct Comparison {
    PlacementResult today;
    PlacementResult now;
};

Comparison compare(double load, bool stepped, std::uint64_t seed)
{
    PlacementScene scene{.load = load, .stepped = stepped, .seed = seed};
    Comparison result;
    result.today = PlacementSimulation(scene).run();
    scene.keptPrompts = true;
    scene.boundedWait = true;
    result.now = PlacementSimulation(scene).run();
    const std::string name = std::string(stepped ? "changing load " : "constant load ") + std::to_string(load);
    print(name + ", today", result.today);
    print(name + ", now", result.now);
    return result;
}

} // namespace

// The decision test: 57 targets of which each is slow 15 % of the time, sizes of 1 to 60, and seven hosts whose counts of one another are 100 to 700 ms old.
// Guards against late answers, goodput that falls in an overload, and refusals that fall on urgent or large requests.
TEST_CASE("placement_changingLoad_callersGetMoreInTimeThanToday")
{
    for (const std::uint64_t seed : {1U, 2U}) {
        const Comparison usual = compare(0.75, true, seed);
        const Comparison capacity = compare(1.0, true, seed);
        const Comparison overload = compare(1.6, true, seed);
        for (const Comparison *load : {&usual, &capacity, &overload}) {
            CHECK(load->now.good >= 1.2 * load->today.good);
            CHECK(load->now.late <= 0.5 * load->today.late);
            CHECK(load->now.urgentServed >= load->now.otherServed);
            const double served = load->now.good + load->now.late;
            const double largeShare = load->now.largeServed / served;
            CHECK(largeShare >= 0.5 * 0.1);
            CHECK(load->now.largeRefusals <= 1.5 * 0.1 * load->now.refusals);
        }
        CHECK(overload.now.good >= 0.9 * capacity.now.good);
    }
}

TEST_CASE("placement_constantOverload_goodputStaysAsAtCapacity")
{
    const Comparison capacity = compare(1.0, false, 1);
    const Comparison overload = compare(1.6, false, 1);
    CHECK(overload.now.good >= 0.9 * capacity.now.good);
    CHECK(overload.now.good > overload.today.good);
}

namespace {

/** Two replicas, each with five requests of another host on its four slots. */
struct BusyFixture : EntryFixture {
    standin::Replica &first{this->addReplica("i-1")};
    standin::Replica &second{this->addReplica("i-2")};
    EntryTestHost host{*this, "front-1", false};

    BusyFixture()
    {
        this->routeNamed("chat").latencyTarget = 200ms;
        this->routeNamed("chat").isPublic = true;
        for (standin::Replica *replica : {&this->first, &this->second}) {
            replica->plan = [](const HttpRequest & /*request*/, unsigned /*number*/) {
                return standin::ReplicaPlan{};
            };
        }
        HostStatus status;
        status.host.value = "front-2";
        status.sequence = 1;
        status.onlineInFlight = {{TargetId{"i-1"}, 5}, {TargetId{"i-2"}, 5}};
        applyStatus(this->host.proxy->loadTracker, status, BootClock::now());
        this->host.publish({});
    }
};

} // namespace

TEST_CASE_METHOD(BusyFixture, "forward_workspacesConfigured_requestThatWouldBeginLateIsRefusedOnlyWhileOthersWantTheRoom")
{
    this->config->workspaces.emplace();
    this->host.publish({});
    CHECK(this->host.send(EntryTestHost::request("q0", "/chat/x", 6s)).status == 200);
    ServiceLoad &load = this->host.proxy->serviceLoads[ServiceId{"llm"}];
    const TimePoint now = BootClock::now();
    for (unsigned i = 0; i < 100; ++i) {
        recordArrival(load, 1, 10, now);
    }
    const HttpResponse refused = this->host.send(EntryTestHost::request("q1", "/chat/x", 6s));
    CHECK(refused.status == 503);
    CHECK(refused.body.find("predicted_wait") != std::string::npos);
    CHECK(std::stod(std::string(headerValue(refused.headers, "Retry-After"))) >= 0.1);
    CHECK(std::stod(std::string(headerValue(refused.headers, "Retry-After"))) <= 1.0);
    CHECK(this->runsOf("q1") == 0);
}

// Guards against another bound for deployments without workspaces.
TEST_CASE_METHOD(BusyFixture, "forward_noWorkspaces_requestWaitsAsBefore")
{
    for (unsigned i = 0; i < 5; ++i) {
        CHECK(this->host.send(EntryTestHost::request("q" + std::to_string(i), "/chat/x")).status == 200);
    }
    dropPeer(this->host.proxy->loadTracker, HostId{"front-2"});
    CHECK(this->host.send(EntryTestHost::request("free", "/chat/x")).status == 200);
    CHECK(this->host.proxy->serviceLoads.empty());
}

TEST_CASE("priorityOf_requestOfAWorkspace_goesBeforeThePriorityOfTheRoute")
{
    RoutingConfig config;
    RouteRule route;
    route.priority = 3;
    CHECK(priorityOf(config, route, WorkspaceId{"w"}) == 3);
    config.workspaces = {{.id = WorkspaceId{"v"}, .priority = 2}, {.id = WorkspaceId{"w"}, .priority = 0}};
    CHECK(priorityOf(config, route, WorkspaceId{"w"}) == 0);
    CHECK(priorityOf(config, route, WorkspaceId{}) == 3);
}
