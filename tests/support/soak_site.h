/** @file soak_site.h Store, targets and host processes of a soak test, and the operator who changes configuration, targets and hosts. */
#pragma once

#include "memory_store_base.h"
#include "scripted_target_base.h"
#include "store_server_func.h"
#include "support/process_func.h"

#include <filesystem>
#include <random>

namespace skylark::test {

inline constexpr std::chrono::milliseconds soakAdoptionTime{2000}; ///< Time after a change of the configuration in which a host may still use the previous one.
inline constexpr std::chrono::milliseconds soakStopLimit{8000}; ///< Time after SIGTERM within which a host must have ended.
inline constexpr unsigned soakEvents = 40; ///< Number of events of each answer.
inline constexpr const char *soakBodySizeHeader = "X-Body-Size"; ///< Header in which callers name the size of a body.
inline constexpr const char *soakItemPrefix = "item-"; ///< Prefix of the identifiers of items of jobs.

/** Kind of a change of the configuration. */
enum class SoakChange : std::uint8_t {
    Route, ///< A route moves to another service.
    Weights, ///< A route is split between services with other weights.
    Timeout,
    Idle, ///< Another idle limit of connections.
    Tenant,
    ManyRoutes, ///< Some hundred routes are added or removed.
};

/** Values that the operator changes. */
struct SoakConfig {
    std::uint64_t version{1};
    std::string chatService{"llm"};
    unsigned otherWeight{0}; ///< Weight of the other service on the route "chat"; that of its own one is 10.
    std::chrono::milliseconds chatTimeout{8000};
    std::chrono::milliseconds idleLimit{8000};
    unsigned tenantTokens{100000};
    unsigned addedRoutes{0};
};

/** A configuration and when it was written. */
struct WrittenConfig {
    TimePoint at;
    SoakConfig config;
};

/** One host and the process that serves on its addresses now. */
struct SoakHost {
    std::string name;
    std::string address; ///< Loopback address; one for each host, because the metrics port is fixed.
    Endpoint callers;
    Endpoint readiness;
    std::string settings; ///< Path of the settings file.
    std::string output; ///< Path of the file with its standard output and error.
    std::unique_ptr<ChildProcess> process;
    bool ready{false}; ///< Whether new connections are opened to it.
    std::vector<TimePoint> stops; ///< When its processes got SIGTERM.
    bool stopping{false}; ///< Whether its process got SIGTERM.
};

/** Times at which something of the test was late, and by how much. */
using LateTimes = std::vector<std::pair<TimePoint, std::chrono::milliseconds>>;

/** The whole site. Runs on the event loop of the test. */
struct SoakSite : TestLoop {
    std::filesystem::path folder; ///< Settings and logs of the hosts.
    std::mt19937_64 random; ///< Draws of the operator.
    std::shared_ptr<standin::MemoryStore> store{standin::MemoryStore::create(loop.get_executor())};
    std::unique_ptr<HttpServer> storeServer;
    std::vector<std::shared_ptr<standin::ScriptedTarget>> targets; ///< Targets that are alive.
    std::vector<std::shared_ptr<standin::ScriptedTarget>> crashedTargets; ///< Targets that were replaced after a crash.
    std::vector<SoakHost> hosts;
    std::vector<WrittenConfig> configs; ///< In order of writing.
    LateTimes stalls; ///< When the event loop of the test was late.
    LateTimes storeDelays; ///< When the store had answered a read, and after what time.
    std::vector<std::string> problems; ///< Host processes that ended in the wrong way.
    std::chrono::milliseconds longestRestart{0}; ///< Longest time between the removal of a crashed target and the start of the one in its place.
    unsigned targetNumber{0}; ///< Number of targets started so far.
    bool ending{false}; ///< Whether the operator makes no further changes.

    /** Starts store, targets and hosts and waits until the hosts are ready. */
    SoakSite(std::uint64_t seed, unsigned hostCount, std::filesystem::path folder);
    SoakSite(const SoakSite &) = delete;
    SoakSite &operator=(const SoakSite &) = delete;
    ~SoakSite();
};

/** @return A number from @p least to @p most. */
[[nodiscard]] std::uint64_t drawNumber(std::mt19937_64 &random, std::uint64_t least, std::uint64_t most);

/** @return A time from @p least to @p most. */
[[nodiscard]] std::chrono::milliseconds drawTime(std::mt19937_64 &random, std::chrono::milliseconds least, std::chrono::milliseconds most);

/** Changes the configuration now and then, at times several times a second, until SoakSite::ending is set. */
boost::asio::awaitable<void> runOperator(SoakSite &site);

/** Makes targets silent, slow or crash now and then, several at once, until SoakSite::ending is set. */
boost::asio::awaitable<void> troubleTargets(SoakSite &site);

/** Stops one host after the other by SIGTERM, at times several at once, and starts them again, until SoakSite::ending is set. */
boost::asio::awaitable<void> restartHosts(SoakSite &site);

/** Changes the settings file of a host now and then and sends SIGHUP, at times in series and also while it stops, until SoakSite::ending is set. */
boost::asio::awaitable<void> reloadHosts(SoakSite &site);

/** Records in SoakSite::stalls how late the event loop runs, until SoakSite::ending is set. */
boost::asio::awaitable<void> watchLoop(SoakSite &site);

/** Reads from the store all the time, as hosts do, and records in SoakSite::storeDelays how long that takes, until SoakSite::ending is set. */
boost::asio::awaitable<void> watchStore(SoakSite &site);

/** @return The longest of @p times that touches the time between @p from and @p until. */
[[nodiscard]] std::chrono::milliseconds longestLateness(const LateTimes &times, TimePoint from, TimePoint until);

/** @return The shortest idle limit that a host may apply at @p at. */
[[nodiscard]] std::chrono::milliseconds idleLimitAt(const SoakSite &site, TimePoint at);

/** @return The shortest timeout of @p route that a host may apply to a request sent at @p at. */
[[nodiscard]] std::chrono::milliseconds routeTimeoutAt(const SoakSite &site, const std::string &route, TimePoint at);

} // namespace skylark::test
