/** @file test_job_policy.cpp Decisions about jobs, and their stored form. */
#include "core/hash_func.h"
#include "job/job_policy_func.h"
#include "job/job_record_func.h"
#include "policy/crash_quarantine_func.h"
#include "policy/item_trial_func.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace skylark;
using namespace std::chrono_literals;

namespace {

/** A job with ten items owned by "own". */
struct JobPolicyFixture {
    StoredJob job;

    JobPolicyFixture()
    {
        this->job.id.value = "j";
        this->job.host = "h.example";
        this->job.path = "/batch/j";
        this->job.digest = "d";
        this->job.owner.value = "own";
        this->job.created = UnixTime(1000ms);
        this->job.bodyParts = 1;
        for (unsigned i = 0; i < 10; ++i) {
            this->job.items.push_back({"item-" + std::to_string(i), 100});
        }
    }
};

constexpr PromptPartId quarantinedPart{0xbad};
constexpr PromptPartId otherPart{0xa};

/** Quarantine of one host that knows a quarantined part, and a clock that the test moves. */
struct TrialFixture {
    CrashQuarantine state{.host = HostId{"h1"}};
    TimePoint now{TimePoint{} + 1000s};
    PromptParts prompt{{otherPart, quarantinedPart}, {1}};

    TrialFixture()
    {
        this->state.parts[quarantinedPart] = {quarantinedPart, this->now, this->now + 60s, 1};
    }

    /** Adds a crash with the quarantined part, as @p host reports it. */
    void crash(const std::string &host, const std::string &target)
    {
        this->state.crashes[HostId{host}].push_back({TargetId{target}, this->now, {{this->prompt, RunPhase::Begun}}});
    }

    /** Moves the clock to the earliest trial. @return Time until then. */
    std::chrono::milliseconds waitForTrial()
    {
        const TimePoint before = this->now;
        while (!mayRunItem(findItemTrials(this->state), this->prompt, this->now)) {
            this->now += 50ms;
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(this->now - before);
    }
};

} // namespace

TEST_CASE_METHOD(JobPolicyFixture, "appendResults_notOwner_writesNothing")
{
    CHECK(appendResults(this->job, SessionId{"other"}, {{0, ItemState::Completed}}).action == AppendAction::NotOwner);
}

TEST_CASE_METHOD(JobPolicyFixture, "appendResults_listedItem_keepsItsPosition")
{
    this->job.listed = {{4, ItemState::Completed}};
    const AppendDecision again = appendResults(this->job, SessionId{"own"}, {{4, ItemState::Failed}});
    CHECK(again.action == AppendAction::Nothing);
    const AppendDecision more = appendResults(this->job, SessionId{"own"}, {{4, ItemState::Failed}, {1, ItemState::Failed}});
    REQUIRE(more.action == AppendAction::Write);
    REQUIRE(more.record.listed.size() == 2);
    CHECK(more.record.listed[0].index == 4);
    CHECK(more.record.listed[0].state == ItemState::Completed);
    CHECK(more.record.listed[1].index == 1);
}

// Property test: three hosts with stale records claim the job and append results by compare-and-swap in random order.
// Guards against an item that gets two positions, and against a position that changes.
TEST_CASE_METHOD(JobPolicyFixture, "appendResults_racingHosts_positionsAreFinal")
{
    std::uint64_t random = 21;
    for (unsigned round = 0; round < 400; ++round) {
        struct View {
            StoredJob record;
            std::uint64_t revision{0};
        };
        View stored{this->job, 1};
        std::vector<View> hosts(3, stored);
        std::vector<std::uint32_t> positions;
        for (unsigned step = 0; step < 60; ++step) {
            View &host = hosts[nextRandom(random) % hosts.size()];
            const SessionId session{"s" + std::to_string(&host - hosts.data())};
            const std::uint64_t operation = nextRandom(random) % 4;
            if (operation == 0) {
                host = stored;
                continue;
            }
            StoredJob write = host.record;
            if (operation == 1) {
                write.owner = session;
            } else {
                const auto index = static_cast<std::uint32_t>(nextRandom(random) % 10);
                const AppendDecision decision = appendResults(host.record, session, {{index, ItemState::Completed}});
                if (decision.action != AppendAction::Write) {
                    continue;
                }
                write = decision.record;
            }
            if (host.revision == stored.revision) {
                stored = {write, stored.revision + 1};
                host = stored;
            }
            REQUIRE(stored.record.listed.size() >= positions.size());
            std::set<std::uint32_t> seen;
            for (std::size_t i = 0; i < stored.record.listed.size(); ++i) {
                REQUIRE(seen.insert(stored.record.listed[i].index).second);
                REQUIRE((i >= positions.size() || positions[i] == stored.record.listed[i].index));
            }
            positions.clear();
            for (const ResultEntry &entry : stored.record.listed) {
                positions.push_back(entry.index);
            }
        }
    }
}

TEST_CASE_METHOD(JobPolicyFixture, "waitingTokens_listedOrEnded_doNotCount")
{
    CHECK(waitingTokens(this->job) == 1000);
    this->job.listed = {{0, ItemState::Failed}, {3, ItemState::Completed}};
    CHECK(waitingTokens(this->job) == 800);
    this->job.ended = true;
    CHECK(waitingTokens(this->job) == 0);
}

TEST_CASE("decideJobAdmission_limit_isNeverExceeded", "[accept]")
{
    CHECK(decideJobAdmission(0, 5000, 0) == JobAdmission::Accept);
    CHECK(decideJobAdmission(0, 400, 1000) == JobAdmission::AcceptSerialized);
    CHECK(decideJobAdmission(200, 400, 1000) == JobAdmission::AcceptSerialized);
    CHECK(decideJobAdmission(600, 400, 1000) == JobAdmission::AcceptSerialized);
    CHECK(decideJobAdmission(601, 400, 1000) == JobAdmission::Refuse);
    CHECK(decideJobAdmission(0, 1001, 1000) == JobAdmission::Refuse);
    // A sum that does not fit into the number must not wrap around.
    CHECK(decideJobAdmission(600, std::numeric_limits<std::uint64_t>::max() - 100, 1000) == JobAdmission::Refuse);
    CHECK(totalTokens({ItemHead{"a", std::numeric_limits<std::uint64_t>::max()}, ItemHead{"b", 2}}) == std::numeric_limits<std::uint64_t>::max());
}

TEST_CASE("mayClaim_ownerState_decides", "[claim]")
{
    ClaimInput input{.open = true, .ownerRegistered = true};
    input.missingFor = 10s;
    input.unregisteredFor = 10s;
    CHECK_FALSE(mayClaim(input));
    input.ownerRegistered = false;
    CHECK(mayClaim(input));
    input.missingFor = 100ms;
    CHECK_FALSE(mayClaim(input));
    SECTION("an unregistered owner that still sends its status keeps its job for a limited time")
    {
        input.ownerStatusRecent = true;
        input.missingFor = 0ms;
        CHECK(mayClaim(input));
        input.unregisteredFor = 2s;
        CHECK_FALSE(mayClaim(input));
    }
    SECTION("a released job is claimed at once by the host of the first rank")
    {
        input.released = true;
        input.missingFor = 0ms;
        CHECK(mayClaim(input));
        input.rank = 2;
        CHECK_FALSE(mayClaim(input));
    }
    SECTION("a closed job and an own job are not claimed")
    {
        input.missingFor = 10s;
        input.ownerIsOwn = true;
        CHECK_FALSE(mayClaim(input));
        input.ownerIsOwn = false;
        input.open = false;
        CHECK_FALSE(mayClaim(input));
    }
}

TEST_CASE_METHOD(JobPolicyFixture, "storedJob_roundTrip_isEqual")
{
    this->job.listed = {{7, ItemState::Completed}, {2, ItemState::Failed}};
    this->job.ended = true;
    auto decoded = decodeStoredJob(encodeStoredJob(this->job));
    REQUIRE(isOk(decoded));
    const StoredJob &read = valueOf(decoded);
    CHECK(read.owner == this->job.owner);
    CHECK(read.created == this->job.created);
    CHECK(read.ended);
    REQUIRE(read.listed.size() == 2);
    CHECK(read.listed[1].index == 2);
    CHECK(read.listed[1].state == ItemState::Failed);
    CHECK(read.items[9].tokens == 100);
}

TEST_CASE("decode_malformedValue_isRefused", "[record]")
{
    for (const char *value :
         {"", "[]", "{}", R"({"id":"j","items":[]})", R"({"id":"j","items":[["a"]]})", R"({"id":"j","items":[["a",1]],"listed":[[5,1]]})"}) {
        CHECK_FALSE(isOk(decodeStoredJob(value)));
    }
    CHECK_FALSE(isOk(decodeCheckpoints("{}")));
    CHECK_FALSE(isOk(decodeCheckpoints("[[1,2]]")));
}

TEST_CASE("encodeCheckpoints_overTheLimit_leavesOutTheRest", "[record]")
{
    ItemCheckpoints checkpoints;
    checkpoints[1] = {4, 4, 1, std::string(100, 'a')};
    checkpoints[2] = {9, 9, 0, std::string(100, 'b')};
    auto all = decodeCheckpoints(encodeCheckpoints(checkpoints, 1000));
    REQUIRE(isOk(all));
    CHECK(valueOf(all).at(2).text == checkpoints[2].text);
    CHECK(valueOf(all).at(1).failures == 1);
    auto some = decodeCheckpoints(encodeCheckpoints(checkpoints, 150));
    REQUIRE(isOk(some));
    CHECK(valueOf(some).size() == 1);
}

TEST_CASE("jobResultKey_positions_sortInOrder", "[record]")
{
    CHECK(jobResultKey(JobId{"j"}, 9) < jobResultKey(JobId{"j"}, 10));
    CHECK(jobResultKey(JobId{"j"}, 99) < jobResultKey(JobId{"j"}, 100));
}

// Guards against one write for each item of a job: its items end one after another, and each write is paid for.
TEST_CASE("resultDelay_itemsLeftAndDueTimeFar_collectsResults", "[results]")
{
    CHECK(resultDelay(3, 15s) == 1000ms);
    CHECK(resultDelay(3, 4s) == 500ms);
    CHECK(resultDelay(3, -2s) == 200ms);
    CHECK(resultDelay(0, 15s) == 0ms);
}

// Guards against late items that make all following ones late: the targets can finish half of the items that arrive.
TEST_CASE("isMoreUrgent_twiceTheCapacity_aThirdOfTheItemsIsInTime", "[order]")
{
    constexpr auto itemTime = 1s;
    constexpr auto completionTarget = 10s;
    std::vector<TimePoint> waiting;
    unsigned inTime = 0;
    unsigned arrived = 0;
    for (TimePoint now{}; now < TimePoint{} + 120s; now += itemTime) {
        for (unsigned i = 0; i < 2; ++i, ++arrived) {
            waiting.push_back(now + completionTarget);
        }
        const auto next = std::min_element(waiting.begin(), waiting.end(), [now, itemTime](TimePoint left, TimePoint right) {
            return isMoreUrgent(left, right, now, itemTime);
        });
        inTime += now + itemTime <= *next ? 1 : 0;
        waiting.erase(next);
    }
    CHECK(inTime * 3 >= arrived);
}

// Guards against a process that ends because a number in a stored document is of another kind.
TEST_CASE("jobDocuments_fieldsOfAnotherKind_areRefused", "[record]")
{
    CHECK_FALSE(isOk(decodeStoredJob(R"({"id":"j","items":[["a","x"]],"listed":[]})")));
    CHECK_FALSE(isOk(decodeStoredJob(R"({"id":"j","items":[["a",-1]],"listed":[]})")));
    CHECK_FALSE(isOk(decodeStoredJob(R"({"id":"j","items":[["a",1]],"listed":[[null,1]]})")));
    CHECK_FALSE(isOk(decodeStoredJob(R"({"id":"j","items":[["a",1]],"listed":[[0,{}]]})")));
    CHECK_FALSE(isOk(decodeCheckpoints(R"([["0",1,1,0,"t"]])")));
    CHECK_FALSE(isOk(decodeCheckpoints(R"([[0,1,1,1e99,"t"]])")));
    CHECK(isOk(decodeCheckpoints(R"([[0,1,1,0,"t"]])")));
}

// Guards against an item under which targets end one after the other in quick succession, or that is hardly run any more.
TEST_CASE("itemRetryDelay_targetsEndInARow_growsToAFewSeconds", "[items]")
{
    CHECK(itemRetryDelay(0, 0) == itemRetryDelay(0, 1));
    for (unsigned ends = 1; ends < 5; ++ends) {
        CHECK(itemRetryDelay(0, ends + 1) == 2 * itemRetryDelay(0, ends));
    }
    CHECK(itemRetryDelay(0, 1000) == itemRetryDelay(0, 5));
    CHECK(itemRetryDelay(100, 1000) < 3s);
    CHECK(itemRetryDelay(3, 0) > itemRetryDelay(2, 0));
    CHECK(itemRetryDelay(3, 1) == itemRetryDelay(3, 0));
}

// Guards against items that wait for the whole time of a quarantine, and against trials at all hosts at once.
TEST_CASE_METHOD(TrialFixture, "findItemTrials_partQuarantined_itemRunsAfterAShortTime")
{
    std::set<TimePoint> times;
    for (unsigned i = 0; i < 20; ++i) {
        this->state.host.value = "h" + std::to_string(i);
        times.insert(findItemTrials(this->state).earliest.at(quarantinedPart));
    }
    CHECK(times.size() > 10);
    CHECK(*times.begin() >= this->now + 2s);
    CHECK(*times.rbegin() <= this->now + 3s);
    CHECK(mayRunItem(findItemTrials(this->state), {{otherPart}, {1}}, this->now));
}

// Guards against items that crash one target after the other on behalf of a quarantined part, in the whole fleet.
TEST_CASE_METHOD(TrialFixture, "findItemTrials_eachTrialCrashesItsTarget_fewRunsInAMinute")
{
    std::chrono::milliseconds last{0};
    const TimePoint begin = this->now;
    unsigned late = 0;
    for (unsigned i = 0; this->now < begin + 60s; ++i) {
        const std::chrono::milliseconds waited = this->waitForTrial();
        CHECK(waited > last);
        last = waited;
        late += this->now > begin + 3s && this->now < begin + 60s ? 1 : 0;
        this->crash(i % 2 == 0 ? "h1" : "h2", "t" + std::to_string(i));
    }
    CHECK(late <= 3);
    this->state.parts[quarantinedPart] = {quarantinedPart, this->now, this->now + 120s, 2};
    CHECK(this->waitForTrial() >= 30s);
}

TEST_CASE_METHOD(TrialFixture, "findItemTrials_oneCrashReportedByTwoHosts_countsOnce")
{
    this->now += 2s;
    this->crash("h1", "t1");
    const TimePoint once = findItemTrials(this->state).earliest.at(quarantinedPart);
    this->now += 5ms;
    this->crash("h2", "t1");
    CHECK(findItemTrials(this->state).earliest.at(quarantinedPart) - once <= 5ms);
}

TEST_CASE_METHOD(TrialFixture, "mayRunItem_anotherItemWithThePartRuns_waits")
{
    this->waitForTrial();
    ItemTrials trials = findItemTrials(this->state);
    addRunningItem(trials, {{otherPart}, {2}});
    CHECK(mayRunItem(trials, this->prompt, this->now));
    addRunningItem(trials, this->prompt);
    CHECK_FALSE(mayRunItem(trials, this->prompt, this->now));
    CHECK(mayRunItem(trials, {{otherPart}, {1}}, this->now));
}

// Guards against items that stay held back after one of them was sound.
TEST_CASE_METHOD(TrialFixture, "findItemTrials_itemWasSound_allItemsRun")
{
    this->waitForTrial();
    CHECK(recordSoundRun(this->state, this->prompt, this->now).size() == 1);
    ItemTrials trials = findItemTrials(this->state);
    addRunningItem(trials, this->prompt);
    CHECK(mayRunItem(trials, this->prompt, this->now));
}

// Guards against items that start on the state of a job of unknown age, and against a limit that leaves no time to send them.
TEST_CASE("mayStartOnRecord_ageOfTheRecord_decidesUnlessTheStoreIsAway", "[job]")
{
    const std::chrono::milliseconds cancelLimit = 3000ms;
    const std::chrono::milliseconds maxAge = maxRecordAgeFor(cancelLimit);
    CHECK(mayStartOnRecord(0ms, maxAge, false));
    CHECK(mayStartOnRecord(maxAge - 1ms, maxAge, false));
    CHECK_FALSE(mayStartOnRecord(maxAge, maxAge, false));
    CHECK(mayStartOnRecord(1h, maxAge, true));
    CHECK(cancelLimit - maxAge >= 500ms);
}
