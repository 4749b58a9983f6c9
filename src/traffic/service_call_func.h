/** @file service_call_func.h Calls of plain services. */
#pragma once

#include "traffic/caller_server_base.h"
#include "traffic/request_context_type.h"

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace skylark {

/** Calls a service and answers the caller; a call that is not repeatable runs at most once. @return The error to render, if the caller was not answered. */
boost::asio::awaitable<std::optional<Error>> executeServiceCall(CallerServer::Impl &impl, RequestContext &context);

/**
 * Sends a service call to a target of this failure domain, or through a host of another one.
 * @param repeatable Whether the call may be sent again after an attempt that may have run.
 * @return The target's response, whatever its status, or an error whose run state covers all attempts.
 */
boost::asio::awaitable<Result<HttpResponse>> sendServiceCall(CallerServer::Impl &impl, RequestContext &context, bool repeatable);

} // namespace skylark
