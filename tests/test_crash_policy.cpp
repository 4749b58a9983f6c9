/** @file test_crash_policy.cpp Which prompt part is quarantined for crashes of targets, from the partial and late views of many hosts. */
#include "core/hash_func.h"
#include "fleet/quarantine_entry_func.h"
#include "policy/crash_quarantine_func.h"
#include "policy/sender_clock_func.h"
#include "support/property_seed.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

using namespace skylark;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr PromptPartId bad{0xbad};
constexpr PromptPartId first{0xa0}; ///< First part, which crashing and sound requests share.

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

/** Hosts that share targets and learn of one another's evidence late. Some requests crash their target as its answer begins; targets also end by themselves. */
struct FleetSimulation {
    static constexpr auto step = 5ms;
    static constexpr auto beginAfter = 40ms; ///< From the start of a run to the head of its answer.
    static constexpr auto eventInterval = 20ms;
    static constexpr auto runTime = 600ms;
    static constexpr auto downTime = 3000ms;
    static constexpr auto contact = 3000ms; ///< Bound of the issue: time after the fifth crash from which further requests count.

    struct Run {
        unsigned host{0};
        PromptParts prompt;
        TimePoint startedAt{};
        unsigned attempt{1};
        bool sound{false}; ///< Whether its soundness has been recorded.
    };
    struct Target {
        unsigned life{0}; ///< Number of restarts; part of the target's identifier.
        TimePoint upAt{};
        std::vector<Run> runs;
    };
    struct Message {
        TimePoint arrivesAt{};
        unsigned from{0};
        unsigned to{0};
        std::shared_ptr<const QuarantineReport> report;
    };

    std::vector<CrashQuarantine> hosts;
    std::vector<Target> targets;
    std::vector<Message> messages;
    double requestsPerSecond{400};
    double badShare{0.02};
    double endsPerSecond{0.3}; ///< Targets that end by themselves.
    milliseconds maxDelay{600}; ///< Longest transmission of a report.
    milliseconds reportInterval{3000}; ///< Interval of reports without new evidence.
    double lostShare{0.05}; ///< Share of reports that are lost.
    TimePoint now{TimePoint{} + 1000s};
    std::uint64_t random{1};
    std::uint64_t requests{0};
    unsigned crashes{0}; ///< Targets that ended under the crashing part.
    TimePoint fifthAt{}; ///< Time of the fifth crash.
    unsigned sentLate{0}; ///< Requests with the crashing part that were sent later than contact after the fifth crash.

    FleetSimulation(unsigned hostCount, unsigned targetCount, std::uint64_t seed)
        : hosts(hostCount)
        , targets(targetCount)
        , random(seed)
    {
        for (unsigned i = 0; i < hostCount; ++i) {
            this->hosts[i].host.value = "h" + std::to_string(i);
            this->hosts[i].startedAt = this->now;
        }
    }

    double draw()
    {
        return static_cast<double>(nextRandom(this->random) >> 11U) / static_cast<double>(1ULL << 53U);
    }
    unsigned pick(std::size_t count)
    {
        return static_cast<unsigned>(nextRandom(this->random) % count);
    }

    static TargetId idOf(unsigned target, const Target &state)
    {
        return TargetId{"t" + std::to_string(target) + "-" + std::to_string(state.life)};
    }

    static bool isBad(const PromptParts &prompt)
    {
        return std::find(prompt.shared.begin(), prompt.shared.end(), bad) != prompt.shared.end();
    }

    void report(unsigned from)
    {
        const auto content = std::make_shared<const QuarantineReport>(reportOf(this->hosts[from], this->now));
        if (content->crashes.empty() && content->quarantined.empty() && content->sound.empty()) {
            return;
        }
        for (unsigned to = 0; to < this->hosts.size(); ++to) {
            if (to != from && this->draw() >= this->lostShare) {
                const auto delay = milliseconds(5 + this->pick(static_cast<std::size_t>(this->maxDelay.count())));
                this->messages.push_back({this->now + delay, from, to, content});
            }
        }
    }

    void send(Run run)
    {
        CrashQuarantine &host = this->hosts[run.host];
        if (quarantineLeft(host, run.prompt, this->now)) {
            return;
        }
        std::vector<unsigned> up;
        for (unsigned i = 0; i < this->targets.size(); ++i) {
            if (this->targets[i].upAt <= this->now) {
                up.push_back(i);
            }
        }
        if (up.empty()) {
            return;
        }
        recordTrial(host, run.prompt, this->now);
        this->sentLate += isBad(run.prompt) && this->fifthAt != TimePoint{} && this->now > this->fifthAt + contact ? 1 : 0;
        run.startedAt = this->now;
        run.sound = false;
        this->targets[up[this->pick(up.size())]].runs.push_back(std::move(run));
    }

    void end(unsigned index)
    {
        Target &target = this->targets[index];
        const TargetId id = idOf(index, target);
        std::vector<Run> runs;
        runs.swap(target.runs);
        target.upAt = this->now + downTime;
        ++target.life;
        for (Run &run : runs) {
            const auto age = this->now - run.startedAt;
            const RunProgress progress{age >= beginAfter, static_cast<unsigned>(std::max<std::int64_t>(0, (age - beginAfter) / eventInterval))};
            const RunPhase phase = phaseOf(progress);
            if (phase != RunPhase::Streaming) {
                static_cast<void>(recordSuspectRun(this->hosts[run.host], id, {run.prompt, phase}, this->now));
                this->report(run.host);
            }
            if (run.attempt == 1) {
                ++run.attempt;
                this->send(run);
            }
        }
    }

    void advanceRuns(unsigned index)
    {
        Target &target = this->targets[index];
        for (Run &run : target.runs) {
            const auto age = this->now - run.startedAt;
            if (isBad(run.prompt) && age >= beginAfter) {
                ++this->crashes;
                this->fifthAt = this->crashes == 5 ? this->now : this->fifthAt;
                this->end(index);
                return;
            }
            if (!run.sound && age >= beginAfter + soundEvents * eventInterval) {
                run.sound = true;
                const bool wasAccused = isAccused(this->hosts[run.host], run.prompt);
                static_cast<void>(recordSoundRun(this->hosts[run.host], run.prompt, this->now));
                if (wasAccused) {
                    this->report(run.host);
                }
            }
        }
        std::erase_if(target.runs, [this](const Run &run) {
            return this->now - run.startedAt >= runTime;
        });
    }

    void startRequests()
    {
        const double seconds = std::chrono::duration<double>(step).count();
        for (double left = this->requestsPerSecond * seconds; left > 0; left -= 1) {
            if (this->draw() >= left) {
                continue;
            }
            PromptParts prompt{{{0xa0U + this->pick(8)}, {0xb000U + this->pick(900)}}, {0x100000 + ++this->requests}};
            if (this->draw() < this->badShare) {
                prompt.shared = {first, {0xb000}, bad};
            }
            this->send({this->pick(this->hosts.size()), std::move(prompt), {}, 1});
        }
    }

    void deliver()
    {
        for (std::size_t i = 0; i < this->messages.size();) {
            if (this->messages[i].arrivesAt > this->now) {
                ++i;
                continue;
            }
            const Message message = std::move(this->messages[i]);
            this->messages[i] = std::move(this->messages.back());
            this->messages.pop_back();
            static_cast<void>(mergeReport(this->hosts[message.to], this->hosts[message.from].host, *message.report, this->now));
        }
    }

    void run(milliseconds duration)
    {
        const TimePoint until = this->now + duration;
        const auto interval = this->reportInterval / step;
        for (std::int64_t round = 0; this->now < until; ++round, this->now += step) {
            this->startRequests();
            for (unsigned i = 0; i < this->targets.size(); ++i) {
                this->advanceRuns(i);
            }
            if (this->draw() < this->endsPerSecond * std::chrono::duration<double>(step).count()) {
                this->end(this->pick(this->targets.size()));
            }
            for (unsigned i = 0; i < this->hosts.size(); ++i) {
                if ((round + static_cast<std::int64_t>(i)) % interval == 0) {
                    this->report(i);
                }
            }
            this->deliver();
        }
    }

    /** @return The quarantined parts of all hosts, for messages of failed checks. */
    [[nodiscard]] std::string describeQuarantines() const
    {
        std::string text;
        for (const CrashQuarantine &host : this->hosts) {
            for (const auto &[part, entry] : host.parts) {
                const auto since = std::chrono::duration_cast<milliseconds>(entry.since - (TimePoint{} + 1000s));
                text += host.host.value + ":" + hexText(part.value) + "@" + std::to_string(since.count()) + "ms ";
            }
        }
        return text;
    }

    /** @return Parts other than the crashing one that any host has quarantined. */
    [[nodiscard]] std::size_t wrongQuarantines() const
    {
        std::size_t count = 0;
        for (const CrashQuarantine &host : this->hosts) {
            count += host.parts.size() - (host.parts.contains(bad) ? 1 : 0);
        }
        return count;
    }
};

constexpr unsigned maxSentLate = 3; ///< Bound of the issue: requests that may be sent later than contact after the fifth crash.

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

// Guards against a sound part that is blamed because the host that accused it tells of its sound run with the next regular report only.
TEST_CASE_METHOD(QuarantineFixture, "isAccused_soundRunAfterCrash_isNewsOnceUntilTheNextCrash")
{
    const PromptParts prompt{{first}, {9}};
    CHECK_FALSE(isAccused(this->state, prompt));
    this->crash("t1", {first});
    CHECK(isAccused(this->state, prompt));
    CHECK_FALSE(isAccused(this->state, {{bad}, {9}}));
    this->now += 200ms;
    static_cast<void>(recordSoundRun(this->state, prompt, this->now));
    CHECK_FALSE(isAccused(this->state, prompt));
    this->now += 200ms;
    this->crash("t2", {first});
    CHECK(isAccused(this->state, prompt));
}

// Guards against a host that withdraws what it never announced: hundreds of hosts would answer each crash.
TEST_CASE_METHOD(QuarantineFixture, "isAccused_crashOfAnotherHost_isNoNews")
{
    QuarantineFixture other;
    other.state.host.value = "other";
    other.now = this->now;
    other.crash("t1", {first});
    static_cast<void>(mergeReport(this->state, other.state.host, reportOf(other.state, other.now), this->now));
    CHECK_FALSE(isAccused(this->state, {{first}, {9}}));
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

// Guards against many hosts with partial and late views that send more requests to crash after the evidence suffices, or blame a sound part.
TEST_CASE("fleetSimulation_hundredsOfHosts_boundHoldsAndNoSoundPartIsBlamed", "[quarantine]")
{
    for (std::uint64_t seed = propertySeed(); seed < propertySeed() + propertyRuns(3); ++seed) {
        for (const double share : {0.004, 0.05}) {
            FleetSimulation fleet(250, 120, seed);
            fleet.badShare = share;
            INFO("seed " << seed << " share " << share);
            fleet.run(20s);
            CHECK(fleet.crashes >= 5);
            CHECK(fleet.sentLate <= maxSentLate);
            INFO(fleet.describeQuarantines());
            CHECK(fleet.wrongQuarantines() == 0);
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
        INFO("seed " << seed);
        fleet.run(30s);
        CHECK(fleet.sentLate <= maxSentLate);
        INFO(fleet.describeQuarantines());
        CHECK(fleet.wrongQuarantines() == 0);
    }
}

TEST_CASE("fleetSimulation_targetsEndByThemselves_nothingIsQuarantined", "[quarantine]")
{
    for (std::uint64_t seed = propertySeed(); seed < propertySeed() + propertyRuns(10); ++seed) {
        FleetSimulation fleet(40, 40, seed);
        fleet.badShare = 0;
        fleet.endsPerSecond = 8;
        INFO("seed " << seed);
        fleet.run(30s);
        INFO(fleet.describeQuarantines());
        CHECK(fleet.wrongQuarantines() == 0);
    }
}
