/** @file test_baseline.cpp Tests of the baseline policies. */
#include "policy/baseline_func.h"
#include "policy/routing_func.h"

#include "core/hash_func.h"
#include "support/property_seed.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace skylark;

namespace {

struct BaselineFixture {
    BaselineFixture()
    {
        seedRapidCheck();
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
};

} // namespace

// Guards against a round robin that routes by load: the adaptive policy would be measured against itself.
TEST_CASE_METHOD(BaselineFixture, "roundRobin_unequalLoad_selectsTargetsInTurn")
{
    RouteInput input;
    input.candidates = {candidate("a", 4, 4, 0), candidate("b", 4, 0, 0), candidate("c", 4, 9, 9)};
    for (std::uint64_t requestNumber = 0; requestNumber < 6; ++requestNumber) {
        const RouteDecision decision = chooseTargetByMode(PolicyMode::RoundRobin, input, requestNumber);
        CHECK(decision.kind == RouteKind::Target);
        CHECK(decision.target == input.candidates[requestNumber % 3].id);
        CHECK(decision.yieldSlots == 0);
    }
}

// Guards against a round robin that selects targets that are leaving, blocked by their circuit breaker or without slots.
TEST_CASE_METHOD(BaselineFixture, "roundRobin_someUnusable_skipsThem")
{
    RouteInput input;
    input.candidates = {candidate("a", 4, 0, 0), candidate("b", 4, 0, 0), candidate("c", 4, 0, 0), candidate("d", 0, 0, 0)};
    input.candidates[0].leaving = true;
    input.candidates[1].blocked = true;
    for (std::uint64_t requestNumber = 0; requestNumber < 4; ++requestNumber) {
        CHECK(chooseTargetByMode(PolicyMode::RoundRobin, input, requestNumber).target.value == "c");
    }
    input.candidates[2].leaving = true;
    CHECK(chooseTargetByMode(PolicyMode::RoundRobin, input, 0).kind == RouteKind::None);
}

// Guards against the mode switch changing decisions of the default policy.
TEST_CASE_METHOD(BaselineFixture, "adaptive_anyLoad_decidesLikeChooseTarget")
{
    REQUIRE(rc::check("the adaptive mode is chooseTarget() and the adaptive limit", [](std::uint64_t seed) {
        RouteInput input;
        input.seed = seed;
        for (unsigned i = 0; i < 4; ++i) {
            input.candidates.push_back(candidate("t" + std::to_string(i), 4, nextRandom(seed) % 8, nextRandom(seed) % 4));
        }
        const RouteDecision expected = chooseTarget(input);
        const RouteDecision decision = chooseTargetByMode(PolicyMode::Adaptive, input, seed);
        RC_ASSERT(decision.target == expected.target);
        RC_ASSERT(decision.yieldSlots == expected.yieldSlots);
        RC_ASSERT(batchLimitByMode(PolicyMode::Adaptive, seed % 9, 8, true) == seed % 9);
    }));
}

// Guards against a static split that uses a target for both batch and online, or leaves one of them without a target.
TEST_CASE_METHOD(BaselineFixture, "staticSplit_anyEngines_lastThirdServesBatch")
{
    REQUIRE(rc::check("a third of the engines, those with the last ids", [](std::uint8_t size) {
        const std::size_t count = 2 + size % 30;
        std::vector<TargetId> engines;
        for (std::size_t i = 0; i < count; ++i) {
            engines.push_back(TargetId{"engine-" + std::to_string(i * 7 % count)});
        }
        const auto batch = batchOnlyTargets(engines);
        RC_ASSERT(batch.size() == std::max<std::size_t>(1, count / 3));
        RC_ASSERT(batch.size() < count);
        RC_ASSERT(batch.back() == *std::max_element(engines.begin(), engines.end()));
    }));
    CHECK(batchOnlyTargets({TargetId{"only"}}).empty());
}

// Guards against batch on the online targets of a static split, and against a round robin that keeps slots free.
TEST_CASE_METHOD(BaselineFixture, "batchLimit_baselines_allSlotsOrNone")
{
    CHECK(batchLimitByMode(PolicyMode::RoundRobin, 2, 8, false) == 8);
    CHECK(batchLimitByMode(PolicyMode::StaticSplit, 2, 8, true) == 8);
    CHECK(batchLimitByMode(PolicyMode::StaticSplit, 2, 8, false) == 0);
}

// Guards against a static split in which online requests preempt batch streams.
TEST_CASE_METHOD(BaselineFixture, "staticSplit_fullTarget_doesNotYield")
{
    RouteInput input;
    input.candidates = {candidate("a", 4, 4, 0)};
    CHECK(chooseTargetByMode(PolicyMode::Adaptive, input, 0).yieldSlots == 1);
    CHECK(chooseTargetByMode(PolicyMode::StaticSplit, input, 0).yieldSlots == 0);
}
