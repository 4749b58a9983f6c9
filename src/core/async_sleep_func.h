/** @file async_sleep_func.h Waiting in a coroutine. */
#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>

namespace skylark {

/** Suspends the calling coroutine for @p delay on its own executor. */
boost::asio::awaitable<void> sleepFor(std::chrono::nanoseconds delay);

} // namespace skylark
