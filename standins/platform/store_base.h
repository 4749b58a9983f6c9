/** @file store_base.h State of the platform stand-in: keys, leases, events, targets and weight store. */
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

/** One stored key. */
struct StoredKey {
    std::string value; ///< Value.
    std::uint64_t version{0}; ///< Event number of the last write; rises over deletion and re-creation.
    std::string lease; ///< Lease that the key is bound to, or empty.
};

/** One lease. */
struct StoredLease {
    std::chrono::milliseconds ttl{}; ///< Time to live.
    SteadyTime expires; ///< End unless renewed.
    std::set<std::string> keys; ///< Keys bound to it.
};

/** One change. */
struct StoredEvent {
    std::uint64_t number{0}; ///< Event number.
    std::string key; ///< Key.
    std::string value; ///< New value; empty for a deletion.
    std::uint64_t version{0}; ///< New version; 0 for a deletion.
};

/** Token bucket over one second. */
struct RateBucket {
    double perSecond{0}; ///< Calls allowed a second; 0 means no limit.
    double tokens{0}; ///< Calls that may be made now.
    SteadyTime filledAt; ///< Last refill.
};

/** Takes one call from @p bucket. @param reserved Calls a second that are used otherwise. */
[[nodiscard]] bool takeCall(RateBucket &bucket, SteadyTime now, double reserved);

/** One list of targets with the time from which it is true. */
struct TargetList {
    SteadyTime since; ///< Time of the change.
    std::map<std::string, boost::json::object> targets; ///< By id.
};

/** Key-value store with leases and events. */
struct Store {
    std::map<std::string, StoredKey> keys; ///< Keys in order.
    std::map<std::string, StoredLease> leases; ///< Leases by id.
    std::deque<StoredEvent> history; ///< Last events.
    std::size_t historyLimit{1024}; ///< Most events kept.
    std::uint64_t lastEvent{0}; ///< Number of the last event.
    std::uint64_t lastLease{0}; ///< Number of the last lease.
    std::function<void()> changed; ///< Called after each event.
};

/** Result of a conditional write. */
enum class StoreOutcome {
    Stored, ///< Done.
    Conflict, ///< Present version is another one.
    NoLease, ///< Lease is not known.
};

/** Writes @p key if its version is @p expected (0: absent; nothing: any). */
[[nodiscard]] StoreOutcome storePut(Store &store, const std::string &key, std::string value, std::optional<std::uint64_t> expected, const std::string &lease);

/** Deletes @p key if its version is @p expected (nothing: any). */
[[nodiscard]] StoreOutcome storeDelete(Store &store, const std::string &key, std::optional<std::uint64_t> expected);

/** Grants a lease. @return Its id. */
[[nodiscard]] std::string storeGrant(Store &store, std::chrono::milliseconds ttl, SteadyTime now);

/** Renews a lease. @return Whether it is known. */
[[nodiscard]] bool storeRenew(Store &store, const std::string &lease, SteadyTime now);

/** Ends a lease and deletes its keys. @return Whether it was known. */
[[nodiscard]] bool storeRevoke(Store &store, const std::string &lease);

/** Ends the leases that have expired. */
void storeExpire(Store &store, SteadyTime now);

/** @return The page of keys that begin with @p prefix and follow @p after, in wire form. */
[[nodiscard]] boost::json::object storeRange(const Store &store, const std::string &prefix, const std::string &after, std::size_t limit);

/** @return The events of @p prefix after @p cursor in wire form, or nothing while there are none. */
[[nodiscard]] std::optional<boost::json::object> storeEvents(const Store &store, const std::string &prefix, std::uint64_t cursor);

} // namespace skylark::standin
