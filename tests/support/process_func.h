/** @file process_func.h Child processes for tests: start, signal, wait, free ports and blocking HTTP calls. */
#pragma once

#include "core/result_type.h"
#include "http/http_client_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace skylark::test {

/** How to start a child process. */
struct ProcessOptions {
    std::string program; ///< Path, or the name of a program of this build.
    std::vector<std::string> arguments; ///< Arguments without the program name.
    std::string outputFile; ///< File that standard output and error are appended to; empty drops standard output.
};

/** A child process; ended by SIGKILL when the object or the test program goes away. */
struct ChildProcess {
    pid_t pid{-1}; ///< Process id; -1 after it was reaped.
    int status{0}; ///< Wait status once it has ended.

    ChildProcess() = default;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;
    ~ChildProcess();

    /** Starts a process. @return InvalidSettings when the program cannot be started. */
    static Result<std::unique_ptr<ChildProcess>> create(const ProcessOptions &options);
};

/** Sends @p signal to a running process; does nothing after it has ended. */
void sendSignal(ChildProcess &process, int signal);

/** Waits for the end of a process. @return Its exit status, 128 + signal when a signal ended it, or nothing after @p timeout. */
[[nodiscard]] std::optional<int> waitExit(ChildProcess &process, std::chrono::milliseconds timeout);

/** @return Whether the process is still running. */
[[nodiscard]] bool isRunning(ChildProcess &process);

/** Ends a process by SIGKILL and waits for its end. */
void killProcess(ChildProcess &process);

/** @return A TCP port of 127.0.0.1 that was free just now and that this program has not given out before. */
[[nodiscard]] std::uint16_t freePort();

/** @return Path of a program of this build, such as "standin-engine". */
[[nodiscard]] std::string programPath(const std::string &name);

/** Waits until something listens on @p port of 127.0.0.1. @return Whether it did before @p timeout. */
[[nodiscard]] bool waitListening(std::uint16_t port, std::chrono::milliseconds timeout = std::chrono::seconds(10));

/** Starts a program of this build with "--port" set to a free port and waits until it listens; fails the test otherwise. */
struct RunningProgram {
    std::unique_ptr<ChildProcess> process; ///< Process.
    Endpoint endpoint; ///< Address on 127.0.0.1.

    static RunningProgram create(const std::string &name, std::vector<std::string> arguments = {});
};

/** An event loop with an HTTP client, driven by the test. */
struct TestLoop {
    boost::asio::io_context loop{1}; ///< Event loop.
    std::shared_ptr<HttpClient> http{HttpClient::create(loop.get_executor())}; ///< Client.

    /** Runs @p task to its end; fails the test after @p limit. */
    template<typename T>
    T run(boost::asio::awaitable<T> task, std::chrono::milliseconds limit = std::chrono::seconds(20))
    {
        std::optional<T> value;
        std::exception_ptr failure;
        boost::asio::co_spawn(this->loop, std::move(task), [&value, &failure](const std::exception_ptr &thrown, T result) {
            failure = thrown;
            value.emplace(std::move(result));
        });
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!value && std::chrono::steady_clock::now() < end) {
            this->loop.restart();
            this->loop.run_one_for(std::chrono::milliseconds(50));
        }
        REQUIRE_FALSE(failure);
        REQUIRE(value);
        return std::move(*value);
    }

    /** Runs the loop for @p duration. */
    void runFor(std::chrono::milliseconds duration);

    /** Runs the loop until @p condition holds. @return Whether it did before @p limit. */
    [[nodiscard]] bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit = std::chrono::seconds(10));

    /** Makes one call on a new connection. */
    [[nodiscard]] Result<HttpResponse> call(const Endpoint &endpoint, HttpRequest request);

    /** Makes one call that must be answered with status 200. @return The JSON answer; null for an empty body. */
    boost::json::value callJson(const Endpoint &endpoint, std::string method, std::string target, std::string body = {});
};

} // namespace skylark::test
