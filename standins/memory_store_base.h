/** @file memory_store_base.h Key-value service in memory with faults that tests switch on. */
#pragma once

#include "core/clock_func.h"
#include "store/kv_store_type.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>

namespace skylark::standin {

/** Faults of the service; all are off at first. */
struct StoreFaults {
    bool down{false}; ///< Refuses every call.
    bool deafWatches{false}; ///< Watches that wait hear nothing and end without a change.
    bool losesWriteAnswers{false}; ///< Writes take effect, but their answers are lost.
    bool dropsWrites{false}; ///< Writes get no answer and take no effect.
    std::chrono::milliseconds lateWrites{0}; ///< Writes get no answer and take effect so much later, if their conditions hold then.
    std::uint64_t staleBefore{0}; ///< Stale reads show the state of this revision; 0 for the present one.
};

/** Calls answered or refused. */
struct StoreCounts {
    unsigned gets{0}; ///< Reads of one key.
    unsigned ranges{0}; ///< Reads of a prefix.
    unsigned watches{0}; ///< Watch calls.
    unsigned commits{0}; ///< Transactions.
};

/** Key with its lease. */
struct StoredItem {
    KvItem item; ///< Item.
    std::uint64_t lease{0}; ///< Lease; 0 for none.
};

/** Service; belongs to one thread. */
struct MemoryStore {
    boost::asio::any_io_executor executor; ///< Thread.
    std::map<std::string, StoredItem> items; ///< Present keys.
    std::vector<KvItem> history; ///< All changes in order.
    std::map<std::uint64_t, TimePoint> leases; ///< Leases with their ends.
    std::uint64_t revision{1}; ///< Last revision.
    std::uint64_t compactedTo{0}; ///< Changes up to this revision are forgotten.
    std::uint64_t nextLease{100}; ///< Next lease.
    std::set<std::shared_ptr<boost::asio::steady_timer>> waiters; ///< Watches that wait.
    StoreFaults faults; ///< Faults.
    StoreCounts counts; ///< Calls.
    bool cutWatches{false}; ///< Whether the waiting watches end with an error.

    static std::shared_ptr<MemoryStore> create(boost::asio::any_io_executor executor);
};

/** @return The operations on @p store. */
[[nodiscard]] std::shared_ptr<const KvStore> storeInterface(const std::shared_ptr<MemoryStore> &store);

/** Writes one key as another client would. */
void putKey(MemoryStore &store, const std::string &key, const std::string &value);

/** Removes one key as another client would. */
void removeKey(MemoryStore &store, const std::string &key);

/** Ends a lease and removes its keys. */
void expireLease(MemoryStore &store, std::uint64_t lease);

/** Forgets the history and cuts the waiting watches. */
void compact(MemoryStore &store);

} // namespace skylark::standin
