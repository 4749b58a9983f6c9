/** @file event_loop_func.h Runs an event loop that outlives the errors of single handlers. */
#pragma once

#include <boost/asio/io_context.hpp>
#include <string_view>

namespace skylark {

/**
 * Runs @p loop until it has no more work or is stopped. An exception that leaves a handler ends that handler only: it is logged, and the loop goes on.
 * @param thread Name of the thread in the log.
 * @return Number of handlers that ended with an exception.
 */
unsigned runEventLoop(boost::asio::io_context &loop, std::string_view thread);

} // namespace skylark
