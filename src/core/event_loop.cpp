/** @file event_loop.cpp Runs an event loop that outlives the errors of single handlers. */
#include "core/event_loop_func.h"

#include "core/task_func.h"

#include <exception>

namespace skylark {

unsigned runEventLoop(boost::asio::io_context &loop, std::string_view thread)
{
    unsigned failures = 0;
    for (;;) {
        try {
            loop.run();
            return failures;
        } catch (const std::exception &error) {
            // One malformed message must not end the work of all callers of the process.
            ++failures;
            reportUnexpectedError(thread, error.what());
        }
    }
}

} // namespace skylark
