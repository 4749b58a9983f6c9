/** @file process_func.h Child processes, free ports and blocking HTTP calls for tests. */
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
    std::string program; ///< Path, or the name of a program of this build, which has no slash.
    std::vector<std::string> arguments; ///< Arguments, not including the program name.
    std::string outputFile; ///< File to which standard output and error are appended; if empty, standard output is discarded and standard error inherited.
};

/** Child process; killed by SIGKILL when the object is destroyed or the test program ends. */
struct ChildProcess {
    pid_t pid{-1}; ///< Process id; -1 after it was reaped.
    int status{0}; ///< Status from waitpid(); valid after it was reaped.

    ChildProcess() = default;
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;
    ~ChildProcess();

    /** Starts a process. @return The process; InvalidSettings if the program is not executable or fork() fails. */
    static Result<std::unique_ptr<ChildProcess>> create(const ProcessOptions &options);
};

/** Sends @p signal to a process; does nothing after it was reaped. */
void sendSignal(ChildProcess &process, int signal);

/** Waits until a process ends. @return Its exit status, 128 + signal if a signal ended it, or nothing after @p timeout. */
[[nodiscard]] std::optional<int> waitExit(ChildProcess &process, std::chrono::milliseconds timeout);

/** @return Whether the process is still running. */
[[nodiscard]] bool isRunning(ChildProcess &process);

/** Kills a process by SIGKILL and reaps it. */
void killProcess(ChildProcess &process);

/** @return A TCP port of 127.0.0.1 that is free at the time of the call and that this function has not returned before in this program. */
[[nodiscard]] std::uint16_t freePort();

/** @return The path of a program of this build, such as "standin-engine". */
[[nodiscard]] std::string programPath(const std::string &name);

/** Waits until a connection to @p port of 127.0.0.1 succeeds. @return Whether it did before @p timeout. */
[[nodiscard]] bool waitListening(std::uint16_t port, std::chrono::milliseconds timeout = std::chrono::seconds(10));

/** Program of this build that serves on a port of 127.0.0.1. */
struct RunningProgram {
    std::unique_ptr<ChildProcess> process;
    Endpoint endpoint; ///< Address that it listens on.

    /** Starts a program with "--port" set to a free port and waits until it listens; fails the test if it does not. */
    static RunningProgram create(const std::string &name, std::vector<std::string> arguments = {});
};

/** Event loop with an HTTP client; it runs only inside the functions of this type. */
struct TestLoop {
    boost::asio::io_context loop{1};
    std::shared_ptr<HttpClient> http{HttpClient::create(loop.get_executor())};

    /** Runs the loop until @p task completes. Fails the test if it throws or takes longer than @p limit. @return Its result. */
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

    /** Makes one HTTP call on a new connection and waits for the response. */
    [[nodiscard]] Result<HttpResponse> call(const Endpoint &endpoint, HttpRequest request);

    /** Makes one call; fails the test unless the response has status 200. @return The JSON body; null if it is empty. */
    boost::json::value callJson(const Endpoint &endpoint, std::string method, std::string target, std::string body = {});
};

} // namespace skylark::test
