/** @file peer_rpc_func.h Cap'n Proto RPC between hosts, on a KJ event loop in its own thread. */
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

/** State that a host pulls from a peer when it starts or is behind. Documents, targets and jobs are JSON texts. */
struct StateBundle {
    Revision revision; ///< Configuration revision of the peer; 0 if it has none.
    std::string documents; ///< Configuration documents; empty if the caller is not behind.
    std::string targets; ///< Target list; empty if the peer sends none.
    std::string jobs; ///< Job records; empty if the caller's cursor is current.
    std::uint64_t jobsCursor{0}; ///< Number of the peer's last job change, for the next pull.
};

/**
 * Handlers of incoming calls. They run on the peer RPC thread, must not block, and must call reply exactly once, from any thread.
 * A call without a handler fails with NotFound.
 */
struct PeerHandlers {
    std::function<void(BlobId id, std::function<void(Result<std::string>)> reply)> getBlob; ///< Reads a blob from local storage.
    std::function<void(BlobId id, std::string data, std::function<void(Result<Done>)> reply)> putBlob; ///< Stores a blob durably.
    std::function<void(std::vector<BlobId> ids, std::function<void(Result<std::vector<bool>>)> reply)>
        hasBlobs; ///< Returns for each id whether the blob is stored.
    std::function<void(Revision known, std::uint64_t jobsCursor, std::function<void(Result<StateBundle>)> reply)>
        pullState; ///< Returns the state that is newer than known and jobsCursor.
};

/** RPC server and client of one host. */
struct PeerRpc {
    struct Impl;
    std::shared_ptr<Impl> impl;

    /** Starts the peer RPC thread and listens. */
    static Result<std::unique_ptr<PeerRpc>> create(const Endpoint &listen, PeerHandlers handlers);
    /** Stops and joins the peer RPC thread; pending calls fail with Cancelled. */
    ~PeerRpc();
};

/** @return The port that the server listens on, which the system chose if port 0 was requested. */
[[nodiscard]] std::uint16_t listenPort(const PeerRpc &rpc);

/** Reads a blob from a peer. This coroutine, like those below, resumes on its own executor. */
boost::asio::awaitable<Result<std::string>> peerGetBlob(PeerRpc &rpc, Endpoint peer, BlobId id, std::chrono::milliseconds timeout);

/** Stores a blob durably at a peer. */
boost::asio::awaitable<Result<Done>> peerPutBlob(PeerRpc &rpc, Endpoint peer, BlobId id, std::string data, std::chrono::milliseconds timeout);

/** Asks a peer which blobs it stores. @return One flag for each id. */
boost::asio::awaitable<Result<std::vector<bool>>> peerHasBlobs(PeerRpc &rpc, Endpoint peer, std::vector<BlobId> ids, std::chrono::milliseconds timeout);

/** Pulls the state that is newer than configuration revision @p known and job change @p jobsCursor. */
boost::asio::awaitable<Result<StateBundle>> peerPullState(
    PeerRpc &rpc, Endpoint peer, Revision known, std::uint64_t jobsCursor, std::chrono::milliseconds timeout);

} // namespace skylark
