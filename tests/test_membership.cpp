/** @file test_membership.cpp Tests of host liveness and rendezvous ownership. */
#include "policy/membership_func.h"
#include "support/property_func.h"

#include <algorithm>
#include <random>
#include <set>

using namespace skylark;
using namespace std::chrono_literals;

namespace {

/** Membership view of hosts in two failure domains; the first letter of a host's id is its domain. */
struct MembershipFixture {
    MembershipView view;
    MembershipIntervals intervals{DomainId{"a"}, 500ms, 4000ms};
    TimePoint start{1000s}; ///< Time of the first datagram.

    static HostStatus statusOf(const std::string &host, std::uint64_t incarnation, std::uint64_t sequence, bool leaving = false)
    {
        HostStatus status;
        status.host.value = host;
        status.domain.value = host.substr(0, 1);
        status.session.value = host + "-" + std::to_string(incarnation);
        status.incarnation = incarnation;
        status.sequence = sequence;
        status.leaving = leaving;
        return status;
    }

    StatusEffect observe(const std::string &host, std::uint64_t incarnation, std::uint64_t sequence, TimePoint now)
    {
        return observeStatus(this->view, statusOf(host, incarnation, sequence), now);
    }

    std::vector<MemberChange> expire(std::chrono::milliseconds after)
    {
        return expireHosts(this->view, this->start + after, this->intervals);
    }

    [[nodiscard]] HostState state(const std::string &host) const
    {
        return hostState(this->view, HostId{host});
    }
};

std::vector<HostId> hostIds(const std::set<int> &numbers)
{
    std::vector<HostId> ids;
    ids.reserve(numbers.size());
    for (const int number : numbers) {
        ids.push_back(HostId{"host-" + std::to_string(number)});
    }
    return ids;
}

std::set<int> generateHosts()
{
    return *rc::gen::nonEmpty(rc::gen::container<std::set<int>>(rc::gen::inRange(0, 40)));
}

} // namespace

// Guards against a host that is declared dead too early or too late because the interval of the wrong failure domain is used.
TEST_CASE_METHOD(MembershipFixture, "expireHosts_missedIntervals_suspectThenDead")
{
    CHECK(state("a1") == HostState::Unknown);
    CHECK(observe("a1", 1, 1, this->start) == StatusEffect::Joined);
    CHECK(observe("b1", 1, 1, this->start) == StatusEffect::Joined);
    CHECK(expire(1999ms).empty());
    CHECK(expire(2000ms).size() == 1);
    CHECK(state("a1") == HostState::Suspect);
    CHECK(expire(3999ms).empty());
    const auto died = expire(4000ms);
    REQUIRE(died.size() == 1);
    CHECK((died[0].host.value == "a1" && died[0].before == HostState::Suspect && died[0].after == HostState::Dead));
    CHECK(state("b1") == HostState::Live);
    expire(16s);
    CHECK(state("b1") == HostState::Suspect);
    expire(32s);
    CHECK(state("b1") == HostState::Dead);
}

// Guards against a restarted or silent host that stays dead, and against a late datagram of a former incarnation that replaces the current status.
TEST_CASE_METHOD(MembershipFixture, "observeStatus_newerIncarnation_wins")
{
    observe("a1", 5, 100, this->start);
    expire(4s);
    CHECK(observe("a1", 5, 101, this->start + 5s) == StatusEffect::Updated);
    CHECK(state("a1") == HostState::Live);
    CHECK(observe("a1", 6, 1, this->start + 6s) == StatusEffect::Joined);
    CHECK(observe("a1", 5, 102, this->start + 7s) == StatusEffect::Ignored);
    CHECK(observe("a1", 6, 1, this->start + 7s) == StatusEffect::Ignored);
    CHECK(this->view.members.at(HostId{"a1"}).status.session.value == "a1-6");
    CHECK(this->view.members.at(HostId{"a1"}).heardAt == this->start + 6s);
}

// Guards against a leaving host that is live again after a reordered datagram, or that never becomes dead.
TEST_CASE_METHOD(MembershipFixture, "observeStatus_leaving_staysLeavingUntilDead")
{
    observe("a1", 1, 1, this->start);
    observeStatus(this->view, statusOf("a1", 1, 3, true), this->start);
    CHECK(observe("a1", 1, 2, this->start) == StatusEffect::Ignored);
    CHECK(state("a1") == HostState::Leaving);
    CHECK(expire(3s).empty());
    expire(4s);
    CHECK(state("a1") == HostState::Dead);
}

// Guards against a host that is ignored forever because its wall clock was set back while it was down, so that its new incarnation is lower.
TEST_CASE_METHOD(MembershipFixture, "expireHosts_longDead_removedAndAcceptedAgain")
{
    observe("a1", 9, 1, this->start);
    expire(39s);
    CHECK(observe("a1", 8, 1, this->start + 39s) == StatusEffect::Ignored);
    const auto changes = expire(40s);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].after == HostState::Unknown);
    CHECK(observe("a1", 8, 1, this->start + 41s) == StatusEffect::Joined);
}

// Guards against views that differ permanently because datagrams were reordered, duplicated or lost.
TEST_CASE_METHOD(MembershipFixture, "observeStatus_anyOrderAndDuplicates_sameOutcome")
{
    REQUIRE(propertyHolds({.seed = 11, .cases = 300}, [this] {
        const auto statuses = *rc::gen::container<std::vector<std::tuple<int, int, int, bool>>>(
            rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 3), rc::gen::inRange(0, 5), rc::gen::arbitrary<bool>()));
        // One incarnation sends one content for each sequence.
        std::map<std::tuple<int, int, int>, bool> sent;
        for (const auto &[host, incarnation, sequence, leaving] : statuses) {
            sent.try_emplace({host, incarnation, sequence}, leaving);
        }
        std::vector<HostStatus> messages;
        for (const auto &[key, leaving] : sent) {
            const auto &[host, incarnation, sequence] = key;
            messages.push_back(statusOf("a" + std::to_string(host), static_cast<std::uint64_t>(incarnation), static_cast<std::uint64_t>(sequence), leaving));
        }
        MembershipView ordered;
        for (const HostStatus &message : messages) {
            observeStatus(ordered, message, this->start);
        }
        std::vector<HostStatus> shuffled = messages;
        const auto repeated = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        for (const int index : repeated) {
            if (!messages.empty()) {
                shuffled.push_back(messages[static_cast<std::size_t>(index) % messages.size()]);
            }
        }
        std::uint64_t random = *rc::gen::arbitrary<std::uint64_t>();
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937_64(random));
        MembershipView mixed;
        for (const HostStatus &message : shuffled) {
            observeStatus(mixed, message, this->start);
        }
        RC_ASSERT(mixed.members.size() == ordered.members.size());
        for (const auto &[host, member] : ordered.members) {
            const MemberRecord &other = mixed.members.at(host);
            RC_ASSERT(other.status.incarnation == member.status.incarnation);
            RC_ASSERT(other.status.sequence == member.status.sequence);
            RC_ASSERT(other.state == member.state);
        }
    }));
}

// Guards against targets that change owner although their owner stayed: each such change interrupts batch work of a healthy host on a healthy target.
TEST_CASE_METHOD(MembershipFixture, "batchOwner_hostsJoinOrLeave_onlyTheirTargetsMove")
{
    REQUIRE(propertyHolds({.seed = 12, .cases = 300}, [] {
        const std::set<int> before = generateHosts();
        const std::set<int> after = generateHosts();
        for (int i = 0; i < 30; ++i) {
            const TargetId target{"target-" + std::to_string(i)};
            const HostId first = *batchOwner(target, hostIds(before));
            const HostId second = *batchOwner(target, hostIds(after));
            const auto has = [](const std::set<int> &numbers, const HostId &host) {
                return numbers.contains(std::stoi(host.value.substr(5)));
            };
            RC_ASSERT((first == second || !has(after, first) || !has(before, second)));
        }
    }));
}

// Guards against hosts that rank differently because their host lists are in different orders.
TEST_CASE_METHOD(MembershipFixture, "ranking_anyOrderOfHosts_sameOutcome")
{
    REQUIRE(propertyHolds({.seed = 13, .cases = 200}, [] {
        const std::vector<HostId> hosts = hostIds(generateHosts());
        std::vector<HostId> shuffled = hosts;
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
        RC_ASSERT(rankHosts("subject", hosts) == rankHosts("subject", shuffled));
        const auto watchers = configWatchers(DomainId{"a"}, shuffled);
        RC_ASSERT(watchers == configWatchers(DomainId{"a"}, hosts));
        RC_ASSERT(watchers.size() == std::min<std::size_t>(hosts.size(), 2));
    }));
}

// Guards Promise::DurableAck (P10): the two replicas of a blob must be in different failure domains, and only on hosts with a disk.
TEST_CASE_METHOD(MembershipFixture, "blobPlacement_anyHosts_differentDomainsWithDisks")
{
    REQUIRE(propertyHolds({.seed = 14, .cases = 300}, [] {
        std::vector<HostInfo> hosts;
        std::set<DomainId> diskDomains;
        for (const int number : generateHosts()) {
            HostInfo host;
            host.id.value = "host-" + std::to_string(number);
            host.domain.value = std::to_string(*rc::gen::inRange(0, 3));
            host.hasDisk = *rc::gen::arbitrary<bool>();
            if (host.hasDisk) {
                diskDomains.insert(host.domain);
            }
            hosts.push_back(host);
        }
        const auto ranked = rankBlobHosts(BlobId{"job/1/input/x"}, hosts);
        const auto placement = blobPlacement(ranked);
        RC_ASSERT(placement.size() == std::min<std::size_t>(diskDomains.size(), 2));
        RC_ASSERT((placement.empty() || placement.front().id == ranked.front().id));
        RC_ASSERT((placement.size() < 2 || placement[0].domain != placement[1].domain));
        for (const HostInfo &host : placement) {
            RC_ASSERT(host.hasDisk);
        }
    }));
}

// Guards against an uneven distribution in which one host owns most targets.
TEST_CASE_METHOD(MembershipFixture, "batchOwner_manyTargets_spreadOverHosts")
{
    std::map<HostId, int> owned;
    const std::vector<HostId> hosts = hostIds({1, 2, 3, 4, 5});
    for (int i = 0; i < 1000; ++i) {
        ++owned[*batchOwner(TargetId{"target-" + std::to_string(i)}, hosts)];
    }
    REQUIRE(owned.size() == 5);
    for (const auto &[host, count] : owned) {
        CHECK((count > 140 && count < 260));
    }
    CHECK(!batchOwner(TargetId{"target"}, {}));
}

// Guards against status traffic beyond the budget of 9 KB/s per host, and against a host of another failure domain that never receives a status.
TEST_CASE_METHOD(MembershipFixture, "statusSchedule_domainSizes_boundedAndComplete")
{
    CHECK(statusInterval(3, 500ms, 90ms) == 500ms);
    CHECK(statusInterval(33, 500ms, 90ms) == 2970ms);
    CHECK(crossDomainInterval(2s, 3) == 6s);
    const std::vector<HostId> hosts = hostIds({1, 2, 3});
    std::set<HostId> receivers;
    for (std::uint64_t round = 7; round < 10; ++round) {
        receivers.insert(*crossDomainReceiver(HostId{"a1"}, hosts, round));
    }
    CHECK(receivers.size() == 3);
    CHECK(!crossDomainReceiver(HostId{"a1"}, {}, 1));
}
