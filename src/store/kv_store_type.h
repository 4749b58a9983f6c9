/** @file kv_store_type.h Interface of a key-value service with conditional transactions, leases and watches. */
#pragma once

#include "core/result_type.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace skylark {

/** One key as the service holds it. */
struct KvItem {
    std::string key; ///< Key.
    std::string value; ///< Bytes; empty for a deletion in a watch.
    std::uint64_t revision{0}; ///< Revision of the last change; a deletion has one as well.
    bool deleted{false}; ///< Whether a watch reports that the key was removed.
};

/** One page of a range read. */
struct KvItemPage {
    std::vector<KvItem> items; ///< Items in key order.
    bool more{false}; ///< Whether items follow the last one.
    std::uint64_t storeRevision{0}; ///< Revision of the service at the time of the read.
};

/** Answer of one watch call. */
struct KvChanges {
    std::vector<KvItem> items; ///< Changes in order; empty when the wait ended without one.
    std::uint64_t storeRevision{0}; ///< Revision from which the next call continues.
    bool compacted{false}; ///< Whether the history is gone; the watcher reads the range again.
};

/** Condition of a transaction: the key has this revision. */
struct KvCondition {
    std::string key; ///< Key.
    std::uint64_t revision{0}; ///< Expected revision; 0 means that the key is absent.
};

/** Write of a transaction. */
struct KvWrite {
    std::string key; ///< Key.
    std::string value; ///< Bytes.
    std::uint64_t lease{0}; ///< Lease that removes the key when it ends; 0 for none.
};

/** All-or-nothing change. */
struct KvTransaction {
    std::vector<KvCondition> conditions; ///< All have to hold.
    std::vector<KvWrite> writes; ///< Keys to write.
    std::vector<std::string> removals; ///< Keys to remove.
};

/** Outcome of a transaction that the service decided. */
struct KvDecision {
    bool applied{false}; ///< Whether the change was made.
    std::uint64_t revision{0}; ///< Revision of the change.
    std::vector<KvItem> present; ///< Present items of the conditions when it was not made; absent keys are left out.
};

/** How fresh a read has to be. */
enum class KvFreshness : std::uint8_t {
    Linearizable, ///< Sees every change acknowledged before the call.
    Stale, ///< May be seconds old; costs a tenth.
};

/** Longest transaction that the service takes, in entries of all kinds. */
inline constexpr std::size_t kvTransactionEntries = 32;

/**
 * Operations of the service, supplied by an adapter. They belong to one thread.
 * Errors: PlatformUnavailable and RateLimited when nothing was done, OutcomeUnknown when a write was sent and its answer was lost.
 */
struct KvStore {
    /** Reads one key; nothing when it is absent. */
    std::function<boost::asio::awaitable<Result<std::optional<KvItem>>>(std::string key, KvFreshness freshness)> get;
    /** Reads a page of keys with @c prefix that follow the key @c after. */
    std::function<boost::asio::awaitable<Result<KvItemPage>>(std::string prefix, std::string after, KvFreshness freshness)> range;
    /** Waits for changes under @c prefix later than revision @c after. */
    std::function<boost::asio::awaitable<Result<KvChanges>>(std::string prefix, std::uint64_t after, std::chrono::milliseconds wait)> watch;
    /** Makes one conditional change. A lease that has ended gives LeaseExpired. */
    std::function<boost::asio::awaitable<Result<KvDecision>>(KvTransaction transaction)> commit;
    /** Grants a lease. */
    std::function<boost::asio::awaitable<Result<std::uint64_t>>(std::chrono::milliseconds ttl)> grantLease;
    /** Renews a lease. LeaseExpired when it has ended. */
    std::function<boost::asio::awaitable<Result<Done>>(std::uint64_t lease)> renewLease;
    /** Ends a lease and removes its keys. */
    std::function<boost::asio::awaitable<Result<Done>>(std::uint64_t lease)> endLease;
};

} // namespace skylark
