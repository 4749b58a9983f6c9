/** @file test_routing.cpp Tests of routing, admission and prefix affinity. */
#include "policy/admission_func.h"
#include "policy/affinity_base.h"
#include "policy/routing_func.h"

#include "core/hash_func.h"
#include "core/invariant_func.h"
#include "support/property_seed.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace skylark;
using namespace std::chrono_literals;

namespace {

struct RoutingFixture {
    int violations{0}; ///< Reported invariant violations.

    RoutingFixture()
    {
        seedRapidCheck();
        setViolationHandler([this](Promise, std::string_view, std::string_view, int) {
            ++this->violations;
        });
    }
    ~RoutingFixture()
    {
        setViolationHandler({});
    }

    static RouteCandidate candidate(std::string name, unsigned slots, unsigned occupied, unsigned online)
    {
        RouteCandidate made;
        made.id.value = std::move(name);
        made.slots = slots;
        made.occupied = occupied;
        made.online = online;
        return made;
    }

    /** @return A random input that depends on @p seed only. */
    static RouteInput randomInput(std::uint64_t seed)
    {
        RouteInput input;
        input.seed = seed;
        const auto below = [&seed](std::uint64_t limit) {
            return static_cast<unsigned>(nextRandom(seed) % limit);
        };
        const unsigned count = below(8);
        for (unsigned i = 0; i < count; ++i) {
            const unsigned slots = below(9);
            RouteCandidate made = candidate("t" + std::to_string(i), slots, below(14), below(10));
            made.leaving = below(4) == 0;
            made.blocked = below(5) == 0;
            made.tried = below(3) == 0;
            made.affinity = below(2) == 0 ? 0 : below(100) / 100.0;
            made.declineFactor = 1 + below(10) / 10.0;
            input.candidates.push_back(made);
        }
        const unsigned remotes = below(3);
        for (unsigned i = 0; i < remotes; ++i) {
            input.remotes.push_back({DomainId{"d" + std::to_string(i)}, below(3), std::chrono::milliseconds(below(20)), 1.0 + below(3), below(3) == 0});
        }
        input.mayForward = below(2) == 0;
        return input;
    }

    static const RouteCandidate *find(const RouteInput &input, const TargetId &id)
    {
        for (const RouteCandidate &candidate : input.candidates) {
            if (candidate.id == id) {
                return &candidate;
            }
        }
        return nullptr;
    }
};

/** Runs @p property for consecutive seeds. */
template<typename Property>
void forSeeds(Property property)
{
    for (std::uint64_t seed = propertySeed(); seed < propertySeed() + propertyRuns(2000); ++seed) {
        INFO("seed " << seed);
        property(seed);
    }
}

} // namespace

// Guards against requests sent to a leaving or failing target, and against online requests that wait behind batch streams.
TEST_CASE_METHOD(RoutingFixture, "chooseTarget_anyInput_targetUsableAndBatchPreempted")
{
    forSeeds([this](std::uint64_t seed) {
        const RouteInput input = randomInput(seed);
        const RouteDecision decision = chooseTarget(input);
        REQUIRE(this->violations == 0);
        if (decision.kind == RouteKind::Forward) {
            REQUIRE(input.mayForward);
        }
        if (decision.kind != RouteKind::Target) {
            return;
        }
        const RouteCandidate *chosen = find(input, decision.target);
        REQUIRE(chosen != nullptr);
        REQUIRE_FALSE(chosen->leaving);
        REQUIRE_FALSE(chosen->blocked);
        REQUIRE(decision.yieldSlots <= cancellableBatch(*chosen));
        const unsigned left = std::max(chosen->occupied, chosen->online) - std::min(decision.yieldSlots, chosen->occupied);
        const bool batchLeft = cancellableBatch(*chosen) > decision.yieldSlots;
        REQUIRE((left < chosen->slots || !batchLeft));
    });
}

// Guards against a request that waits or fails although a usable target has a free slot or one that batch can release.
TEST_CASE_METHOD(RoutingFixture, "chooseTarget_slotObtainable_noWait")
{
    forSeeds([](std::uint64_t seed) {
        const RouteInput input = randomInput(seed);
        const RouteDecision decision = chooseTarget(input);
        bool untriedUsable = false;
        bool obtainable = false;
        for (const RouteCandidate &candidate : input.candidates) {
            const bool usable = !candidate.leaving && !candidate.blocked && candidate.slots > 0 && !candidate.tried;
            untriedUsable = untriedUsable || usable;
            obtainable = obtainable || (usable && candidate.online < candidate.slots);
        }
        if (untriedUsable && decision.kind == RouteKind::Target) {
            REQUIRE_FALSE(find(input, decision.target)->tried);
        }
        if (obtainable) {
            REQUIRE(decision.kind == RouteKind::Target);
            REQUIRE(decision.wait == 0ms);
        }
    });
}

TEST_CASE_METHOD(RoutingFixture, "chooseTarget_sameInput_sameDecision")
{
    forSeeds([](std::uint64_t seed) {
        REQUIRE(chooseTarget(randomInput(seed)).reason == chooseTarget(randomInput(seed)).reason);
    });
}

TEST_CASE_METHOD(RoutingFixture, "chooseTarget_slotsHeldByBatch_preemptsOneStream")
{
    RouteInput input;
    input.candidates = {candidate("a", 4, 4, 1)};
    const RouteDecision decision = chooseTarget(input);
    CHECK(decision.kind == RouteKind::Target);
    CHECK(decision.yieldSlots == 1);
}

TEST_CASE_METHOD(RoutingFixture, "chooseTarget_localWaitOverLinkCost_forwards")
{
    RouteInput input;
    input.candidates = {candidate("a", 4, 4, 4)};
    input.remotes = {{DomainId{"east"}, 2, 6ms, 1.0, false}};
    CHECK(chooseTarget(input).kind == RouteKind::Forward);
    input.mayForward = false;
    CHECK(chooseTarget(input).kind == RouteKind::Target);
    input.mayForward = true;
    input.candidates[0].serviceTime = 40ms;
    CHECK(chooseTarget(input).kind == RouteKind::Target);
}

TEST_CASE_METHOD(RoutingFixture, "chooseTarget_prefixCached_prefersItsTarget")
{
    RouteInput input;
    for (int i = 0; i < 8; ++i) {
        input.candidates.push_back(candidate("t" + std::to_string(i), 8, 2, 2));
    }
    input.candidates[5].affinity = 0.9;
    for (input.seed = 0; input.seed < 50; ++input.seed) {
        REQUIRE(chooseTarget(input).target.value == "t5");
    }
}

// Guards against a target with a gradual slowdown that keeps its full share of requests.
TEST_CASE_METHOD(RoutingFixture, "chooseTarget_targetSlowsDown_getsFewerRequests")
{
    RouteInput input;
    for (int i = 0; i < 4; ++i) {
        input.candidates.push_back(candidate("t" + std::to_string(i), 8, 4, 4));
    }
    input.candidates[0].declineFactor = 1.5;
    int declining = 0;
    for (input.seed = 0; input.seed < 400; ++input.seed) {
        declining += chooseTarget(input).target.value == "t0" ? 1 : 0;
    }
    CHECK(declining == 0);
}

TEST_CASE_METHOD(RoutingFixture, "decideAdmission_waitOverDeadline_refusesWithRetryAfter")
{
    AdmissionInput input;
    input.now = TimePoint(100s);
    input.deadline = input.now + 2s;
    input.slotTime = 500ms;
    CHECK(decideAdmission(input).kind == AdmissionKind::Run);
    input.wait = 1s;
    CHECK(decideAdmission(input).kind == AdmissionKind::Queue);
    input.ahead = 3;
    const AdmissionDecision refused = decideAdmission(input);
    CHECK(refused.kind == AdmissionKind::Refuse);
    CHECK(refused.retryAfter >= 1s);
    input.ahead = 0;
    input.queued = input.limit;
    CHECK(decideAdmission(input).kind == AdmissionKind::Refuse);
}

TEST_CASE_METHOD(RoutingFixture, "admissionQueue_anyOrderOfArrival_earliestDeadlineFirst")
{
    const bool passed = rc::check("earliest deadline first", [](const std::vector<std::uint16_t> &arrivals) {
        AdmissionQueue queue;
        std::vector<std::pair<TimePoint, std::uint64_t>> tickets;
        for (const std::uint16_t arrival : arrivals) {
            const TimePoint deadline{std::chrono::milliseconds(arrival)};
            tickets.emplace_back(deadline, enqueue(queue, deadline));
        }
        std::sort(tickets.begin(), tickets.end());
        for (const auto &[deadline, ticket] : tickets) {
            RC_ASSERT(isFirst(queue, ticket));
            dequeue(queue, deadline, ticket);
        }
    });
    CHECK(passed);
}

// Guards against a request that leaves a silent target for targets that cannot take it.
TEST_CASE_METHOD(RoutingFixture, "hasAlternative_othersCannotTakeTheRequest_isFalse")
{
    RouteInput input;
    input.candidates = {candidate("chosen", 4, 0, 0), candidate("other", 4, 0, 0)};
    RouteDecision decision;
    decision.kind = RouteKind::Target;
    decision.target.value = "chosen";
    RouteCandidate &other = input.candidates.back();
    CHECK(hasAlternative(input, decision, false));
    other.tried = true;
    CHECK_FALSE(hasAlternative(input, decision, false));
    CHECK(hasAlternative(input, decision, true));
    other.blocked = true;
    CHECK_FALSE(hasAlternative(input, decision, true));
    other = candidate("other", 4, 4, 4);
    CHECK_FALSE(hasAlternative(input, decision, false));
    input.remotes.push_back({DomainId{"south"}, 2});
    CHECK(hasAlternative(input, decision, false));
    input.mayForward = false;
    CHECK_FALSE(hasAlternative(input, decision, false));
}

TEST_CASE_METHOD(RoutingFixture, "affinityTable_manyPrompts_boundedAndFindsLongestPrefix")
{
    AffinityTable table;
    table.capacity = 100;
    const std::string shared(1024, 's');
    recordPrefixes(table, prefixHashes(shared, "m"), TargetId{"a"});
    const auto longer = prefixHashes(shared + std::string(1024, 't'), "m");
    const AffinityMatch match = findAffinity(table, longer);
    CHECK(match.target.value == "a");
    CHECK(match.share == Approx(0.5));
    CHECK(findAffinity(table, prefixHashes(shared, "other")).target.empty());
    for (int i = 0; i < 200; ++i) {
        recordPrefixes(table, prefixHashes(std::string(600, static_cast<char>('a' + i % 20)) + std::to_string(i), "m"), TargetId{"b"});
    }
    CHECK(table.recent.size() <= 100);
    CHECK(table.byPrefix.size() == table.recent.size());
    removeTargetPrefixes(table, TargetId{"b"});
    CHECK(table.byPrefix.size() == table.recent.size());
}
