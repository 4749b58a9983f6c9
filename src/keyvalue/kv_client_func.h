/** @file kv_client_func.h Client of the platform's key-value service, weight store and target list. */
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
    std::string key;
    std::string value; ///< JSON text; empty for a deletion reported by a watch.
    KvVersion version; ///< 0 in the result of a watch means that the key was deleted.
};

/** One page of a range read. */
struct KvPage {
    std::vector<KvEntry> entries; ///< Entries in key order.
    bool more{false}; ///< Whether entries follow the last one.
    std::uint64_t cursor{0}; ///< Cursor for a watch that continues from this read.
};

/** Result of one watch call. */
struct KvEvents {
    std::vector<KvEntry> events; ///< Changes in order; may be repeated or delayed.
    std::uint64_t cursor{0}; ///< Cursor of the next call.
    bool gap{false}; ///< Whether events were lost; the caller has to read the whole range again.
};

/** Number of calls by kind, for cost accounting. */
struct KvCounts {
    std::uint64_t reads{0}; ///< Reads of keys, ranges and the target list.
    std::uint64_t writes{0}; ///< Puts, deletes, lease calls and weight fetch reservations.
    std::uint64_t watches{0};
    std::uint64_t failures{0}; ///< Calls without a response, or with a 5xx status.
};

/** Client; may only be used from one thread. */
struct KvClient {
    Endpoint endpoint; ///< Address of the service.
    std::shared_ptr<HttpClient> http;
    std::chrono::milliseconds timeout{1500}; ///< Time limit of each phase of a call; a watch adds its wait to the time until the response head.
    KvCounts counts;
    bool reachable{true}; ///< Whether the last call got a response below status 500.

    /** @return The client, or InvalidSettings if @p endpoint has no numeric address or no port. */
    static Result<std::shared_ptr<KvClient>> create(Endpoint endpoint, std::shared_ptr<HttpClient> http);
};

/** Reads one key. @return An empty optional if the key is absent. */
boost::asio::awaitable<Result<std::optional<KvEntry>>> kvGet(KvClient &client, std::string key);

/**
 * Writes one key if its version is @p expected (0: absent).
 * @param lease Lease that the key is bound to; empty for none.
 * @return The new version; VersionConflict (detail holds the current value, if any); OutcomeUnknown if the response was lost; PlatformUnavailable or
 * RateLimited if the write did not run.
 */
boost::asio::awaitable<Result<KvVersion>> kvPut(KvClient &client, std::string key, std::string value, KvVersion expected, LeaseId lease = LeaseId());

/**
 * Like kvPut(), but resolves a lost response by reading the key back and comparing the member "writeId" of the JSON value with @p writeId.
 * @return As kvPut(); OutcomeUnknown only if reading back fails or repeated writes remain without a response.
 */
boost::asio::awaitable<Result<KvVersion>> kvPutVerified(
    KvClient &client, std::string key, std::string value, WriteId writeId, KvVersion expected, LeaseId lease = LeaseId());

/** Deletes one key if its version is @p expected. */
boost::asio::awaitable<Result<Done>> kvDelete(KvClient &client, std::string key, KvVersion expected);

/** Reads a page of up to @p limit keys that begin with @p prefix and sort after @p after. */
boost::asio::awaitable<Result<KvPage>> kvRange(KvClient &client, std::string prefix, std::string after, unsigned limit);

/** Reads all pages of the keys that begin with @p prefix. The result has the cursor of the first page. */
boost::asio::awaitable<Result<KvPage>> kvRangeAll(KvClient &client, std::string prefix);

/** Waits up to @p wait for changes of keys that begin with @p prefix since @p cursor. */
boost::asio::awaitable<Result<KvEvents>> kvWatch(KvClient &client, std::string prefix, std::uint64_t cursor, std::chrono::milliseconds wait);

/** Requests a new lease. @return Its id. */
boost::asio::awaitable<Result<LeaseId>> kvGrantLease(KvClient &client, std::chrono::milliseconds ttl);

/** Renews a lease. @return LeaseExpired if the service no longer knows it. */
boost::asio::awaitable<Result<Done>> kvRenewLease(KvClient &client, LeaseId lease);

/** Ends a lease and deletes its keys. */
boost::asio::awaitable<Result<Done>> kvRevokeLease(KvClient &client, LeaseId lease);

/** Requests permission from the weight store to load the weights of a model version once. @return RateLimited if its rate limit is reached. */
boost::asio::awaitable<Result<Done>> reserveWeightFetch(KvClient &client, ModelId model, std::string version);

/** The platform's list of targets. */
struct PlatformTargets {
    std::vector<TargetInfo> targets; ///< Targets of the valid entries.
    std::vector<Error> refused; ///< One for each entry that lacks a field or has an invalid one; @c param names the field.
};

/** Reads the platform's list of targets, which may lag behind. */
boost::asio::awaitable<Result<PlatformTargets>> platformTargets(KvClient &client);

} // namespace skylark
