/** @file store_base.h Key-value store, rate limit and target list of the platform stand-in. */
#pragma once

#include "../standin_func.h"
#include "core/id_type.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylark::standin {

/** Value of one key. */
struct StoredKey {
    std::string value;
    std::uint64_t version{0}; ///< Event number of the last write, so that it also increases when a deleted key is created again.
    std::string lease; ///< Id of the lease that the key is attached to; empty for none.
};

/** Lease with the keys that are deleted when it ends. */
struct StoredLease {
    std::chrono::milliseconds ttl{};
    SteadyTime expires; ///< Expiry time; each renewal extends it by @c ttl.
    std::set<std::string> keys; ///< Keys attached to it.
};

/** Change of one key, as reported to watches. */
struct StoredEvent {
    std::uint64_t number{0}; ///< Event number, the cursor of a watch.
    std::string key;
    std::string value; ///< New value; empty for a deletion.
    std::uint64_t version{0}; ///< New version; 0 for a deletion.
};

/** Token bucket that holds at most the calls of one second. */
struct RateBucket {
    double perSecond{0}; ///< Calls allowed per second; 0 for no limit.
    double tokens{0}; ///< Calls allowed now.
    SteadyTime filledAt; ///< Time of the last refill.
};

/** Consumes one call from @p bucket. @param reserved Calls per second that are in use otherwise. @return Whether the limit allows the call. */
[[nodiscard]] bool tryAcquireCall(RateBucket &bucket, SteadyTime now, double reserved);

/** One revision of the target list. */
struct TargetList {
    SteadyTime since; ///< Time when it became current.
    std::map<std::string, boost::json::object> targets; ///< Targets by id.
};

/** Key-value store with leases and events. */
struct Store {
    std::map<std::string, StoredKey> keys; ///< Stored keys.
    std::map<std::string, StoredLease> leases;
    std::deque<StoredEvent> history; ///< Latest events, oldest first.
    std::size_t historyLimit{1024}; ///< Maximum number of events in @c history.
    std::uint64_t lastEvent{0}; ///< Number of the last event; 0 before the first.
    std::uint64_t lastLease{0}; ///< Number of the last granted lease.
    std::function<void()> onEvent; ///< Called after each event; may be empty.
};

/** Result of a conditional write. */
enum class StoreOutcome {
    Stored, ///< The write was done.
    Conflict, ///< The key has another version than expected.
    NoLease, ///< The lease does not exist.
};

/** Writes @p key. @param expected Version that the key must have; 0 for an absent key, nothing for any. @param lease Lease to attach it to; empty for none. */
[[nodiscard]] StoreOutcome storePut(Store &store, const std::string &key, std::string value, std::optional<std::uint64_t> expected, const std::string &lease);

/** Deletes @p key; an absent key counts as deleted. @param expected Version that the key must have; 0 for an absent key, nothing for any. */
[[nodiscard]] StoreOutcome storeDelete(Store &store, const std::string &key, std::optional<std::uint64_t> expected);

/** Grants a lease. @return Its id. */
[[nodiscard]] std::string storeGrant(Store &store, std::chrono::milliseconds ttl, SteadyTime now);

/** Extends a lease by its time to live from @p now. @return Whether the lease exists. */
[[nodiscard]] bool storeRenew(Store &store, const std::string &lease, SteadyTime now);

/** Ends a lease and deletes its keys. @return Whether the lease existed. */
[[nodiscard]] bool storeRevoke(Store &store, const std::string &lease);

/** Ends the leases that have expired by @p now. */
void storeExpire(Store &store, SteadyTime now);

/** @return The first @p limit keys that begin with @p prefix and sort after @p after, in wire format. */
[[nodiscard]] boost::json::object storeRange(const Store &store, const std::string &prefix, const std::string &after, std::size_t limit);

/** @return The events of @p prefix after @p cursor in wire format, or nothing if there are none. A cursor outside the history yields a gap and no events. */
[[nodiscard]] std::optional<boost::json::object> storeEvents(const Store &store, const std::string &prefix, std::uint64_t cursor);

} // namespace skylark::standin
