/** @file test_memory_budget.cpp Decisions on memory that is held for callers, and a simulation of uncontrolled clients beside ordinary ones. */
#include "policy/memory_budget_func.h"
#include "support/property_seed.h"

#include <catch2/catch.hpp>
#include <random>

namespace skylark {

namespace {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr std::uint64_t mebibyte = std::uint64_t{1} << 20U;
constexpr std::uint64_t largeBody = 4 * mebibyte;
constexpr milliseconds step{25};

/** How a simulated client sends its body. */
enum class Sender : std::uint8_t {
    Ordinary, ///< Sends a large body without pause, and again after a refusal.
    Stopping, ///< Stops short of the end and stays.
    Trickling, ///< Sends one byte in a step.
};

/** One simulated client. */
struct SimulatedClient {
    Sender sender{Sender::Ordinary};
    std::uint64_t received{0}; ///< Bytes of the body that the server has read.
    std::uint64_t held{0};
    milliseconds progressAt{0};
    std::optional<milliseconds> waitsSince;
    bool done{false};
    unsigned closed{0}; ///< How often it was closed.
};

/** Server that reads bodies as the account allows. */
struct MemorySimulation {
    MemoryBudget budget{makeBudget(16 * mebibyte)};
    MemoryUse use;
    std::vector<SimulatedClient> clients;
    milliseconds now{1000};
    milliseconds closedAt{0};
    std::uint64_t mostHeld{0};
    unsigned smallRefused{0}; ///< Small requests that did not get memory at once.

    void hold(SimulatedClient &client, std::uint64_t bytes)
    {
        this->use = changeUse(this->use, client.held, bytes);
        client.held = bytes;
        this->mostHeld = std::max(this->mostHeld, this->use.held);
    }

    static std::uint64_t nextBytes(const SimulatedClient &client)
    {
        const std::uint64_t end = client.sender == Sender::Ordinary ? largeBody : largeBody - 1000;
        const std::uint64_t rate = client.sender == Sender::Trickling ? 1 : mebibyte / 2;
        return std::min(rate, end - client.received);
    }

    void advance(SimulatedClient &client)
    {
        const std::uint64_t more = nextBytes(client);
        if (client.done || more == 0) {
            return;
        }
        const std::uint64_t wanted = std::max(client.held, bodyReservation(client.received + more, largeBody, largeBody));
        if (wanted > client.held && !mayHold(this->budget, this->use, client.held, wanted - client.held)) {
            client.waitsSince = client.waitsSince.value_or(this->now);
            return;
        }
        client.waitsSince.reset();
        this->hold(client, wanted);
        client.received += more;
        client.progressAt = client.sender == Sender::Trickling ? client.progressAt : this->now;
        if (client.received == largeBody) {
            client.done = true;
            this->hold(client, 0);
        }
    }

    void closeWorst()
    {
        MemoryPressure pressure{0ms, this->now - this->closedAt, false};
        std::vector<MemoryHolder> holders;
        for (const SimulatedClient &client : this->clients) {
            pressure.waited = client.waitsSince ? std::max(pressure.waited, this->now - *client.waitsSince) : pressure.waited;
            holders.push_back({client.held, this->now - client.progressAt, client.waitsSince.has_value()});
        }
        const auto chosen = mustClose(pressure) ? chooseHolderToClose(holders, pressure) : std::nullopt;
        if (chosen) {
            SimulatedClient &client = this->clients[*chosen];
            this->hold(client, 0);
            client.received = 0;
            client.progressAt = this->now;
            client.waitsSince.reset();
            ++client.closed;
            this->closedAt = this->now;
        }
    }

    void run(unsigned steps, std::mt19937_64 &random)
    {
        for (unsigned i = 0; i < steps; ++i) {
            this->now += step;
            std::shuffle(this->clients.begin(), this->clients.end(), random);
            for (SimulatedClient &client : this->clients) {
                this->advance(client);
            }
            this->closeWorst();
            this->smallRefused += mayHold(this->budget, this->use, 0, 20000) ? 0 : 1;
        }
    }
};

} // namespace

// Guards against a budget that changes the service of a deployment without a memory limit, or that exceeds its limit.
TEST_CASE("budgetFor_memoryLimit_leavesRoomForTheProcess")
{
    CHECK(budgetFor(0, 8192 * mebibyte).bytes == 4096 * mebibyte);
    CHECK(budgetFor(160, 8192 * mebibyte).bytes == 64 * mebibyte);
    CHECK(budgetFor(512, 8192 * mebibyte).bytes == 240 * mebibyte);
    CHECK(budgetFor(16, 8192 * mebibyte).bytes == 8 * mebibyte);
}

// Guards against large requests that take the part that is kept for small ones.
TEST_CASE("mayHold_largeHoldersFillTheirPart_smallOneIsAdmitted")
{
    const MemoryBudget budget = makeBudget(16 * mebibyte);
    const MemoryUse use{12 * mebibyte, 12 * mebibyte};
    CHECK_FALSE(mayHold(budget, use, 0, mebibyte));
    CHECK(mayHold(budget, use, 0, smallHoldBytes));
    // A single large holder that exceeds the budget leaves that part, too.
    CHECK(mayHold(budget, {32 * mebibyte, 32 * mebibyte}, 0, smallHoldBytes));
    CHECK_FALSE(mayHold(budget, {37 * mebibyte, 32 * mebibyte}, 0, smallHoldBytes));
}

// Guards against refusing a legal request that is larger than the budget although nothing else is being served.
TEST_CASE("mayHold_largerThanBudgetAndAlone_isAdmitted")
{
    const MemoryBudget budget = makeBudget(8 * mebibyte);
    CHECK(mayHold(budget, {mebibyte, 0}, 0, 32 * mebibyte));
    CHECK(mayHold(budget, {3 * mebibyte, 2 * mebibyte, 2 * mebibyte}, 0, 32 * mebibyte));
    CHECK_FALSE(mayHold(budget, {2 * mebibyte, 2 * mebibyte}, 0, 32 * mebibyte));
}

// Guards against closing a holder that moves on, and small ones although they would not make room for a large request.
TEST_CASE("chooseHolderToClose_holders_worstProductOfBytesAndIdleTime")
{
    const MemoryPressure large{300ms, 300ms, false};
    const MemoryPressure small{300ms, 300ms, true};
    CHECK(chooseHolderToClose({{8 * mebibyte, 50ms}, {2 * mebibyte, 900ms}, {4 * mebibyte, 300ms}}, large) == 1);
    CHECK(chooseHolderToClose({{8 * mebibyte, 50ms}, {20000, 9000ms}}, large) == std::nullopt);
    CHECK(chooseHolderToClose({{8 * mebibyte, 50ms}, {20000, 9000ms}}, small) == 1);
}

// Guards against closing requests that wait only because the server does not read them, and against requests that wait for one another until their time is
// over.
TEST_CASE("chooseHolderToClose_waitingHolders_onlyIfNoOtherIsLeft")
{
    const MemoryPressure pressure{300ms, 300ms, false};
    const MemoryHolder waiting{3 * mebibyte, 900ms, true};
    const MemoryHolder handled{mebibyte, 900ms, false, false};
    CHECK(chooseHolderToClose({waiting, {mebibyte, 300ms}}, pressure) == 1);
    CHECK(chooseHolderToClose({waiting, handled}, pressure) == std::nullopt);
    CHECK(chooseHolderToClose({{mebibyte, 900ms, true}, waiting}, pressure) == 1);
}

// Guards against bodies on slow but steady links that are cut off, and against bodies that are held without end.
TEST_CASE("judgeBody_rates_slowOnesEndAfterTheGrace")
{
    const BodyLimits limits;
    CHECK(judgeBody(limits, {29s, 1s, 100}) == BodyVerdict::GoOn);
    CHECK(judgeBody(limits, {30s, 1s, 100}) == BodyVerdict::TooSlow);
    CHECK(judgeBody(limits, {200s, 1s, largeBody}) == BodyVerdict::GoOn);
    CHECK(judgeBody(limits, {10s, 30s, largeBody}) == BodyVerdict::Stalled);
    CHECK(nextBodyVerdict(limits, {10s, 5s, 100}) == 20s);
    CHECK(nextBodyVerdict(limits, {10s, 15s, 100}) == 15s);
}

// Guards against reserving whole bodies that were only announced, and against growing in small steps.
TEST_CASE("bodyReservation_receivedBytes_announcedLengthOnlyOnceSomeArrived")
{
    CHECK(bodyReservation(1000, largeBody, largeBody) == 1000);
    CHECK(bodyReservation(100000, largeBody, largeBody) == largeBody);
    CHECK(bodyReservation(100000, std::nullopt, largeBody) == 131072);
    CHECK(bodyReservation(3 * mebibyte, std::nullopt, 3500000) == 3500000);
}

// Guards against uncontrolled clients that keep ordinary ones from being served: 40 bodies stop short of their end, 20 trickle, and 40 ordinary large bodies
// and small requests must get through.
TEST_CASE("memorySimulation_uncontrolledClientsBesideOrdinaryOnes_ordinaryOnesAreServed")
{
    for (std::uint64_t seed = propertySeed(); seed < propertySeed() + propertyRuns(5); ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        MemorySimulation simulation;
        for (unsigned i = 0; i < 100; ++i) {
            const Sender sender = i < 40 ? Sender::Ordinary : i < 80 ? Sender::Stopping : Sender::Trickling;
            simulation.clients.push_back({.sender = sender, .progressAt = simulation.now});
        }
        simulation.run(1200, random);
        unsigned served = 0;
        unsigned ordinaryClosed = 0;
        for (const SimulatedClient &client : simulation.clients) {
            served += client.done ? 1 : 0;
            ordinaryClosed += client.sender == Sender::Ordinary ? client.closed : 0;
        }
        CHECK(served == 40);
        CHECK(simulation.mostHeld <= simulation.budget.bytes);
        CHECK(simulation.smallRefused == 0);
        CHECK(ordinaryClosed == 0);
    }
}

} // namespace skylark
