/** @file filter_func.h Filter chain for callers' requests; each filter returns the error to render, or nothing to go on. */
#pragma once

#include "traffic/caller_server_base.h"
#include "traffic/request_context_type.h"

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace skylark {

/** Returns NotReady while the host has no confirmed configuration. */
boost::asio::awaitable<std::optional<Error>> checkReadiness(CallerServer::Impl &impl, RequestContext &context);

/** Finds the workspace of the API key and applies the workspace's deadline. */
boost::asio::awaitable<std::optional<Error>> authenticate(CallerServer::Impl &impl, RequestContext &context);

/** Finds the route of the method and path, and the parameter in the path. */
boost::asio::awaitable<std::optional<Error>> matchRoute(CallerServer::Impl &impl, RequestContext &context);

/** Returns an error for paths and bodies over their size limits. */
boost::asio::awaitable<std::optional<Error>> checkLimits(CallerServer::Impl &impl, RequestContext &context);

/** Parses a chat request and waits until it may be sent; does nothing for other routes. */
boost::asio::awaitable<std::optional<Error>> admit(CallerServer::Impl &impl, RequestContext &context);

/** Runs the request and answers the caller. */
boost::asio::awaitable<std::optional<Error>> execute(CallerServer::Impl &impl, RequestContext &context);

} // namespace skylark
