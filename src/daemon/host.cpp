/** @file host.cpp Components and threads of a host, and its planned stop. */
#include "daemon/host_func.h"

#include "batch/batch_service_func.h"
#include "blob/blob_store_func.h"
#include "control/control_base.h"
#include "core/event_loop_func.h"
#include "core/task_func.h"
#include "daemon/host_context_base.h"
#include "peer/peer_rpc_func.h"
#include "traffic/caller_server_func.h"

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <glog/logging.h>
#include <thread>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto repairInterval = std::chrono::seconds(15);

using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

} // namespace

/** Components of a host, in the order of creation. */
struct Host::Impl {
    HostContext context; ///< Services that the components share.
    asio::thread_pool blobThread{1}; ///< Serves blob calls of peers, because disk access blocks.
    std::shared_ptr<BlobStore> store; ///< Local blobs; null if the settings have no data folder.
    std::shared_ptr<BlobCluster> blobs; ///< Copies on all hosts.
    std::shared_ptr<BatchService> batch;
    std::shared_ptr<Control> control;
    std::shared_ptr<CallerServer> callers; ///< HTTP server for callers.
    std::atomic<bool> started{false}; ///< Whether all components exist; calls of peers can arrive earlier.
    std::unique_ptr<PeerRpc> rpc; ///< Destroyed first, because its handlers use the other components.
};

namespace {

/** @return Handlers that serve peers from the local blob store and the control component. */
PeerHandlers makePeerHandlers(Host::Impl &host)
{
    PeerHandlers handlers;
    handlers.getBlob = [&host](const BlobId &id, std::function<void(Result<std::string>)> reply) {
        asio::post(host.blobThread, [&host, id, reply = std::move(reply)] {
            reply(host.store ? getBlob(*host.store, id) : Result<std::string>(makeError(ErrorCode::BlobNotFound, "host has no data folder")));
        });
    };
    handlers.putBlob = [&host](const BlobId &id, std::string data, std::function<void(Result<Done>)> reply) {
        asio::post(host.blobThread, [&host, id, data = std::move(data), reply = std::move(reply)] {
            reply(host.store ? putBlob(*host.store, id, data) : Result<Done>(makeError(ErrorCode::StorageFailed, "host has no data folder")));
        });
    };
    handlers.hasBlobs = [&host](const std::vector<BlobId> &ids, std::function<void(Result<std::vector<bool>>)> reply) {
        asio::post(host.blobThread, [&host, ids, reply = std::move(reply)] {
            std::vector<bool> found;
            found.reserve(ids.size());
            for (const BlobId &id : ids) {
                found.push_back(host.store && hasBlob(*host.store, id));
            }
            reply(found);
        });
    };
    handlers.pullState = [&host](Revision known, std::uint64_t jobsCursor, std::function<void(Result<StateBundle>)> reply) {
        if (!host.started) {
            reply(makeError(ErrorCode::NotReady, "host is starting"));
            return;
        }
        pullState(*host.control, known, jobsCursor, std::move(reply));
    };
    return handlers;
}

/** Sets the hooks through which components call each other. */
void connectHooks(Host::Impl &host)
{
    host.context.requestYield = [&host](const TargetId &target, unsigned slots) {
        requestYield(*host.control, target, slots);
    };
    host.context.announceJob = [&host](JobRecord job) {
        announceJob(*host.control, std::move(job));
    };
    host.context.announceEvidence = [&host] {
        announceEvidence(*host.control);
    };
    host.context.reportTargetLeaving = [&host](const TargetId &target) {
        reportTargetLeaving(*host.control, target);
    };
}

/** Copies blobs to the hosts that should hold them, periodically while the host runs. Runs on the batch thread. */
asio::awaitable<void> repairLoop(Host::Impl &host)
{
    asio::steady_timer timer(host.context.batch);
    for (;;) {
        timer.expires_after(repairInterval);
        const auto [error] = co_await timer.async_wait(awaitTuple);
        if (error) {
            co_return;
        }
        const auto copies = co_await repairBlobs(*host.blobs);
        if (isOk(copies) && valueOf(copies) > 0) {
            LOG(INFO) << "[blob] repair made " << valueOf(copies) << " copies";
        }
    }
}

/** Answers the requests that are left and ends the event loops. The online loop ends first, so that a request answered as not run does not run afterwards. */
void stopLoops(Host::Impl &host)
{
    asio::post(host.context.online, [&host] {
        const std::size_t remaining = answerRemaining(*host.callers);
        host.context.online.stop();
        LOG(INFO) << "[stop] planned stop complete, requests still running: " << remaining;
        asio::post(host.context.control, [&host] {
            host.context.batch.stop();
            host.context.control.stop();
        });
    });
}

/**
 * Stops the host without losing work, in this order: refuses new work, hands over batch work, finishes the requests of callers, ends the session, answers the
 * requests that are left. Runs on the control thread.
 */
asio::awaitable<void> plannedStop(Host::Impl &host)
{
    LOG(INFO) << "[stop] planned stop begins";
    co_await announcePlannedStop(*host.control);
    asio::post(host.context.online, [&host] {
        announceStop(*host.callers);
    });
    co_await asio::co_spawn(host.context.batch, drainBatch(*host.batch), asio::use_awaitable);
    asio::steady_timer timer(host.context.control, host.context.settings->lameDuck);
    co_await timer.async_wait(awaitTuple);
    co_await asio::co_spawn(host.context.online, drainCallers(*host.callers, host.context.settings->drainTimeout), asio::use_awaitable);
    co_await endSession(*host.control);
    stopLoops(host);
}

asio::awaitable<void> waitForSignal(Host::Impl &host)
{
    asio::signal_set signals(host.context.control, SIGTERM, SIGINT);
    co_await signals.async_wait(awaitTuple);
    co_await plannedStop(host);
}

Result<Done> createComponents(Host::Impl &host)
{
    const Settings &settings = *host.context.settings;
    if (!settings.dataFolder.empty()) {
        auto store = BlobStore::create(settings.dataFolder);
        if (!isOk(store)) {
            return errorOf(store);
        }
        host.store = valueOf(store);
    }
    auto rpc = PeerRpc::create(settings.self()->peerRpc, makePeerHandlers(host));
    if (!isOk(rpc)) {
        return errorOf(rpc);
    }
    host.rpc = std::move(valueOf(rpc));
    host.blobs = std::make_shared<BlobCluster>();
    host.blobs->local = host.store;
    host.blobs->rpc = host.rpc.get();
    host.blobs->snapshot = host.context.snapshot;
    auto batch = BatchService::create(host.context, host.blobs);
    if (!isOk(batch)) {
        return errorOf(batch);
    }
    host.batch = valueOf(batch);
    auto control = Control::create(host.context, *host.rpc, host.batch);
    if (!isOk(control)) {
        return errorOf(control);
    }
    host.control = valueOf(control);
    connectHooks(host);
    auto callers = CallerServer::create(host.context, host.batch);
    if (!isOk(callers)) {
        return errorOf(callers);
    }
    host.callers = valueOf(callers);
    host.started = true;
    return Done{};
}

} // namespace

Result<std::unique_ptr<Host>> Host::create(Settings settings)
{
    auto host = std::make_unique<Host>();
    host->impl = std::make_unique<Impl>();
    host->impl->context.settings = std::make_shared<const Settings>(std::move(settings));
    const Result<Done> created = createComponents(*host->impl);
    if (!isOk(created)) {
        return errorOf(created);
    }
    return host;
}

Host::~Host()
{
    if (this->impl) {
        this->impl->rpc.reset();
        this->impl->blobThread.join();
    }
}

void runHost(Host &host)
{
    Host::Impl &impl = *host.impl;
    WorkGuard controlGuard(impl.context.control.get_executor());
    WorkGuard onlineGuard(impl.context.online.get_executor());
    WorkGuard batchGuard(impl.context.batch.get_executor());
    startControl(*impl.control);
    startBatch(*impl.batch);
    if (impl.store) {
        startLoop(impl.context.batch.get_executor(), "repair of blobs", [&impl] {
            return repairLoop(impl);
        });
    }
    startTask(impl.context.control.get_executor(), "planned stop", waitForSignal(impl), [&impl] {
        stopLoops(impl);
    });
    std::thread online([&impl] {
        runEventLoop(impl.context.online, "online");
    });
    std::thread batch([&impl] {
        runEventLoop(impl.context.batch, "batch");
    });
    runEventLoop(impl.context.control, "control");
    online.join();
    batch.join();
}

} // namespace skylark
