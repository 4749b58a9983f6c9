/** @file peer_rpc_func.h Cap'n Proto RPC between hosts; the KJ event loop runs in a thread of its own. */
#pragma once

#include "core/id_type.h"
#include "core/result_type.h"
#include "http/http_type.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylark {

/** State bundle that a starting or lagging host pulls from a peer, as JSON text. */
struct StateBundle {
    Revision revision; ///< Configuration revision of the peer; 0 when it has none.
    std::string documents; ///< Configuration documents as JSON; empty when the caller is not behind.
    std::string targets; ///< Target list as JSON.
    std::string jobs; ///< Job records as JSON; empty when the caller's cursor is current.
    std::uint64_t jobsCursor{0}; ///< Cursor of jobs.
};

/**
 * Handlers of incoming calls. They are called on the peer RPC thread, must not block, and call reply exactly once from any thread.
 */
struct PeerHandlers {
    std::function<void(BlobId id, std::function<void(Result<std::string>)> reply)> getBlob; ///< Reads a local blob.
    std::function<void(BlobId id, std::string data, std::function<void(Result<Done>)> reply)> putBlob; ///< Stores a blob durably.
    std::function<void(std::vector<BlobId> ids, std::function<void(Result<std::vector<bool>>)> reply)> hasBlobs; ///< Says which blobs are stored.
    std::function<void(Revision known, std::uint64_t jobsCursor, std::function<void(Result<StateBundle>)> reply)> pullState; ///< Configuration, targets, jobs.
};

/** RPC server and client of one host. */
struct PeerRpc {
    struct Impl;
    std::shared_ptr<Impl> impl; ///< Hidden state.

    /** Starts the peer RPC thread and listens. */
    static Result<std::unique_ptr<PeerRpc>> create(const Endpoint &listen, PeerHandlers handlers);
    /** Stops and joins the thread; pending calls end with Cancelled. */
    ~PeerRpc();
};

/** @return The port that the server listens on; differs from the requested one when that was 0. */
[[nodiscard]] std::uint16_t listenPort(const PeerRpc &rpc);

/** Reads a blob from a peer. The coroutine resumes on its own executor. */
boost::asio::awaitable<Result<std::string>> peerGetBlob(PeerRpc &rpc, Endpoint peer, BlobId id, std::chrono::milliseconds timeout);

/** Stores a blob durably at a peer. */
boost::asio::awaitable<Result<Done>> peerPutBlob(PeerRpc &rpc, Endpoint peer, BlobId id, std::string data, std::chrono::milliseconds timeout);

/** Asks a peer which blobs it has. */
boost::asio::awaitable<Result<std::vector<bool>>> peerHasBlobs(PeerRpc &rpc, Endpoint peer, std::vector<BlobId> ids, std::chrono::milliseconds timeout);

/** Pulls state that is newer than what this host knows. */
boost::asio::awaitable<Result<StateBundle>> peerPullState(
    PeerRpc &rpc, Endpoint peer, Revision known, std::uint64_t jobsCursor, std::chrono::milliseconds timeout);

} // namespace skylark
