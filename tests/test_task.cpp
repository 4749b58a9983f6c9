/** @file test_task.cpp Coroutines that nobody waits for, and what is left when they end with an exception. */
#include "core/async_sleep_func.h"
#include "core/task_func.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <stdexcept>

using namespace skylark;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace {

asio::awaitable<void> failLater()
{
    co_await sleepFor(1ms);
    throw std::runtime_error("malformed");
}

asio::awaitable<void> finishLater()
{
    co_await sleepFor(1ms);
}

struct TaskFixture {
    asio::io_context loop;
    std::uint64_t errorsBefore{unexpectedErrors()};
    unsigned failures{0};

    [[nodiscard]] std::uint64_t newErrors() const
    {
        return unexpectedErrors() - this->errorsBefore;
    }
};

} // namespace

// Guards against a task that ends unseen while its owner waits for it.
TEST_CASE_METHOD(TaskFixture, "startTask_taskThrows_isReportedAndItsOwnerIsTold")
{
    startTask(this->loop.get_executor(), "test", failLater(), [this] {
        ++this->failures;
    });
    this->loop.run();
    CHECK(this->failures == 1);
    CHECK(this->newErrors() == 1);
}

TEST_CASE_METHOD(TaskFixture, "startTask_taskFinishes_isNotReported")
{
    startTask(this->loop.get_executor(), "test", finishLater(), [this] {
        ++this->failures;
    });
    this->loop.run();
    CHECK(this->failures == 0);
    CHECK(this->newErrors() == 0);
}

// Guards against a loop that its owner relies on and that one exception ends for good.
TEST_CASE_METHOD(TaskFixture, "startLoop_runThrows_isStartedAgainUntilItReturns")
{
    unsigned runs = 0;
    startLoop(this->loop.get_executor(), "test", [&runs] {
        return ++runs < 3 ? failLater() : finishLater();
    });
    this->loop.run();
    CHECK(runs == 3);
    CHECK(this->newErrors() == 2);
}

TEST_CASE_METHOD(TaskFixture, "catchExceptions_workThrows_isAnErrorThatMayHaveTakenEffect")
{
    std::optional<Result<Done>> result;
    startTask(this->loop.get_executor(), "test", [](std::optional<Result<Done>> &out) -> asio::awaitable<void> {
        out = co_await catchExceptions("test", [](unsigned delays) -> asio::awaitable<Result<Done>> {
            for (; delays > 0; --delays) {
                co_await sleepFor(1ms);
            }
            throw std::runtime_error("malformed");
        }(1));
    }(result));
    this->loop.run();
    REQUIRE(result);
    REQUIRE_FALSE(isOk(*result));
    CHECK(errorOf(*result).code == ErrorCode::Internal);
    CHECK(errorOf(*result).run == RunState::Maybe);
    CHECK(this->newErrors() == 1);
}
