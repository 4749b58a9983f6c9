/** @file test_batch_slots.cpp Tests of batch items in free slots of targets that many hosts share: preemption, and starts on counts that are out of date. */
#include "core/clock_func.h"
#include "core/hash_func.h"
#include "policy/batch_slots_func.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <numeric>

using namespace skylark;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/** A target whose load all hosts know exactly. */
struct BatchSlotFixture {
    unsigned slots{8};
    unsigned online{0};
    std::vector<unsigned> batch; ///< Batch items of each host, in the order of preemption.

    /** @return The input of host @p index. */
    [[nodiscard]] BatchSlotInput inputOf(std::size_t index) const
    {
        const auto at = this->batch.begin() + static_cast<std::ptrdiff_t>(index);
        BatchSlotInput input{.slots = this->slots, .online = this->online, .ownBatch = *at};
        input.batchBefore = std::accumulate(this->batch.begin(), at, 0U);
        input.batchAfter = std::accumulate(at + 1, this->batch.end(), 0U);
        return input;
    }
};

/** Hosts of one failure domain that start items on shared targets, and learn of one another's items after a delay of their own. */
struct SharedSlots {
    static constexpr unsigned slots = 8; ///< Slots of each target.
    static constexpr auto round = 25ms; ///< Interval at which a host looks for slots.
    static constexpr auto itemTime = 1200ms; ///< Time that an item needs on a target.

    struct Item {
        unsigned host{0};
        unsigned target{0};
        TimePoint startedAt{};
    };

    /** What a host had announced at a time. */
    struct Announcement {
        TimePoint at{};
        std::vector<unsigned> batch; ///< Running items by target.
        unsigned waiting{0};
    };

    unsigned hosts{250};
    unsigned targets{128};
    milliseconds maxDelay{600}; ///< Longest delay of a host's announcements.
    milliseconds announceDelay{650}; ///< What the hosts take this to be, with two rounds added: an item is announced in the round after its start.
    std::vector<unsigned> online; ///< Online requests on each target, which all hosts know.
    std::vector<Item> running;
    std::vector<unsigned> waiting; ///< Waiting items of each host.
    std::vector<TimePoint> waitingSince; ///< By host, while it has waiting items.
    std::vector<std::deque<Announcement>> announced; ///< By host; the newest last.
    std::vector<bool> gone; ///< Hosts that were lost with their items.
    std::map<std::pair<unsigned, unsigned>, UnclaimedSlots> unclaimed; ///< By host and target, while the host has waiting items.
    unsigned starts{0};
    unsigned finished{0};
    unsigned yielded{0};
    unsigned mostOnTarget{0}; ///< Most requests on one target at a time.
    std::uint64_t random{17};

    void create()
    {
        this->online.assign(this->targets, 0);
        this->waiting.assign(this->hosts, 0);
        this->waitingSince.assign(this->hosts, {});
        this->announced.assign(this->hosts, {});
        this->gone.assign(this->hosts, false);
    }

    [[nodiscard]] milliseconds delayOf(unsigned host) const
    {
        return milliseconds(hash64(std::to_string(host)) % static_cast<unsigned>(this->maxDelay.count() + 1));
    }

    /** @return What the other hosts know of @p host, or null. */
    [[nodiscard]] const Announcement *known(unsigned host, TimePoint now) const
    {
        const Announcement *newest = nullptr;
        for (const Announcement &announcement : this->announced[host]) {
            newest = now - announcement.at >= this->delayOf(host) ? &announcement : newest;
        }
        return newest;
    }

    void announce(TimePoint now)
    {
        for (unsigned host = 0; host < this->hosts; ++host) {
            Announcement announcement{now, std::vector<unsigned>(this->targets, 0), this->gone[host] ? 0 : this->waiting[host]};
            this->announced[host].push_back(std::move(announcement));
            if (this->announced[host].size() > 40) {
                this->announced[host].pop_front();
            }
        }
        for (const Item &item : this->running) {
            ++this->announced[item.host].back().batch[item.target];
        }
    }

    [[nodiscard]] BatchSlotInput inputOf(unsigned host, unsigned target, const std::vector<unsigned> &others, TimePoint now) const
    {
        BatchSlotInput input{.slots = slots, .online = this->online[target]};
        for (const Item &item : this->running) {
            if (item.host == host && item.target == target) {
                ++input.ownBatch;
                input.unannounced += now - item.startedAt < this->announceDelay ? 1 : 0;
            }
        }
        input.batchAfter = others[target];
        return input;
    }

    /** Lets one host start items in its share of the free slots. */
    void startOn(unsigned host, const std::vector<const Announcement *> &views, const std::vector<HostId> &claimants, TimePoint now)
    {
        if (this->waiting[host] == 0 || this->gone[host]) {
            this->waitingSince[host] = now + round;
            this->unclaimed.erase(this->unclaimed.lower_bound({host, 0}), this->unclaimed.lower_bound({host + 1, 0}));
            return;
        }
        std::vector<unsigned> others(this->targets, 0);
        for (unsigned other = 0; other < this->hosts; ++other) {
            for (unsigned target = 0; target < this->targets && other != host && views[other] != nullptr; ++target) {
                others[target] += views[other]->batch[target];
            }
        }
        std::vector<HostId> rivals;
        std::copy_if(claimants.begin(), claimants.end(), std::back_inserter(rivals), [host](const HostId &id) {
            return id.value != "h" + std::to_string(host);
        });
        std::vector<BatchSlotOffer> offers;
        for (unsigned target = 0; target < this->targets; ++target) {
            const BatchSlotInput input = this->inputOf(host, target, others, now);
            if (freeSlots(input) == 0) {
                this->unclaimed.erase({host, target});
                continue;
            }
            const TargetId id{std::to_string(target)};
            const HostId self{"h" + std::to_string(host)};
            const BatchClaim claim{.claimants = static_cast<unsigned>(rivals.size()) + 1,
                                   .rank = claimRank(id, self, rivals),
                                   .waitingFor = std::chrono::duration_cast<milliseconds>(now - this->waitingSince[host]),
                                   .announceDelay = this->announceDelay,
                                   .freeFor = timeUnclaimed(this->unclaimed[{host, target}], input.ownBatch + input.batchAfter, now),
                                   .claimStep = 4 * this->announceDelay};
            offers.push_back(makeSlotOffer(id, self, batchItemsToStart(input, claim), true));
        }
        while (this->waiting[host] > 0 && !offers.empty()) {
            BatchSlotOffer &best = *std::max_element(offers.begin(), offers.end(), [](const auto &left, const auto &right) {
                return isBetterOffer(right, left);
            });
            if (best.items == 0) {
                break;
            }
            this->running.push_back({host, static_cast<unsigned>(std::stoul(best.target.value)), now});
            --best.items;
            --this->waiting[host];
            ++this->starts;
        }
    }

    /** Preempts the newest items beyond the slots of each target. */
    void yieldExcess()
    {
        std::vector<unsigned> used = this->online;
        for (const Item &item : this->running) {
            ++used[item.target];
        }
        this->mostOnTarget = std::max(this->mostOnTarget, *std::max_element(used.begin(), used.end()));
        for (std::size_t i = this->running.size(); i-- > 0;) {
            const Item item = this->running[i];
            if (used[item.target] > slots) {
                --used[item.target];
                ++this->waiting[item.host];
                ++this->yielded;
                this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(i));
            }
        }
    }

    void finishItems(TimePoint now)
    {
        this->finished += static_cast<unsigned>(std::erase_if(this->running, [now](const Item &item) {
            return now - item.startedAt >= itemTime;
        }));
    }

    void playRound(TimePoint now)
    {
        this->finishItems(now);
        this->announce(now);
        std::vector<const Announcement *> views;
        std::vector<HostId> claimants;
        for (unsigned host = 0; host < this->hosts; ++host) {
            views.push_back(this->known(host, now));
            if (views.back() != nullptr && views.back()->waiting > 0) {
                claimants.emplace_back("h" + std::to_string(host));
            }
        }
        for (unsigned host = 0; host < this->hosts; ++host) {
            this->startOn(host, views, claimants, now);
        }
        this->yieldExcess();
    }

    /** Jobs of ten items arrive at random hosts. @param jobGap Time between two jobs. */
    void play(std::chrono::seconds length, milliseconds jobGap)
    {
        TimePoint nextJob{};
        for (TimePoint now{}; now < TimePoint{} + length; now += round) {
            for (; nextJob <= now; nextJob += jobGap) {
                this->waiting[nextRandom(this->random) % this->hosts] += 10;
            }
            this->playRound(now);
        }
    }
};

} // namespace

// Property: hosts with the same counts together cancel exactly the excess of batch items, no more and no less.
TEST_CASE_METHOD(BatchSlotFixture, "batchItemsToYield_sameCountsOnAllHosts_totalEqualsExcess")
{
    std::uint64_t random = 5;
    for (unsigned round = 0; round < 20000; ++round) {
        this->online = static_cast<unsigned>(nextRandom(random) % 12);
        this->batch.assign(1 + nextRandom(random) % 7, 0);
        unsigned all = 0;
        for (unsigned &count : this->batch) {
            count = static_cast<unsigned>(nextRandom(random) % 4);
            all += count;
        }
        unsigned cancelled = 0;
        for (std::size_t i = 0; i < this->batch.size(); ++i) {
            cancelled += batchItemsToYield(this->inputOf(i));
        }
        const unsigned excess = this->online + all > this->slots ? this->online + all - this->slots : 0;
        REQUIRE(cancelled == std::min(excess, all));
    }
}

// Guards against hosts that all start an item in the same free slot: 250 hosts whose counts of one another are up to 600 ms old.
TEST_CASE_METHOD(SharedSlots, "batchItemsToStart_manyHostsWithOldCounts_startEachItemAboutOnce")
{
    this->create();
    std::fill(this->online.begin(), this->online.end(), 5U);
    this->play(20s, 50ms);
    CHECK(this->finished >= 3000);
    CHECK(this->starts <= 1.05 * (this->finished + this->running.size()));
    CHECK(this->mostOnTarget <= slots + 1);
}

// Guards against slots that stay empty because the hosts that rank first are gone but still counted as waiting.
TEST_CASE_METHOD(SharedSlots, "batchItemsToStart_halfOfTheHostsGone_othersFillTheSlots")
{
    this->hosts = 40;
    this->targets = 10;
    this->maxDelay = 100ms;
    this->announceDelay = 100ms;
    this->create();
    std::fill(this->online.begin(), this->online.end(), 7U);
    for (unsigned host = 0; host < this->hosts; ++host) {
        this->waiting[host] = 10;
    }
    this->announce(TimePoint{});
    for (unsigned host = 0; host < this->hosts; host += 2) {
        this->gone[host] = true;
    }
    for (TimePoint now = TimePoint{} + 200ms; now < TimePoint{} + 3s; now += round) {
        const std::vector<HostId> claimants = [this] {
            std::vector<HostId> all;
            for (unsigned host = 0; host < this->hosts; ++host) {
                all.emplace_back("h" + std::to_string(host));
            }
            return all;
        }();
        this->announce(now);
        std::vector<const Announcement *> views;
        for (unsigned host = 0; host < this->hosts; ++host) {
            views.push_back(this->known(host, now));
        }
        for (unsigned host = 0; host < this->hosts; ++host) {
            this->startOn(host, views, claimants, now);
        }
        this->yieldExcess();
    }
    CHECK(this->running.size() == this->targets);
}

TEST_CASE_METHOD(BatchSlotFixture, "batchItemsToStart_onlyClaimant_takesAllFreeSlots")
{
    this->batch = {2, 3};
    this->online = 1;
    CHECK(batchItemsToStart(this->inputOf(0), {}) == 2);
}

// Property: hosts with the same counts and ranks together start exactly as many items as there are free slots.
TEST_CASE_METHOD(BatchSlotFixture, "batchItemsToStart_sameCountsOnAllHosts_totalEqualsFreeSlots")
{
    std::uint64_t random = 9;
    for (unsigned round = 0; round < 20000; ++round) {
        this->online = static_cast<unsigned>(nextRandom(random) % 10);
        this->batch.assign(1 + nextRandom(random) % 12, 0);
        const auto claimants = static_cast<unsigned>(this->batch.size());
        unsigned started = 0;
        for (unsigned rank = 0; rank < claimants; ++rank) {
            // Each start is counted by its own host at once, and by the others only after all have decided.
            BatchSlotInput input{.slots = this->slots, .online = this->online};
            const unsigned items = batchItemsToStart(input, {.claimants = claimants, .rank = rank});
            input.ownBatch = items;
            input.unannounced = items;
            REQUIRE(batchItemsToStart(input, {.claimants = claimants, .rank = rank}) == 0);
            started += items;
        }
        REQUIRE(started == (this->online >= this->slots ? 0 : this->slots - this->online));
    }
}

TEST_CASE("slotsReservedForDomain_waitingItems_leaveOnlyTheRest", "[slots]")
{
    CHECK(slotsReservedForDomain(4, {.freeSlots = 40, .waitingItems = 0}, 0ms) == 0);
    CHECK(slotsReservedForDomain(4, {.freeSlots = 40, .waitingItems = 20}, 0ms) == 2);
    CHECK(slotsReservedForDomain(4, {.freeSlots = 40, .waitingItems = 1}, 0ms) == 1);
    CHECK(slotsReservedForDomain(4, {.freeSlots = 40, .waitingItems = 90}, 0ms) == 4);
}

// Guards against slots that stay empty for hosts that cannot use them, such as hosts that avoid the target after failures of their own.
TEST_CASE("slotsReservedForDomain_slotsLeftUnused_passToOtherDomains", "[slots]")
{
    CHECK(slotsReservedForDomain(4, {.freeSlots = 40, .waitingItems = 90}, 900ms) == 4);
    CHECK(slotsReservedForDomain(4, {.freeSlots = 40, .waitingItems = 90}, 1000ms) == 0);
}
