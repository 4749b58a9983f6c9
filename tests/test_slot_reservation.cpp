/** @file test_slot_reservation.cpp Free slots of targets while items of another
 * service wait at hosts of the targets' failure domain. */
#include "peer/status_codec_func.h"
#include "support/entry_fixture.h"

#include <boost/json.hpp>

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

/** A host in the failure domain north with items for a target in the domain
 * south, where another host announces items of its own. */
struct ReservationFixture : EntryFixture {
    Replica &replica{this->addReplica("i-south")};
    EntryTestHost host{*this, "front-1"};
    std::uint64_t sequence{0};

    ReservationFixture()
    {
        this->targets->at(TargetId{"i-south"}).domain.value = "south";
        this->replica.plan = [](const HttpRequest & /*request*/, unsigned /*number*/) {
            return ReplicaPlan{.events = 2, .step = 1ms};
        };
        this->host.publish({SessionId{"session-front-1"}});
    }

    /** Makes the other host announce waiting items. */
    void announce(unsigned items, std::vector<std::pair<ServiceId, unsigned>> byService)
    {
        HostStatus status;
        status.host.value = "front-2";
        status.domain.value = "south";
        status.session.value = "session-front-2";
        status.incarnation = 1;
        status.sequence = ++this->sequence;
        status.batchWaiting = items;
        status.batchWaitingByService = std::move(byService);
        applyStatus(this->host.proxy->loadTracker, status, BootClock::now());
    }

    void submit()
    {
        HttpRequest request = EntryTestHost::request("j1", "/batch/j1");
        request.body = R"({"items":[{"id":"item-1","path":"/batch/1","headers":{},"body":"","tokens":1}]})";
        const HttpResponse answer = this->host.send(std::move(request));
        REQUIRE(answer.status == 202);
    }

    /** Announces again and again until the item has been run. @return How long
     * that took; @p limit if it was not run until then. */
    std::chrono::milliseconds timeToRun(unsigned items, const std::vector<std::pair<ServiceId, unsigned>> &byService, std::chrono::milliseconds limit)
    {
        const TimePoint begun = BootClock::now();
        this->announce(items, byService);
        this->submit();
        while (this->replica.runs.empty() && BootClock::now() - begun < limit) {
            this->announce(items, byService);
            this->runFor(20ms);
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - begun);
    }
};

} // namespace

// Guards against items that wait while their service's target is idle, because
// its slots are kept for items of another service that has lost all its targets
// (review/1).
TEST_CASE_METHOD(ReservationFixture, "slots_itemsOfAnotherServiceWaitInTheDomain_areNotReservedForThem")
{
    CHECK(this->timeToRun(200, {{ServiceId{"lost"}, 200}}, 5s) < 900ms);
}

// Guards against items that take the slots of a target away from the hosts of
// its failure domain, whose items it can run.
TEST_CASE_METHOD(ReservationFixture, "slots_itemsOfTheServiceWaitInTheDomain_areReservedForAWhile")
{
    CHECK(this->timeToRun(200, {{ServiceId{"lost"}, 100}, {ServiceId{"llm"}, 100}}, 5s) > 900ms);
}

// Guards against slots that stay empty although the hosts for which they are
// kept do not use them; a host of an earlier version does not tell its services
// apart.
TEST_CASE_METHOD(ReservationFixture, "slots_reservedButLeftUnused_passToOtherDomains")
{
    CHECK(this->timeToRun(200, {}, 10s) < 5s);
}

// Guards against a datagram that loses the services of the waiting items, or
// that a host of an earlier version cannot read.
TEST_CASE("statusDatagram_waitingItemsByService_areKept", "[peer]")
{
    HostStatus status;
    status.host.value = "front-2";
    status.batchWaiting = 5;
    status.batchWaitingByService = {{ServiceId{"day"}, 2}, {ServiceId{"night"}, 3}};
    const TimePoint now = BootClock::now();
    const auto read = decodeDatagram(encodeStatus(status, now), now);
    REQUIRE(isOk(read));
    const auto &decoded = std::get<HostStatus>(valueOf(read));
    CHECK(decoded.batchWaiting == 5);
    CHECK(decoded.batchWaitingByService == status.batchWaitingByService);
}
