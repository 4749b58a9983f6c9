/** @file blob_store_func.h Durable local blob store (SQLite), and replication of blobs across hosts. */
#pragma once

#include "control/snapshot_type.h"
#include "core/result_type.h"
#include "peer/peer_rpc_func.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <vector>

namespace skylark {

/** Local blob store. Calls may come from any thread; they are serialised by a mutex and block on disk access. */
struct BlobStore {
    struct Impl;
    std::shared_ptr<Impl> impl;

    /** Opens the store in @p folder, or creates it. */
    static Result<std::shared_ptr<BlobStore>> create(const std::string &folder);
};

/** Stores @p data durably under @p id; does nothing if it is stored already. @return InvalidRequest if @p data does not match the hash in @p id. */
[[nodiscard]] Result<Done> putBlob(BlobStore &store, const BlobId &id, std::string_view data);

/** Reads a blob. @return Its data; BlobNotFound if it is not stored; StorageFailed if it cannot be read or is damaged; a damaged copy is removed. */
[[nodiscard]] Result<std::string> getBlob(BlobStore &store, const BlobId &id);

/** @return Whether @p id is stored; its content is not verified. */
[[nodiscard]] bool hasBlob(BlobStore &store, const BlobId &id);

/** @return All stored ids in ascending order, which begin with the job id. */
[[nodiscard]] Result<std::vector<BlobId>> listBlobs(BlobStore &store);

/** Removes all blobs of a job. */
[[nodiscard]] Result<Done> removeJobBlobs(BlobStore &store, const JobId &job);

/** @return Id of a blob: "<job>/<group>/<kind>/<content hash>". */
[[nodiscard]] BlobId makeBlobId(const JobId &job, std::uint32_t group, std::string_view kind, std::string_view data);

/** Access of a host to the copies of blobs in the fleet. */
struct BlobCluster {
    std::shared_ptr<BlobStore> local; ///< Store of this host; null on a host without a disk.
    PeerRpc *rpc{nullptr}; ///< Calls other hosts; not owned.
    std::shared_ptr<SnapshotHolder> snapshot; ///< Provides the hosts and their state.
    std::chrono::milliseconds timeout{3000}; ///< Timeout of one call to another host.
};

/** Stores two durable copies in two failure domains. @return Done, or InsufficientReplicas if too few disk hosts can store a copy. */
boost::asio::awaitable<Result<Done>> storeReplicated(BlobCluster &cluster, BlobId id, std::string data);

/** Reads a blob from the local store or else from other hosts in rank order, live ones first. */
boost::asio::awaitable<Result<std::string>> readReplicated(BlobCluster &cluster, BlobId id);

/** Copies a part of the local blobs to hosts that should hold them and do not; the next call continues with the next part. @return Number of copies made. */
boost::asio::awaitable<Result<std::size_t>> repairBlobs(BlobCluster &cluster);

} // namespace skylark
