/** @file test_kept_prompt.cpp Tests of the estimate of kept prompt parts and of its weight in the choice of a target. */
#include "call_wire_func.h"
#include "names.h"
#include "support/entry_fixture.h"
#include "support/placement_simulation.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <set>

using namespace skylark;
using namespace skylark::test;
using namespace std::chrono_literals;

namespace {

/** One service of 20 targets, whose hosts know the time per token. */
struct KeptFixture {
    KeptPrompts kept;
    KeptPromptInput input{.cacheTokens = 100000};
    std::vector<BalanceCandidate> candidates;
    TimePoint now{TimePoint{} + 1h};

    KeptFixture()
    {
        for (unsigned i = 0; i < 20; ++i) {
            this->candidates.push_back({.id = TargetId{"t" + std::to_string(i)}, .slots = 8});
        }
        learn(this->kept.fit, 0.1);
    }

    static void learn(ReadTimeFit &fit, double perToken)
    {
        for (unsigned i = 0; i < 400; ++i) {
            const double tokens = 100.0 * (i % 10);
            addReadTime(fit, {tokens}, 20.0 + tokens * perToken);
        }
    }

    [[nodiscard]] static PromptParts prompt(std::uint64_t shared, std::uint64_t own, std::uint32_t sharedTokens = 6000, std::uint32_t ownTokens = 250)
    {
        PromptParts parts{{promptPart(shared)}, promptPart(own)};
        parts.sharedTokens = {sharedTokens};
        parts.ownTokens = ownTokens;
        return parts;
    }

    void estimate(KeptPrompts &host, const PromptParts &parts)
    {
        estimateKeptTokens(host, parts, this->input, this->candidates, this->now);
    }

    /** @return Target with the most kept tokens. */
    [[nodiscard]] std::size_t best() const
    {
        const auto found = std::max_element(this->candidates.begin(), this->candidates.end(), [](const BalanceCandidate &a, const BalanceCandidate &b) {
            return a.keptTokens < b.keptTokens;
        });
        return static_cast<std::size_t>(found - this->candidates.begin());
    }
};

} // namespace

TEST_CASE("readPromptParts_tokensOfEachPart_areKept")
{
    const auto wire = platform::makeCallWire();
    const PromptParts prompt = wire.readPromptParts({{std::string(platform::headerPromptParts), "a1:200,b2:x,c3:99999999999,f1:250"}});
    CHECK(prompt.shared.size() == 3);
    CHECK(prompt.sharedTokens == std::vector<std::uint32_t>{200, 0, 1000000});
    CHECK(prompt.ownTokens == 250);
}

// Guards against hosts that each build their own copy of a part on another target.
TEST_CASE_METHOD(KeptFixture, "estimateKeptTokens_partThatNoHostHasSeen_hostsPreferTheSameTarget")
{
    std::set<std::size_t> chosen;
    for (std::uint64_t part = 1; part <= 20; ++part) {
        this->estimate(this->kept, prompt(part, 1000 + part));
        const std::size_t mine = this->best();
        KeptPrompts other;
        this->estimate(other, prompt(part, 2000 + part));
        CHECK(this->best() == mine);
        chosen.insert(mine);
    }
    CHECK(chosen.size() > 8);
}

// Guards against a hot part that is confined to one target.
TEST_CASE_METHOD(KeptFixture, "estimateKeptTokens_partWithHighLoad_spreadsOverMoreTargets")
{
    const auto homes = [this] {
        return std::count_if(this->candidates.begin(), this->candidates.end(), [](const BalanceCandidate &candidate) {
            return candidate.keptTokens > 0.7 * 6000;
        });
    };
    this->estimate(this->kept, prompt(7, 1));
    CHECK(homes() == 1);
    // 20 requests a second that hold a slot for 0.7 s each are 14 slots: at half of 8 slots for each target that is four targets.
    for (unsigned i = 0; i < 400; ++i) {
        this->now += 50ms;
        this->estimate(this->kept, prompt(7, 2 + i));
    }
    CHECK(homes() >= 3);
    CHECK(homes() <= 5);
}

TEST_CASE_METHOD(KeptFixture, "estimateKeptTokens_sessionContinues_prefersItsTarget")
{
    const PromptParts parts = prompt(7, 8);
    recordSentPrompt(this->kept, TargetId{"t3"}, parts, this->input.cacheTokens);
    this->estimate(this->kept, parts);
    CHECK(this->best() == 3);
    CHECK(this->candidates[3].keptTokens > 5000);
}

// Guards against parts that count as held although the target has read more than its memory holds since.
TEST_CASE_METHOD(KeptFixture, "estimateKeptTokens_memoryOfTheTargetFilledSince_doesNotCountAsHeld")
{
    const PromptParts parts = prompt(7, 8);
    recordSentPrompt(this->kept, TargetId{"t3"}, parts, this->input.cacheTokens);
    for (std::uint64_t i = 0; i < 20; ++i) {
        recordSentPrompt(this->kept, TargetId{"t3"}, prompt(100 + i, 200 + i), this->input.cacheTokens);
    }
    this->estimate(this->kept, parts);
    CHECK(this->candidates[3].keptTokens <= 6000 * 0.8);
}

// Guards against memory of the host that grows with the number of parts.
TEST_CASE_METHOD(KeptFixture, "recordSentPrompt_manyParts_historyStaysBounded")
{
    for (std::uint64_t i = 0; i < 20000; ++i) {
        recordSentPrompt(this->kept, TargetId{"t" + std::to_string(i % 4)}, prompt(100 + i, 1000000 + i, 1, 1), 1ULL << 40U);
        this->estimate(this->kept, prompt(100 + i, 1000000 + i, 1, 1));
    }
    std::size_t parts = 0;
    for (const auto &[id, history] : this->kept.targets) {
        parts += history.parts.entries.size();
        CHECK(history.parts.index.size() == history.parts.entries.size());
    }
    CHECK(parts <= 32768);
    CHECK(this->kept.uses.entries.size() <= 4096);
}

TEST_CASE_METHOD(KeptFixture, "estimateKeptTokens_memoryOfTargetsUnknown_nothingIsWeighed")
{
    this->input.cacheTokens = 0;
    this->estimate(this->kept, prompt(7, 8));
    CHECK(std::all_of(this->candidates.begin(), this->candidates.end(), [](const BalanceCandidate &candidate) {
        return candidate.savedMs == 0;
    }));
}

// Guards against a time per token that is taken from too few requests, or from prompts of one length.
TEST_CASE("timePerToken_noEvidence_isUnknown")
{
    ReadTimeFit few;
    ReadTimeFit alike;
    for (unsigned i = 0; i < 600; ++i) {
        if (i < 40) {
            addReadTime(few, {100.0 * (i % 10)}, 10.0 * (i % 10));
        }
        addReadTime(alike, {450}, 30.0 + i % 100);
    }
    CHECK_FALSE(timePerToken(few));
    CHECK_FALSE(timePerToken(alike));
}

// Guards against a slope that noise gives times which do not depend on the prompt.
TEST_CASE("timePerToken_timesIndependentOfThePrompt_isMostlyUnknown")
{
    std::uint64_t random = 5;
    unsigned known = 0;
    for (unsigned round = 0; round < 40; ++round) {
        ReadTimeFit noise;
        for (unsigned i = 0; i < 600; ++i) {
            const auto tokens = static_cast<double>(nextRandom(random) % 450);
            addReadTime(noise, {tokens}, 30.0 + static_cast<double>(nextRandom(random) % 100));
        }
        known += timePerToken(noise) ? 1 : 0;
    }
    CHECK(known <= 4);
}

TEST_CASE("timePerToken_noisyTimes_findsTheSlopeFromBelow")
{
    std::uint64_t random = 6;
    ReadTimeFit fit;
    for (unsigned i = 0; i < 1000; ++i) {
        const auto tokens = static_cast<double>(nextRandom(random) % 6000);
        addReadTime(fit, {tokens}, 30 + tokens / 60.0 + static_cast<double>(nextRandom(random) % 60));
    }
    REQUIRE(timePerToken(fit));
    CHECK(*timePerToken(fit) < 1.02 / 60.0);
    CHECK(*timePerToken(fit) > 0.9 / 60.0);
}

TEST_CASE_METHOD(KeptFixture, "balanceRequest_partKept_isPreferredOverALowerLoad")
{
    this->candidates[4].online = 3;
    this->candidates[4].savedMs = 90;
    CHECK(balanceRequest(this->candidates, {}, 1).target.value == "t4");
}

// Guards against a few milliseconds that change the choice of today.
TEST_CASE_METHOD(KeptFixture, "balanceRequest_fewMillisecondsSaved_choiceStaysAsItIs")
{
    std::uint64_t random = 9;
    for (unsigned round = 0; round < 200; ++round) {
        for (BalanceCandidate &candidate : this->candidates) {
            candidate.online = static_cast<unsigned>(nextRandom(random) % 10);
            candidate.savedMs = 0;
        }
        const std::uint64_t draw = nextRandom(random);
        const BalanceChoice before = balanceRequest(this->candidates, {}, draw);
        this->candidates[nextRandom(random) % 20].savedMs = 9;
        CHECK(balanceRequest(this->candidates, {}, draw).target == before.target);
    }
}

// Guards against kept parts that draw requests to a target that cannot answer soon.
TEST_CASE_METHOD(KeptFixture, "balanceRequest_partKeptOnSlowSilentOrSuspectTarget_doesNotCount")
{
    for (unsigned flaw = 0; flaw < 3; ++flaw) {
        BalanceCandidate &candidate = this->candidates[4];
        candidate.savedMs = 5000;
        candidate.slowness = flaw == 0 ? 2.0 : 1.0;
        candidate.online = 3;
        candidate.silent = flaw == 1;
        candidate.suspect = flaw == 2;
        CHECK(balanceRequest(this->candidates, {}, 1).target.value != "t4");
    }
}

// Guards against a wait that is longer than the time saved: the queue of four requests takes 437 ms.
TEST_CASE_METHOD(KeptFixture, "balanceRequest_waitLongerThanSaved_choosesFreeSlot")
{
    for (BalanceCandidate &candidate : this->candidates) {
        candidate.online = 7;
    }
    this->candidates[4].online = 11;
    this->candidates[4].savedMs = 430;
    CHECK(balanceRequest(this->candidates, {}, 1).target.value != "t4");
}

// Guards against hosts that rush to the last slots of one target while their counts of one another are old.
TEST_CASE_METHOD(KeptFixture, "balanceRequest_lastSlotOnOldCounts_isNotFilledForASmallSaving")
{
    for (BalanceCandidate &candidate : this->candidates) {
        candidate.online = 6;
        candidate.countsAge = 600ms;
    }
    this->candidates[4].online = 7;
    this->candidates[4].savedMs = 60;
    CHECK(balanceRequest(this->candidates, {}, 1).target.value != "t4");
    this->candidates[4].countsAge = 20ms;
    CHECK(balanceRequest(this->candidates, {}, 1).target.value == "t4");
}

// Guards against targets that count as slow because their requests had more to read, and against guesses that decide which target is slow.
TEST_CASE_METHOD(KeptFixture, "comparableFirstEvent_promptsOfDifferentLength_comparesTargetsOnly")
{
    const ReadTimeFit &fit = this->kept.fit;
    const double shortPrompt = comparableFirstEvent(fit, {100}, 30).value_or(0);
    CHECK(comparableFirstEvent(fit, {900}, 110).value_or(0) == Approx(shortPrompt).epsilon(0.02));
    CHECK(comparableFirstEvent(fit, {900}, 330).value_or(0) == Approx(3 * shortPrompt).epsilon(0.02));
    CHECK_FALSE(comparableFirstEvent(fit, {6000, 4000, true}, 200));
    CHECK(comparableFirstEvent(ReadTimeFit{}, {900}, 330).value_or(0) == 330);
}

namespace {

void print(const char *name, const PlacementResult &result)
{
    std::cout << name << ": callers " << result.callers << ", good " << result.good << ", late " << result.late << ", first event after " << result.firstMs
              << " ms, tokens read " << result.unreadTokens << ", waited beside a free slot " << result.waited << ", on slow targets " << result.onSlow
              << ", placed by kept parts " << result.placedByKept << "\n";
}

} // namespace

// Guards against kept parts that are weighed for too little: long prompts, and counts that are 100 to 150 ms old.
TEST_CASE("placement_longPrompts_areReadLessAndAnsweredSooner")
{
    PlacementScene scene{.load = 0.5, .oldestCountsMs = 150.0, .sharedParts = 600, .sharedTokens = 5750, .tokensPerMs = 60.0};
    const PlacementResult today = PlacementSimulation(scene).run();
    scene.keptPrompts = true;
    const PlacementResult now = PlacementSimulation(scene).run();
    print("long prompts, today", today);
    print("long prompts, kept parts weighed", now);
    CHECK(now.unreadTokens < 0.7 * today.unreadTokens);
    CHECK(now.firstMs < 0.75 * today.firstMs);
    CHECK(now.good > today.good);
    CHECK(now.waited <= today.waited);
}

// Guards against hosts that rush to the same targets while their counts of one another are up to 700 ms old.
TEST_CASE("placement_longPromptsOnOldCounts_callersGetNoLess")
{
    for (const double slowShare : {0.0, 0.15}) {
        PlacementScene scene{.load = 0.5, .slowShare = slowShare, .sharedParts = 600, .sharedTokens = 5750, .tokensPerMs = 60.0};
        const PlacementResult today = PlacementSimulation(scene).run();
        scene.keptPrompts = true;
        const PlacementResult now = PlacementSimulation(scene).run();
        print("old counts, today", today);
        print("old counts, kept parts weighed", now);
        CHECK(now.unreadTokens < 0.95 * today.unreadTokens);
        CHECK(now.good + now.callers / 200 >= today.good);
        CHECK(now.waited <= today.waited + now.callers / 200);
    }
}

// Guards against another choice where little is to be saved: 200 shared and 250 own tokens at 100 tokens a millisecond.
TEST_CASE("placement_shortPrompts_callersGetWhatTheyGetToday")
{
    PlacementScene scene{.load = 0.7};
    const PlacementResult today = PlacementSimulation(scene).run();
    scene.keptPrompts = true;
    const PlacementResult now = PlacementSimulation(scene).run();
    print("short prompts, today", today);
    print("short prompts, kept parts weighed", now);
    CHECK(now.placedByKept <= now.callers / 200);
    CHECK(now.good + now.callers / 100 >= today.good);
}

namespace {

/** Two replicas, and one host whose route "chat" has session affinity. */
struct AffinityFixture : EntryFixture {
    standin::Replica &first{this->addReplica("i-1")};
    standin::Replica &second{this->addReplica("i-2")};
    EntryTestHost host{*this, "front-1", false};

    AffinityFixture()
    {
        this->routeNamed("chat").sessionAffinity = true;
        this->config->services[ServiceId{"llm"}].cacheTokens = 100000;
        this->host.publish({});
    }

    void send(const std::string &id, const std::string &path)
    {
        HttpRequest request = EntryTestHost::request(id, path);
        request.headers.push_back({std::string(platform::headerPromptParts), "a1:5000,f1:250"});
        const HttpResponse answer = this->host.send(std::move(request));
        CHECK(answer.status == 200);
    }
};

} // namespace

TEST_CASE_METHOD(AffinityFixture, "forward_sessionContinues_isSentToTheTargetThatHoldsItsPrompt")
{
    KeptFixture::learn(this->host.proxy->keptPrompts[ServiceId{"llm"}].fit, 0.1);
    for (unsigned i = 0; i < 10; ++i) {
        this->send("s" + std::to_string(i), "/chat/x");
    }
    CHECK(std::max(this->first.runs.size(), this->second.runs.size()) == 10);
    CHECK(this->host.proxy->keptPrompts.at(ServiceId{"llm"}).fit.weight > 333);
}

// Guards against history that is kept, and weighed, where the configuration does not ask for it.
TEST_CASE_METHOD(AffinityFixture, "forward_routeWithoutSessionAffinity_keepsNoHistory")
{
    this->routeNamed("chat").sessionAffinity = false;
    this->host.publish({});
    for (unsigned i = 0; i < 5; ++i) {
        this->send("s" + std::to_string(i), "/chat/x");
    }
    CHECK(this->host.proxy->keptPrompts.empty());
}
