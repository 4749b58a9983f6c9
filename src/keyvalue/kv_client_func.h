/** @file kv_client_func.h Client of the platform's key-value service and host list. */
#pragma once

#include "control/snapshot_type.h"
#include "core/result_type.h"
#include "http/http_client_func.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylark {

/** One key with its value. */
struct KvEntry {
    std::string key; ///< Key.
    std::string value; ///< JSON text; empty for a deletion in a watch.
    KvVersion version; ///< Version; 0 in a watch means deleted.
};

/** One page of a range read. */
struct KvPage {
    std::vector<KvEntry> entries; ///< Entries in key order.
    bool more{false}; ///< Whether entries follow the last one.
    std::uint64_t cursor{0}; ///< Event cursor for a watch that continues from this read.
};

/** Events of one watch call. */
struct KvEvents {
    std::vector<KvEntry> events; ///< Changes in order; may repeat or lag.
    std::uint64_t cursor{0}; ///< Cursor of the next call.
    bool gap{false}; ///< Whether events were lost; the watcher reads the range again.
};

/** Calls made, for cost accounting. */
struct KvCounts {
    std::uint64_t reads{0}; ///< Gets, ranges and host lists.
    std::uint64_t writes{0}; ///< Puts, deletes, lease calls.
    std::uint64_t watches{0}; ///< Watch calls.
    std::uint64_t failures{0}; ///< Calls without an answer.
};

/** Client; belongs to one thread. */
struct KvClient {
    Endpoint endpoint; ///< Service.
    std::shared_ptr<HttpClient> http; ///< Transport.
    std::chrono::milliseconds timeout{1500}; ///< Limit of one call.
    KvCounts counts; ///< Calls made.
    bool reachable{true}; ///< Whether the last call was answered.

    static Result<std::shared_ptr<KvClient>> create(Endpoint endpoint, std::shared_ptr<HttpClient> http);
};

/** Reads one key. @return An empty optional when the key is absent. */
boost::asio::awaitable<Result<std::optional<KvEntry>>> kvGet(KvClient &client, std::string key);

/**
 * Writes one key if its version is @p expected (0: absent).
 * @param lease Lease that the key is bound to, or an empty id.
 * @return The new version; VersionConflict (detail holds the present value, if any); OutcomeUnknown when the answer was lost; PlatformUnavailable or
 * RateLimited when it was not run.
 */
boost::asio::awaitable<Result<KvVersion>> kvPut(KvClient &client, std::string key, std::string value, KvVersion expected, LeaseId lease = LeaseId());

/**
 * Like kvPut(), but resolves a lost answer by reading the key back and comparing the member "writeId" of the JSON value.
 * @return As kvPut(); OutcomeUnknown only when reading back fails as well.
 */
boost::asio::awaitable<Result<KvVersion>> kvPutRecognised(
    KvClient &client, std::string key, std::string value, WriteId writeId, KvVersion expected, LeaseId lease = LeaseId());

/** Deletes one key if its version is @p expected. */
boost::asio::awaitable<Result<Done>> kvDelete(KvClient &client, std::string key, KvVersion expected);

/** Reads a page of the keys that begin with @p prefix and follow @p after. */
boost::asio::awaitable<Result<KvPage>> kvRange(KvClient &client, std::string prefix, std::string after, unsigned limit);

/** Reads all pages of a prefix. */
boost::asio::awaitable<Result<KvPage>> kvRangeAll(KvClient &client, std::string prefix);

/** Waits up to @p wait for changes of keys that begin with @p prefix since @p cursor. */
boost::asio::awaitable<Result<KvEvents>> kvWatch(KvClient &client, std::string prefix, std::uint64_t cursor, std::chrono::milliseconds wait);

/** Grants a lease. */
boost::asio::awaitable<Result<LeaseId>> kvGrantLease(KvClient &client, std::chrono::milliseconds ttl);

/** Renews a lease. @return LeaseExpired when the service no longer knows it. */
boost::asio::awaitable<Result<Done>> kvRenewLease(KvClient &client, LeaseId lease);

/** Ends a lease and deletes its keys. */
boost::asio::awaitable<Result<Done>> kvRevokeLease(KvClient &client, LeaseId lease);

/** Asks the weight store for one load of a model version. @return RateLimited when its rate is used up. */
boost::asio::awaitable<Result<Done>> reserveWeightFetch(KvClient &client, ModelId model, std::string version);

/** Reads the platform's list of targets. */
boost::asio::awaitable<Result<std::vector<TargetInfo>>> platformTargets(KvClient &client);

} // namespace skylark
