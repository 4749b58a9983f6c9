/** @file fleet_fixture.h A store in memory with a mirror of one prefix, or with a fleet controller. */
#pragma once

#include "core/task_func.h"
#include "documents_func.h"
#include "fleet/fleet_controller_func.h"
#include "memory_store_base.h"
#include "store/key_mirror_func.h"
#include "support/process_func.h"
#include "support/target_entry.h"

namespace skylark::test {

using namespace std::chrono_literals;
using standin::MemoryStore;

/** A store in memory, and a mirror of its prefix "k/". */
struct MirrorFixture : TestLoop {
    std::shared_ptr<MemoryStore> store{MemoryStore::create(loop.get_executor())};
    std::shared_ptr<KeyMirror> mirror; ///< Null until start().
    unsigned failures{0}; ///< Failed calls of the mirror.

    void start(KeyMirrorOptions options)
    {
        options.prefix = "k/";
        this->mirror = KeyMirror::create(standin::storeInterface(this->store), options, 1);
        this->mirror->onFailure = [this](const Error & /*error*/, TimePoint /*lostAt*/) {
            ++this->failures;
        };
        startTask(this->loop.get_executor(), "watch", runKeyMirror(this->mirror));
        if (options.pollInterval.count() > 0) {
            startTask(this->loop.get_executor(), "reads", pollKeyMirror(this->mirror));
        }
    }

    ~MirrorFixture()
    {
        this->mirror->stopped = true;
    }

    /** @return Value of @p key in the mirror; empty when the mirror does not have it. */
    [[nodiscard]] std::string valueOfKey(const std::string &key) const
    {
        const auto found = this->mirror->items.find(key);
        return found == this->mirror->items.end() ? "" : found->second.value;
    }

    /** @return Whether @p key has @p value in the mirror within @p limit. */
    [[nodiscard]] bool becomes(const std::string &key, const std::string &value, std::chrono::milliseconds limit = 3s)
    {
        return this->runUntil(
            [&] {
                return this->valueOfKey(key) == value;
            },
            limit);
    }
};

/** A store in memory, and a controller that decodes the platform's documents. */
struct ControllerFixture : TestLoop {
    std::shared_ptr<MemoryStore> store{MemoryStore::create(loop.get_executor())};
    std::shared_ptr<const FleetSnapshot> snapshot{std::make_shared<const FleetSnapshot>()}; ///< Latest snapshot.
    std::unique_ptr<FleetController> controller; ///< Null until start().
    std::vector<QuarantineEntry> quarantined; ///< Entries that the controller has reported.
    std::shared_ptr<const KvStore> calls{standin::storeInterface(store)}; ///< Calls of the controller.
    std::vector<HostLease> leases; ///< Proofs of the own entry that the controller has reported.

    void start(std::chrono::milliseconds expiryGrace = 400ms, std::chrono::milliseconds targetHeartbeat = 200ms, std::chrono::milliseconds leaseRenewal = 100ms)
    {
        FleetOptions options;
        options.targetHeartbeat = targetHeartbeat;
        options.leaseRenewal = leaseRenewal;
        options.host.value = "front-1";
        options.session.value = "session-1";
        options.domain.value = "north";
        options.endpoint = {"127.0.0.1", 7000};
        options.targetWatchInterval = 20ms;
        options.expiryGrace = expiryGrace;
        options.onLease = [this](const HostLease &lease) {
            this->leases.push_back(lease);
        };
        this->controller = FleetController::create(
            this->loop.get_executor(),
            this->calls,
            platform::makeFleetWire(),
            options,
            MetricsRegistry::create(),
            [this](SnapshotPtr published) {
                this->snapshot = std::move(published);
            },
            [this](const QuarantineEntry &entry) {
                this->quarantined.push_back(entry);
            });
    }

    void putConfig(unsigned version)
    {
        standin::putKey(*this->store,
                        "op/config",
                        R"({"version":)" + std::to_string(version)
                            + R"(,"routes":[{"name":"r","host":"h.example","prefix":"/a/","kind":"safe","service":"s","timeout_ms":1000}],"services":[]})");
    }

    void putTarget(const std::string &id, const std::string &state)
    {
        standin::putKey(*this->store, "servers/" + id, boost::json::serialize(targetEntryWith("state", boost::json::string(state))));
    }

    [[nodiscard]] std::uint64_t version() const
    {
        return this->snapshot->config ? this->snapshot->config->version.value : 0;
    }

    [[nodiscard]] bool hasTarget(const std::string &id, bool leaving) const
    {
        if (!this->snapshot->targets) {
            return false;
        }
        const auto found = this->snapshot->targets->find(TargetId{id});
        return found != this->snapshot->targets->end() && found->second.leaving == leaving;
    }
};

} // namespace skylark::test
