/** @file peer_rpc.cpp Peer RPC thread, and coroutines that make calls through it. */
#include "peer/peer_rpc_func.h"

#include "core/invariant_func.h"
#include "peer/peer_loop_base.h"

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <future>
#include <glog/logging.h>
#include <thread>

namespace skylark {

namespace asio = boost::asio;

struct PeerRpc::Impl {
    PeerHandlers handlers;
    PeerTaskQueue queue; ///< Tasks for the peer RPC thread.
    std::thread thread; ///< Runs the KJ event loop.
    std::uint16_t port{0}; ///< Port that the server listens on.
};

namespace {

/** Sends a request and decodes its response. Runs on the peer RPC thread. */
template<typename T>
using Invoke = std::function<kj::Promise<Boxed<T>>(wire::Peer::Client &service)>;

/** Resumes a coroutine that waits for the result of a call. If it is destroyed before the call has finished, the coroutine gets Cancelled. */
template<typename T>
struct Waiter {
    std::function<void(Result<T>)> resume; ///< Posts the result to the coroutine's executor; empty once called.

    explicit Waiter(std::function<void(Result<T>)> resumeIn)
        : resume(std::move(resumeIn))
    {
    }
    Waiter(const Waiter &) = delete;
    Waiter &operator=(const Waiter &) = delete;
    ~Waiter()
    {
        this->finish(makeError(ErrorCode::Cancelled, "peer RPC stopped", RunState::Maybe));
    }
    void finish(Result<T> result)
    {
        if (this->resume) {
            std::exchange(this->resume, nullptr)(std::move(result));
        }
    }
};

/** One outgoing call. */
template<typename T>
struct Call {
    Endpoint peer; ///< Host that is called.
    std::chrono::milliseconds timeout{0}; ///< Limit of the whole call, including connecting.
    Invoke<T> invoke;
    std::shared_ptr<Waiter<T>> waiter;
    std::uint64_t connectionId{0}; ///< Id of the connection used; 0 until the call is sent.
    bool expired{false}; ///< The timeout has elapsed without a response.
};

template<typename T>
using CallPtr = std::shared_ptr<Call<T>>;

std::string endpointText(const Endpoint &peer)
{
    return peer.address + ":" + std::to_string(peer.port);
}

Error callError(const Endpoint &peer, bool sent, const kj::Exception &exception)
{
    const std::string detail = endpointText(peer) + ": " + exception.getDescription().cStr();
    if (!sent) {
        const bool timedOut = exception.getType() == kj::Exception::Type::OVERLOADED;
        return makeError(timedOut ? ErrorCode::ConnectTimeout : ErrorCode::ConnectFailed, detail);
    }
    const bool broken = exception.getType() == kj::Exception::Type::DISCONNECTED;
    return makeError(broken ? ErrorCode::StreamBroken : ErrorCode::ProtocolError, detail, RunState::Maybe);
}

/** Fails a call that timed out and drops its connection. The connection may never deliver data again, so no later call may use it. */
template<typename T>
Result<T> handleCallTimeout(PeerLoop &loop, Call<T> &call)
{
    if (call.connectionId == 0) {
        return makeError(ErrorCode::ConnectTimeout, endpointText(call.peer));
    }
    const auto found = loop.connections.find(call.peer);
    if (found != loop.connections.end() && found->second.id == call.connectionId) {
        LOG(WARNING) << "[peer] call to " << endpointText(call.peer) << " timed out after " << call.timeout.count() << " ms; its connection is dropped";
        found->second.client->timedOut = true;
        dropConnection(loop, call.peer, call.connectionId, "a call timed out on this connection");
    }
    return makeError(ErrorCode::Timeout, endpointText(call.peer), RunState::Maybe);
}

template<typename T>
kj::Promise<Boxed<T>> sendCall(PeerLoop &loop, const CallPtr<T> &call)
{
    return openConnection(loop, call->peer).then([&loop, call](std::uint64_t id) {
        PeerClient &client = clientOf(loop, call->peer, id);
        SKY_INVARIANT(Promise::SilentConnection, !client.timedOut);
        call->connectionId = id;
        return client.calls.wrap(call->invoke(client.service));
    });
}

template<typename T>
void startCall(PeerLoop &loop, const CallPtr<T> &call)
{
    auto expired = loop.io.provider->getTimer().afterDelay(call->timeout.count() * kj::MILLISECONDS).then([call] {
        call->expired = true;
        return box<T>(makeError(ErrorCode::Timeout, {}));
    });
    auto answered = kj::evalNow([&] {
        return sendCall<T>(loop, call);
    });
    // exclusiveJoin() destroys the losing promise before the continuation runs, so this call is no longer in progress when its connection is dropped.
    auto finished = answered.exclusiveJoin(kj::mv(expired))
                        .then(
                            [&loop, call](Boxed<T> &&result) {
                                call->waiter->finish(call->expired ? handleCallTimeout(loop, *call) : std::move(*result));
                            },
                            [call](kj::Exception &&exception) {
                                call->waiter->finish(callError(call->peer, call->connectionId != 0, exception));
                            });
    loop.tasks.add(kj::mv(finished));
}

/** @return A waiter that resumes @p handler on its own executor. */
template<typename T, typename Handler>
std::shared_ptr<Waiter<T>> makeWaiter(Handler handler)
{
    auto executor = asio::get_associated_executor(handler);
    auto guard = asio::make_work_guard(executor);
    auto shared = std::make_shared<Handler>(std::move(handler));
    return std::make_shared<Waiter<T>>([shared, executor, guard](Result<T> result) {
        asio::post(executor, [shared, result = std::move(result)]() mutable {
            std::move (*shared)(std::move(result));
        });
    });
}

template<typename T>
asio::awaitable<Result<T>> callPeer(std::shared_ptr<PeerRpc::Impl> impl, Endpoint peer, std::chrono::milliseconds timeout, Invoke<T> invoke)
{
    auto call = std::make_shared<Call<T>>();
    call->peer = std::move(peer);
    call->timeout = timeout;
    call->invoke = std::move(invoke);
    auto initiate = [impl, call](auto handler) mutable {
        call->waiter = makeWaiter<T>(std::move(handler));
        postTask(impl->queue, [call = std::move(call)](PeerLoop &loop) {
            startCall<T>(loop, call);
        });
    };
    call.reset();
    co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(Result<T>)>(std::move(initiate), asio::use_awaitable);
}

/** Main function of the peer RPC thread. @param started Receives the port, or the error that prevents the server from starting. */
void runThread(PeerRpc::Impl &impl, const Endpoint &listen, std::promise<Result<std::uint16_t>> started)
{
    kj::Maybe<kj::AsyncIoContext> context;
    KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] {
                     context = kj::setupAsyncIo();
                 })) {
        started.set_value(makeError(ErrorCode::Internal, std::string("event loop: ") + exception->getDescription().cStr()));
        return;
    }
    PeerLoop loop(KJ_ASSERT_NONNULL(context));
    auto port = startServer(loop, listen, impl.handlers);
    const bool listening = isOk(port);
    started.set_value(std::move(port));
    if (listening) {
        runTasks(impl.queue, loop);
    }
}

} // namespace

Result<std::unique_ptr<PeerRpc>> PeerRpc::create(const Endpoint &listen, PeerHandlers handlers)
{
    auto rpc = std::make_unique<PeerRpc>();
    rpc->impl = std::make_shared<Impl>();
    rpc->impl->handlers = std::move(handlers);
    std::promise<Result<std::uint16_t>> started;
    auto port = started.get_future();
    rpc->impl->thread = std::thread([impl = rpc->impl.get(), listen, started = std::move(started)]() mutable {
        runThread(*impl, listen, std::move(started));
    });
    const Result<std::uint16_t> result = port.get();
    if (!isOk(result)) {
        return errorOf(result);
    }
    rpc->impl->port = valueOf(result);
    return rpc;
}

PeerRpc::~PeerRpc()
{
    if (!this->impl) {
        return;
    }
    stopTaskQueue(this->impl->queue);
    if (this->impl->thread.joinable()) {
        this->impl->thread.join();
    }
}

std::uint16_t listenPort(const PeerRpc &rpc)
{
    return rpc.impl->port;
}

asio::awaitable<Result<std::string>> peerGetBlob(PeerRpc &rpc, Endpoint peer, BlobId id, std::chrono::milliseconds timeout)
{
    Invoke<std::string> invoke = [id = std::move(id.value)](wire::Peer::Client &service) {
        auto request = service.getBlobRequest();
        request.setId(id);
        return request.send().then([](auto &&response) -> Boxed<std::string> {
            if (response.hasFailure()) {
                return box<std::string>(readFailure(response.getFailure()));
            }
            const auto data = response.getData();
            return box<std::string>(std::string(reinterpret_cast<const char *>(data.begin()), data.size()));
        });
    };
    co_return co_await callPeer<std::string>(rpc.impl, std::move(peer), timeout, std::move(invoke));
}

asio::awaitable<Result<Done>> peerPutBlob(PeerRpc &rpc, Endpoint peer, BlobId id, std::string data, std::chrono::milliseconds timeout)
{
    if (data.size() > maxBlobBytes) {
        co_return makeError(ErrorCode::PayloadTooLarge, "blob exceeds the size limit of a peer call");
    }
    auto shared = std::make_shared<const std::string>(std::move(data));
    Invoke<Done> invoke = [id = std::move(id.value), shared](wire::Peer::Client &service) {
        auto request = service.putBlobRequest();
        request.setId(id);
        request.setData(kj::arrayPtr(reinterpret_cast<const kj::byte *>(shared->data()), shared->size()));
        return request.send().then([](auto &&response) -> Boxed<Done> {
            if (response.hasFailure()) {
                return box<Done>(readFailure(response.getFailure()));
            }
            return box<Done>(Done{});
        });
    };
    co_return co_await callPeer<Done>(rpc.impl, std::move(peer), timeout, std::move(invoke));
}

asio::awaitable<Result<std::vector<bool>>> peerHasBlobs(PeerRpc &rpc, Endpoint peer, std::vector<BlobId> ids, std::chrono::milliseconds timeout)
{
    Invoke<std::vector<bool>> invoke = [ids = std::move(ids)](wire::Peer::Client &service) {
        auto request = service.hasBlobsRequest();
        auto out = request.initIds(static_cast<unsigned>(ids.size()));
        for (unsigned i = 0; i < out.size(); ++i) {
            out.set(i, ids[i].value);
        }
        return request.send().then([expected = ids.size()](auto &&response) -> Boxed<std::vector<bool>> {
            if (response.hasFailure()) {
                return box<std::vector<bool>>(readFailure(response.getFailure()));
            }
            const auto stored = response.getStored();
            if (stored.size() != expected) {
                return box<std::vector<bool>>(makeError(ErrorCode::ProtocolError, "response to hasBlobs has a wrong number of entries"));
            }
            std::vector<bool> flags;
            for (const bool flag : stored) {
                flags.push_back(flag);
            }
            return box<std::vector<bool>>(std::move(flags));
        });
    };
    co_return co_await callPeer<std::vector<bool>>(rpc.impl, std::move(peer), timeout, std::move(invoke));
}

asio::awaitable<Result<StateBundle>> peerPullState(PeerRpc &rpc, Endpoint peer, Revision known, std::uint64_t jobsCursor, std::chrono::milliseconds timeout)
{
    Invoke<StateBundle> invoke = [known, jobsCursor](wire::Peer::Client &service) {
        auto request = service.pullStateRequest();
        request.setKnown(known.value);
        request.setJobsCursor(jobsCursor);
        return request.send().then([](auto &&response) -> Boxed<StateBundle> {
            if (response.hasFailure()) {
                return box<StateBundle>(readFailure(response.getFailure()));
            }
            const auto state = response.getState();
            return box<StateBundle>(StateBundle{Revision{state.getRevision()},
                                                std::string(state.getDocuments().cStr(), state.getDocuments().size()),
                                                std::string(state.getTargets().cStr(), state.getTargets().size()),
                                                std::string(state.getJobs().cStr(), state.getJobs().size()),
                                                state.getJobsCursor()});
        });
    };
    co_return co_await callPeer<StateBundle>(rpc.impl, std::move(peer), timeout, std::move(invoke));
}

} // namespace skylark
