/** @file test_rate_limit_policy.cpp Rate limits of targets, divided among many hosts that know of limits and of one another late. */
#include "core/hash_func.h"
#include "policy/rate_limit_func.h"
#include "support/property_seed.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

using namespace skylark;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

const TargetId target{"t1"};

/** One host among others, and a clock that the test moves. */
struct RateFixture {
    RateLimitTable table{.host = HostId{"h0"}};
    TimePoint now{TimePoint{} + 1000s};

    RateFixture()
    {
        setSenders(this->table, {HostId{"h0"}}, this->now);
    }

    bool observe(std::optional<double> limit, std::chrono::milliseconds sentBefore = 100ms)
    {
        return observeAnswer(this->table, {target, limit, this->now}, this->now - sentBefore);
    }

    /** @return Requests that the host sends in @p duration when it sends whenever it may. */
    unsigned sendAll(milliseconds duration, StreamKind kind = StreamKind::Online)
    {
        unsigned sent = 0;
        for (const TimePoint until = this->now + duration; this->now < until; this->now += 5ms) {
            if (maySend(this->table, target, kind, this->now)) {
                recordSend(this->table, target, this->now);
                ++sent;
            }
        }
        return sent;
    }
};

/** Hosts that all want to send to one target with a limit, and learn of it and of one another late. */
struct LimitSimulation {
    static constexpr auto step = 10ms;
    static constexpr auto window = 4s; ///< Bound of the issue: in some 4 s one and a half times the limit, and 5 requests more.
    static constexpr auto noticeTime = 3s; ///< From the first naming, after which the bound holds.
    static constexpr auto toldFor = 500ms; ///< Requests of a host count from this time after its first answer with the limit.
    static constexpr auto answerTime = 60ms; ///< From a request to the head of its answer.

    struct Host {
        RateLimitTable table;
        TimePoint viewAt{}; ///< When it applies the current list of hosts.
        TimePoint toldAt{}; ///< First answer with the limit; TimePoint{} for none.
        bool up{true};
    };
    struct Answer {
        TimePoint at{};
        unsigned host{0};
        TimePoint sentAt{};
    };

    double limit{3};
    double demand{20}; ///< Requests a second of all hosts that would go to the target.
    std::vector<Host> hosts;
    std::vector<Answer> answers;
    std::vector<TimePoint> counted; ///< Arrivals from hosts that had been told.
    unsigned arrivals{0};
    std::vector<HostId> members;
    milliseconds maxViewDelay{2500}; ///< Longest time until a host learns of a change of the list of hosts.
    milliseconds maxNewsDelay{600}; ///< Longest time until a host learns of an announced limit.
    double newsLost{0.2}; ///< Share of announcements that are lost.
    TimePoint now{TimePoint{} + 1000s};
    TimePoint namedAt{};
    std::uint64_t random{1};
    std::vector<std::tuple<TimePoint, unsigned, LimitObservation>> news;

    LimitSimulation(unsigned count, std::uint64_t seed)
        : hosts(count)
        , random(seed)
    {
        for (unsigned i = 0; i < count; ++i) {
            this->members.emplace_back("h" + std::to_string(i));
            this->hosts[i].table.host = this->members[i];
        }
        for (Host &host : this->hosts) {
            setSenders(host.table, this->members, this->now);
        }
    }

    unsigned pick(std::size_t count)
    {
        return static_cast<unsigned>(nextRandom(this->random) % count);
    }
    bool chance(double probability)
    {
        return static_cast<double>(nextRandom(this->random) >> 11U) / static_cast<double>(1ULL << 53U) < probability;
    }

    /** The list of hosts changes: those that are up. Each host applies it after a delay of its own. */
    void changeMembers()
    {
        this->members.clear();
        for (const Host &host : this->hosts) {
            if (host.up) {
                this->members.push_back(host.table.host);
            }
        }
        for (Host &host : this->hosts) {
            host.viewAt = this->now + milliseconds(this->pick(static_cast<std::size_t>(this->maxViewDelay.count())));
        }
    }

    void toggleHost(unsigned index)
    {
        Host &host = this->hosts[index];
        host.up = !host.up;
        const HostId id = host.table.host;
        host.table = RateLimitTable{.host = id};
        host.toldAt = TimePoint{};
        this->changeMembers();
    }

    void sendOne(unsigned index)
    {
        Host &host = this->hosts[index];
        if (!host.up || !maySend(host.table, target, StreamKind::Online, this->now)) {
            return;
        }
        recordSend(host.table, target, this->now);
        ++this->arrivals;
        this->namedAt = this->namedAt == TimePoint{} ? this->now : this->namedAt;
        if (host.toldAt != TimePoint{} && this->now >= host.toldAt + toldFor) {
            this->counted.push_back(this->now);
        }
        this->answers.push_back({this->now + answerTime, index, this->now});
    }

    void receive(const Answer &answer)
    {
        Host &host = this->hosts[answer.host];
        if (!host.up) {
            return;
        }
        host.toldAt = host.toldAt == TimePoint{} ? this->now : host.toldAt;
        static_cast<void>(observeAnswer(host.table, {target, this->limit, this->now}, answer.sentAt));
        for (const LimitObservation &observation : limitsToAnnounce(host.table, this->now)) {
            for (unsigned to = 0; to < this->hosts.size(); ++to) {
                if (to != answer.host && !this->chance(this->newsLost)) {
                    const auto delay = milliseconds(1 + this->pick(static_cast<std::size_t>(this->maxNewsDelay.count())));
                    this->news.emplace_back(this->now + delay, to, observation);
                }
            }
        }
    }

    void applyLateWord()
    {
        for (Host &host : this->hosts) {
            if (host.up && host.viewAt != TimePoint{} && host.viewAt <= this->now) {
                host.viewAt = TimePoint{};
                setSenders(host.table, this->members, this->now);
            }
        }
        std::erase_if(this->news, [this](const auto &item) {
            const auto &[at, to, observation] = item;
            if (at > this->now) {
                return false;
            }
            if (this->hosts[to].up) {
                static_cast<void>(mergeObservation(this->hosts[to].table, observation, this->now));
            }
            return true;
        });
        std::vector<Answer> due;
        std::erase_if(this->answers, [this, &due](const Answer &answer) {
            const bool arrived = answer.at <= this->now;
            if (arrived) {
                due.push_back(answer);
            }
            return arrived;
        });
        for (const Answer &answer : due) {
            this->receive(answer);
        }
    }

    /** @param togglesPerSecond Hosts that stop or start again in a second. */
    void run(milliseconds duration, double togglesPerSecond)
    {
        const double seconds = std::chrono::duration<double>(step).count();
        for (const TimePoint until = this->now + duration; this->now < until; this->now += step) {
            if (this->chance(togglesPerSecond * seconds)) {
                this->toggleHost(this->pick(this->hosts.size()));
            }
            for (double left = this->demand * seconds; left > 0; left -= 1) {
                if (this->chance(left)) {
                    this->sendOne(this->pick(this->hosts.size()));
                }
            }
            this->applyLateWord();
        }
    }

    /** @return Largest number of counted requests in a window that begins noticeTime after the first naming. */
    [[nodiscard]] std::size_t mostInWindow() const
    {
        std::size_t most = 0;
        for (auto begin = this->counted.begin(); begin != this->counted.end(); ++begin) {
            if (*begin - this->namedAt >= noticeTime) {
                most = std::max(most, static_cast<std::size_t>(std::upper_bound(begin, this->counted.end(), *begin + window) - begin));
            }
        }
        return most;
    }

    [[nodiscard]] std::size_t allowed() const
    {
        return static_cast<std::size_t>(1.5 * this->limit * 4 + 5);
    }
};

} // namespace

TEST_CASE_METHOD(RateFixture, "maySend_targetWithoutLimit_isAlwaysAllowed")
{
    CHECK(maySend(this->table, target, StreamKind::Online, this->now));
    CHECK_FALSE(this->observe({}));
    CHECK(maySend(this->table, target, StreamKind::Batch, this->now));
}

TEST_CASE_METHOD(RateFixture, "maySend_onlyHost_sendsAtTheLimit")
{
    CHECK(this->observe(5.0));
    CHECK_FALSE(maySend(this->table, target, StreamKind::Online, this->now));
    const unsigned sent = this->sendAll(20s);
    CHECK(sent <= 100);
    CHECK(sent >= 95);
}

TEST_CASE_METHOD(RateFixture, "maySend_limitOfZero_onlyLooksForItsEnd")
{
    CHECK(this->observe(0.0));
    CHECK(this->sendAll(60s) <= 6);
}

// Guards against batch items that take what online requests need of a limited target.
TEST_CASE_METHOD(RateFixture, "maySend_batchItem_getsATokenThatNoOnlineRequestUsed")
{
    CHECK(this->observe(5.0));
    this->now += 200ms;
    CHECK(maySend(this->table, target, StreamKind::Online, this->now));
    CHECK_FALSE(maySend(this->table, target, StreamKind::Batch, this->now));
    this->now += this->table.settings.batchWait;
    CHECK(maySend(this->table, target, StreamKind::Batch, this->now));
    CHECK(this->sendAll(10s, StreamKind::Batch) > 10);
}

// Guards against a limit that is taken back by an answer which was under way before the limit was named.
TEST_CASE_METHOD(RateFixture, "observeAnswer_withoutLimitButSentBefore_doesNotEndTheLimit")
{
    CHECK(this->observe(5.0));
    this->now += 50ms;
    CHECK_FALSE(this->observe({}, 200ms));
    CHECK(limitOf(this->table, target));
    CHECK(this->observe({}, 20ms));
    CHECK_FALSE(limitOf(this->table, target));
}

TEST_CASE_METHOD(RateFixture, "mergeObservation_olderThanTheOwn_isIgnored")
{
    CHECK(this->observe(5.0));
    CHECK_FALSE(mergeObservation(this->table, {target, 9.0, this->now - 1s}, this->now));
    CHECK(limitOf(this->table, target) == 5.0);
    CHECK(mergeObservation(this->table, {target, {}, this->now + 1ms}, this->now + 2ms));
    CHECK_FALSE(limitOf(this->table, target));
}

TEST_CASE_METHOD(RateFixture, "maySend_hostsNotKnown_isNotAllowed")
{
    RateLimitTable unknown{.host = HostId{"h0"}};
    static_cast<void>(observeAnswer(unknown, {target, 50.0, this->now}, this->now - 1s));
    CHECK_FALSE(maySend(unknown, target, StreamKind::Online, this->now + 10s));
}

TEST_CASE_METHOD(RateFixture, "setSenders_hostBecomesASender_startsWithoutATokenOfTheTimeBefore")
{
    std::vector<HostId> many;
    for (unsigned i = 0; i < 250; ++i) {
        many.emplace_back("h" + std::to_string(i));
    }
    TargetId other;
    setSenders(this->table, many, this->now);
    for (unsigned i = 0; other.empty(); ++i) {
        const TargetId candidate{"t" + std::to_string(i)};
        other = rankOf(this->table, candidate) > std::size_t{10} ? candidate : TargetId{};
    }
    static_cast<void>(observeAnswer(this->table, {other, 1.0, this->now}, this->now - 1s));
    this->now += 60s;
    setSenders(this->table, {HostId{"h0"}}, this->now);
    CHECK_FALSE(maySend(this->table, other, StreamKind::Online, this->now));
    CHECK(maySend(this->table, other, StreamKind::Online, this->now + 1s));
}

TEST_CASE_METHOD(RateFixture, "limitsToAnnounce_limitAndItsEnd_areAnnouncedForAWhile")
{
    CHECK(this->observe(5.0));
    this->now += 1s;
    REQUIRE(limitsToAnnounce(this->table, this->now).size() == 1);
    CHECK(limitsToAnnounce(this->table, this->now).front().perSecond == 5.0);
    CHECK(this->observe({}));
    REQUIRE(limitsToAnnounce(this->table, this->now).size() == 1);
    CHECK_FALSE(limitsToAnnounce(this->table, this->now).front().perSecond);
    this->now += this->table.settings.announceTime;
    CHECK(limitsToAnnounce(this->table, this->now).empty());
}

TEST_CASE_METHOD(RateFixture, "limitsToAnnounce_onlyAnotherHostWasTold_announcesNothing")
{
    CHECK(mergeObservation(this->table, {target, 5.0, this->now}, this->now));
    CHECK(limitsToAnnounce(this->table, this->now).empty());
}

TEST_CASE_METHOD(RateFixture, "shareOf_anyNumberOfHosts_sharesSumUpToTheLimit")
{
    for (const std::size_t count : {1U, 2U, 7U, 64U, 300U}) {
        std::vector<HostId> hosts;
        for (std::size_t i = 0; i < count; ++i) {
            hosts.emplace_back("h" + std::to_string(i));
        }
        for (const double limit : {0.2, 1.0, 3.5, 40.0}) {
            double sum = 0;
            std::size_t senders = 0;
            for (const HostId &host : hosts) {
                const RateLimitTable one{.host = host, .hosts = hosts};
                const LimitShare share = shareOf(one, {.latest = {target, limit, this->now}, .rank = rankOf(one, target)});
                sum += share.sends ? share.perSecond : 0;
                senders += share.sends ? 1 : 0;
            }
            INFO("hosts " << count << " limit " << limit);
            CHECK(std::abs(sum - limit) < 1e-9);
            CHECK(senders >= std::min<std::size_t>(count, 2));
        }
    }
}

// Guards against hosts whose unused tokens add up to a burst over the limit.
TEST_CASE_METHOD(RateFixture, "maySend_allHostsSendAfterAPause_boundHolds")
{
    for (const std::size_t count : {2U, 7U, 250U}) {
        for (const double limit : {0.5, 3.0, 20.0}) {
            std::vector<HostId> hosts;
            for (std::size_t i = 0; i < count; ++i) {
                hosts.emplace_back("h" + std::to_string(i));
            }
            unsigned sent = 0;
            for (const HostId &host : hosts) {
                RateFixture one;
                one.table = RateLimitTable{.host = host};
                setSenders(one.table, hosts, one.now);
                CHECK(one.observe(limit));
                one.now += 60s;
                sent += one.sendAll(4s);
            }
            INFO("hosts " << count << " limit " << limit);
            CHECK(sent <= 1.5 * limit * 4 + 5);
            CHECK(sent >= limit * 4 * 0.75);
        }
    }
}

// Guards against many hosts that together exceed the limit of a target, each for itself or while lists of hosts differ.
TEST_CASE("limitSimulation_hostsComeAndGo_boundHolds", "[limit]")
{
    for (std::uint64_t seed = propertySeed(); seed < propertySeed() + propertyRuns(6); ++seed) {
        for (const unsigned hosts : {7U, 60U, 250U}) {
            for (const double limit : {0.5, 3.0, 20.0}) {
                LimitSimulation fleet(hosts, seed);
                fleet.limit = limit;
                fleet.demand = 8 * limit + 10;
                INFO("seed " << seed << " hosts " << hosts << " limit " << limit);
                fleet.run(25s, hosts >= 60 ? 2.0 : 0.3);
                CHECK(fleet.mostInWindow() <= fleet.allowed());
            }
        }
    }
}

TEST_CASE("limitSimulation_steadyHosts_mostOfTheLimitIsUsed", "[limit]")
{
    for (const unsigned hosts : {7U, 250U}) {
        LimitSimulation fleet(hosts, 1);
        fleet.limit = 10;
        fleet.demand = hosts * 8.0;
        fleet.run(5s, 0);
        const unsigned before = fleet.arrivals;
        fleet.run(30s, 0);
        INFO("hosts " << hosts);
        CHECK(fleet.arrivals - before >= 30 * 10 * 8 / 10);
        CHECK(fleet.mostInWindow() <= fleet.allowed());
    }
}
