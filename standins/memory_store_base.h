/** @file memory_store_base.h In-memory key-value service with faults that tests switch on. */
#pragma once

#include "core/clock_func.h"
#include "store/kv_store_type.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace skylark::standin {

/** Injected faults; all are off by default. */
struct StoreFaults {
    bool down{false}; ///< Every call fails with PlatformUnavailable.
    bool silent{false}; ///< No call gets an answer; a watch whose answer falls into this time gets none until its wait is over.
    std::set<std::string> lostWatchAnswers; ///< Prefixes of which the next answer to a watch is lost, while all other calls are answered.
    bool hidesChanges{false}; ///< Watches report no changes and end when their wait is over.
    bool losesWriteAnswers{false}; ///< Transactions are applied, but the caller gets OutcomeUnknown.
    bool dropsWrites{false}; ///< Transactions are not applied, and the caller gets OutcomeUnknown.
    std::chrono::milliseconds callDelay{0}; ///< Time until a transaction reaches the service, so that transactions of several hosts overlap.
    std::chrono::milliseconds writeDelay{0}; ///< If not 0, callers get OutcomeUnknown, and writes are applied so much later if their conditions hold then.
    std::uint64_t staleReadRevision{0}; ///< Revision that stale range reads return; 0 for the latest.
    std::chrono::milliseconds staleReadAge{0}; ///< Age of what stale range reads return, if staleReadRevision is 0.
};

/** Number of calls received, including failed ones. */
struct StoreCounts {
    unsigned gets{0};
    unsigned ranges{0}; ///< Range reads; each page is one call.
    unsigned watches{0};
    unsigned commits{0};
    unsigned renewals{0};
};

/** Stored item and the lease that it is attached to. */
struct StoredItem {
    KvItem item;
    std::uint64_t lease{0}; ///< Id of the lease; 0 for none.
};

/** The service; not thread-safe, used only on the thread of its executor. */
struct MemoryStore {
    boost::asio::any_io_executor executor;
    std::map<std::string, StoredItem> items; ///< Current items by key.
    std::vector<KvItem> history; ///< Changes in order of revision; compact() removes superseded ones.
    std::map<TimePoint, std::uint64_t> revisionTimes; ///< Revisions by the time of the change.
    std::map<std::uint64_t, TimePoint> leases; ///< Expiry time by lease id.
    std::uint64_t revision{1}; ///< Latest revision; each applied transaction, put and removal increments it.
    std::uint64_t compactedTo{0}; ///< Watches that start before this revision are reported as compacted.
    std::uint64_t nextLease{100}; ///< Id of the next lease to be granted.
    std::set<std::shared_ptr<boost::asio::steady_timer>> waiters; ///< Timers of the waiting watches; cancelled to wake them.
    StoreFaults faults;
    StoreCounts counts;
    std::chrono::milliseconds callTimeout{150}; ///< Time limit of calls that get no answer, on the side of the caller.
    bool abortsWatches{false}; ///< Whether watches fail with PlatformUnavailable.

    static std::shared_ptr<MemoryStore> create(boost::asio::any_io_executor executor);
};

/** @return The KvStore interface to @p store, which it keeps alive. */
[[nodiscard]] std::shared_ptr<const KvStore> storeInterface(const std::shared_ptr<MemoryStore> &store);

/** Writes one key without conditions, as another client would. */
void putKey(MemoryStore &store, const std::string &key, const std::string &value);

/** Removes one key without conditions, as another client would. */
void removeKey(MemoryStore &store, const std::string &key);

/** Ends a lease and removes the keys attached to it. */
void expireLease(MemoryStore &store, std::uint64_t lease);

/** Removes superseded changes and deletions from the history, and makes all watches fail for 60 ms. @p store must outlive that time. */
void compact(MemoryStore &store);

} // namespace skylark::standin
