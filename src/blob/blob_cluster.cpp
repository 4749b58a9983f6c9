/** @file blob_cluster.cpp Replication of blobs across the disk hosts of the fleet. */
#include "blob/blob_store_base.h"
#include "core/invariant_func.h"
#include "policy/membership_func.h"

#include <algorithm>
#include <glog/logging.h>
#include <map>

namespace skylark {

namespace asio = boost::asio;

namespace {

using SnapshotPtr = std::shared_ptr<const ControlSnapshot>;

constexpr std::size_t requiredCopies = 2; ///< Copies of each blob, each in a different failure domain.
constexpr std::size_t maxRepairIds = 256; ///< Maximum blobs checked in one repair call.
constexpr std::size_t maxRepairCopies = 32; ///< Maximum copies made in one repair call; limits the transfer before the live hosts are determined again.
constexpr std::chrono::seconds retryAfter{5}; ///< Suggested delay before a refused store is retried; hosts usually return within seconds.

SnapshotPtr snapshotOf(const BlobCluster &cluster)
{
    return cluster.snapshot->current.load();
}

bool isLive(const BlobCluster &cluster, const ControlSnapshot &snapshot, const HostView &host)
{
    if (host.info.id == snapshot.self.id) {
        return cluster.local && !snapshot.stopping;
    }
    return host.state == HostState::Live;
}

/** @return Disk hosts in rank order for @p id: those that are live, or those that are not. */
std::vector<HostInfo> rankedHosts(const BlobCluster &cluster, const ControlSnapshot &snapshot, const BlobId &id, bool live)
{
    std::vector<HostInfo> hosts;
    for (const HostView &host : snapshot.hosts) {
        if (isLive(cluster, snapshot, host) == live) {
            hosts.push_back(host.info);
        }
    }
    return rankBlobHosts(id, std::move(hosts));
}

asio::awaitable<Result<Done>> storeAt(BlobCluster &cluster, bool isSelf, HostInfo host, BlobId id, std::string data)
{
    if (isSelf) {
        co_return putBlob(*cluster.local, id, data);
    }
    co_return co_await peerPutBlob(*cluster.rpc, std::move(host.peerRpc), std::move(id), std::move(data), cluster.timeout);
}

Error insufficientReplicas(const BlobId &id, std::size_t copies, const std::string &failures)
{
    Error error = makeError(ErrorCode::InsufficientReplicas,
                            "blob " + id.value + ": " + std::to_string(copies) + " of " + std::to_string(requiredCopies) + " copies" + failures);
    error.retryAfter = retryAfter;
    return error;
}

bool hasCopyInDomain(const std::vector<HostInfo> &copies, const DomainId &domain)
{
    return std::any_of(copies.begin(), copies.end(), [&domain](const HostInfo &host) {
        return host.domain == domain;
    });
}

bool inTwoDomains(const std::vector<HostInfo> &copies)
{
    return copies.size() == requiredCopies && copies.front().domain != copies.back().domain;
}

/** Reads from @p hosts in order until one returns content that matches the hash in the id. */
asio::awaitable<Result<std::string>> readFromPeers(BlobCluster &cluster, BlobId id, std::vector<HostInfo> hosts)
{
    Error lastError = makeError(ErrorCode::BlobNotFound, id.value + ": no other disk host");
    for (const HostInfo &host : hosts) {
        auto data = co_await peerGetBlob(*cluster.rpc, host.peerRpc, id, cluster.timeout);
        if (isOk(data) && hasContentHash(id, valueOf(data))) {
            co_return data;
        }
        lastError.detail = id.value + ": last tried " + host.id.value + ": " + (isOk(data) ? "content does not match" : errorOf(data).detail);
        VLOG(1) << "[blob] " << lastError.detail;
    }
    co_return lastError;
}

/** Copies at most @p limit of the local blobs @p ids that @p host lacks to it. @return Number of copies made. */
asio::awaitable<std::size_t> repairHost(BlobCluster &cluster, HostInfo host, std::vector<BlobId> ids, std::size_t limit)
{
    std::size_t copies = 0;
    const auto stored = co_await peerHasBlobs(*cluster.rpc, host.peerRpc, ids, cluster.timeout);
    for (std::size_t i = 0; isOk(stored) && i < ids.size() && copies < limit; ++i) {
        if (valueOf(stored)[i]) {
            continue;
        }
        auto data = getBlob(*cluster.local, ids[i]);
        if (!isOk(data)) {
            continue;
        }
        const auto pushed = co_await peerPutBlob(*cluster.rpc, host.peerRpc, ids[i], std::move(valueOf(data)), cluster.timeout);
        if (!isOk(pushed)) {
            LOG(WARNING) << "[blob] repair of " << ids[i].value << " at " << host.id.value << " failed: " << errorOf(pushed).detail;
            break;
        }
        ++copies;
    }
    co_return copies;
}

/** @return For each other host the blobs of @p ids that it should hold. */
std::map<HostId, std::pair<HostInfo, std::vector<BlobId>>> placementsOf(const BlobCluster &cluster, const std::vector<BlobId> &ids)
{
    std::map<HostId, std::pair<HostInfo, std::vector<BlobId>>> placements;
    const SnapshotPtr snapshot = snapshotOf(cluster);
    for (const BlobId &id : ids) {
        for (const HostInfo &host : blobPlacement(rankedHosts(cluster, *snapshot, id, true))) {
            if (host.id != snapshot->self.id) {
                placements.try_emplace(host.id, host, std::vector<BlobId>()).first->second.second.push_back(id);
            }
        }
    }
    return placements;
}

} // namespace

asio::awaitable<Result<Done>> storeReplicated(BlobCluster &cluster, BlobId id, std::string data)
{
    const SnapshotPtr snapshot = snapshotOf(cluster);
    const std::vector<HostInfo> candidates = rankedHosts(cluster, *snapshot, id, true);
    std::vector<HostInfo> copies;
    std::string failures;
    if (blobPlacement(candidates).size() < requiredCopies) {
        co_return insufficientReplicas(id, 0, "; fewer than two failure domains have live disk hosts");
    }
    for (const HostInfo &host : candidates) {
        if (hasCopyInDomain(copies, host.domain)) {
            continue;
        }
        const auto stored = co_await storeAt(cluster, host.id == snapshot->self.id, host, id, data);
        if (!isOk(stored)) {
            failures += "; " + host.id.value + ": " + errorOf(stored).detail;
            continue;
        }
        copies.push_back(host);
        if (copies.size() == requiredCopies) {
            SKY_INVARIANT(Promise::DurableAck, inTwoDomains(copies));
            VLOG(1) << "[blob] " << id.value << " is stored at " << copies[0].id.value << " and " << copies[1].id.value;
            co_return Done{};
        }
    }
    LOG(WARNING) << "[blob] " << id.value << " has " << copies.size() << " of " << requiredCopies << " copies" << failures;
    co_return insufficientReplicas(id, copies.size(), failures);
}

asio::awaitable<Result<std::string>> readReplicated(BlobCluster &cluster, BlobId id)
{
    if (cluster.local) {
        auto data = getBlob(*cluster.local, id);
        if (isOk(data)) {
            co_return data;
        }
    }
    const SnapshotPtr snapshot = snapshotOf(cluster);
    std::vector<HostInfo> hosts = rankedHosts(cluster, *snapshot, id, true);
    const std::vector<HostInfo> others = rankedHosts(cluster, *snapshot, id, false);
    hosts.insert(hosts.end(), others.begin(), others.end());
    std::erase_if(hosts, [&snapshot](const HostInfo &host) {
        return host.id == snapshot->self.id;
    });
    co_return co_await readFromPeers(cluster, std::move(id), std::move(hosts));
}

asio::awaitable<Result<std::size_t>> repairBlobs(BlobCluster &cluster)
{
    if (!cluster.local) {
        co_return std::size_t{0};
    }
    const auto ids = listBlobsAfter(*cluster.local, cluster.local->impl->repairCursor, maxRepairIds);
    if (!isOk(ids)) {
        co_return errorOf(ids);
    }
    std::size_t copies = 0;
    for (const auto &[id, placement] : placementsOf(cluster, valueOf(ids))) {
        if (copies < maxRepairCopies) {
            copies += co_await repairHost(cluster, placement.first, placement.second, maxRepairCopies - copies);
        }
    }
    // If the limit was reached, the next call checks the same blobs again. After the last blob, it starts from the beginning.
    if (copies < maxRepairCopies) {
        cluster.local->impl->repairCursor = valueOf(ids).size() < maxRepairIds ? BlobId{} : valueOf(ids).back();
    }
    co_return copies;
}

} // namespace skylark
