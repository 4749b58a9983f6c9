/** @file batch_host.h A batch part with a hand-written control state, against stand-in processes. */
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

/** Disk hosts of two failure domains that all batch hosts of a test share. */
struct BatchDisks {
    std::filesystem::path folder{std::filesystem::temp_directory_path() / ("skylark-batch-" + std::to_string(::getpid()))}; ///< Their folder.
    std::vector<std::unique_ptr<PeerRpc>> servers; ///< RPC servers.
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

/** One batch host. The test thread drives its event loop; tick() plays the control thread. */
struct BatchHost {
    HostContext context; ///< Facilities.
    std::unique_ptr<PeerRpc> rpc; ///< Access to the disk hosts.
    std::shared_ptr<BatchService> service; ///< Batch part.
    std::shared_ptr<HttpClient> http; ///< For load reports.
    ControlSnapshot view; ///< Control state; published by tick().
    bool renewing{true}; ///< Whether the lease is renewed.
    std::chrono::milliseconds lease{8000}; ///< Time from a renewal to the local deadline.
    TimePoint polledAt{}; ///< Last load poll.

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
            this->takeJob(std::move(job));
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

    void takeJob(JobRecord job)
    {
        std::erase_if(this->view.jobs, [&job](const auto &known) {
            return known->id == job.id;
        });
        this->view.jobs.push_back(std::make_shared<const JobRecord>(std::move(job)));
        this->publish();
    }

    void publish()
    {
        if (this->renewing) {
            this->view.leaseDeadline = BootClock::now() + this->lease;
        }
        this->context.snapshot->current.store(std::make_shared<const ControlSnapshot>(this->view));
    }

    void addTarget(const std::string &id, const Endpoint &endpoint)
    {
        TargetView target;
        target.info.id.value = id;
        target.info.endpoint = endpoint;
        target.batchOwner = this->view.self.id;
        this->view.targets.push_back(target);
    }

    boost::asio::awaitable<void> poll(TargetId id, Endpoint endpoint)
    {
        auto report = co_await readLoad(this->http, endpoint, {});
        for (TargetView &target : this->view.targets) {
            if (isOk(report) && target.info.id == id) {
                target.report = valueOf(report);
                noteReport(*this->context.loads, id, target.report.sequence, BootClock::now());
            }
        }
        this->publish();
    }

    /** Polls the targets every 50 ms and publishes the control state. */
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
