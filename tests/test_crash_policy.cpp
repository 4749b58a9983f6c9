/** @file test_crash_policy.cpp Which prompt part or request is quarantined for crashes of targets, from the partial and late views of many hosts. */
#include "fleet/quarantine_entry_func.h"
#include "policy/crash_quarantine_func.h"
#include "policy/sender_clock_func.h"
#include "support/crash_simulation.h"
#include "support/property_seed.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace skylark;
using namespace skylark::test;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/** One host, and a clock that the test moves. */
struct QuarantineFixture {
    CrashQuarantine state{.host = HostId{"h1"}};
    TimePoint now{TimePoint{} + 1000s};
    std::uint64_t requests{0}; ///< Requests so far; each has a last part of its own.

    PromptParts prompt(std::vector<PromptPartId> shared)
    {
        return {std::move(shared), {0x100000 + ++this->requests}};
    }

    /** The target @p target ends with one run of this host. */
    std::vector<QuarantineChange> crash(const std::string &target, std::vector<PromptPartId> shared, RunPhase phase = RunPhase::Begun)
    {
        return recordSuspectRun(this->state, TargetId{target}, {this->prompt(std::move(shared)), phase}, this->now);
    }

    /** The target @p target ends while this host's runs of requests @p numbers wait there; they name no parts. */
    void crashRequests(const std::string &target, const std::vector<std::uint64_t> &numbers, RunPhase phase = RunPhase::Waiting)
    {
        for (const std::uint64_t number : numbers) {
            static_cast<void>(recordSuspectRun(this->state, TargetId{target}, {{{}, {}, wholeRequest(number)}, phase}, this->now));
        }
    }

    /** The target @p target ends as it begins to answer request @p number with the parts @p shared. */
    void crashRepeated(const std::string &target, std::uint64_t number, std::vector<PromptPartId> shared)
    {
        static_cast<void>(recordSuspectRun(this->state, TargetId{target}, {{std::move(shared), {number}, wholeRequest(number)}, RunPhase::Begun}, this->now));
    }

    [[nodiscard]] bool isRequestQuarantined(std::uint64_t number) const
    {
        return quarantineLeft(this->state, {{}, {}, wholeRequest(number)}, this->now).has_value();
    }

    /** Ends as many targets under requests with the crashing part as quarantine it. */
    void quarantineBad()
    {
        for (unsigned i = 0; i < this->state.settings.minCrashes; ++i) {
            this->crash("q" + std::to_string(this->requests), {first, bad});
            this->now += 300ms;
        }
    }

    [[nodiscard]] bool isQuarantined(PromptPartId part) const
    {
        return quarantineLeft(this->state, {{part}, {1}}, this->now).has_value();
    }
};

} // namespace

TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_partInThreeCrashes_isQuarantined")
{
    this->quarantineBad();
    CHECK(this->isQuarantined(bad));
    CHECK_FALSE(quarantineLeft(this->state, {{{0xcc}}, {1}}, this->now));
}

TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_partHasSoundRunsBetween_isNotQuarantined")
{
    for (unsigned i = 0; i < 20; ++i) {
        this->crash("t" + std::to_string(i), {first});
        CHECK_FALSE(this->isQuarantined(first));
        this->now += 300ms;
        static_cast<void>(recordSoundRun(this->state, {{first}, {9}}, this->now));
        this->now += 300ms;
    }
    CHECK_FALSE(this->isQuarantined(first));
}

// Guards against blaming a shared part for crashes that another part of the same requests explains.
TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_sharedPartWasSoundBefore_onlyTheOtherIsQuarantined")
{
    static_cast<void>(recordSoundRun(this->state, {{first}, {9}}, this->now));
    this->now += 100ms;
    for (unsigned i = 0; i < 8; ++i) {
        this->crash("t" + std::to_string(i), {first, bad});
        this->now += 300ms;
    }
    CHECK(this->isQuarantined(bad));
    CHECK_FALSE(this->isQuarantined(first));
}

// Guards against blaming what was present when many targets end at one moment: a kill of several, a cut, a reset of all connections.
TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_targetsEndAtOneMoment_countAsOneCrash")
{
    for (unsigned i = 0; i < 12; ++i) {
        this->crash("t" + std::to_string(i), {first});
        this->now += 5ms;
    }
    CHECK_FALSE(this->isQuarantined(first));
}

TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_targetsWithTheSameRequestEndAtOneMoment_areNotFiveCrashes")
{
    const SuspectRun run{this->prompt({first}), RunPhase::Begun};
    for (unsigned i = 0; i < 12; ++i) {
        static_cast<void>(recordSuspectRun(this->state, TargetId{"t" + std::to_string(i)}, run, this->now));
        this->now += 5ms;
    }
    CHECK_FALSE(this->isQuarantined(first));
}

TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_runsThatHadStreamed_areNotBlamed")
{
    for (unsigned i = 0; i < 12; ++i) {
        this->crash("t" + std::to_string(i), {first}, RunPhase::Streaming);
        this->now += 300ms;
    }
    CHECK_FALSE(this->isQuarantined(first));
}

TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_waitingRunsBesideOneThatBegan_areNotBlamed")
{
    for (unsigned i = 0; i < 8; ++i) {
        const std::string target = "t" + std::to_string(i);
        this->crash(target, {{0xcc}}, RunPhase::Waiting);
        this->crash(target, {bad});
        this->now += 300ms;
    }
    CHECK(this->isQuarantined(bad));
    CHECK_FALSE(this->isQuarantined({0xcc}));
}

// Guards against a common part that is blamed before the host can know of any sound run.
TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_hostHasJustStarted_moreCrashesAreNeeded")
{
    this->state.startedAt = this->now;
    this->quarantineBad();
    CHECK_FALSE(this->isQuarantined(bad));
    this->quarantineBad();
    CHECK(this->isQuarantined(bad));
}

// Guards against a rare part that is blamed because targets end all the time and it happened to be there.
TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_partInFewOfManyCrashes_isNotBlamed")
{
    for (unsigned i = 0; i < 60; ++i) {
        const PromptPartId other{0xc000 + i};
        this->crash("t" + std::to_string(i), {i % 8 == 0 ? PromptPartId{0xcc} : other});
        this->now += 200ms;
    }
    CHECK_FALSE(this->isQuarantined({0xcc}));
}

// Guards against a crashing part that hides behind targets which end for other reasons.
TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_partInAThirdOfTheCrashes_isQuarantinedAtTheFifth")
{
    for (unsigned i = 0; i < 15; ++i) {
        const PromptPartId other{0xc000 + i};
        this->crash("t" + std::to_string(i), {i % 3 == 0 ? bad : other});
        this->now += 200ms;
    }
    CHECK(this->isQuarantined(bad));
}

// Guards against a second target that counts for nothing because the same request ended it soon after the first.
TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_requestsEndTheirSecondTargetToo_eachTargetCounts")
{
    this->state.startedAt = this->now;
    for (unsigned i = 0; i < 3; ++i) {
        CHECK_FALSE(this->isQuarantined(bad));
        const SuspectRun run{this->prompt({first, bad}), RunPhase::Begun};
        static_cast<void>(recordSuspectRun(this->state, TargetId{"a" + std::to_string(i)}, run, this->now));
        this->now += 40ms;
        static_cast<void>(recordSuspectRun(this->state, TargetId{"b" + std::to_string(i)}, run, this->now));
        this->now += 300ms;
    }
    CHECK(this->isQuarantined(bad));
}

// Guards against blaming a rare part because two targets in turn ended by themselves under one request with it.
TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_oneRequestLosesTwoTargets_isNotEnoughWithASecondRequest")
{
    const SuspectRun run{this->prompt({{0xcc}}), RunPhase::Begun};
    static_cast<void>(recordSuspectRun(this->state, TargetId{"t1"}, run, this->now));
    this->now += 90ms;
    static_cast<void>(recordSuspectRun(this->state, TargetId{"t2"}, run, this->now));
    this->now += 5s;
    this->crash("t3", {{0xcc}}, RunPhase::Waiting);
    CHECK_FALSE(this->isQuarantined({0xcc}));
}

// Guards against blaming a part that stands before the crashing one, because a target with a sound run of it ended by itself.
TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_earlierPartIsInOneMoreCrash_onlyTheCrashingPartIsQuarantined")
{
    this->crash("t1", {first, {0xcc}});
    this->now += 300ms;
    this->crash("t2", {first, {0xcc}, bad});
    this->now += 300ms;
    this->crash("t3", {first, {0xcc}, bad});
    CHECK_FALSE(this->isQuarantined({0xcc}));
    this->now += 300ms;
    this->crash("t4", {first, {0xcc}, bad});
    CHECK(this->isQuarantined(bad));
    CHECK_FALSE(this->isQuarantined({0xcc}));
}

TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_partFollowedByDifferentOnes_isQuarantined")
{
    for (unsigned i = 0; i < 3; ++i) {
        this->crash("t" + std::to_string(i), {bad, {0xcc00 + i}});
        this->now += 300ms;
    }
    CHECK(this->isQuarantined(bad));
}

// Guards against evidence that is lost because each host sees one crash only.
TEST_CASE_METHOD(QuarantineFixture, "mergeReport_eachHostSawOneCrash_quarantinesThePart")
{
    for (unsigned i = 0; i < 3; ++i) {
        QuarantineFixture other;
        other.state.host.value = "other-" + std::to_string(i);
        other.now = this->now;
        other.requests = 10ULL * i;
        other.crash("t" + std::to_string(i), {first, bad});
        static_cast<void>(mergeReport(this->state, other.state.host, reportOf(other.state, other.now), this->now));
        this->now += 300ms;
    }
    CHECK(this->isQuarantined(bad));
}

TEST_CASE_METHOD(QuarantineFixture, "mergeReport_quarantineOfAnotherHost_isAdoptedWithoutEvidence")
{
    this->quarantineBad();
    QuarantineReport report = reportOf(this->state, this->now);
    report.crashes.clear();
    CrashQuarantine restarted{.host = HostId{"restarted"}};
    const auto changes = mergeReport(restarted, this->state.host, report, this->now);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().source == QuarantineSource::Peer);
    CHECK(quarantineLeft(restarted, {{bad}, {1}}, this->now));
}

// Guards against one crash that counts several times, because a suspended host reads all its old datagrams at once.
TEST_CASE_METHOD(QuarantineFixture, "mergeReport_oldReportsReadLate_countAsOneCrash")
{
    QuarantineFixture other;
    other.state.host.value = "other";
    other.now = this->now;
    other.crash("t1", {first, {0xcc}});
    SenderClock clock;
    static_cast<void>(excessDelay(clock, 1, 5000ms, this->now));
    const TimePoint awake = this->now + 20s;
    for (milliseconds sent{100}; sent < 19s; sent += 100ms) {
        QuarantineReport report = reportOf(other.state, other.now + sent);
        for (TargetCrash &crash : report.crashes) {
            crash.at = awake - (other.now + sent - crash.at); // Only ages are sent.
        }
        correctDelay(report, excessDelay(clock, 1, 5000ms + sent, awake));
        static_cast<void>(mergeReport(this->state, other.state.host, report, awake));
    }
    REQUIRE(this->state.crashes.at(other.state.host).size() == 1);
    CHECK(this->state.crashes.at(other.state.host).front().at == other.now);
}

// Guards against a sound part that is blamed because the host that reported its crash tells of its sound run with the next regular report only.
TEST_CASE_METHOD(QuarantineFixture, "isUnderSuspicion_soundRunAfterCrash_isNewsOnceUntilTheNextCrash")
{
    const PromptParts prompt{{first}, {9}};
    CHECK_FALSE(isUnderSuspicion(this->state, prompt));
    this->crash("t1", {first});
    CHECK(isUnderSuspicion(this->state, prompt));
    CHECK_FALSE(isUnderSuspicion(this->state, {{bad}, {9}}));
    this->now += 200ms;
    static_cast<void>(recordSoundRun(this->state, prompt, this->now));
    CHECK_FALSE(isUnderSuspicion(this->state, prompt));
    this->now += 200ms;
    this->crash("t2", {first});
    CHECK(isUnderSuspicion(this->state, prompt));
}

// Guards against a host that withdraws what it never announced: hundreds of hosts would answer each crash.
TEST_CASE_METHOD(QuarantineFixture, "isUnderSuspicion_crashOfAnotherHost_isNoNews")
{
    QuarantineFixture other;
    other.state.host.value = "other";
    other.now = this->now;
    other.crash("t1", {first});
    static_cast<void>(mergeReport(this->state, other.state.host, reportOf(other.state, other.now), this->now));
    CHECK_FALSE(isUnderSuspicion(this->state, {{first}, {9}}));
}

TEST_CASE_METHOD(QuarantineFixture, "recordSoundRun_quarantinedPart_endsTheQuarantineEverywhere")
{
    this->quarantineBad();
    QuarantineFixture other;
    other.state.host.value = "other";
    static_cast<void>(mergeReport(other.state, this->state.host, reportOf(this->state, this->now), this->now));
    other.now = this->now;
    REQUIRE(other.isQuarantined(bad));
    this->now += 1s;
    const auto changes = recordSoundRun(this->state, {{bad}, {9}}, this->now);
    REQUIRE(changes.size() == 1);
    CHECK_FALSE(changes.front().begun);
    CHECK_FALSE(this->isQuarantined(bad));
    const QuarantineReport stale = reportOf(other.state, this->now);
    static_cast<void>(mergeReport(other.state, this->state.host, reportOf(this->state, this->now), this->now));
    CHECK_FALSE(other.isQuarantined(bad));
    static_cast<void>(mergeReport(this->state, other.state.host, stale, this->now + 50ms));
    CHECK_FALSE(this->isQuarantined(bad));
}

TEST_CASE_METHOD(QuarantineFixture, "quarantineLeft_afterTheQuarantine_allowsOneTrialAtATime")
{
    this->quarantineBad();
    this->now += this->state.settings.firstQuarantine + this->state.settings.releaseSpread;
    REQUIRE_FALSE(this->isQuarantined(bad));
    recordTrial(this->state, {{bad}, {9}}, this->now);
    CHECK(this->isQuarantined(bad));
    this->now += this->state.settings.trialTime;
    CHECK_FALSE(this->isQuarantined(bad));
}

// Guards against a right verdict that is paid for again and again.
TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_trialCrashesItsTarget_quarantineLastsTwiceAsLong")
{
    this->quarantineBad();
    milliseconds expected = this->state.settings.firstQuarantine;
    for (unsigned round = 2; round <= 6; ++round) {
        this->now = this->state.parts.at(bad).until + this->state.settings.releaseSpread;
        REQUIRE_FALSE(this->isQuarantined(bad));
        const auto changes = this->crash("t" + std::to_string(round), {first, bad});
        expected = std::min(expected * 2, this->state.settings.maxQuarantine);
        REQUIRE(changes.size() == 1);
        CHECK(changes.front().entry.rounds == round);
        CHECK(changes.front().entry.until - changes.front().entry.since == expected);
    }
}

TEST_CASE_METHOD(QuarantineFixture, "quarantineLeft_severalHosts_tryAgainAtDifferentTimes")
{
    this->quarantineBad();
    const QuarantineReport report = reportOf(this->state, this->now);
    std::vector<milliseconds> left;
    for (unsigned i = 0; i < 20; ++i) {
        QuarantineFixture other;
        other.state.host.value = "other-" + std::to_string(i);
        static_cast<void>(mergeReport(other.state, this->state.host, report, this->now));
        left.push_back(quarantineLeft(other.state, {{bad}, {1}}, this->now).value_or(0ms));
    }
    std::sort(left.begin(), left.end());
    CHECK(left.back() - left.front() > this->state.settings.releaseSpread / 2);
    CHECK(std::unique(left.begin(), left.end()) == left.end());
}

TEST_CASE_METHOD(QuarantineFixture, "adoptStored_hostHasRestarted_partIsQuarantined")
{
    const auto changes = adoptStored(this->state, bad, 60s, 2, this->now);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().source == QuarantineSource::Store);
    CHECK(this->isQuarantined(bad));
    CHECK(adoptStored(this->state, bad, 60s, 2, this->now).empty());
}

TEST_CASE("quarantineEntry_encodedAndDecoded_isUnchanged", "[quarantine]")
{
    const QuarantineEntry entry{bad, 120s, 2};
    const auto decoded = decodeQuarantineEntry(quarantineEntryKey(bad), encodeQuarantineEntry(entry));
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded).part == bad);
    CHECK(valueOf(decoded).duration == 120s);
    CHECK(valueOf(decoded).rounds == 2);
    for (const auto &[key, value] : std::vector<std::pair<std::string, std::string>>{{"quarantine/", "{}"},
                                                                                     {"quarantine/xyz", R"({"duration_ms":1,"rounds":1})"},
                                                                                     {"quarantine/1", "x"},
                                                                                     {"quarantine/1", R"({"duration_ms":0,"rounds":1})"}}) {
        CHECK_FALSE(isOk(decodeQuarantineEntry(key, value)));
    }
}

// Guards against a request to a plain service that is never blamed because it names no parts.
TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_requestAloneInTwoCrashes_isQuarantined")
{
    this->crashRequests("t1", {7});
    this->now += 400ms;
    CHECK_FALSE(this->isRequestQuarantined(7));
    this->crashRequests("t2", {7});
    CHECK(this->isRequestQuarantined(7));
    CHECK_FALSE(this->isRequestQuarantined(8));
}

// Guards against crashes that are forgotten because sound requests with the same parts go on.
TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_soundRunsShareItsParts_requestIsQuarantinedAndItsPartsAreNot")
{
    for (unsigned i = 0; i < 3; ++i) {
        this->crashRepeated("t" + std::to_string(i), 7, {first, {0xb1}});
        this->now += 300ms;
        static_cast<void>(recordSoundRun(this->state, {{first, {0xb1}}, {9}, wholeRequest(100 + i)}, this->now));
        this->now += 300ms;
    }
    CHECK(this->isRequestQuarantined(7));
    CHECK_FALSE(this->isQuarantined(first));
    CHECK_FALSE(this->isQuarantined({0xb1}));
}

// Guards against rejecting sound requests because they share a part with the one request that crashes targets.
TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_oneRequestInManyCrashes_noPartOfItIsQuarantined")
{
    for (unsigned i = 0; i < 12; ++i) {
        this->crashRepeated("t" + std::to_string(i), 7, {first, {0xb1}});
        this->now += 300ms;
    }
    CHECK(this->isRequestQuarantined(7));
    CHECK_FALSE(this->isQuarantined(first));
    CHECK_FALSE(this->isQuarantined({0xb1}));
}

// Guards against parts that stay unblamed because each of their requests is blamed first.
TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_requestsOfACrashingPartAreQuarantinedFirst_partIsQuarantinedAsSoon")
{
    for (std::uint64_t i = 0; i < 3; ++i) {
        this->crashRepeated("a" + std::to_string(i), 100 + i, {first, bad});
        this->now += 400ms;
        this->crashRepeated("b" + std::to_string(i), 100 + i, {first, bad});
        this->now += 400ms;
    }
    CHECK(this->isRequestQuarantined(100));
    CHECK(this->isQuarantined(bad));
}

TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_crashingRequestAndCrashingPartAtOnce_bothAreQuarantinedAndNothingElse")
{
    for (std::uint64_t i = 0; i < 5; ++i) {
        this->crashRepeated("a" + std::to_string(i), 7, {first, {0xb1}});
        this->now += 300ms;
        this->crashRepeated("b" + std::to_string(i), 100 + i, {first, bad});
        this->now += 300ms;
        static_cast<void>(recordSoundRun(this->state, {{first, {0xb1}}, {9}, wholeRequest(200 + i)}, this->now));
    }
    CHECK(this->isRequestQuarantined(7));
    CHECK(this->isQuarantined(bad));
    CHECK_FALSE(this->isQuarantined(first));
    CHECK_FALSE(this->isQuarantined({0xb1}));
}

// Guards against a request that crashes its targets before it is answered and is not counted, because answers of others have just begun there.
TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_othersHaveBegunWhereRequestWaits_requestIsQuarantined")
{
    for (std::uint64_t i = 0; i < 5; ++i) {
        const std::string target = "t" + std::to_string(i);
        this->crashRequests(target, {100 + i}, RunPhase::Begun);
        this->crashRequests(target, {7}, RunPhase::Waiting);
        this->now += 400ms;
    }
    CHECK(this->isRequestQuarantined(7));
    CHECK_FALSE(this->isRequestQuarantined(100));
}

// Guards against a sound request that is blamed because it waited beside the crashing one on two targets.
TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_twoRequestsInTheSameCrashes_neitherIsQuarantinedUntilTheyDiffer")
{
    this->crashRequests("t1", {7, 8});
    this->now += 400ms;
    this->crashRequests("t2", {7, 8});
    this->now += 400ms;
    CHECK_FALSE(this->isRequestQuarantined(7));
    CHECK_FALSE(this->isRequestQuarantined(8));
    this->crashRequests("t3", {7, 9});
    this->now += 400ms;
    this->crashRequests("t4", {7});
    CHECK(this->isRequestQuarantined(7));
    CHECK_FALSE(this->isRequestQuarantined(8));
    CHECK_FALSE(this->isRequestQuarantined(9));
}

TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_requestWasSoundBetween_isNotQuarantined")
{
    for (unsigned i = 0; i < 6; ++i) {
        this->crashRequests("t" + std::to_string(i), {7});
        this->now += 300ms;
        static_cast<void>(recordSoundRun(this->state, {{}, {}, wholeRequest(7)}, this->now));
        this->now += 300ms;
    }
    CHECK_FALSE(this->isRequestQuarantined(7));
}

// Guards against blaming the request that was tried on one target after the other while many of them ended.
TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_requestInFewOfManyCrashes_isNotQuarantined")
{
    for (std::uint64_t i = 0; i < 20; ++i) {
        this->crashRequests("t" + std::to_string(i), {i % 5 == 0 ? 7 : 100 + i});
        this->now += 200ms;
    }
    CHECK_FALSE(this->isRequestQuarantined(7));
}

TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_targetsWithOneRequestEndAtOneMoment_requestIsNotQuarantined")
{
    for (unsigned i = 0; i < 6; ++i) {
        this->crashRequests("t" + std::to_string(i), {7});
        this->now += 10ms;
    }
    this->now += 1s;
    CHECK_FALSE(this->isRequestQuarantined(7));
}

// Guards against a verdict that is missed because the reports of other hosts on the newest crash were awaited.
TEST_CASE_METHOD(QuarantineFixture, "mergeReport_newestCrashHasSettled_requestIsQuarantined")
{
    this->crashRequests("t1", {7, 8});
    this->now += 30ms;
    this->crashRequests("t2", {7});
    this->now += 130ms;
    this->crashRequests("t3", {7});
    CHECK_FALSE(this->isRequestQuarantined(7));
    this->now += this->state.settings.settleTime;
    const auto changes = mergeReport(this->state, HostId{"other"}, {}, this->now);
    REQUIRE(changes.size() == 1);
    CHECK(this->isRequestQuarantined(7));
}

// Guards against memory that grows with each request that never comes again.
TEST_CASE_METHOD(QuarantineFixture, "recordSoundRun_requestsThatWereInNoCrash_areNotRemembered")
{
    for (std::uint64_t i = 0; i < 1000; ++i) {
        static_cast<void>(recordSoundRun(this->state, {{first}, {i}, wholeRequest(i)}, this->now));
    }
    CHECK(this->state.soundAt.size() == 1);
}

// Guards against a batch item that is held back because targets ended under it.
TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_itemWithoutIdentityInManyCrashes_isNotHeldBack")
{
    const PromptParts item{{first, {0xb1}}, {0xf1}};
    for (unsigned i = 0; i < 12; ++i) {
        static_cast<void>(recordSuspectRun(this->state, TargetId{"t" + std::to_string(i)}, {item, RunPhase::Begun}, this->now));
        this->now += 300ms;
    }
    CHECK_FALSE(quarantineLeft(this->state, item, this->now));
}

// Guards against a right verdict that is paid for more than three times on a long day.
TEST_CASE_METHOD(QuarantineFixture, "recordSuspectRun_requestIsTriedAgainAllDay_crashesThreeTargetsMoreAtMost")
{
    unsigned crashes = 0;
    const TimePoint until = this->now + 80min;
    for (unsigned i = 0; this->now < until; ++i, this->now += 400ms) {
        if (!this->isRequestQuarantined(7)) {
            recordTrial(this->state, {{}, {}, wholeRequest(7)}, this->now);
            this->crashRequests("t" + std::to_string(i), {7});
            ++crashes;
        }
    }
    CHECK(crashes <= 2 + maxSentLate);
}

// Guards against many hosts with partial and late views that send more requests to crash after the evidence suffices, or blame a sound part.
TEST_CASE("fleetSimulation_hundredsOfHosts_boundHoldsAndNoSoundPartIsBlamed", "[quarantine]")
{
    for (std::uint64_t seed = propertySeed(); seed < propertySeed() + propertyRuns(3); ++seed) {
        for (const double share : {0.004, 0.05}) {
            FleetSimulation fleet(250, 120, seed);
            fleet.badShare = share;
            fleet.run(20s);
            INFO("seed " << seed << " share " << share << " " << fleet.describe());
            CHECK(fleet.hostsWith(bad) == fleet.hosts.size());
            CHECK(fleet.culprits[bad].rejected > 0);
            CHECK(fleet.mostSentLate() <= maxSentLate);
            CHECK(fleet.wrongParts.empty());
            CHECK(fleet.soundRejected == 0);
        }
    }
}

TEST_CASE("fleetSimulation_smallFleetManyEnds_boundHoldsAndNoSoundPartIsBlamed", "[quarantine]")
{
    for (std::uint64_t seed = propertySeed(); seed < propertySeed() + propertyRuns(20); ++seed) {
        FleetSimulation fleet(7, 12, seed);
        fleet.requestsPerSecond = 60;
        fleet.endsPerSecond = 1.5;
        fleet.maxDelay = 120ms;
        fleet.reportInterval = 1s;
        fleet.run(30s);
        INFO("seed " << seed << " " << fleet.describe());
        CHECK(fleet.mostSentLate() <= maxSentLate);
        CHECK(fleet.wrongParts.empty());
        CHECK(fleet.soundRejected == 0);
    }
}

TEST_CASE("fleetSimulation_targetsEndByThemselves_nothingIsQuarantined", "[quarantine]")
{
    for (std::uint64_t seed = propertySeed(); seed < propertySeed() + propertyRuns(10); ++seed) {
        FleetSimulation fleet(40, 40, seed);
        fleet.badShare = 0;
        fleet.endsPerSecond = 8;
        fleet.run(30s);
        INFO("seed " << seed << " " << fleet.describe());
        CHECK(fleet.wrongParts.empty());
        CHECK(fleet.soundRejected == 0);
    }
}

namespace {

/** @return A small fleet with one request that crashes the targets of a plain service whenever it comes again. */
FleetSimulation plainServiceFleet(std::uint64_t seed)
{
    FleetSimulation fleet(6, 3, seed);
    fleet.hasParts = false;
    fleet.streams = false;
    fleet.slots = 6;
    fleet.beginAfter = 10ms;
    fleet.runTime = 60ms;
    fleet.requestsPerSecond = 60;
    fleet.badShare = 0;
    fleet.crashingRequests = 1;
    fleet.repeatShare = 0.05;
    fleet.endsPerSecond = 0.05;
    fleet.maxTries = 4;
    fleet.maxDelay = 120ms;
    fleet.reportInterval = 1s;
    return fleet;
}

/** @return Hundreds of hosts with requests on a streaming route that has one attempt; some of them crash targets whenever they come again. */
FleetSimulation streamFleet(std::uint64_t seed)
{
    FleetSimulation fleet(250, 120, seed);
    fleet.maxAttempts = 1;
    fleet.badShare = 0;
    fleet.crashingRequests = 2;
    fleet.repeatShare = 0.02;
    return fleet;
}

void checkBounds(FleetSimulation &fleet, std::uint64_t seed, unsigned maxCrashes)
{
    INFO("seed " << seed << " " << fleet.describe());
    CHECK(fleet.mostSentLate() <= maxSentLate);
    for (const auto &[part, culprit] : fleet.culprits) {
        CHECK(culprit.crashes <= maxCrashes);
        CHECK(culprit.rejected > 0);
    }
    CHECK(fleet.soundRejected * 200 <= fleet.requests);
}

} // namespace

// Guards against a request to a plain service that crashes all of its few targets again and again, or a sound one that is blamed for waiting beside it.
TEST_CASE("fleetSimulation_requestToPlainServiceComesAgain_boundHolds", "[quarantine]")
{
    for (std::uint64_t seed = propertySeed(); seed < propertySeed() + propertyRuns(20); ++seed) {
        FleetSimulation fleet = plainServiceFleet(seed);
        fleet.run(30s);
        checkBounds(fleet, seed, 10);
    }
}

TEST_CASE("fleetSimulation_requestsOfASingleAttemptRouteComeAgain_boundHolds", "[quarantine]")
{
    for (std::uint64_t seed = propertySeed(); seed < propertySeed() + propertyRuns(3); ++seed) {
        FleetSimulation fleet = streamFleet(seed);
        fleet.run(20s);
        checkBounds(fleet, seed, 12);
        CHECK(fleet.wrongParts.empty());
    }
}

// Guards against a request and a part that hide each other.
TEST_CASE("fleetSimulation_requestsComeAgainBesideACrashingPart_boundHoldsForEach", "[quarantine]")
{
    for (std::uint64_t seed = propertySeed(); seed < propertySeed() + propertyRuns(3); ++seed) {
        FleetSimulation fleet = streamFleet(seed);
        fleet.badShare = 0.02;
        fleet.maxAttempts = 2;
        fleet.run(20s);
        checkBounds(fleet, seed, 40);
    }
}

TEST_CASE("fleetSimulation_hostsAreCutOffAndRestarted_boundHolds", "[quarantine]")
{
    for (std::uint64_t seed = propertySeed(); seed < propertySeed() + propertyRuns(10); ++seed) {
        FleetSimulation fleet = plainServiceFleet(seed);
        fleet.restartsPerSecond = 0.3;
        fleet.cutFrom = fleet.now + 8s;
        fleet.cutUntil = fleet.now + 20s;
        fleet.run(30s);
        checkBounds(fleet, seed, 12);
    }
}

// Guards against blaming the requests that happened to run when many targets ended, at one moment or one after the other.
TEST_CASE("fleetSimulation_targetsEndTogetherOrInARow_fewSoundRequestsAreRejected", "[quarantine]")
{
    for (std::uint64_t seed = propertySeed(); seed < propertySeed() + propertyRuns(10); ++seed) {
        for (const milliseconds gap : {0ms, 300ms, 1000ms}) {
            FleetSimulation fleet = plainServiceFleet(seed);
            fleet.targets.resize(9);
            fleet.requestsPerSecond = 300;
            fleet.runTime = 200ms;
            fleet.repeatShare = 0;
            fleet.massEndInterval = 6s;
            fleet.massEndGap = gap;
            fleet.run(30s);
            INFO("seed " << seed << " gap " << gap.count() << " " << fleet.describe());
            CHECK(fleet.soundRejected * 500 <= fleet.requests);
        }
    }
}
