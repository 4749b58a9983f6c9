/** @file test_items.cpp Tests of the order of batch work and the retries of items. */
#include "policy/batch_order_func.h"
#include "policy/item_attempt_func.h"
#include "support/property_func.h"

#include <limits>
#include <set>

using namespace skylark;
using namespace std::chrono_literals;

namespace {

struct ItemFixture {
    ItemHistory history; ///< History of the item under test.

    AttemptDecision fail(const std::string &target, ErrorCode code, bool ended = false)
    {
        AttemptDecision decision = nextAttempt(this->history, {TargetId{target}, code, ended}, 4);
        this->history = decision.history;
        return decision;
    }
};

struct OrderFixture {
    UnixTime now{1000000s};

    [[nodiscard]] JobDemand job(const std::string &id, std::chrono::seconds due, std::uint64_t left = 0, double share = 1.0) const
    {
        return {JobId{id}, share, this->now + due, this->now, left};
    }
};

} // namespace

TEST_CASE_METHOD(ItemFixture, "nextAttempt_targetRejectsItem_failsAtOnce")
{
    const AttemptDecision decision = this->fail("a", ErrorCode::TargetRejected);
    CHECK(decision.action == AttemptAction::Fail);
    CHECK(decision.failure == ErrorCode::TargetRejected);
}

TEST_CASE_METHOD(ItemFixture, "nextAttempt_fourFailedAnswers_exhaustsAttempts")
{
    CHECK(this->fail("a", ErrorCode::TargetFailed).action == AttemptAction::Retry);
    CHECK(this->fail("b", ErrorCode::ProtocolError).action == AttemptAction::Retry);
    CHECK(this->fail("c", ErrorCode::TargetFailed).action == AttemptAction::Retry);
    const AttemptDecision last = this->fail("d", ErrorCode::TargetFailed);
    CHECK(last.action == AttemptAction::Fail);
    CHECK(last.failure == ErrorCode::AttemptsExhausted);
}

// Guards against an item that is given up because targets gave no answer to it.
TEST_CASE_METHOD(ItemFixture, "nextAttempt_targetsGiveNoAnswer_countsNoAttempt")
{
    for (int i = 0; i < 20; ++i) {
        CHECK(this->fail("a", ErrorCode::StreamBroken).action == AttemptAction::Retry);
        CHECK(this->fail("b", ErrorCode::IdleTimeout).action == AttemptAction::Retry);
        CHECK(this->fail("c", ErrorCode::FirstByteTimeout).action == AttemptAction::Retry);
        CHECK(this->fail("d", ErrorCode::ResponseMismatch).action == AttemptAction::Retry);
    }
    CHECK(this->fail("a", ErrorCode::TargetFailed).action == AttemptAction::Retry);
    CHECK(this->fail("b", ErrorCode::TargetFailed).action == AttemptAction::Retry);
    CHECK(this->fail("c", ErrorCode::TargetFailed).action == AttemptAction::Retry);
    CHECK(this->fail("d", ErrorCode::TargetFailed).failure == ErrorCode::AttemptsExhausted);
}

// Guards against a valid item that exhausts its attempts because it was preempted, or because targets were full or unreachable.
TEST_CASE_METHOD(ItemFixture, "nextAttempt_preemptedOrNotRun_countsNoAttempt")
{
    for (int i = 0; i < 20; ++i) {
        CHECK(this->fail("a", ErrorCode::Cancelled).action == AttemptAction::Retry);
        CHECK(this->fail("a", ErrorCode::TargetOverloaded).action == AttemptAction::Retry);
        CHECK(this->fail("a", ErrorCode::ConnectFailed).action == AttemptAction::Retry);
    }
    CHECK(this->history.failures == 0);
}

// Guards against an item that is given up because targets ended while it ran on them.
TEST_CASE_METHOD(ItemFixture, "nextAttempt_manyTargetsEnd_itemIsStillOwedAndRunsAlone")
{
    for (int i = 0; i < 40; ++i) {
        CHECK(this->fail(std::to_string(i), ErrorCode::StreamBroken, true).action == AttemptAction::RetryAlone);
    }
    CHECK(this->fail("x", ErrorCode::TargetFailed).action == AttemptAction::RetryAlone);
    CHECK(this->history.failures == 1);
}

// Guards against an item under which one target after the other ends in quick succession.
TEST_CASE_METHOD(ItemFixture, "nextAttempt_targetsEndOneAfterTheOther_delayGrowsToItsLimit")
{
    std::chrono::milliseconds last{0};
    unsigned endsInOneMinute = 0;
    std::chrono::milliseconds elapsed{0};
    for (int i = 0; i < 40; ++i) {
        endsInOneMinute += elapsed < 1min ? 1 : 0;
        const std::chrono::milliseconds delay = this->fail(std::to_string(i), ErrorCode::StreamBroken, true).delay;
        CHECK(delay >= last);
        CHECK(delay >= 1s);
        CHECK(delay <= 30s);
        last = delay;
        elapsed += delay;
    }
    CHECK(endsInOneMinute <= 6);
    CHECK(this->fail("x", ErrorCode::Cancelled).delay == 0ms);
    CHECK(interruptionDelay(0) == 0ms);
    CHECK(interruptionDelay(std::numeric_limits<unsigned>::max()) == last);
}

TEST_CASE_METHOD(ItemFixture, "mayTryTarget_triedTarget_onlyWhenAllWereTried")
{
    this->fail("a", ErrorCode::TargetFailed);
    CHECK_FALSE(mayTryTarget(this->history, TargetId{"a"}, {TargetId{"a"}, TargetId{"b"}}));
    CHECK(mayTryTarget(this->history, TargetId{"b"}, {TargetId{"a"}, TargetId{"b"}}));
    CHECK(mayTryTarget(this->history, TargetId{"a"}, {TargetId{"a"}}));
}

TEST_CASE("nextAttempt_anyFailures_onlyAnswersEndTheItem")
{
    const std::vector<ErrorCode> codes{ErrorCode::Cancelled,
                                       ErrorCode::TargetOverloaded,
                                       ErrorCode::StreamBroken,
                                       ErrorCode::TargetFailed,
                                       ErrorCode::IdleTimeout,
                                       ErrorCode::ResponseMismatch,
                                       ErrorCode::TargetRejected};
    CHECK(propertyHolds({.name = "only answers end an item", .cases = 300}, [&codes] {
        ItemHistory history;
        const auto maxAttempts = *rc::gen::inRange(1U, 7U);
        unsigned answered = 0;
        bool anyEnded = false;
        for (int step = 0; step < 60; ++step) {
            const ErrorCode code = codes[*rc::gen::inRange<std::size_t>(0, codes.size())];
            const bool ended = (code == ErrorCode::StreamBroken || code == ErrorCode::IdleTimeout) && *rc::gen::arbitrary<bool>();
            const AttemptDecision decision = nextAttempt(history, {TargetId{std::to_string(step)}, code, ended}, maxAttempts);
            const bool answer = code == ErrorCode::TargetFailed || code == ErrorCode::TargetRejected;
            answered += answer ? 1 : 0;
            anyEnded = anyEnded || ended;
            RC_ASSERT(decision.history.failures == answered);
            RC_ASSERT(answered <= maxAttempts);
            const bool mustFail = code == ErrorCode::TargetRejected || (answer && answered == maxAttempts);
            RC_ASSERT((decision.action == AttemptAction::Fail) == mustFail);
            if (mustFail) {
                return;
            }
            RC_ASSERT((decision.action == AttemptAction::RetryAlone) == anyEnded);
            RC_ASSERT((decision.delay > 0ms) == (decision.history.interruptions > history.interruptions));
            history = decision.history;
        }
    }));
}

TEST_CASE_METHOD(OrderFixture, "orderJobs_lessSlack_comesFirst")
{
    const std::vector<JobDemand> jobs{this->job("late", 1000s), this->job("soon", 500s)};
    CHECK(orderJobs(jobs, this->now, 0) == std::vector<std::size_t>{1, 0});
    const std::vector<JobDemand> large{this->job("late", 1000s, 900), this->job("soon", 500s, 10)};
    CHECK(orderJobs(large, this->now, 1.0) == std::vector<std::size_t>{0, 1});
}

TEST_CASE_METHOD(OrderFixture, "orderJobs_largerShare_comesFirstAtEqualSlack")
{
    const std::vector<JobDemand> jobs{this->job("small", 1000s, 0, 1.0), this->job("large", 1000s, 0, 3.0)};
    CHECK(orderJobs(jobs, this->now, 0) == std::vector<std::size_t>{1, 0});
    const std::vector<JobDemand> overdue{this->job("small", -10s, 0, 1.0), this->job("large", -10s, 0, 3.0)};
    CHECK(orderJobs(overdue, this->now, 0) == std::vector<std::size_t>{1, 0});
}

TEST_CASE_METHOD(OrderFixture, "isDueAtRisk_rateTooLow_isReported")
{
    CHECK(isDueAtRisk(this->now + 10s, this->now, 100, 5.0));
    CHECK_FALSE(isDueAtRisk(this->now + 30s, this->now, 100, 5.0));
    CHECK_FALSE(isDueAtRisk(this->now - 10s, this->now, 0, 5.0));
    CHECK(isDueAtRisk(this->now - 10s, this->now, 1, 0.0));
}

TEST_CASE("groupClaimOrder_anyHostAndJob_containsEachGroupOnce")
{
    CHECK(propertyHolds({.name = "claim order is a permutation", .cases = 300}, [] {
        const HostId host{std::to_string(*rc::gen::inRange(0, 1000))};
        const JobId job{std::to_string(*rc::gen::inRange(0, 1000))};
        const auto count = *rc::gen::inRange(0U, 300U);
        const auto order = groupClaimOrder(host, job, count);
        const std::set<std::uint32_t> seen(order.begin(), order.end());
        RC_ASSERT(order.size() == count);
        RC_ASSERT(seen.size() == count);
        RC_ASSERT((seen.empty() || *seen.rbegin() == count - 1));
        RC_ASSERT(order == groupClaimOrder(host, job, count));
    }));
    CHECK(groupClaimOrder(HostId{"a"}, JobId{"j"}, 100) != groupClaimOrder(HostId{"b"}, JobId{"j"}, 100));
}

// Guards against claims of the same group by several hosts; each conflict costs a write to the key-value service.
TEST_CASE("movePreferredGroupsFirst_allHosts_eachGroupIsPreferredByExactlyOne")
{
    const std::vector<HostId> hosts{HostId{"a"}, HostId{"b"}, HostId{"c"}, HostId{"d"}};
    const JobId job{"j"};
    std::multiset<std::uint32_t> first;
    for (const HostId &host : hosts) {
        auto claimOrder = groupClaimOrder(host, job, 200);
        const std::size_t preferred = movePreferredGroupsFirst(claimOrder, host, hosts, job);
        first.insert(claimOrder.begin(), claimOrder.begin() + static_cast<std::ptrdiff_t>(preferred));
        CHECK(std::set<std::uint32_t>(claimOrder.begin(), claimOrder.end()).size() == 200);
    }
    CHECK(first.size() == 200);
    CHECK(std::set<std::uint32_t>(first.begin(), first.end()).size() == 200);
}
