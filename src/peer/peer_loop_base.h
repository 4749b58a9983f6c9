/** @file peer_loop_base.h State of the peer RPC thread. Only this thread touches it, apart from the inbox. */
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

/** Work for the peer RPC thread. A task that is destroyed without having run must complete its caller. */
using PeerTask = kj::Function<void(PeerLoop &loop)>;

/** Tasks from other threads. */
struct PeerInbox {
    std::mutex mutex; ///< Guards all members.
    std::deque<PeerTask> tasks; ///< Tasks not yet taken.
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake; ///< Wakes the thread while it waits; null otherwise.
    bool stopped{false}; ///< No more tasks are taken.
};

/** One TCP connection with its RPC session, as client or server. */
struct PeerConnection {
    kj::Own<kj::AsyncIoStream> stream; ///< Connection.
    capnp::TwoPartyVatNetwork network; ///< RPC framing.
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system; ///< RPC session.

    /** Client side. */
    explicit PeerConnection(kj::Own<kj::AsyncIoStream> &&connected);
    /** Server side, which offers @p service. */
    PeerConnection(kj::Own<kj::AsyncIoStream> &&accepted, wire::Peer::Client service);
};

/** An outgoing connection. */
struct PeerClient {
    PeerConnection connection; ///< Connection.
    wire::Peer::Client service; ///< The peer's service.
    kj::Canceler calls; ///< Ends all calls when the connection is dropped.
    bool timedOut{false}; ///< A call timed out on it, so that it must not be used again.

    explicit PeerClient(kj::Own<kj::AsyncIoStream> &&connected);
};

/** Outgoing connection of one address, being opened or open. */
struct PeerEntry {
    std::uint64_t id{0}; ///< Differs for each attempt to connect.
    kj::ForkedPromise<void> opened; ///< Resolves when client is set.
    kj::Own<PeerClient> client; ///< Null while connecting.
};

/** State of the thread. */
struct PeerLoop : private kj::TaskSet::ErrorHandler {
    kj::AsyncIoContext &io; ///< Event loop.
    std::map<Endpoint, PeerEntry> entries; ///< Outgoing connections.
    std::uint64_t lastEntryId{0}; ///< Last id given to an entry.
    kj::TaskSet tasks; ///< Calls in progress; destroyed before the connections that they use.

    explicit PeerLoop(kj::AsyncIoContext &context)
        : io(context)
        , tasks(*this)
    {
    }

private:
    void taskFailed(kj::Exception &&exception) override;
};

/** Adds a task and wakes the thread. After the stop, the task is destroyed at once. Any thread. */
void postTask(PeerInbox &inbox, PeerTask task);

/** Runs tasks until the inbox is stopped, then destroys the remaining ones. */
void runTasks(PeerInbox &inbox, PeerLoop &loop);

/** Stops the inbox. Any thread. */
void stopInbox(PeerInbox &inbox);

/** @return Id of the entry for @p peer once its connection is open; connects when there is none. */
kj::Promise<std::uint64_t> openedEntry(PeerLoop &loop, const Endpoint &peer);

/** @return The open connection of entry @p id. Throws a kj::Exception when it was dropped meanwhile. */
PeerClient &clientOf(PeerLoop &loop, const Endpoint &peer, std::uint64_t id);

/** Drops entry @p id, if it still exists, and ends its calls with @p reason; the next call connects anew. */
void dropEntry(PeerLoop &loop, const Endpoint &peer, std::uint64_t id, const char *reason);

/** Listens and serves @p handlers. @return The port. */
Result<std::uint16_t> startServer(PeerLoop &loop, const Endpoint &listen, PeerHandlers &handlers);

/** @return Network address of @p endpoint. Throws a kj::Exception when it is not an IP number. */
kj::Own<kj::NetworkAddress> networkAddress(PeerLoop &loop, const Endpoint &endpoint);

/** A result on its way through KJ promises. It is on the heap, because GCC 12 reports a std::variant inside kj::Maybe as uninitialised. */
template<typename T>
using Boxed = kj::Own<Result<T>>;

/** @return @p result on the heap. */
template<typename T>
Boxed<T> box(Result<T> result)
{
    return kj::heap<Result<T>>(std::move(result));
}

/** Largest blob that a call carries. It bounds the memory that a message of a peer can take. */
inline constexpr std::size_t maxBlobBytes = std::size_t{64} << 20U;

/** Fills @p out from @p error. */
void writeFailure(wire::Failure::Builder out, const Error &error);

/** @return The error that a peer sent. */
Error readFailure(wire::Failure::Reader in);

} // namespace skylark
