/** @file test_soak_verdict.cpp The verdict of the soak test on records that the tests make up. */
#include "support/soak_crash_func.h"
#include "support/soak_verdict_func.h"

#include <unistd.h>

using namespace skylark;
using namespace skylark::test;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

struct SoakVerdictFixture {
    std::filesystem::path folder{std::filesystem::temp_directory_path() / ("skylark-soak-verdict-" + std::to_string(::getpid()))};
    SoakSite site{1, 0, folder}; ///< Without host processes and targets.
    TimePoint sentAt{BootClock::now() + 60s}; ///< When all requests are sent.
    std::shared_ptr<standin::ScriptedTarget> target{standin::ScriptedTarget::create(site.loop.get_executor(), "i-1", "llm")};
    std::vector<SoakRecord> records{};

    SoakVerdictFixture()
    {
        REQUIRE(this->target);
        this->site.targets.push_back(this->target);
        this->site.hosts.emplace_back().process = std::make_unique<ChildProcess>();
    }
    SoakVerdictFixture(const SoakVerdictFixture &) = delete;
    SoakVerdictFixture &operator=(const SoakVerdictFixture &) = delete;
    ~SoakVerdictFixture()
    {
        std::filesystem::remove_all(this->folder);
    }

    /** Adds a stream whose caller receives nothing for @p silence after it was sent, and whose target reads it and begins to run it after @p readAfter. */
    SoakRecord &addSilentStream(milliseconds silence, milliseconds readAfter)
    {
        SoakRecord &record = this->records.emplace_back();
        record.call.id = "r-" + std::to_string(this->records.size());
        record.call.route = "chat";
        record.startedAt = this->sentAt;
        record.sentAt = this->sentAt;
        record.gapSince = this->sentAt;
        record.longestGap = silence;
        record.endedAt = this->sentAt + 5500ms;
        record.end = SoakEnd::GaveUp;
        this->addRun(record.call.id, readAfter);
        return record;
    }

    void addRun(const std::string &id, milliseconds beginAfter) const
    {
        auto run = std::make_shared<standin::ScriptedRun>();
        run->id = id;
        run->service = this->target->service;
        run->beganAt = this->sentAt + beginAfter;
        run->endedAt = run->beganAt + 100ms;
        this->target->runs.push_back(run);
    }

    void addLateRead(const SoakRecord &record, milliseconds arrivedAfter, milliseconds readAfter) const
    {
        this->target->lateReads.push_back({record.call.id, this->sentAt + arrivedAfter, this->sentAt + readAfter});
    }

    /** Adds a stream that ends after 4 s, the timeout that applied until 2.5 s before. */
    void addStreamEndedByReplacedTimeout()
    {
        SoakRecord &record = this->addSilentStream(100ms, 5ms);
        record.endedAt = this->sentAt + 4000ms;
        record.end = SoakEnd::BrokenOff;
        this->site.configs.push_back({this->sentAt - 10s, {.chatTimeout = 4000ms}});
        this->site.configs.push_back({this->sentAt - 2500ms, {.chatTimeout = 8000ms}});
    }

    /** Adds sends of the crash-inducing request of @p route, each of which crashes its target @p arrivals after the first moment. */
    void addCrashes(const std::string &route, const std::vector<milliseconds> &arrivals)
    {
        for (const milliseconds arrival : arrivals) {
            SoakRecord &record = this->records.emplace_back();
            record.call = crashingCall(route, "crash-" + std::to_string(this->records.size()));
            record.startedAt = this->sentAt + arrival;
            record.sentAt = record.startedAt;
            record.endedAt = record.startedAt + 200ms;
            record.end = SoakEnd::BrokenOff;
            this->addRun(record.call.id, arrival);
            this->target->runs.back()->brokenOff = true;
            this->target->runs.back()->crashedTarget = true;
        }
    }

    std::size_t failureCount() const
    {
        return judgeSoak(this->site, this->records).failures.size();
    }
};

} // namespace

TEST_CASE_METHOD(SoakVerdictFixture, "verdict_silenceOfAPunctualTarget_fails")
{
    this->addSilentStream(3300ms, 5ms);
    CHECK(this->failureCount() == 1);
}

TEST_CASE_METHOD(SoakVerdictFixture, "verdict_sameSilenceOfATargetThatReadLate_isExcused")
{
    const SoakRecord &record = this->addSilentStream(3300ms, 1700ms);
    this->addLateRead(record, 5ms, 1700ms);
    CHECK(this->failureCount() == 0);
}

TEST_CASE_METHOD(SoakVerdictFixture, "verdict_silenceLongerThanTheLateRead_fails")
{
    const SoakRecord &record = this->addSilentStream(4000ms, 500ms);
    this->addLateRead(record, 5ms, 500ms);
    CHECK(this->failureCount() == 1);
}

TEST_CASE_METHOD(SoakVerdictFixture, "verdict_twoLateReadsAtTheSameTime_countOnce")
{
    const SoakRecord &record = this->addSilentStream(4500ms, 1000ms);
    this->addLateRead(record, 0ms, 1000ms);
    this->addLateRead(record, 0ms, 1000ms);
    CHECK(this->failureCount() == 1);
}

TEST_CASE_METHOD(SoakVerdictFixture, "verdict_lateReadAfterTheSilence_excusesNothing")
{
    const SoakRecord &record = this->addSilentStream(3300ms, 5ms);
    this->addLateRead(record, 3400ms, 4400ms);
    CHECK(this->failureCount() == 1);
}

TEST_CASE_METHOD(SoakVerdictFixture, "verdict_lateReadOfAnotherRequest_excusesNothing")
{
    this->addSilentStream(3300ms, 5ms);
    const SoakRecord &other = this->addSilentStream(3300ms, 1700ms);
    this->addLateRead(other, 5ms, 1700ms);
    CHECK(this->failureCount() == 1);
}

TEST_CASE_METHOD(SoakVerdictFixture, "verdict_stallOfTheEventLoopWithinTheSilence_isExcused")
{
    this->addSilentStream(3300ms, 5ms);
    this->site.stalls.emplace_back(this->sentAt + 1000ms, 300ms);
    CHECK(this->failureCount() == 0);
}

TEST_CASE_METHOD(SoakVerdictFixture, "verdict_answerAfterASilenceThatIsTooLong_fails")
{
    SoakRecord &record = this->addSilentStream(3300ms, 5ms);
    record.end = SoakEnd::Answered;
    record.status = 503;
    CHECK(this->failureCount() == 1);
}

// A target that breaks off only after its caller would have left did not cause the silence.
TEST_CASE_METHOD(SoakVerdictFixture, "verdict_targetBreaksOffAfterASilenceThatIsTooLong_fails")
{
    this->addSilentStream(5400ms, 5ms);
    this->target->runs.back()->brokenOff = true;
    this->target->runs.back()->endedAt = this->sentAt + 5300ms;
    this->addRun("r-1", 5350ms);
    CHECK(this->failureCount() == 1);
}

TEST_CASE_METHOD(SoakVerdictFixture, "verdict_fourRunsOfACrashInducingRequestAfterContactTime_fails")
{
    this->addCrashes("lookup", {0ms, 100ms, 200ms, 3400ms, 3500ms, 3600ms, 3700ms});
    CHECK(this->failureCount() == 1);
}

TEST_CASE_METHOD(SoakVerdictFixture, "verdict_threeRunsOfACrashInducingRequestAfterContactTime_isAllowed")
{
    this->addCrashes("lookup", {0ms, 100ms, 200ms, 3400ms, 3500ms, 3600ms});
    CHECK(this->failureCount() == 0);
}

TEST_CASE_METHOD(SoakVerdictFixture, "verdict_runsOfACrashInducingRequestWithinContactTime_areAllowed")
{
    this->addCrashes("chat", {0ms, 100ms, 200ms, 3000ms, 3100ms, 3200ms, 3290ms});
    CHECK(this->failureCount() == 0);
}

TEST_CASE_METHOD(SoakVerdictFixture, "verdict_twoCrashInducingRequests_areCountedApart")
{
    this->addCrashes("lookup", {0ms, 100ms, 200ms, 3400ms, 3500ms});
    this->addCrashes("chat", {0ms, 100ms, 200ms, 3400ms, 3500ms});
    CHECK(this->failureCount() == 0);
}

TEST_CASE_METHOD(SoakVerdictFixture, "verdict_crashInducingRequestThatArrivedBeforeContactTimeAndWasReadLate_isNotCounted")
{
    this->addCrashes("lookup", {0ms, 100ms, 200ms, 3400ms, 3500ms, 3600ms, 3700ms});
    this->addLateRead(this->records.back(), 3000ms, 3700ms);
    CHECK(this->failureCount() == 0);
}

TEST_CASE_METHOD(SoakVerdictFixture, "verdict_streamEndedByATimeoutThatHadBeenReplaced_fails")
{
    this->addStreamEndedByReplacedTimeout();
    CHECK(this->failureCount() == 1);
}

TEST_CASE_METHOD(SoakVerdictFixture, "verdict_streamEndedByATimeoutWhoseReplacementTheStoreServedLate_isExcused")
{
    this->addStreamEndedByReplacedTimeout();
    this->site.storeDelays.emplace_back(this->sentAt - 1000ms, 600ms);
    CHECK(this->failureCount() == 0);
}

TEST_CASE_METHOD(SoakVerdictFixture, "verdict_storeWasLateBeforeTheTimeoutWasReplaced_excusesNothing")
{
    this->addStreamEndedByReplacedTimeout();
    this->site.storeDelays.emplace_back(this->sentAt - 2600ms, 600ms);
    CHECK(this->failureCount() == 1);
}
