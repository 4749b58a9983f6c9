/** @file storage_host.cpp A host with a disk that stores no data. */
#include "entry/storage_host_func.h"

#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/event_loop_func.h"
#include "core/hash_func.h"
#include "core/task_func.h"
#include "store/key_mirror_func.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds reportRetryDelay{300}; ///< Delay before a failed report is retried.
constexpr std::chrono::milliseconds orderPollInterval{5000}; ///< Interval of cheap reads that detect an order which the watch has missed.

/** Reports that the host holds no data; retries until the key-value service has stored the report. */
asio::awaitable<void> reportRetired(std::shared_ptr<const KvStore> store, StorageSettings settings)
{
    for (;;) {
        KvTransaction transaction;
        transaction.writes.push_back({settings.retireStatusKey, settings.retireDoneValue, 0});
        const auto outcome = co_await store->commit(std::move(transaction));
        if (isOk(outcome) && valueOf(outcome).applied) {
            logEvent(EventKind::Stop, {}, {{"active", 0}});
            co_return;
        }
        co_await sleepFor(reportRetryDelay);
    }
}

} // namespace

int runStorageHost(StorageSettings settings)
{
    std::signal(SIGPIPE, SIG_IGN);
    openEventLog(settings.host.value);
    logEvent(EventKind::Start, {}, {{"version", "0.2"}, {"role", settings.role}, {"domain", ""}, {"memory_mb", 0}});
    asio::io_context loop{1};
    const auto store = settings.makeStore(loop.get_executor(), MetricsRegistry::create());
    const auto mirror = KeyMirror::create(store, {.prefix = settings.retireKey, .pollInterval = orderPollInterval}, hash64(settings.host.value));
    mirror->onUpdate = [&loop, store, settings](const KeyMirrorUpdate &update) {
        for (const KvItem &item : update.changed) {
            if (!item.deleted && item.key == settings.retireKey) {
                startLoop(loop.get_executor(), "report of the host's state", [store, settings] {
                    return reportRetired(store, settings);
                });
            }
        }
    };
    startLoop(loop.get_executor(), "watch of orders", [mirror] {
        return runKeyMirror(mirror);
    });
    startLoop(loop.get_executor(), "reads of orders", [mirror] {
        return pollKeyMirror(mirror);
    });
    asio::signal_set signals(loop, SIGTERM, SIGINT);
    signals.async_wait([&loop](const boost::system::error_code & /*error*/, int /*signal*/) {
        loop.stop();
    });
    // SIGHUP reloads nothing: only the store's address and the limits may change, and they take effect on a restart.
    std::signal(SIGHUP, SIG_IGN);
    runEventLoop(loop, "storage");
    logEvent(EventKind::Stopped, {}, {{"active", 0}, {"waited_ms", 0}});
    closeEventLog(logFlushTimeout);
    std::_Exit(EXIT_SUCCESS);
}

} // namespace skylark
