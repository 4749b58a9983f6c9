/** @file peer_loop_base.h State of the peer RPC thread. Only this thread accesses it, except for the task queue. */
#pragma once

#include "core/result_type.h"
#include "http/http_type.h"
#include "peer.capnp.h"
#include "peer/peer_rpc_func.h"

#include <capnp/rpc-twoparty.h>
#include <deque>
#include <kj/async-io.h>
#include <kj/function.h>
#include <map>
#include <memory>
#include <mutex>

namespace skylark {

struct PeerLoop;

/** Work for the peer RPC thread. A task that is destroyed before it has run must still resume its caller. */
using PeerTask = kj::Function<void(PeerLoop &loop)>;

/** Queue of tasks that other threads post to the peer RPC thread. */
struct PeerTaskQueue {
    std::mutex mutex; ///< Guards all members.
    std::deque<PeerTask> tasks; ///< Tasks not yet started.
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake; ///< Wakes the thread; null unless the thread is waiting.
    bool stopped{false}; ///< New tasks are rejected.
};

/** One TCP connection with its RPC session, as client or server. */
struct PeerConnection {
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network; ///< RPC framing on stream.
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system; ///< RPC session on network.

    /** Creates the client side. */
    explicit PeerConnection(kj::Own<kj::AsyncIoStream> &&connected);
    /** Creates the server side, which offers @p service. */
    PeerConnection(kj::Own<kj::AsyncIoStream> &&accepted, wire::Peer::Client service);
};

/** An open outgoing connection and its calls. */
struct PeerClient {
    PeerConnection connection;
    wire::Peer::Client service; ///< Service that the peer offers.
    kj::Canceler calls; ///< Cancels all calls when the connection is dropped.
    bool timedOut{false}; ///< A call has timed out, so the connection must not be used again.

    explicit PeerClient(kj::Own<kj::AsyncIoStream> &&connected);
};

/** Outgoing connection to one address, either open or still connecting. */
struct OutgoingConnection {
    std::uint64_t id{0}; ///< Unique for each attempt to connect.
    kj::ForkedPromise<void> opened; ///< Resolves once client is set.
    kj::Own<PeerClient> client; ///< Null while connecting.
};

/** State of the peer RPC thread. */
struct PeerLoop : private kj::TaskSet::ErrorHandler {
    kj::AsyncIoContext &io; ///< KJ event loop.
    std::map<Endpoint, OutgoingConnection> connections; ///< Outgoing connections by peer address.
    std::uint64_t lastConnectionId{0}; ///< Last id given to a connection attempt.
    kj::TaskSet tasks; ///< Calls in progress. Declared last, so that they are destroyed before the connections that they use.

    explicit PeerLoop(kj::AsyncIoContext &context)
        : io(context)
        , tasks(*this)
    {
    }

private:
    void taskFailed(kj::Exception &&exception) override;
};

/** Adds a task and wakes the peer RPC thread. Once the queue is stopped, the task is destroyed immediately. May be called from any thread. */
void postTask(PeerTaskQueue &queue, PeerTask task);

/** Runs tasks until the queue is stopped, then destroys the remaining ones. */
void runTasks(PeerTaskQueue &queue, PeerLoop &loop);

/** Stops the queue. May be called from any thread. */
void stopTaskQueue(PeerTaskQueue &queue);

/** Connects to @p peer unless there is a connection already. @return Id of the connection once it is open. */
kj::Promise<std::uint64_t> openConnection(PeerLoop &loop, const Endpoint &peer);

/** @return The open connection with id @p id. Throws a kj::Exception if it has been dropped. */
PeerClient &clientOf(PeerLoop &loop, const Endpoint &peer, std::uint64_t id);

/** Drops the connection with id @p id, if it still exists, and fails its calls with @p reason. The next call opens a new connection. */
void dropConnection(PeerLoop &loop, const Endpoint &peer, std::uint64_t id, const char *reason);

/** Listens on @p listen and passes incoming calls to @p handlers. @return The port. */
Result<std::uint16_t> startServer(PeerLoop &loop, const Endpoint &listen, PeerHandlers &handlers);

/** @return Network address of @p endpoint. Throws a kj::Exception if the address is not an IP address. */
kj::Own<kj::NetworkAddress> networkAddress(PeerLoop &loop, const Endpoint &endpoint);

/** A result that is passed through KJ promises. It is on the heap, because GCC 12 warns about a std::variant inside kj::Maybe as uninitialised. */
template<typename T>
using Boxed = kj::Own<Result<T>>;

/** Moves @p result to the heap. */
template<typename T>
Boxed<T> box(Result<T> result)
{
    return kj::heap<Result<T>>(std::move(result));
}

/** Maximum size of a blob in one call, in bytes (64 MiB). It limits the memory that one message from a peer can use. */
inline constexpr std::size_t maxBlobBytes = std::size_t{64} << 20U;

/** Writes @p error to a message. */
void writeFailure(wire::Failure::Builder out, const Error &error);

/** @return The error that a peer sent; Internal if its code is unknown. */
Error readFailure(wire::Failure::Reader in);

} // namespace skylark
