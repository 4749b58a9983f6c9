/** @file async_sleep.cpp Timed suspension of a coroutine. */
#include "core/async_sleep_func.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

boost::asio::awaitable<void> sleepFor(std::chrono::nanoseconds delay)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(delay);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace skylark
