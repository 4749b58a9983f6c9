/** @file test_decline.cpp Tests of the detection of gradual slowdowns on synthetic load reports. */
#include "core/hash_func.h"
#include "policy/decline_func.h"

#include <catch2/catch.hpp>
#include <cmath>

using namespace skylark;
using namespace std::chrono_literals;

namespace {

/** Engines whose step time grows with the number of running streams, with up to 8 % of uniform noise. */
struct DeclineFixture {
    DeclineTable table;
    DeclineSettings settings; ///< Default settings, as in production.
    std::uint64_t random{42}; ///< State of the random number generator.
    TimePoint now{std::chrono::hours(1)}; ///< Simulated time.
    std::vector<double> slowdown; ///< Factor on the step time of each target.

    /** @return A random number in [0, 1). */
    double uniform()
    {
        return static_cast<double>(nextRandom(this->random) >> 11U) / 9007199254740992.0;
    }

    /** Adds load reports every 500 ms for @p duration of simulated time. @return Seconds until the first alarm, or -1. */
    double feed(std::chrono::seconds duration, std::vector<DeclineEvent> &events)
    {
        const TimePoint start = this->now;
        double first = -1;
        while (this->now - start < duration) {
            this->now += 500ms;
            for (std::size_t i = 0; i < this->slowdown.size(); ++i) {
                const double running = 1 + std::floor(this->uniform() * 15);
                const double noise = 0.92 + 0.16 * this->uniform();
                recordStep(this->table, TargetId{"t" + std::to_string(i)}, ModelId{"m"}, running, (20 + 0.8 * running) * noise * this->slowdown[i]);
            }
            for (const DeclineEvent &event : closeWindow(this->table, this->settings, this->now)) {
                events.push_back(event);
                if (first < 0 && event.raised) {
                    first = std::chrono::duration<double>(this->now - start).count();
                }
            }
        }
        return first;
    }
};

} // namespace

TEST_CASE_METHOD(DeclineFixture, "decline_oneTargetThirtyPercentSlower_alarmWithinTwoMinutes")
{
    this->slowdown = {1, 1, 1, 1};
    std::vector<DeclineEvent> events;
    this->feed(600s, events);
    REQUIRE(events.empty());
    this->slowdown[2] = 1.3;
    const double seconds = this->feed(120s, events);
    REQUIRE(events.size() == 1);
    CHECK(events[0].target.value == "t2");
    CHECK(seconds > 0);
    CHECK(this->table.targets[TargetId{"t2"}].factor > 1.2);
}

// Guards against false alarms from varying load and noise.
TEST_CASE_METHOD(DeclineFixture, "decline_hourOfSteadyNoisyLoad_noAlarm")
{
    this->slowdown = {1, 1, 1, 1, 1, 1};
    std::vector<DeclineEvent> events;
    this->feed(3600s, events);
    CHECK(events.empty());
}

// Guards against a slowdown of all targets at once that goes undetected, because the peers are slower as well.
TEST_CASE_METHOD(DeclineFixture, "decline_allTargetsSlower_alarmAgainstTheirPast")
{
    this->slowdown = {1, 1, 1};
    std::vector<DeclineEvent> events;
    this->feed(600s, events);
    this->slowdown = {1.3, 1.3, 1.3};
    this->feed(120s, events);
    REQUIRE(events.size() == 3);
    CHECK(events[0].against == "past");
}

TEST_CASE_METHOD(DeclineFixture, "decline_targetRecovers_alarmCleared")
{
    this->slowdown = {1, 1, 1, 1.4};
    std::vector<DeclineEvent> events;
    this->feed(300s, events);
    REQUIRE(events.size() == 1);
    this->slowdown[3] = 1;
    this->feed(300s, events);
    REQUIRE(events.size() == 2);
    CHECK_FALSE(events[1].raised);
}

TEST_CASE("levelDetector_cacheHitRatioFalls_alarm")
{
    LevelDetector detector;
    const DeclineSettings settings;
    bool changed = false;
    for (int i = 0; i < 100; ++i) {
        changed = updateLevel(detector, 0.6 + 0.02 * (i % 3), false, settings) || changed;
    }
    CHECK_FALSE(changed);
    for (int i = 0; i < 10; ++i) {
        changed = updateLevel(detector, 0.4, false, settings) || changed;
    }
    CHECK(changed);
    CHECK(detector.alarmed);
}
