/** @file kv_store_type.h Interface of a key-value service with conditional transactions, leases and watches. */
#pragma once

#include "core/result_type.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylark {

/** One key with its value. */
struct KvItem {
    std::string key;
    std::string value; ///< Raw bytes; empty if @c deleted.
    std::uint64_t revision{0}; ///< Revision of the last change, including a deletion.
    bool deleted{false}; ///< Whether the key was removed; only in results of a watch.
};

/** One page of a range read. */
struct KvItemPage {
    std::vector<KvItem> items; ///< Items in key order.
    bool more{false}; ///< Whether items follow the last one.
    std::uint64_t storeRevision{0}; ///< Revision of the service at the time of the read.
};

/** Result of one watch call. */
struct KvWatchResult {
    std::vector<KvItem> items; ///< Changes in order; empty if there was none before the timeout.
    std::uint64_t storeRevision{0}; ///< Revision from which the next call continues.
    bool compacted{false}; ///< Whether the service no longer has the requested revisions; the caller has to read the whole range again.
};

/** Lets another coroutine of the same thread end a watch that waits. */
struct KvWatchHandle {
    std::function<void()> cancel; ///< Makes the call return ErrorCode::Cancelled. Empty while no call waits.
};

/** Precondition of a transaction: the revision of one key. */
struct KvCondition {
    std::string key;
    std::uint64_t revision{0}; ///< Expected revision; 0 means that the key is absent.
};

/** Write of one key in a transaction. */
struct KvWrite {
    std::string key;
    std::string value; ///< Raw bytes.
    std::uint64_t lease{0}; ///< Lease whose end removes the key; 0 for none.
};

/** Atomic conditional change. */
struct KvTransaction {
    std::vector<KvCondition> conditions; ///< All of them must hold for the change to be applied.
    std::vector<KvWrite> writes;
    std::vector<std::string> removals; ///< Keys to remove.
};

/** Result of a transaction that the service either applied or rejected because of its conditions. */
struct KvTransactionResult {
    bool applied{false}; ///< Whether all conditions held and the change was applied.
    std::uint64_t revision{0}; ///< Revision of the change, if it was applied.
    std::vector<KvItem> currentItems; ///< Current items of the keys in the conditions, if the change was not applied; without absent keys.
};

/** Consistency of a read. */
enum class KvFreshness : std::uint8_t {
    Linearizable, ///< Returns every change acknowledged before the call.
    Stale, ///< May be seconds old; costs a tenth of a linearizable read.
};

/** Maximum number of conditions, writes and removals in one transaction, counted together. */
inline constexpr std::size_t kvTransactionEntries = 32;

/**
 * Operations of the service, implemented by an adapter. All of them must be called from one thread.
 * Errors: PlatformUnavailable and RateLimited if the operation was not run, OutcomeUnknown if a write was sent but its response was lost, Cancelled for a watch
 * that was ended by its handle.
 */
struct KvStore {
    /** Reads one key; an empty optional if it is absent. */
    std::function<boost::asio::awaitable<Result<std::optional<KvItem>>>(std::string key, KvFreshness freshness)> get;
    /** Reads one page of the keys with @c prefix that sort after the key @c after. */
    std::function<boost::asio::awaitable<Result<KvItemPage>>(std::string prefix, std::string after, KvFreshness freshness)> range;
    /** Waits up to @c wait for changes under @c prefix after revision @c after. @c handle, which may be null, can end the wait. */
    std::function<boost::asio::awaitable<Result<KvWatchResult>>(
        std::string prefix, std::uint64_t after, std::chrono::milliseconds wait, std::shared_ptr<KvWatchHandle> handle)>
        watch;
    /** Runs one transaction. Fails with LeaseExpired if a lease in it has ended. */
    std::function<boost::asio::awaitable<Result<KvTransactionResult>>(KvTransaction transaction)> commit;
    /** Grants a lease and returns its id. */
    std::function<boost::asio::awaitable<Result<std::uint64_t>>(std::chrono::milliseconds ttl)> grantLease;
    /** Renews a lease. Fails with LeaseExpired if it has ended. */
    std::function<boost::asio::awaitable<Result<Done>>(std::uint64_t lease)> renewLease;
    /** Ends a lease and removes its keys. */
    std::function<boost::asio::awaitable<Result<Done>>(std::uint64_t lease)> endLease;
};

} // namespace skylark
