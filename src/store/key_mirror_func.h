/** @file key_mirror_func.h Local copy of the keys under one prefix, kept up to date by a watch. */
#pragma once

#include "core/clock_func.h"
#include "store/kv_store_type.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace skylark {

/** How a mirror follows the service. */
struct KeyMirrorOptions {
    std::string prefix; ///< Keys that are copied.
    std::chrono::milliseconds pause{0}; ///< Least time between two watch calls; bundles changes, because each call is paid for.
    std::chrono::milliseconds wait{25000}; ///< Longest wait of one watch call.
    bool watches{true}; ///< Whether changes are watched; without, the checks alone bring them.
    std::chrono::milliseconds check{0}; ///< Interval of cheap reads that notice a watch that hears nothing; 0 for none.
    std::chrono::milliseconds retryMin{200}; ///< First delay after a failed call; doubled up to retryMax.
    std::chrono::milliseconds retryMax{1000}; ///< Longest delay after a failed call.
};

/** What changed since the last call of the handler. */
struct KeyMirrorUpdate {
    std::vector<KvItem> changed; ///< Items written or deleted.
    bool complete{false}; ///< Whether the mirror was just read from the service as a whole.
};

/** Mirror; belongs to the thread of its coroutine. */
struct KeyMirror {
    std::shared_ptr<const KvStore> store; ///< Service.
    KeyMirrorOptions options; ///< How to follow it.
    std::map<std::string, KvItem> items; ///< Present items by key.
    std::uint64_t revision{0}; ///< Revision up to which the mirror is complete; 0 before the first read.
    bool synced{false}; ///< Whether the last call succeeded.
    TimePoint confirmedAt{}; ///< Begin of the last successful call: the mirror shows at least what was true then.
    std::function<void(const KeyMirrorUpdate &)> onUpdate; ///< Called after each change, and after each complete read.
    std::function<void(const Error &)> onFailure; ///< Called after each failed call.
    bool stopped{false}; ///< Ends the coroutine at its next step.
    std::uint64_t random{1}; ///< State of the random sequence that spreads retries.

    static std::shared_ptr<KeyMirror> create(std::shared_ptr<const KvStore> store, KeyMirrorOptions options, std::uint64_t seed);
};

/** Takes one item into the mirror. @return Whether it is newer than what the mirror holds. */
bool mirrorItem(KeyMirror &mirror, const KvItem &item);

/** Takes a complete read: keys that are missing from @p items were deleted. */
KeyMirrorUpdate mirrorAll(KeyMirror &mirror, std::vector<KvItem> items, std::uint64_t revision);

/** Reads all keys under @p prefix. */
boost::asio::awaitable<Result<KvItemPage>> readAllKeys(std::shared_ptr<const KvStore> store, std::string prefix, KvFreshness freshness);

/** @return Whether @p page, which may be stale, shows that a key of the mirror was removed. */
[[nodiscard]] bool showsMissedRemoval(const KeyMirror &mirror, const KvItemPage &page);

/** Takes what is newer in @p page, which may be stale, into the mirror. Removals are left out. */
[[nodiscard]] KeyMirrorUpdate takeNewer(KeyMirror &mirror, const KvItemPage &page);

/** Follows the service until the mirror is stopped. */
boost::asio::awaitable<void> runKeyMirror(std::shared_ptr<KeyMirror> mirror);

/** Reads the prefix at the interval of the options, and as a whole when a change was missed, until the mirror is stopped. */
boost::asio::awaitable<void> checkKeyMirror(std::shared_ptr<KeyMirror> mirror);

} // namespace skylark
