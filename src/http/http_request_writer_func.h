/** @file http_request_writer_func.h Writes the heads of HTTP requests. */
#pragma once

#include "core/result_type.h"
#include "http/http_type.h"

#include <string>

namespace skylark {

/**
 * Renders the head of a request: the request line and the header fields, of any length, with Host and Content-Length. Fields of @p request that describe the
 * framing or the connection are left out, because both are decided here.
 * @param endpoint Address that the request is sent to; the value of Host if the request has none.
 * @return The head, or InvalidRequest if the request cannot be written as exactly one HTTP request: its target would run something else, or a second request.
 */
[[nodiscard]] Result<std::string> renderRequestHead(const HttpRequest &request, const Endpoint &endpoint);

} // namespace skylark
