/** @file test_lost_answers.cpp Answers of the key-value service to watches that are lost, and how soon a host follows the service again. */
#include "fleet/host_entry_func.h"
#include "support/fleet_fixture.h"

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds drainLimit{2000}; ///< A leaving target gets no requests after this time.

/** A controller that follows two targets and two other hosts, and stale reads that never show anything new. */
struct LostAnswersFixture : ControllerFixture {
    LostAnswersFixture()
    {
        this->putConfig(1);
        this->putTarget("i-1", "ready");
        this->putTarget("i-2", "ready");
        this->putHost("front-2");
        this->putHost("front-3");
        this->start();
        REQUIRE(this->runUntil(
            [this] {
                return this->hasTarget("i-1", false) && this->hasTarget("i-2", false) && this->peers() == 2 && this->version() == 1;
            },
            3s));
        this->runFor(200ms); // All watches wait.
        this->freezeStaleReads();
    }

    void putHost(const std::string &name)
    {
        putKey(*this->store, hostEntryKey(HostId{name}), encodeHostEntry({HostId{name}, SessionId{"session-" + name}, DomainId{"north"}, {"127.0.0.1", 7001}}));
    }

    /** Makes stale reads return the present state from now on. */
    void freezeStaleReads()
    {
        this->store->faults.staleReadRevision = this->store->revision;
    }

    [[nodiscard]] std::size_t peers() const
    {
        return this->snapshot->peers.size();
    }

    /** The service answers nothing for @p time, while @p change happens. */
    void beSilent(std::chrono::milliseconds time, const std::function<void()> &change)
    {
        this->store->faults.silent = true;
        this->runFor(time / 2);
        change();
        this->runFor(time / 2);
        this->store->faults.silent = false;
    }

    /** Checks that the host follows targets, hosts and the configuration at once. */
    void checkFollowsAtOnce()
    {
        this->putTarget("i-2", "draining");
        this->putHost("front-4");
        this->putConfig(7);
        CHECK(this->runUntil(
            [this] {
                return this->hasTarget("i-2", true) && this->peers() >= 2 && this->version() == 7;
            },
            300ms));
    }
};

} // namespace

// Guards against a host that sends requests to a draining target, because the answer to its watch was lost while the store served it nothing (review/7).
TEST_CASE_METHOD(LostAnswersFixture, "targets_watchAnswerLostInASilence_drainIsNoticedAtOnceAfterTheReturn")
{
    this->beSilent(800ms, [this] {
        this->putTarget("i-1", "draining");
    });
    CHECK(this->runUntil(
        [this] {
            return this->hasTarget("i-1", true);
        },
        drainLimit));
    this->checkFollowsAtOnce();
}

// Guards against a host that goes on to see a lost host, whose jobs it should claim, because the answer to its watch was lost (review/6).
TEST_CASE_METHOD(LostAnswersFixture, "hosts_watchAnswerLostInASilence_removalIsNoticedAfterTheReturn")
{
    this->beSilent(800ms, [this] {
        removeKey(*this->store, hostEntryKey(HostId{"front-2"}));
    });
    CHECK(this->runUntil(
        [this] {
            return this->peers() == 1;
        },
        drainLimit));
    this->checkFollowsAtOnce();
}

TEST_CASE_METHOD(LostAnswersFixture, "configuration_watchAnswerLostInASilence_versionIsInForceAfterTheReturn")
{
    this->beSilent(800ms, [this] {
        this->putConfig(2);
    });
    CHECK(this->runUntil(
        [this] {
            return this->version() == 2;
        },
        drainLimit));
}

// Guards against calls that are paid for without a reason: each fact costs one call a watch, and refusals by the rate limit none.
TEST_CASE_METHOD(LostAnswersFixture, "watches_nothingIsLost_areNotReplaced")
{
    const unsigned before = this->store->counts.watches;
    this->runFor(1500ms);
    CHECK(this->store->counts.watches == before);
    this->beSilent(400ms, [] {
    });
    this->runFor(1500ms);
    CHECK(this->store->counts.watches <= before + 8); // Four watches, and at most as many that were sent again in the silence.
}
