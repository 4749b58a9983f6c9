/** @file key_mirror_func.h Local copy of the keys under one prefix, kept up to date by a watch. */
#pragma once

#include "core/clock_func.h"
#include "policy/watch_trust_type.h"
#include "store/kv_store_type.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace skylark {

/** How a mirror is kept up to date. */
struct KeyMirrorOptions {
    std::string prefix; ///< Prefix of the keys that are copied.
    std::chrono::milliseconds watchInterval{0}; ///< Minimum interval between watch calls; groups changes, because each call is billed.
    std::chrono::milliseconds watchTimeout{25000}; ///< Timeout of one watch call.
    bool watchEnabled{true}; ///< Whether changes are watched; if not, only the periodic reads of pollKeyMirror() update the mirror after the first read.
    std::chrono::milliseconds pollInterval{0}; ///< Interval of the cheap stale reads that detect a watch which no longer reports changes; 0 disables them.
    std::chrono::milliseconds retryMin{200}; ///< Delay after the first failed call; doubles with each further failure up to retryMax.
    std::chrono::milliseconds retryMax{1000}; ///< Maximum delay after a failed call.
    std::chrono::milliseconds maxOutageWait{5000}; ///< Maximum time for which a mirror waits until the service answers other calls.
};

/** Changes since the previous call of the update handler. */
struct KeyMirrorUpdate {
    std::vector<KvItem> changed; ///< Items written or deleted.
    bool complete{false}; ///< Whether the mirror was just replaced by a read of the whole prefix.
};

/** State of a mirror; may only be used on the thread of its coroutine. */
struct KeyMirror {
    std::shared_ptr<const KvStore> store;
    KeyMirrorOptions options;
    std::map<std::string, KvItem> items; ///< Current items by key.
    std::uint64_t revision{0}; ///< Revision from which the watch continues; 0 if the whole prefix has to be read.
    bool synced{false}; ///< Whether the last read or watch call succeeded.
    TimePoint confirmedAt{}; ///< Start of the last successful call: the mirror contains at least the changes made before it.
    std::function<void()> onAnswer; ///< Called before onUpdate when a call succeeded that a service without its latest state could not have answered.
    /** Called after changes, and after each read of the whole prefix. After an exception, the same changes are handed over again, one at a time. */
    std::function<void(const KeyMirrorUpdate &)> onUpdate;
    /** Called after each failed call but the periodic reads. @c lostAt is when it was sent or, for a watch, when it ended. */
    std::function<void(const Error &error, TimePoint lostAt)> onFailure;
    std::function<void(const Error *error, TimePoint sentAt)> onPoll; ///< Called after each periodic read, with its error or null. May be empty.
    std::function<void(WatchDoubt doubt, std::chrono::milliseconds age)> onWatchReplaced; ///< Called when a watch of this age is replaced. May be empty.
    std::function<bool()> isStoreAnswering; ///< Whether the service answers other calls; after repeated failures the mirror waits for it. May be empty.
    std::shared_ptr<KvWatchHandle> watch{std::make_shared<KvWatchHandle>()}; ///< Ends the watch that waits.
    TimePoint watchSentAt{}; ///< When the watch that waits was sent; TimePoint{} if none does.
    bool stopped{false}; ///< Makes the coroutines return after their current call.
    std::uint64_t random{1}; ///< State of the random number generator for jitter.

    /** @param seed Seed of the jitter of delays. */
    static std::shared_ptr<KeyMirror> create(std::shared_ptr<const KvStore> store, KeyMirrorOptions options, std::uint64_t seed);
};

/** Applies one item or deletion to the mirror. @return Whether it was newer than the mirror's item and changed the mirror. */
bool applyItem(KeyMirror &mirror, const KvItem &item);

/**
 * Replaces the contents by a read of the whole prefix at @p revision. Keys that are missing from @p items were deleted, unless the mirror's item is
 * newer than @p revision.
 */
KeyMirrorUpdate replaceItems(KeyMirror &mirror, std::vector<KvItem> items, std::uint64_t revision);

/** Reads all pages of the keys under @p prefix. The result has the revision of the first page. */
boost::asio::awaitable<Result<KvItemPage>> readAllKeys(std::shared_ptr<const KvStore> store, std::string prefix, KvFreshness freshness);

/** @return Whether @p page, which may be stale, is newer than the mirror and lacks one of its keys, so that the mirror missed a removal. */
[[nodiscard]] bool hasMissedRemoval(const KeyMirror &mirror, const KvItemPage &page);

/** Applies the newer items of @p page, which may be stale, to the mirror. Removals are not applied. */
[[nodiscard]] KeyMirrorUpdate applyNewerItems(KeyMirror &mirror, const KvItemPage &page);

/**
 * Replaces the watch if it still waits and must not be trusted any more. The next one reports what the lost answer held, if there was one.
 * @param doubtedAt As in mustReplaceWatch().
 */
void doubtWatch(KeyMirror &mirror, WatchDoubt doubt, TimePoint doubtedAt);

/** Reads the prefix and then watches it until the mirror is stopped. Without watches, returns after the first successful read. */
boost::asio::awaitable<void> runKeyMirror(std::shared_ptr<KeyMirror> mirror);

/** Replaces the contents of the mirror by a linearizable read of the whole prefix. @return The error of the read. */
boost::asio::awaitable<Result<Done>> refreshKeyMirror(std::shared_ptr<KeyMirror> mirror);

/**
 * Makes a stale read of the prefix at the interval of the options, and a linearizable read if a removal was missed, until the mirror is stopped. A watch that
 * has not reported what was read is replaced.
 */
boost::asio::awaitable<void> pollKeyMirror(std::shared_ptr<KeyMirror> mirror);

} // namespace skylark
