/** @file test_spread.cpp Tests of load balancing over shared targets, preemption of batch items and retry delays of refused requests. */
#include "core/clock_func.h"
#include "core/hash_func.h"
#include "policy/load_balance_func.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace skylark;
using namespace std::chrono_literals;

namespace {

/** Two targets with eight slots. */
struct BalanceFixture {
    std::vector<BalanceCandidate> candidates{{.id = TargetId{"a"}, .slots = 8}, {.id = TargetId{"b"}, .slots = 8}};
    BalanceLimits limits;
    std::uint64_t draw{7}; ///< Random number for ties.

    [[nodiscard]] BalanceChoice choose() const
    {
        return balanceRequest(this->candidates, this->limits, this->draw);
    }
};

/** Hosts that start streams on shared targets and learn of each other's streams after a delay. */
struct SharedTargets {
    static constexpr unsigned hosts = 7;
    static constexpr unsigned targets = 12;
    static constexpr unsigned slots = 8; ///< Slots of each target.
    static constexpr auto serviceTime = 700ms; ///< Time that a stream holds a slot.
    static constexpr auto arrivalGap = 10ms; ///< Mean time between two streams: 73 % of the slots are in use.

    struct Stream {
        unsigned host{0}; ///< Host that started it.
        TargetId target;
        TimePoint startedAt{};
    };

    std::vector<Stream> streams; ///< Running streams.
    std::uint64_t random{11}; ///< State of the random number generator.

    /** @return Number of streams on @p target known to @p host: its own, and those that other hosts started at least @p propagationDelay ago. */
    [[nodiscard]] unsigned known(unsigned host, const TargetId &target, TimePoint now, std::chrono::milliseconds propagationDelay) const
    {
        return static_cast<unsigned>(std::count_if(this->streams.begin(), this->streams.end(), [&](const Stream &stream) {
            return stream.target == target && (stream.host == host || now - stream.startedAt >= propagationDelay);
        }));
    }

    /** Starts streams for a minute of simulated time. @return Share of the streams started on a full target although another target had a free slot. */
    double shareOnFullTargets(std::chrono::milliseconds propagationDelay)
    {
        constexpr std::size_t capacity = std::size_t{targets} * slots;
        unsigned started = 0;
        unsigned onFullTarget = 0;
        const TimePoint begin{};
        for (TimePoint now = begin; now < begin + 60s; now += std::chrono::milliseconds(nextRandom(this->random) % (2 * arrivalGap.count()))) {
            std::erase_if(this->streams, [now](const Stream &stream) {
                return now - stream.startedAt >= serviceTime;
            });
            const auto host = static_cast<unsigned>(nextRandom(this->random) % hosts);
            std::vector<BalanceCandidate> candidates;
            for (unsigned i = 0; i < targets; ++i) {
                const TargetId id{"t" + std::to_string(i)};
                candidates.push_back({.id = id, .slots = slots, .online = this->known(host, id, now, propagationDelay)});
            }
            const BalanceChoice choice = balanceRequest(candidates, {}, nextRandom(this->random));
            ++started;
            onFullTarget += this->known(host, choice.target, now, 0ms) >= slots && this->streams.size() < capacity ? 1 : 0;
            this->streams.push_back({host, choice.target, now});
        }
        return static_cast<double>(onFullTarget) / started;
    }
};

} // namespace

// Guards against streams that wait at a full target and exceed their target latency: seven hosts use three quarters of the capacity and choose targets by
// counts that lag by 10 ms.
TEST_CASE_METHOD(SharedTargets, "balanceRequest_countsTenMillisecondsOld_rarelyChoosesFullTarget")
{
    CHECK(this->shareOnFullTargets(10ms) <= 0.01);
}

// Guards against batch items that are cancelled while another target has a free slot (1,000 were cancelled per day).
TEST_CASE_METHOD(BalanceFixture, "balanceRequest_oneTargetFullOfBatch_choosesFreeSlotElsewhere")
{
    this->candidates[0].online = 1;
    this->candidates[0].batch = 7;
    this->candidates[1].online = 5;
    const BalanceChoice choice = this->choose();
    CHECK(choice.target.value == "b");
    CHECK(choice.reason == BalanceReason::FreeSlot);
}

TEST_CASE_METHOD(BalanceFixture, "balanceRequest_noFreeSlot_preemptsBatch")
{
    this->candidates[0].online = 8;
    this->candidates[1].online = 6;
    this->candidates[1].batch = 2;
    const BalanceChoice choice = this->choose();
    CHECK(choice.target.value == "b");
    CHECK(choice.reason == BalanceReason::BatchYields);
}

TEST_CASE_METHOD(BalanceFixture, "balanceRequest_allSlotsTakenByOnline_joinsShortestQueue")
{
    this->candidates[0].online = 10;
    this->candidates[1].online = 9;
    const BalanceChoice choice = this->choose();
    CHECK(choice.target.value == "b");
    CHECK(choice.reason == BalanceReason::Queued);
}

// Guards against requests that wait until their deadline although it is known that they cannot be served in time.
TEST_CASE_METHOD(BalanceFixture, "balanceRequest_queuesFull_refusesAtOnce")
{
    this->candidates[0].online = 12;
    this->candidates[1].online = 12;
    CHECK(this->choose().reason == BalanceReason::Full);
}

TEST_CASE_METHOD(BalanceFixture, "balanceRequest_noCandidates_reportsNoTarget")
{
    this->candidates.clear();
    CHECK(this->choose().reason == BalanceReason::NoTarget);
}

TEST_CASE_METHOD(BalanceFixture, "balanceRequest_suspectTarget_isUsedOnlyWhenOthersAreTried")
{
    this->candidates[0].suspect = true;
    this->candidates[1].online = 7;
    CHECK(this->choose().target.value == "b");
    this->candidates[1].tried = true;
    CHECK(this->choose().target.value == "a");
}

TEST_CASE_METHOD(BalanceFixture, "balanceRequest_silentTarget_isUsedBeforeARequestWaitsElsewhere")
{
    this->candidates[0].silent = true;
    this->candidates[1].online = 7;
    CHECK(this->choose().target.value == "b");
    this->candidates[1].online = 8;
    CHECK(this->choose().target.value == "a");
    this->candidates[1] = {.id = TargetId{"b"}, .slots = 8, .suspect = true};
    CHECK(this->choose().target.value == "a");
}

TEST_CASE_METHOD(BalanceFixture, "balanceRequest_equalLoad_prefersOwnFailureDomain")
{
    this->candidates[0].sameDomain = false;
    for (this->draw = 0; this->draw < 50; ++this->draw) {
        CHECK(this->choose().target.value == "b");
    }
}

// Guards against hosts of a large fleet that overload targets of other failure domains on counts that are half a second old.
TEST_CASE_METHOD(BalanceFixture, "balanceRequest_oldCountsOfOtherDomain_prefersOwnTargets")
{
    this->candidates[0].sameDomain = false;
    this->candidates[0].countsAge = 500ms;
    this->candidates[1].online = 3;
    CHECK(this->choose().target.value == "b");
    this->candidates[1].online = 7;
    CHECK(this->choose().target.value == "a");
}

TEST_CASE_METHOD(BalanceFixture, "balanceRequest_slowTarget_getsFewerRequestsThanPeers")
{
    this->candidates[0].online = 2;
    this->candidates[0].slowness = 4.0;
    this->candidates[1].online = 4;
    CHECK(this->choose().target.value == "b");
}

// Property: under any load, the chosen target has not been tried and its queue is not full.
TEST_CASE_METHOD(BalanceFixture, "balanceRequest_randomLoads_neverChoosesTriedOrFullTarget")
{
    std::uint64_t random = 11;
    for (unsigned round = 0; round < 20000; ++round) {
        this->candidates.assign(1 + nextRandom(random) % 12, BalanceCandidate{.slots = 8});
        for (std::size_t i = 0; i < this->candidates.size(); ++i) {
            BalanceCandidate &candidate = this->candidates[i];
            candidate.id.value = std::to_string(i);
            candidate.online = static_cast<unsigned>(nextRandom(random) % 16);
            candidate.batch = static_cast<unsigned>(nextRandom(random) % 9);
            candidate.tried = nextRandom(random) % 4 == 0;
            candidate.suspect = nextRandom(random) % 4 == 0;
        }
        this->draw = nextRandom(random);
        const BalanceChoice choice = this->choose();
        const bool hasTarget = choice.reason != BalanceReason::Full && choice.reason != BalanceReason::NoTarget;
        const bool possible = std::any_of(this->candidates.begin(), this->candidates.end(), [](const BalanceCandidate &candidate) {
            return !candidate.tried && candidate.online < 12;
        });
        REQUIRE(hasTarget == possible);
        if (hasTarget) {
            const BalanceCandidate &chosen = this->candidates[std::stoul(choice.target.value)];
            REQUIRE_FALSE(chosen.tried);
            REQUIRE(chosen.online < 12);
        }
    }
}

TEST_CASE("refusalDelay_longerQueue_notShorter", "[refusal]")
{
    const RefusalInput small{.online = 100, .slots = 96, .remaining = 5000ms, .draw = 0};
    const RefusalInput large{.online = 190, .slots = 96, .remaining = 5000ms, .draw = 0};
    CHECK(refusalDelay(small) <= refusalDelay(large));
}

// Guards against callers that are told to retry after their deadline or all at the same time.
TEST_CASE("refusalDelay_randomInput_staysWithinThirdOfRemainingTime", "[refusal]")
{
    std::uint64_t random = 3;
    for (unsigned round = 0; round < 10000; ++round) {
        const RefusalInput input{.online = static_cast<unsigned>(nextRandom(random) % 400),
                                 .slots = static_cast<unsigned>(nextRandom(random) % 100),
                                 .remaining = std::chrono::milliseconds(nextRandom(random) % 6000),
                                 .draw = nextRandom(random)};
        const auto delay = refusalDelay(input);
        REQUIRE(delay >= 200ms);
        REQUIRE(delay <= std::max(200ms, input.remaining / 3));
    }
}
