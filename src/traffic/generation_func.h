/** @file generation_func.h Admission and execution of online generations. */
#pragma once

#include "traffic/caller_server_base.h"
#include "traffic/request_context_type.h"

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace skylark {

/** Chooses where the next attempt is sent and waits in the model's queue for a free slot. @return The error to report when it is refused. */
boost::asio::awaitable<std::optional<Error>> admitGeneration(CallerServer::Impl &impl, RequestContext &context);

/** Runs the generation with its retries and answers the caller. @return The error to render, if nothing was sent to the caller yet. */
boost::asio::awaitable<std::optional<Error>> executeGeneration(CallerServer::Impl &impl, RequestContext &context);

} // namespace skylark
