/** @file test_config_proof.cpp Proof that a host's configuration is the newest: who asks, which announcements count, and what callers get. */
#include "core/hash_func.h"
#include "documents_func.h"
#include "entry/proof_upkeep_func.h"
#include "memory_store_base.h"
#include "peer/status_codec_func.h"
#include "policy/config_proof_func.h"
#include "policy/sender_clock_func.h"
#include "support/entry_fixture.h"

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

const ConfigProofLimits keptLimits{true, 5000ms, 3000ms};
const TimePoint start{1h}; ///< Boot clock at the start of a simulation.

/** One host of a simulated failure domain. */
struct SimulatedHost {
    HostId id;
    ConfigProofState state;
    Revision inForce{1};
    bool refused{false}; ///< Whether the service answers none of its calls.
    bool suspended{false};
    TimePoint callEndsAt{}; ///< End of the call in progress.
    std::map<std::size_t, SenderClock> clocks;
    unsigned calls{0};
};

/** A failure domain of hosts whose clocks agree, a service, and datagrams that take 2 ms; steps of 10 ms. */
struct ProofSimulation {
    std::vector<SimulatedHost> hosts;
    TimePoint now{start};
    bool storeDown{false};
    Revision newest{1}; ///< Newest configuration in the service.
    TimePoint confirmedAt{start}; ///< When the service confirmed it.
    bool linksCut{false}; ///< Whether datagrams are lost.
    std::chrono::milliseconds callTime{8};

    explicit ProofSimulation(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->hosts.emplace_back();
            this->hosts.back().id.value = "front-" + std::to_string(i);
            this->hosts.back().state.limits = keptLimits;
        }
    }

    [[nodiscard]] unsigned rankOf(const SimulatedHost &host) const
    {
        std::vector<HostId> others;
        for (const SimulatedHost &other : this->hosts) {
            if (other.id != host.id && !other.suspended) {
                others.push_back(other.id);
            }
        }
        return proofRank(others, host.id);
    }

    void receive(SimulatedHost &host, std::size_t sender, TimePoint sentAt)
    {
        const SimulatedHost &from = this->hosts[sender];
        const auto sentMs = std::chrono::duration_cast<std::chrono::milliseconds>(sentAt.time_since_epoch());
        const auto delay = excessDelay(host.clocks[sender], 1, sentMs, this->now);
        std::optional<ConfigProof> announced;
        if (from.state.proof) {
            // The announced age is the one at the time of sending.
            announced = ConfigProof{from.inForce, this->now - (sentAt - from.state.proof->provenAt) - delay};
        }
        if (from.inForce > host.inForce) {
            host.inForce = from.inForce; // Fetched from the sender.
        }
        recordPeerProof(host.state, from.id, 1, announced, host.inForce, this->now);
    }

    void step()
    {
        this->now += 10ms;
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            SimulatedHost &host = this->hosts[i];
            if (host.suspended) {
                continue;
            }
            recordRun(host.state, this->now);
            if (host.state.asking && this->now >= host.callEndsAt) {
                host.state.asking = false;
                host.state.failed = host.refused || this->storeDown;
                if (!host.state.failed) {
                    host.inForce = std::max(host.inForce, this->newest);
                    recordProof(host.state, {host.inForce, host.state.askedAt}, host.inForce);
                }
            }
            if (mayAskForProof(host.state, this->rankOf(host), this->now)) {
                host.state.asking = true;
                host.state.askedAt = this->now;
                host.callEndsAt = this->now + this->callTime;
                ++host.calls;
            }
        }
        const bool announces = (this->now - start) % 100ms == 0ms;
        for (std::size_t from = 0; announces && !this->linksCut && from < this->hosts.size(); ++from) {
            for (std::size_t to = 0; to < this->hosts.size(); ++to) {
                if (from != to && !this->hosts[from].suspended && !this->hosts[to].suspended) {
                    this->receive(this->hosts[to], from, this->now - 2ms);
                }
            }
        }
    }

    void runFor(std::chrono::milliseconds time)
    {
        for (const TimePoint until = this->now + time; this->now < until;) {
            this->step();
        }
    }

    [[nodiscard]] KeyDecision decide(const SimulatedHost &host, bool known = true) const
    {
        return decideKey(host.state.limits, known, proofAge(host.state, host.inForce, this->now));
    }

    [[nodiscard]] std::size_t admitting() const
    {
        return static_cast<std::size_t>(std::count_if(this->hosts.begin(), this->hosts.end(), [this](const SimulatedHost &host) {
            return this->decide(host) == KeyDecision::Admit;
        }));
    }

    [[nodiscard]] unsigned calls() const
    {
        unsigned sum = 0;
        for (const SimulatedHost &host : this->hosts) {
            sum += host.calls;
        }
        return sum;
    }
};

} // namespace

TEST_CASE("decideKey_ageOfTheProof_decides", "[proof]")
{
    CHECK(decideKey(keptLimits, true, 4749ms) == KeyDecision::Admit);
    CHECK(decideKey(keptLimits, true, 4750ms) == KeyDecision::Undecided);
    CHECK(decideKey(keptLimits, true, std::nullopt) == KeyDecision::Undecided);
    CHECK(decideKey(keptLimits, false, 2999ms) == KeyDecision::Refuse);
    CHECK(decideKey(keptLimits, false, 3000ms) == KeyDecision::Undecided);
    CHECK(decideKey(keptLimits, false, std::nullopt) == KeyDecision::Undecided);
    CHECK(decideKey({false, 5000ms, 3000ms}, true, std::nullopt) == KeyDecision::Admit);
    CHECK(decideKey({false, 5000ms, 3000ms}, false, std::nullopt) == KeyDecision::Refuse);
}

// Guards against calls that grow with the number of hosts.
TEST_CASE("proof_domainOfThirtyThreeHosts_oneHostAsks", "[proof]")
{
    ProofSimulation simulation(33);
    simulation.runFor(3s);
    const unsigned before = simulation.calls();
    std::size_t admitting = 33;
    for (unsigned i = 0; i < 1000; ++i) {
        simulation.step();
        admitting = std::min(admitting, simulation.admitting());
    }
    CHECK(admitting == 33);
    const unsigned calls = simulation.calls() - before;
    INFO("calls in 10 s: " << calls);
    CHECK(calls <= 9);
    // An unknown key gets its final answer at every host.
    for (const SimulatedHost &host : simulation.hosts) {
        CHECK(simulation.decide(host, false) == KeyDecision::Refuse);
    }
}

// Guards against hosts that admit callers without the service, and against a storm of calls while it is down.
TEST_CASE("proof_storeDown_refusedInTimeAndServedAgainAfterwards", "[proof]")
{
    ProofSimulation simulation(33);
    simulation.runFor(3s);
    simulation.storeDown = true;
    simulation.runFor(4800ms);
    CHECK(simulation.admitting() == 0);
    const unsigned before = simulation.calls();
    simulation.runFor(10s);
    INFO("failing calls in 10 s: " << simulation.calls() - before);
    CHECK(simulation.calls() - before <= 33 * 5);
    simulation.storeDown = false;
    simulation.runFor(2s);
    CHECK(simulation.admitting() == 33);
}

// Guards against a domain that depends on the hosts that ask first.
TEST_CASE("proof_serviceRefusesAllHostsButTheLastInRank_everyHostStaysProven", "[proof]")
{
    ProofSimulation simulation(33);
    for (SimulatedHost &host : simulation.hosts) {
        host.refused = simulation.rankOf(host) != 32;
    }
    simulation.runFor(6s);
    for (unsigned i = 0; i < 1000; ++i) {
        simulation.step();
        REQUIRE(simulation.admitting() == 33);
    }
}

// Guards against a cut-off host that goes on for longer than the limit.
TEST_CASE("proof_hostAloneAndRefused_admitsNobodyAfterTheLimit", "[proof]")
{
    ProofSimulation simulation(1);
    simulation.runFor(1s);
    CHECK(simulation.admitting() == 1);
    simulation.hosts[0].refused = true;
    simulation.runFor(4750ms);
    CHECK(simulation.admitting() == 0);
    CHECK(simulation.decide(simulation.hosts[0]) == KeyDecision::Undecided);
    simulation.hosts[0].refused = false;
    simulation.runFor(1300ms);
    CHECK(simulation.admitting() == 1);
}

// Guards against a gap when the host that asks is gone.
TEST_CASE("proof_askingHostSuspended_nextInRankTakesOver", "[proof]")
{
    ProofSimulation simulation(5);
    simulation.runFor(3s);
    SimulatedHost &first = *std::find_if(simulation.hosts.begin(), simulation.hosts.end(), [&](const SimulatedHost &host) {
        return simulation.rankOf(host) == 0;
    });
    first.suspended = true;
    for (unsigned i = 0; i < 1000; ++i) {
        simulation.step();
        REQUIRE(simulation.admitting() >= 4);
    }
}

// Guards against a resumed host that admits requests with what it knew before.
TEST_CASE("proof_hostSuspendedAndResumed_admitsNobodyUntilItHasANewProof", "[proof]")
{
    ProofSimulation simulation(2);
    simulation.runFor(3s);
    SimulatedHost &host = simulation.hosts[0];
    REQUIRE(simulation.decide(host) == KeyDecision::Admit);
    host.suspended = true;
    simulation.runFor(10s);
    CHECK(simulation.decide(host) == KeyDecision::Undecided);
    host.suspended = false;
    simulation.runFor(50ms);
    CHECK(simulation.decide(host) == KeyDecision::Admit);
}

// Guards against datagrams that waited in the socket of a suspended host: those of a sender it did not know look as if they had just been sent.
TEST_CASE("proof_resumedHostReadsOldDatagramsOfANewSender_theyDoNotCount", "[proof]")
{
    ConfigProofState state;
    state.limits = keptLimits;
    recordRun(state, start);
    // The host was suspended until now; the datagrams were sent 10 s to 8 s ago, each with a fresh proof.
    const TimePoint resumed = start + 20s;
    SenderClock clock;
    for (int i = 0; i < 20; ++i) {
        const TimePoint arrival = resumed + i * 1ms;
        const TimePoint sentAt = resumed - 10s + i * 100ms;
        const auto delay = excessDelay(clock, 1, std::chrono::duration_cast<std::chrono::milliseconds>(sentAt.time_since_epoch()), arrival);
        recordPeerProof(state, HostId{"front-2"}, 1, ConfigProof{Revision{1}, arrival - delay}, Revision{1}, arrival);
    }
    CHECK(decideKey(keptLimits, true, proofAge(state, Revision{1}, resumed + 20ms)) == KeyDecision::Undecided);
}

// Guards against the same after a second pause: the first old datagram seems to have been heard for long enough.
TEST_CASE("proof_hostPausesAgainWhileItReadsOldDatagrams_theyDoNotCount", "[proof]")
{
    ConfigProofState state;
    state.limits = keptLimits;
    SenderClock clock;
    const auto read = [&](TimePoint sentAt, TimePoint arrival) {
        const auto delay = excessDelay(clock, 1, std::chrono::duration_cast<std::chrono::milliseconds>(sentAt.time_since_epoch()), arrival);
        return recordPeerProof(state, HostId{"front-2"}, 1, ConfigProof{Revision{1}, arrival - delay}, Revision{1}, arrival);
    };
    CHECK_FALSE(read(start - 10s, start));
    CHECK_FALSE(read(start - 9900ms, start + 2s));
    CHECK_FALSE(read(start - 9800ms, start + 2s + 1ms));
}

// Guards against the trust in a sender whose clock the peer link has forgotten because it was silent.
TEST_CASE("proof_senderSilentForSeconds_isObservedAnew", "[proof]")
{
    ConfigProofState state;
    state.limits = keptLimits;
    const auto announce = [&state](TimePoint at) {
        return recordPeerProof(state, HostId{"front-2"}, 1, ConfigProof{Revision{1}, at}, Revision{1}, at);
    };
    for (int i = 0; i <= 20; ++i) {
        recordRun(state, start + i * 100ms);
        announce(start + i * 100ms);
    }
    REQUIRE(state.proof);
    for (int i = 0; i <= 60; ++i) {
        recordRun(state, start + 2s + i * 100ms);
    }
    CHECK_FALSE(announce(start + 8100ms));
    for (int i = 0; i <= 11; ++i) {
        recordRun(state, start + 8100ms + i * 100ms);
    }
    CHECK(announce(start + 9300ms));
}

// Guards against proofs of an outdated peer: their age counts, not that they have just arrived.
TEST_CASE("proof_peerIsOutOfDate_itsAgeIsTakenOver", "[proof]")
{
    ProofSimulation simulation(3);
    simulation.runFor(3s);
    for (SimulatedHost &host : simulation.hosts) {
        host.refused = true;
    }
    simulation.newest.value = 2;
    simulation.confirmedAt = simulation.now;
    while (simulation.now - simulation.confirmedAt < 5s) {
        simulation.step();
    }
    CHECK(simulation.admitting() == 0);
}

// Guards against a proof that a host does not have: one of a newer configuration than the one in force.
TEST_CASE("recordProof_newerConfigurationThanInForce_isIgnored", "[proof]")
{
    ConfigProofState state;
    state.limits = keptLimits;
    CHECK_FALSE(recordProof(state, {Revision{2}, start}, Revision{1}));
    CHECK(recordProof(state, {Revision{1}, start}, Revision{1}));
    CHECK_FALSE(recordProof(state, {Revision{1}, start - 1ms}, Revision{1}));
    // What was confirmed before the proof is also in a newer configuration.
    CHECK(proofAge(state, Revision{2}, start + 1s) == std::optional<std::chrono::nanoseconds>(1s));
}

// Guards against a revoked key that runs after the limit, under random cuts, refusals and suspensions.
TEST_CASE("proof_randomFailures_noRevokedKeyIsAdmittedAfterTheLimit", "[proof]")
{
    std::uint64_t random = 4711;
    ProofSimulation simulation(9);
    simulation.runFor(3s);
    std::size_t admitted = 0;
    for (unsigned round = 0; round < 60; ++round) {
        for (SimulatedHost &host : simulation.hosts) {
            host.refused = nextRandom(random) % 3U == 0;
            host.suspended = nextRandom(random) % 6U == 0;
        }
        simulation.storeDown = nextRandom(random) % 5U == 0;
        simulation.linksCut = nextRandom(random) % 4U == 0;
        simulation.callTime = std::chrono::milliseconds(4 + nextRandom(random) % 240U);
        ++simulation.newest.value;
        simulation.confirmedAt = simulation.now;
        for (unsigned i = 0; i < 700; ++i) {
            simulation.step();
            for (const SimulatedHost &host : simulation.hosts) {
                const bool admits = !host.suspended && simulation.decide(host) == KeyDecision::Admit;
                const bool revoked = host.inForce < simulation.newest && simulation.now - simulation.confirmedAt > 5s;
                admitted += admits ? 1 : 0;
                REQUIRE_FALSE((admits && revoked));
            }
        }
    }
    CHECK(admitted > 100000);
}

// Guards against an age that gets younger on its way through a datagram.
TEST_CASE("statusCodec_proof_isNeverYoungerThanAnnounced", "[proof]")
{
    HostStatus status;
    status.host.value = "front-1";
    auto plain = decodeDatagram(encodeStatus(status, start), start);
    CHECK_FALSE(std::get<HostStatus>(valueOf(plain)).configProvenAt);
    status.configProvenAt = start - 1234567us;
    auto decoded = decodeDatagram(encodeStatus(status, start), start + 5s);
    const auto proven = std::get<HostStatus>(valueOf(decoded)).configProvenAt;
    REQUIRE(proven);
    CHECK(start + 5s - *proven >= 1234567us);
    CHECK(start + 5s - *proven <= 1236ms);
}

namespace {

/** A controller on a store in memory. */
struct ProveFixture : TestLoop {
    std::shared_ptr<MemoryStore> store{MemoryStore::create(loop.get_executor())};
    std::shared_ptr<const FleetSnapshot> snapshot{std::make_shared<const FleetSnapshot>()};
    std::unique_ptr<FleetController> controller;

    void start()
    {
        FleetOptions options;
        options.host.value = "front-1";
        options.session.value = "session-1";
        options.domain.value = "north";
        options.endpoint = {"127.0.0.1", 7000};
        options.provesConfig = true;
        this->controller = FleetController::create(this->loop.get_executor(),
                                                   storeInterface(this->store),
                                                   platform::makeFleetWire(),
                                                   options,
                                                   MetricsRegistry::create(),
                                                   [this](SnapshotPtr published) {
                                                       this->snapshot = std::move(published);
                                                   });
    }

    void putConfig(unsigned version, const std::string &keys = R"("key-a")", const std::string &routes = {})
    {
        putKey(*this->store,
               "op/config",
               R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"tenants":[{"name":"acme","api_keys":[)" + keys + "]}]}");
    }

    std::optional<ConfigProof> prove()
    {
        std::optional<ConfigProof> proof;
        bool done = false;
        proveConfig(*this->controller, [&](std::optional<ConfigProof> result) {
            proof = result;
            done = true;
        });
        REQUIRE(this->runUntil(
            [&] {
                return done;
            },
            5s));
        return proof;
    }

    [[nodiscard]] std::uint64_t version() const
    {
        return this->snapshot->config ? this->snapshot->config->version.value : 0;
    }

    bool reaches(std::uint64_t expected)
    {
        return this->runUntil(
            [&] {
                return this->version() == expected;
            },
            3s);
    }
};

} // namespace

// Guards against a proof from a service whose watches report nothing.
TEST_CASE_METHOD(ProveFixture, "proveConfig_watchReportsNothing_newerConfigurationIsAdoptedFirst")
{
    this->putConfig(1);
    this->start();
    REQUIRE(this->reaches(1));
    this->store->faults.hidesChanges = true;
    this->store->faults.staleReadRevision = this->store->revision;
    this->putConfig(2, R"("key-b")");
    const TimePoint asked = BootClock::now();
    const auto proof = this->prove();
    REQUIRE(proof);
    CHECK(proof->version.value == 2);
    CHECK(proof->provenAt >= asked);
    CHECK(this->version() == 2);
    CHECK(findWorkspace(*this->snapshot->config, "key-a") == nullptr);
    CHECK(findWorkspace(*this->snapshot->config, "key-b") != nullptr);
}

// Guards against a proof of the time of the answer: the configuration may have changed on its way.
TEST_CASE_METHOD(ProveFixture, "proveConfig_serviceIsSlow_proofIsOfTheStartOfTheCall")
{
    this->putConfig(1);
    this->start();
    REQUIRE(this->reaches(1));
    this->store->faults.callDelay = 300ms;
    const TimePoint asked = BootClock::now();
    const auto proof = this->prove();
    REQUIRE(proof);
    CHECK(proof->provenAt - asked < 200ms);
    CHECK(BootClock::now() - asked >= 300ms);
}

// Guards against a proof without an answer.
TEST_CASE_METHOD(ProveFixture, "proveConfig_storeDown_givesNoProof")
{
    this->putConfig(1);
    this->start();
    REQUIRE(this->reaches(1));
    this->store->faults.down = true;
    CHECK_FALSE(this->prove());
}

// Guards against writes and documents on the way while nothing has changed.
TEST_CASE_METHOD(ProveFixture, "proveConfig_nothingChanged_isOneCallWithoutAWrite")
{
    this->putConfig(1);
    this->start();
    REQUIRE(this->reaches(1));
    this->runFor(100ms);
    const auto before = this->store->counts;
    const std::size_t history = this->store->history.size();
    CHECK(this->prove());
    CHECK(this->store->counts.commits == before.commits + 1);
    CHECK(this->store->counts.gets == before.gets);
    CHECK(this->store->history.size() == history);
}

// Guards against hosts without proof at a service that does not return the outcome of such transactions.
TEST_CASE_METHOD(ProveFixture, "proveConfig_transactionHasNoOutcome_documentIsRead")
{
    this->putConfig(1);
    this->start();
    REQUIRE(this->reaches(1));
    this->store->faults.losesWriteAnswers = true;
    const auto before = this->store->counts;
    for (unsigned i = 0; i < 5; ++i) {
        CHECK(this->prove());
    }
    CHECK(this->store->counts.gets == before.gets + 5);
    CHECK(this->store->counts.commits == before.commits + 3);
}

// Guards against an outage by a document that cannot be decoded: it is refused, and the configuration in force remains the newest valid one.
TEST_CASE_METHOD(ProveFixture, "proveConfig_invalidDocument_configurationInForceIsProved")
{
    this->putConfig(1);
    this->start();
    REQUIRE(this->reaches(1));
    putKey(*this->store, "op/config", "{");
    const auto proof = this->prove();
    REQUIRE(proof);
    CHECK(proof->version.value == 1);
    const auto commits = this->store->counts.commits;
    CHECK(this->prove());
    CHECK(this->store->counts.commits == commits + 1);
}

// Guards against a proof of a configuration that its operators have removed.
TEST_CASE_METHOD(ProveFixture, "proveConfig_documentRemoved_givesNoProof")
{
    this->putConfig(1);
    this->start();
    REQUIRE(this->reaches(1));
    removeKey(*this->store, "op/config");
    CHECK_FALSE(this->prove());
    CHECK(this->version() == 1);
}

// Guards against a missed second configuration right after the first, and against a large one.
TEST_CASE_METHOD(ProveFixture, "proveConfig_twoConfigurationsInSuccessionOneLarge_lastOneIsProved")
{
    this->putConfig(1);
    this->start();
    REQUIRE(this->reaches(1));
    std::string keys = R"("key-a")";
    for (unsigned i = 0; i < 10000; ++i) {
        keys += R"(,"key-)" + std::to_string(i) + '"';
    }
    std::string routes;
    for (unsigned i = 0; i < 1400; ++i) {
        routes += (i > 0 ? "," : "") + std::string(R"({"name":"r)") + std::to_string(i) + R"(","host":"h.example","prefix":"/r)" + std::to_string(i)
                  + R"(/","kind":"safe","service":"s"})";
    }
    this->putConfig(2, keys, routes);
    this->runFor(300ms);
    this->putConfig(3, keys + R"(,"key-last")", routes);
    const TimePoint confirmed = BootClock::now();
    REQUIRE(this->reaches(3));
    CHECK(BootClock::now() - confirmed < 1s);
    const auto proof = this->prove();
    REQUIRE(proof);
    CHECK(proof->version.value == 3);
    CHECK(findWorkspace(*this->snapshot->config, "key-last") != nullptr);
    CHECK(this->snapshot->config->routes.size() == 1400);
}

namespace {

/** A host that keeps proofs, and a caller with a known key. */
struct ProvenHostFixture : EntryFixture {
    standin::Replica &replica{this->addReplica("i-1")};
    std::unique_ptr<EntryTestHost> host;

    ProvenHostFixture()
    {
        this->config->workspaces.emplace();
        this->config->workspaces->push_back({WorkspaceId{"acme"}, {"key-a"}});
        this->routeNamed("order").isPublic = true;
        this->replica.plan = [](const HttpRequest & /*request*/, unsigned /*number*/) {
            return ReplicaPlan{.stream = false};
        };
        this->host = std::make_unique<EntryTestHost>(*this, "front-1", false);
        this->host->proof->limits = keptLimits;
    }

    void setProofAge(std::chrono::milliseconds age)
    {
        this->host->proof->proof = ConfigProof{Revision{1}, BootClock::now() - age};
    }

    HttpResponse sendWithKey(const std::string &id, const std::string &key, const std::string &path = "/lookup/1")
    {
        HttpRequest request = EntryTestHost::request(id, path);
        request.headers.push_back({"X-Api-Key", key});
        return this->host->send(std::move(request));
    }
};

} // namespace

// Guards against an admission without a recent proof, and against a final refusal of a host that does not know.
TEST_CASE_METHOD(ProvenHostFixture, "keyedRequest_ageOfTheProof_decidesBetweenAnswerRefusalAndDelay")
{
    CHECK(this->sendWithKey("r1", "key-a").status == 503);
    this->setProofAge(1s);
    CHECK(this->sendWithKey("r2", "key-a").status == 200);
    CHECK(this->sendWithKey("r3", "key-x").status == 401);
    this->setProofAge(3500ms);
    CHECK(this->sendWithKey("r4", "key-a").status == 200);
    const HttpResponse undecided = this->sendWithKey("r5", "key-x");
    CHECK(undecided.status == 503);
    CHECK(headerValue(undecided.headers, "Retry-After") == "0.500");
    this->setProofAge(4800ms);
    CHECK(this->sendWithKey("r6", "key-a").status == 503);
    CHECK(this->runsOf("r6") == 0);
}

// Guards against an outage of public routes together with the proof.
TEST_CASE_METHOD(ProvenHostFixture, "publicRoute_proofTooOld_isServed")
{
    this->setProofAge(60s);
    CHECK(this->sendWithKey("r1", "key-x", "/order/1").status == 200);
}

// Guards against a host that never asks, or that goes on asking while a call is in progress.
TEST_CASE_METHOD(ProvenHostFixture, "proofUpkeep_noProof_asksOnceAndAnnouncesTheOutcome")
{
    unsigned asked = 0;
    unsigned announced = 0;
    ProofUpkeep upkeep{this->host->proxy,
                       this->host->proof,
                       HostId{"front-1"},
                       [&asked] {
                           ++asked;
                       },
                       [&announced] {
                           ++announced;
                       }};
    const TimePoint now = BootClock::now();
    updateProof(upkeep, now);
    updateProof(upkeep, now + 100ms);
    CHECK(asked == 1);
    applyOwnProof(upkeep, ConfigProof{Revision{1}, now});
    CHECK(announced == 1);
    HostStatus status;
    addOwnProof(upkeep, status);
    CHECK(status.configProvenAt == std::optional(now));
    updateProof(upkeep, now + 1200ms);
    CHECK(asked == 1);
    updateProof(upkeep, now + 1250ms);
    CHECK(asked == 2);
    applyOwnProof(upkeep, std::nullopt);
    updateProof(upkeep, now + 2400ms);
    CHECK(asked == 2);
    updateProof(upkeep, now + 2500ms);
    CHECK(asked == 3);
}

// Guards against calls for deployments without workspaces, and for those that do not bound revocation.
TEST_CASE_METHOD(ProvenHostFixture, "proofUpkeep_noWorkspacesOrNoBound_asksNothing")
{
    unsigned asked = 0;
    ProofUpkeep upkeep{this->host->proxy,
                       this->host->proof,
                       HostId{"front-1"},
                       [&asked] {
                           ++asked;
                       },
                       [] {
                       }};
    this->host->proof->limits.kept = false;
    updateProof(upkeep, BootClock::now());
    this->host->proof->limits.kept = true;
    this->config->workspaces.reset();
    this->host->publish({});
    updateProof(upkeep, BootClock::now());
    HostStatus status;
    this->host->proof->proof = ConfigProof{Revision{1}, BootClock::now()};
    addOwnProof(upkeep, status);
    CHECK(asked == 0);
    CHECK_FALSE(status.configProvenAt);
}

// Guards against a datagram of a suspended sender or receiver that counts as fresh.
TEST_CASE_METHOD(ProvenHostFixture, "proofUpkeep_datagramDelayed_ageGrowsByTheDelay")
{
    ProofUpkeep upkeep{this->host->proxy,
                       this->host->proof,
                       HostId{"front-1"},
                       [] {
                       },
                       [] {
                       }};
    const TimePoint now = BootClock::now();
    HostStatus status;
    status.host.value = "front-2";
    status.configRevision.value = 1;
    for (int i = 0; i <= 11; ++i) {
        status.sentAt = std::chrono::milliseconds(1000 + i * 100);
        recordRun(*this->host->proof, now + i * 100ms);
        applyPeerProof(upkeep, status, 0ms, now + i * 100ms);
    }
    status.configProvenAt = now + 1100ms;
    applyPeerProof(upkeep, status, 3000ms, now + 1200ms);
    REQUIRE(this->host->proof->proof);
    CHECK(this->host->proof->proof->provenAt == now + 1100ms - 3000ms - 100ms);
    SECTION("a sender that does not state its clock proves nothing")
    {
        status.sentAt = 0ms;
        applyPeerProof(upkeep, status, 0ms, now + 1300ms);
        CHECK(this->host->proof->proof->provenAt == now + 1100ms - 3000ms - 100ms);
    }
}
