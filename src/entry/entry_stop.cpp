/** @file entry_stop.cpp Reload of the settings and graceful shutdown of an entry host. */
#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/task_func.h"
#include "entry/entry_host_base.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <cstdlib>
#include <sys/stat.h>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds loadBalancerDelay{2500}; ///< Time for the load balancer to take the host out of rotation: two failed readiness probes, one a second.
constexpr milliseconds stopMargin{1200}; ///< The shutdown stops waiting for work this long before the platform kills the process.
constexpr milliseconds stopPollInterval{50}; ///< Interval of the checks for remaining work during shutdown.
constexpr milliseconds settingsPollInterval{2000}; ///< Interval of the checks of the settings file's modification time.

/** Reloads the settings file. Only the stop limit is applied; an invalid file leaves the current settings in force. */
void reload(EntryHost &host)
{
    host.settingsModifiedAt = modificationTime(host.adapters.settingsPath);
    auto settings = host.adapters.readSettings();
    if (!isOk(settings)) {
        logEvent(EventKind::Settings, {}, {{"detail", errorOf(settings).detail}});
        return;
    }
    const bool changed = valueOf(settings).stopLimit != host.settings.stopLimit;
    host.settings.stopLimit = valueOf(settings).stopLimit;
    logEvent(EventKind::Reload, {}, {{"changed", changed ? "stop_limit" : "nothing"}});
}

/** Gives up the jobs of the host and sets @p released; calls to the store may take longer than a stop. */
asio::awaitable<void> releaseAllJobs(EntryHost &host, bool &released)
{
    co_await releaseJobs(*host.runner);
    released = true;
}

/**
 * Shuts down gracefully: reports not ready, gives up jobs, waits for running requests and stored results, removes the host's entry and exits. New requests are
 * accepted until the load balancer has had time to notice. The wait ends stopMargin before the stop limit.
 */
asio::awaitable<void> stopHost(EntryHost &host)
{
    const TimePoint stopStartedAt = BootClock::now();
    updateSenders(*host.proxy);
    logEvent(EventKind::Stop, {}, {{"active", activeRequests(*host.callerServer)}});
    logReadiness(host);
    announceClose(*host.callerServer);
    scheduleEarlyStatus(*host.peers);
    bool released = false; // Lives as long as the process: this function does not return.
    startTask(host.traffic.get_executor(), "release of jobs", releaseAllJobs(host, released), [&released] {
        released = true;
    });
    const TimePoint waitUntil = stopStartedAt + host.settings.stopLimit - stopMargin;
    bool closed = false;
    for (;;) {
        co_await sleepFor(stopPollInterval);
        const TimePoint now = BootClock::now();
        if (!closed && now - stopStartedAt >= loadBalancerDelay) {
            // Keep-alive connections are closed too: a request that arrives on one near the stop limit would be cut off.
            closed = true;
            stopAccepting(*host.callerServer);
            closeIdleConnections(*host.callerServer);
        }
        const bool idle = released && openConnections(*host.callerServer) == 0 && activeItems(*host.runner) == 0;
        if (now >= waitUntil || (idle && closed)) {
            break;
        }
    }
    stopGranting(*host.quotas); // The other hosts take over as soon as the entry is gone.
    bool entryRemoved = false;
    asio::post(host.control, [&host, &entryRemoved] {
        removeHostEntry(*host.fleet, [&host, &entryRemoved] {
            asio::post(host.traffic, [&entryRemoved] {
                entryRemoved = true;
            });
        });
    });
    for (unsigned round = 0; !entryRemoved && round < 10; ++round) {
        co_await sleepFor(stopPollInterval);
    }
    const auto waited = std::chrono::duration_cast<milliseconds>(BootClock::now() - stopStartedAt);
    const std::size_t unfinished = activeRequests(*host.callerServer);
    answerUnfinished(*host.callerServer);
    logEvent(EventKind::Stopped, {}, {{"active", unfinished}, {"waited_ms", waited.count()}});
    exitProcess(EXIT_SUCCESS);
}

/** Starts the shutdown; one that an exception ends leaves the process at once. */
void startStop(EntryHost &host)
{
    host.proxy->stopping = true;
    startTask(host.traffic.get_executor(), "planned stop", stopHost(host), [&host] {
        answerUnfinished(*host.callerServer);
        exitProcess(EXIT_FAILURE);
    });
}

} // namespace

std::int64_t modificationTime(const std::string &path)
{
    struct stat info {
    };
    return ::stat(path.c_str(), &info) == 0 ? static_cast<std::int64_t>(info.st_mtim.tv_sec) * 1000000000 + info.st_mtim.tv_nsec : 0;
}

asio::awaitable<void> watchSettings(EntryHost &host)
{
    for (;;) {
        co_await sleepFor(settingsPollInterval);
        if (modificationTime(host.adapters.settingsPath) != host.settingsModifiedAt) {
            reload(host);
        }
    }
}

void exitProcess(int code)
{
    closeEventLog(logFlushTimeout);
    std::_Exit(code);
}

asio::awaitable<void> handleSignals(EntryHost &host)
{
    asio::signal_set signals(host.traffic, SIGTERM, SIGINT, SIGHUP);
    for (;;) {
        const int signal = co_await signals.async_wait(asio::use_awaitable);
        if (signal == SIGHUP) {
            tryRun("reload", [&host] {
                reload(host);
            });
        } else if (!host.proxy->stopping) {
            startStop(host);
        }
    }
}

} // namespace skylark
