/** @file batch_host.h Test host with a batch service and a control state set by the test, for use with stand-in processes. */
#pragma once

#include "../standins/engine_text_func.h"
#include "batch/batch_service_func.h"
#include "batch/batch_state_base.h"
#include "core/json_member_func.h"
#include "support/process_func.h"

#include <boost/asio/detached.hpp>
#include <filesystem>
#include <map>
#include <unistd.h>

namespace skylark::test {

/** Disk hosts in two failure domains, shared by all batch hosts of a test. */
struct BatchDisks {
    std::filesystem::path folder{std::filesystem::temp_directory_path() / ("skylark-batch-" + std::to_string(::getpid()))}; ///< Parent folder of their stores.
    std::vector<std::unique_ptr<PeerRpc>> servers; ///< RPC servers of the disk hosts.
    std::vector<HostView> hosts; ///< Views of the disk hosts.

    BatchDisks()
    {
        std::filesystem::remove_all(this->folder);
        this->add("d1", "a");
        this->add("d2", "b");
    }
    ~BatchDisks()
    {
        this->servers.clear();
        std::filesystem::remove_all(this->folder);
    }
    BatchDisks(const BatchDisks &) = delete;
    BatchDisks &operator=(const BatchDisks &) = delete;

    void add(const std::string &name, const std::string &domain)
    {
        auto opened = BlobStore::create((this->folder / name).string());
        REQUIRE(isOk(opened));
        const std::shared_ptr<BlobStore> store = valueOf(opened);
        PeerHandlers handlers;
        handlers.getBlob = [store](const BlobId &id, const std::function<void(Result<std::string>)> &reply) {
            reply(getBlob(*store, id));
        };
        handlers.putBlob = [store](const BlobId &id, const std::string &data, const std::function<void(Result<Done>)> &reply) {
            reply(putBlob(*store, id, data));
        };
        auto server = PeerRpc::create({"127.0.0.1", 0}, handlers);
        REQUIRE(isOk(server));
        HostView view;
        view.info.id.value = name;
        view.info.domain.value = domain;
        view.info.peerRpc = {"127.0.0.1", listenPort(*valueOf(server))};
        view.info.hasDisk = true;
        view.state = HostState::Live;
        this->hosts.push_back(view);
        this->servers.push_back(std::move(valueOf(server)));
    }
};

/** One batch host. The test thread runs its event loop; tick() does the work of the control thread. */
struct BatchHost {
    HostContext context; ///< Settings, snapshot, metrics and executors of the host.
    std::unique_ptr<PeerRpc> rpc; ///< Client for the disk hosts.
    std::shared_ptr<BatchService> service; ///< Service under test.
    std::shared_ptr<HttpClient> http; ///< For load reports.
    ControlSnapshot view; ///< Control state; published by tick().
    bool renewing{true}; ///< Whether publish() renews the lease.
    std::chrono::milliseconds lease{8000}; ///< Time from a renewal to the local deadline.
    TimePoint polledAt{}; ///< Time of the last load poll.

    BatchHost(const std::string &name, const Endpoint &platform, const BatchDisks &disks)
    {
        auto settings = std::make_shared<Settings>();
        settings->platform = platform;
        settings->seed = 7;
        settings->platformCallsPerSecond = 200;
        this->context.settings = settings;
        auto created = PeerRpc::create({"127.0.0.1", 0}, {});
        REQUIRE(isOk(created));
        this->rpc = std::move(valueOf(created));
        this->view.self.id.value = name;
        this->view.self.domain.value = "a";
        this->view.session.value = "session-" + name;
        this->view.hosts = disks.hosts;
        auto blobs = std::make_shared<BlobCluster>();
        blobs->rpc = this->rpc.get();
        blobs->snapshot = this->context.snapshot;
        this->context.announceJob = [this](JobRecord job) {
            this->updateJob(std::move(job));
        };
        auto made = BatchService::create(this->context, blobs);
        REQUIRE(isOk(made));
        this->service = valueOf(made);
        this->http = HttpClient::create(this->context.batch.get_executor());
        this->publish();
        startBatch(*this->service);
    }
    BatchHost(const BatchHost &) = delete;
    BatchHost &operator=(const BatchHost &) = delete;
    ~BatchHost() = default;

    /** Replaces a job in the control state, as the control thread does when a record changes, and publishes it. */
    void updateJob(JobRecord job)
    {
        std::erase_if(this->view.jobs, [&job](const auto &known) {
            return known->id == job.id;
        });
        this->view.jobs.push_back(std::make_shared<const JobRecord>(std::move(job)));
        this->publish();
    }

    /** Renews the lease, unless renewing is off, and publishes the control state. */
    void publish()
    {
        if (this->renewing) {
            this->view.leaseDeadline = BootClock::now() + this->lease;
        }
        this->context.snapshot->current.store(std::make_shared<const ControlSnapshot>(this->view));
    }

    /** Adds an engine whose batch owner is this host. */
    void addTarget(const std::string &id, const Endpoint &endpoint)
    {
        TargetView target;
        target.info.id.value = id;
        target.info.endpoint = endpoint;
        target.batchOwner = this->view.self.id;
        this->view.targets.push_back(target);
    }

    /** Reads the load report of a target into the control state. */
    boost::asio::awaitable<void> poll(TargetId id, Endpoint endpoint)
    {
        auto report = co_await readLoad(this->http, endpoint, {});
        for (TargetView &target : this->view.targets) {
            if (isOk(report) && target.info.id == id) {
                target.report = valueOf(report);
                recordLoadReport(*this->context.loads, id, target.report.sequence, BootClock::now());
            }
        }
        this->publish();
    }

    /** Polls the targets and publishes the control state, at most every 50 ms. */
    void tick()
    {
        if (BootClock::now() - this->polledAt < std::chrono::milliseconds(50)) {
            return;
        }
        this->polledAt = BootClock::now();
        for (const TargetView &target : this->view.targets) {
            boost::asio::co_spawn(this->context.batch, this->poll(target.info.id, target.info.endpoint), boost::asio::detached);
        }
        this->publish();
    }

    /** Runs the event loop for 5 ms. */
    void drive()
    {
        this->tick();
        this->context.batch.restart();
        this->context.batch.run_for(std::chrono::milliseconds(5));
    }

    [[nodiscard]] double metric(std::string_view name) const
    {
        return metricValue(*this->context.metrics, name);
    }

    /** @return Batch streams in flight on all targets. */
    [[nodiscard]] unsigned streams() const
    {
        unsigned count = 0;
        for (const auto &[id, target] : this->service->impl->targets) {
            count += static_cast<unsigned>(target.running.size());
        }
        return count;
    }
};

} // namespace skylark::test
