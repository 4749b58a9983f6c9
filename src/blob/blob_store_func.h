/** @file blob_store_func.h Durable local store of bulk data (SQLite) and replicated access. */
#pragma once

#include "control/snapshot_type.h"
#include "core/result_type.h"
#include "peer/peer_rpc_func.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <vector>

namespace skylark {

/** Local store; calls are serialised by an internal mutex and block for the disk. */
struct BlobStore {
    struct Impl;
    std::shared_ptr<Impl> impl; ///< Hidden state.

    /** Opens or creates the store below @p folder. */
    static Result<std::shared_ptr<BlobStore>> create(const std::string &folder);
};

/** Stores @p data durably under @p id; storing the same id again is a no-op. */
[[nodiscard]] Result<Done> putBlob(BlobStore &store, const BlobId &id, std::string_view data);

/** Reads a blob and verifies its content hash. @return BlobNotFound when it is not here. */
[[nodiscard]] Result<std::string> getBlob(BlobStore &store, const BlobId &id);

/** @return Whether @p id is stored. */
[[nodiscard]] bool hasBlob(BlobStore &store, const BlobId &id);

/** @return All ids, for repair; ids begin with the job id. */
[[nodiscard]] Result<std::vector<BlobId>> listBlobs(BlobStore &store);

/** Removes all blobs of a job. */
[[nodiscard]] Result<Done> removeJobBlobs(BlobStore &store, const JobId &job);

/** @return Id of a blob: "<job>/<group>/<kind>/<content hash>". */
[[nodiscard]] BlobId makeBlobId(const JobId &job, std::uint32_t group, std::string_view kind, std::string_view data);

/** Access to all copies in the fleet. */
struct BlobCluster {
    std::shared_ptr<BlobStore> local; ///< Null on a host without a disk.
    PeerRpc *rpc{nullptr}; ///< Access to other hosts.
    std::shared_ptr<SnapshotHolder> snapshot; ///< Hosts and their state.
    std::chrono::milliseconds timeout{3000}; ///< Limit of one copy operation.
};

/** Stores two durable copies in two failure domains. @return InsufficientReplicas when too few are reachable. */
boost::asio::awaitable<Result<Done>> storeReplicated(BlobCluster &cluster, BlobId id, std::string data);

/** Reads a blob from any copy, in rank order. */
boost::asio::awaitable<Result<std::string>> readReplicated(BlobCluster &cluster, BlobId id);

/** Pushes local blobs to the hosts that now rank for them and lack them. @return Copies made. */
boost::asio::awaitable<Result<std::size_t>> repairBlobs(BlobCluster &cluster);

} // namespace skylark
