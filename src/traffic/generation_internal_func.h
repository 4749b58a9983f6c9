/** @file generation_internal_func.h Steps of online generations that several files use. */
#pragma once

#include "traffic/caller_server_base.h"
#include "traffic/request_context_type.h"

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace skylark {

/** Wakes the waiting request with the earliest deadline. */
void wakeFirst(ModelQueue &queue);

/** Waits on @p timer until @p duration has passed, the timer is cancelled or the caller disconnects; counts the wait as queue time. */
boost::asio::awaitable<void> cancellableWait(RequestContext &context, boost::asio::steady_timer &timer, std::chrono::milliseconds duration);

/** Sends the request where its routing decision says and relays the answer. @return The failure, if any. */
boost::asio::awaitable<std::optional<Error>> runAttempt(CallerServer::Impl &impl, RequestContext &context);

} // namespace skylark
