/** @file job_handlers_func.h Callers' requests about batch jobs. */
#pragma once

#include "traffic/caller_server_base.h"
#include "traffic/request_context_type.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string_view>

namespace skylark {

/** Answers a request below /v1/jobs. @return The error to render. */
boost::asio::awaitable<std::optional<Error>> executeJobRequest(CallerServer::Impl &impl, RequestContext &context);

/** @return The due time in @p text, which is RFC 3339 or a number of seconds from @p now. */
[[nodiscard]] std::optional<UnixTime> parseDue(std::string_view text, UnixTime now);

/** @return @p time as RFC 3339 in UTC. */
[[nodiscard]] std::string renderTime(UnixTime time);

} // namespace skylark
