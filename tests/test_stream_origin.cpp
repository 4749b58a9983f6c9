/** @file test_stream_origin.cpp What hosts and the key-value service know of the software versions that began streams. */
#include "entry/origin_upkeep_func.h"
#include "fleet/stored_origins_func.h"
#include "fleet/version_registry_func.h"
#include "policy/stream_origin_func.h"
#include "proxy/origin_table_base.h"
#include "support/fleet_fixture.h"

#include <catch2/catch.hpp>

using namespace skylark;
using namespace skylark::test;

namespace {

const ServiceVersion v1{ServiceId{"s"}, SoftwareVersion{"v1"}};
const ServiceVersion v2{ServiceId{"s"}, SoftwareVersion{"v2"}};
const ServiceVersion other{ServiceId{"t"}, SoftwareVersion{"v2"}};
const std::vector<ServiceId> services{v1.service};

/** Hosts of three failure domains. */
std::vector<RecordKeeper> makeHosts(unsigned count)
{
    std::vector<RecordKeeper> hosts;
    for (unsigned i = 0; i < count; ++i) {
        hosts.push_back({HostId{"h" + std::to_string(i)}, DomainId{"d" + std::to_string(i % 3)}});
    }
    return hosts;
}

/** A fleet controller, and a host's records of streams in the same store. */
struct OriginStoreFixture : ControllerFixture {
    std::shared_ptr<Proxy> proxy{std::make_shared<Proxy>()};
    std::shared_ptr<OriginUpkeep> upkeep;

    OriginStoreFixture()
    {
        this->proxy->fleet = std::make_shared<const FleetSnapshot>();
        this->upkeep = std::make_shared<OriginUpkeep>(OriginUpkeep{this->proxy, this->calls, SessionId{"session-1"}});
    }

    void putVersion(const std::string &id, const std::string &version)
    {
        standin::putKey(*this->store, "servers/" + id, boost::json::serialize(targetEntryWith("version", boost::json::string(version))));
    }

    [[nodiscard]] bool isListed(const ServiceVersion &version) const
    {
        return this->snapshot->listedVersions && this->snapshot->listedVersions->contains(version);
    }

    /** Makes @p versions the listed ones of the proxy's snapshot. */
    void listVersions(std::set<ServiceVersion> versions)
    {
        auto fleet = std::make_shared<FleetSnapshot>();
        fleet->listedVersions = std::make_shared<const std::set<ServiceVersion>>(std::move(versions));
        this->proxy->fleet = std::move(fleet);
    }

    StoredOrigins read()
    {
        const auto stored = this->run(readStoredOrigins(this->calls));
        REQUIRE(isOk(stored));
        return valueOf(stored);
    }
};

} // namespace

// Guards against a version that is guessed where several may have begun the stream, or the versions could not be read.
TEST_CASE("findOrigin_withoutARecord_isKnownOnlyIfOneVersionHasServed")
{
    CHECK(findOrigin({v2, std::vector{v1}}, services).origin == v2);
    CHECK(findOrigin({std::nullopt, std::vector{v1, other}}, services).origin == v1);
    CHECK(findOrigin({std::nullopt, std::vector{v1, v2}}, services).reason == OriginReason::SeveralVersions);
    CHECK_FALSE(findOrigin({std::nullopt, std::vector{v1, v2}}, services).origin);
    CHECK_FALSE(findOrigin({std::nullopt, std::vector{v1, other}}, {v1.service, other.service}).origin);
    CHECK_FALSE(findOrigin({std::nullopt, std::vector{other}}, services).origin);
    CHECK_FALSE(findOrigin({}, services).origin);
}

// Guards against a continuation at another version, and against one that waits for a version that has left.
TEST_CASE("continuation_otherVersions_isNotPossible")
{
    CHECK(mayContinueAt(std::nullopt, v2));
    CHECK(mayContinueAt(v1, v1));
    CHECK_FALSE(mayContinueAt(v1, v2));
    CHECK(outlookOf(v1, {v2, v1}) == ContinuationOutlook::Possible);
    CHECK(outlookOf(v1, {v2}) == ContinuationOutlook::VersionGone);
    CHECK(outlookOf(v1, {}) == ContinuationOutlook::NoTarget);
    CHECK(beginsAnew(v1, {v2}, 0ms));
    CHECK_FALSE(beginsAnew(v1, {v1, v2}, 500ms));
    CHECK(beginsAnew(v1, {v1, v2}, 10s));
}

// Guards against a record that no asked host has, because one host is missing from a list.
TEST_CASE("recordKeepers_oneHostMissing_oneKeeperIsTheSame")
{
    for (const unsigned count : {2U, 7U, 76U, 250U}) {
        const auto hosts = makeHosts(count);
        for (std::uint64_t stream = 1; stream <= 50; ++stream) {
            const auto keepers = recordKeepers(stream * 0x9E3779B97F4A7C15ULL, hosts);
            REQUIRE(keepers.size() == 2);
            for (const RecordKeeper &missing : hosts) {
                auto rest = hosts;
                std::erase_if(rest, [&missing](const RecordKeeper &keeper) {
                    return keeper.host == missing.host;
                });
                const auto asked = recordKeepers(stream * 0x9E3779B97F4A7C15ULL, rest);
                const bool found = std::any_of(asked.begin(), asked.end(), [&](const HostId &host) {
                    return std::find(keepers.begin(), keepers.end(), host) != keepers.end();
                });
                CHECK(found);
            }
        }
    }
    CHECK(recordKeepers(1, {}).empty());
}

// Guards against records that are lost before their time, or that grow without bound.
TEST_CASE("originTable_manyStreams_keepsTheNewestForTheRetentionTime")
{
    OriginTable table;
    table.maxRecords = 100;
    const TimePoint now = BootClock::now();
    for (std::uint64_t stream = 0; stream < 150; ++stream) {
        recordOrigin(table, stream, v1, now);
    }
    CHECK(table.records.size() == 100);
    CHECK_FALSE(recordedOrigin(table, 0, now));
    CHECK(recordedOrigin(table, 149, now) == v1);
    recordOrigin(table, 149, v2, now + table.retention / 2);
    CHECK(recordedOrigin(table, 149, now + table.retention) == v2);
    CHECK_FALSE(recordedOrigin(table, 149, now + table.retention * 2));
    recordOrigin(table, 200, v1, now + table.retention * 2);
    CHECK(table.records.size() == 1);
}

// Guards against keys with leading zeros and versions of several services that do not come back as they were written.
TEST_CASE("streamRecords_writtenAndRead_areTheSame")
{
    std::unordered_map<std::uint64_t, ServiceVersion> records;
    REQUIRE(isOk(decodeStreamRecords(encodeStreamRecords({{0x1f, v1}, {~0ULL, v2}, {0, v1}, {77, other}}), records)));
    CHECK(records == std::unordered_map<std::uint64_t, ServiceVersion>{{0x1f, v1}, {~0ULL, v2}, {0, v1}, {77, other}});
    CHECK_FALSE(isOk(decodeStreamRecords(R"({"groups":[{"service":"s","version":"v1","streams":"12"}]})", records)));
    CHECK_FALSE(isOk(decodeStreamRecords("[]", records)));
    CHECK_FALSE(isOk(decodeVersionEntry("{}")));
    CHECK(valueOf(decodeVersionEntry(encodeVersionEntry(v2))) == v2);
}

// Guards against streams that begin at a version of which no other host could learn.
TEST_CASE_METHOD(OriginStoreFixture, "versionRegistry_newVersion_isListedAndReadByOthers")
{
    this->start();
    this->putVersion("i-1", "v1");
    REQUIRE(this->runUntil([this] {
        return this->isListed(v1);
    }));
    CHECK(this->read().versions == std::vector{v1});
    this->store->faults.down = true;
    this->putVersion("i-2", "v2");
    this->runFor(300ms);
    CHECK_FALSE(this->isListed(v2));
    this->store->faults.down = false;
    REQUIRE(this->runUntil([this] {
        return this->isListed(v2);
    }));
    CHECK(this->read().versions.size() == 2);
}

// Guards against a registry that keeps a version for ever, so that streams are refused long after a release.
TEST_CASE("versionRegistry_versionHasLeft_isRemovedOnlyAfterTheRetentionTime")
{
    VersionRegistry registry;
    TargetMap targets;
    targets[TargetId{"i-1"}] = {.id = TargetId{"i-1"}, .service = v1.service, .version = v1.version};
    const TimePoint now = BootClock::now();
    CHECK(updateServed(registry, targets, now).missing == std::vector{v1});
    registry.listed[v1] = {7, now};
    registry.listed[v2] = {8, now};
    for (const auto age : {10s, 20s, 29s}) {
        CHECK(updateServed(registry, targets, now + age).expired.empty());
    }
    CHECK(updateServed(registry, targets, now + 31s).expired == std::vector{v2});
    targets[TargetId{"i-2"}] = {.id = TargetId{"i-2"}, .service = v2.service, .version = v2.version};
    // Another host may be about to remove it.
    CHECK(updateServed(registry, targets, now + 31s).missing == std::vector{v2});
}

// Guards against the loss of all records when all hosts end at the same moment while two versions serve.
TEST_CASE_METHOD(OriginStoreFixture, "streamRecords_twoVersionsServe_areReadFromTheStore")
{
    noteBegunStream(*this->upkeep, 5, v1);
    noteBegunStream(*this->upkeep, 6, v2);
    this->listVersions({v1, other});
    CHECK(this->run(writeStreamRecords(this->upkeep)));
    CHECK(this->store->counts.commits == 0);
    this->listVersions({v1, v2});
    CHECK(this->run(writeStreamRecords(this->upkeep)));
    CHECK(this->run(writeStreamRecords(this->upkeep)));
    CHECK(this->store->counts.commits == 1);
    const StoredOrigins stored = this->read();
    REQUIRE(stored.records.contains(5));
    CHECK(stored.records.at(5) == v1);
    CHECK(stored.records.at(6) == v2);
}

// Guards against records that are not written again after their lease has ended or the store was away.
TEST_CASE_METHOD(OriginStoreFixture, "streamRecords_writeFails_areWrittenLater")
{
    this->listVersions({v1, v2});
    noteBegunStream(*this->upkeep, 5, v1);
    this->store->faults.down = true;
    CHECK_FALSE(this->run(writeStreamRecords(this->upkeep)));
    this->store->faults.down = false;
    CHECK(this->run(writeStreamRecords(this->upkeep)));
    standin::expireLease(*this->store, this->upkeep->lease);
    noteBegunStream(*this->upkeep, 6, v1);
    CHECK_FALSE(this->run(writeStreamRecords(this->upkeep)));
    CHECK(this->run(writeStreamRecords(this->upkeep)));
    CHECK(this->read().records.size() == 2);
}
