/** @file async_sleep_func.h Timed suspension of a coroutine. */
#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>

namespace skylark {

/** Suspends the calling coroutine for @p delay; it resumes on its own executor. */
boost::asio::awaitable<void> sleepFor(std::chrono::nanoseconds delay);

} // namespace skylark
