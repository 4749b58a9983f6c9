/** @file job_handlers_func.h Handlers of callers' requests about batch jobs. */
#pragma once

#include "traffic/caller_server_base.h"
#include "traffic/request_context_type.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string_view>

namespace skylark {

/** Answers a request to /v1/jobs or below it. @return The error to render, if the request was not answered. */
boost::asio::awaitable<std::optional<Error>> executeJobRequest(CallerServer::Impl &impl, RequestContext &context);

/** @return The due time in @p text, which is an RFC 3339 time or a number of seconds from @p now; nothing when it is neither. */
[[nodiscard]] std::optional<UnixTime> parseDue(std::string_view text, UnixTime now);

/** @return @p time as an RFC 3339 time in UTC with milliseconds. */
[[nodiscard]] std::string renderTime(UnixTime time);

} // namespace skylark
