/** @file task_func.h Starts coroutines that nobody waits for, and reports those that end with an exception. */
#pragma once

#include "core/result_type.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <exception>
#include <functional>
#include <string_view>

namespace skylark {

/** Logs and counts an exception that ended some work of this process. Thread-safe. @param task Work that has ended. */
void reportUnexpectedError(std::string_view task, std::string_view detail);

/** @return Number of calls of reportUnexpectedError() since the process started. */
[[nodiscard]] std::uint64_t unexpectedErrors();

/** @return What @p failure, which must not be null, says of itself. */
[[nodiscard]] std::string describeException(const std::exception_ptr &failure);

/**
 * Starts @p task, for which nobody waits. An exception that leaves it is reported.
 * @param name Name of the task in the log.
 * @param onFailure Called on @p executor after such an exception. Has to undo what marks the task as running; empty where nothing does.
 */
void startTask(const boost::asio::any_io_executor &executor, std::string_view name, boost::asio::awaitable<void> task, std::function<void()> onFailure = {});

/**
 * Starts a loop that its owner relies on for as long as it exists. After an exception, which is reported, it is started again.
 * @param name Name of the loop in the log.
 * @param run Creates the coroutine of the loop; called at each start. The loop ends when the coroutine returns.
 */
void startLoop(const boost::asio::any_io_executor &executor, std::string_view name, std::function<boost::asio::awaitable<void>()> run);

/** Runs @p step; an exception that leaves it is reported. @param name Name of the step in the log. @return Whether it has finished. */
bool tryRun(std::string_view name, const std::function<void()> &step);

/** @return The result of @p work. An exception that leaves it is reported and becomes ErrorCode::Internal; the work may have taken effect. */
template<typename T>
boost::asio::awaitable<Result<T>> catchExceptions(std::string_view name, boost::asio::awaitable<Result<T>> work)
{
    std::exception_ptr failure;
    try {
        co_return co_await std::move(work);
    } catch (...) {
        failure = std::current_exception();
    }
    Error error = makeError(ErrorCode::Internal, describeException(failure), RunState::Maybe);
    reportUnexpectedError(name, error.detail);
    co_return error;
}

} // namespace skylark
