/** @file task.cpp Starts coroutines that nobody waits for, and reports those that end with an exception. */
#include "core/task_func.h"

#include "core/async_sleep_func.h"
#include "core/event_log_func.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <glog/logging.h>
#include <string>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds restartDelay{250}; ///< Bounds the work and the log lines of a loop that fails at once each time.

std::atomic<std::uint64_t> errorCount{0};

asio::awaitable<void> repeatUntilDone(std::string name, std::function<asio::awaitable<void>()> run)
{
    for (;;) {
        std::exception_ptr failure;
        try {
            co_await run();
            co_return;
        } catch (...) {
            failure = std::current_exception();
        }
        reportUnexpectedError(name, describeException(failure));
        co_await sleepFor(restartDelay);
    }
}

} // namespace

void reportUnexpectedError(std::string_view task, std::string_view detail)
{
    ++errorCount;
    logEvent(EventKind::UnexpectedError, {}, {{"task", task}, {"detail", detail}});
    LOG(ERROR) << "[" << task << "] ended with an exception: " << detail; // Not every program opens the event log.
}

std::uint64_t unexpectedErrors()
{
    return errorCount;
}

std::string describeException(const std::exception_ptr &failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &error) {
        return error.what();
    } catch (...) {
        return "not a std::exception";
    }
}

void startTask(const asio::any_io_executor &executor, std::string_view name, asio::awaitable<void> task, std::function<void()> onFailure)
{
    asio::co_spawn(executor, std::move(task), [task = std::string(name), onFailure = std::move(onFailure)](const std::exception_ptr &failure) {
        if (!failure) {
            return;
        }
        reportUnexpectedError(task, describeException(failure));
        if (onFailure) {
            onFailure();
        }
    });
}

void startLoop(const asio::any_io_executor &executor, std::string_view name, std::function<asio::awaitable<void>()> run)
{
    startTask(executor, name, repeatUntilDone(std::string(name), std::move(run)));
}

bool tryRun(std::string_view name, const std::function<void()> &step)
{
    try {
        step();
        return true;
    } catch (...) {
        reportUnexpectedError(name, describeException(std::current_exception()));
        return false;
    }
}

} // namespace skylark
