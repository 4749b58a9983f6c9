/** @file loaded_host.h A real skylark-host process with store and targets on loopback addresses, for tests of clients that nobody controls. */
#pragma once

#include "memory_store_base.h"
#include "store_server_func.h"
#include "support/process_func.h"

#include <boost/asio/executor_work_guard.hpp>
#include <filesystem>
#include <thread>

namespace skylark::test {

inline constexpr std::size_t loadedHostMemoryMegabytes = 64; ///< limits.memory_mb of the host.
inline constexpr std::size_t loadedHostDescriptors = 1024; ///< limits.fds of the host.
inline constexpr std::size_t loadedHostMaxBody = 4194304; ///< max_body_bytes of the configuration.
inline constexpr std::size_t largeAnswerBytes = std::size_t{15} << 20U; ///< An answer almost as large as a host takes from a target.

/** The host and what it needs; store and targets run on a thread of their own. */
struct LoadedHost {
    std::filesystem::path folder; ///< Settings and log.
    boost::asio::io_context loop{1}; ///< Event loop of store and targets.
    std::unique_ptr<HttpServer> storeServer;
    std::unique_ptr<HttpServer> target; ///< Answers the paths of all routes; "/large" in the path asks for a large answer.
    Endpoint callers;
    Endpoint readiness;
    std::unique_ptr<ChildProcess> process;
    std::size_t mostDescriptors{0}; ///< Largest number of open descriptors seen by watchHost().
    std::thread thread;

    /** Starts everything and waits until the host is ready; @p extraSettings are added to the settings file. */
    explicit LoadedHost(const std::string &extraSettings = {});
    LoadedHost(const LoadedHost &) = delete;
    LoadedHost &operator=(const LoadedHost &) = delete;
    ~LoadedHost();
};

/** Counts the open descriptors of the host. */
void watchHost(LoadedHost &host);

/** @return Largest resident memory of the host so far in KiB (VmHWM); 0 once it has ended. */
[[nodiscard]] std::size_t peakResidentKib(const LoadedHost &host);

/** Sends ordinary requests, one after the other, until one is answered by a target or 40 s are over. @return Whether one was. */
[[nodiscard]] bool answersOrdinaryRequest(const LoadedHost &host);

/** @return The value of a counter of the host, summed over its labels. */
[[nodiscard]] double hostCounter(const LoadedHost &host, const std::string &name);

} // namespace skylark::test
