/** @file filter_func.h Filters that every caller's request passes in order. */
#pragma once

#include "traffic/caller_server_base.h"
#include "traffic/request_context_type.h"

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace skylark {

/** Refuses while the host has no confirmed configuration. */
boost::asio::awaitable<std::optional<Error>> checkReadiness(CallerServer::Impl &impl, RequestContext &context);

/** Finds the workspace of the API key. */
boost::asio::awaitable<std::optional<Error>> authenticate(CallerServer::Impl &impl, RequestContext &context);

/** Finds the route of the path. */
boost::asio::awaitable<std::optional<Error>> matchRoute(CallerServer::Impl &impl, RequestContext &context);

/** Refuses requests over the limits. */
boost::asio::awaitable<std::optional<Error>> checkLimits(CallerServer::Impl &impl, RequestContext &context);

/** Parses a chat request and admits it. */
boost::asio::awaitable<std::optional<Error>> admit(CallerServer::Impl &impl, RequestContext &context);

/** Runs the request and answers the caller. */
boost::asio::awaitable<std::optional<Error>> execute(CallerServer::Impl &impl, RequestContext &context);

} // namespace skylark
