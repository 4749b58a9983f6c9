/** @file test_fleet_size.cpp Tests of the bounds on the control traffic of a host. */
#include "peer/status_codec_func.h"
#include "policy/fleet_size_func.h"

#include <catch2/catch.hpp>

using namespace skylark;
using namespace std::chrono_literals;

namespace {

/** A host status with all fields set. */
struct FleetSizeFixture {
    HostStatus status;

    FleetSizeFixture()
    {
        this->status.host.value = "host-1";
        this->status.configRevision.value = 7;
        this->status.jobsCursor = 9;
        this->status.targets.push_back({.target = TargetId{"engine-1"}, .leaving = true});
        this->status.onlineInFlight.emplace_back(TargetId{"engine-1"}, 3);
        this->status.freeByModel.emplace_back(ModelId{"drafter"}, 4);
    }
};

} // namespace

// Guards against every host reading the target list at the same interval in a large fleet; the bytes would grow with hosts times targets.
TEST_CASE_METHOD(FleetSizeFixture, "hostListInterval_manyTargets_growsWithTheList")
{
    CHECK(hostListInterval(0, 2000ms) == 2000ms);
    CHECK(hostListInterval(21, 2000ms) == 2000ms);
    CHECK(hostListInterval(1700, 2000ms) == 85s);
    CHECK(hostListInterval(3400, 2000ms) == 2 * hostListInterval(1700, 2000ms));
}

// Guards against a reduced status that lacks fields which its receivers use.
TEST_CASE_METHOD(FleetSizeFixture, "reducedStatus_withinAndAcrossDomains_keepsFieldsOfReceivers")
{
    const HostStatus within = statusWithinDomain(this->status);
    CHECK(within.targets.size() == 1);
    CHECK(within.targets.front().leaving);
    CHECK(within.onlineInFlight == this->status.onlineInFlight);
    CHECK(within.freeByModel.empty());

    const HostStatus across = statusAcrossDomains(this->status);
    CHECK(across.targets.empty());
    CHECK(across.onlineInFlight.empty());
    CHECK(across.freeByModel == this->status.freeByModel);
    for (const HostStatus &part : {within, across}) {
        CHECK(part.host == this->status.host);
        CHECK(part.configRevision == this->status.configRevision);
        CHECK(part.jobsCursor == this->status.jobsCursor);
        CHECK(encodeStatus(part, TimePoint()).size() < encodeStatus(this->status, TimePoint()).size());
    }
}
