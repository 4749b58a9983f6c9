/** @file error_render_func.h Renders errors as responses and parses those of other hosts. */
#pragma once

#include "core/error_type.h"
#include "http/http_type.h"

#include <string>

namespace skylark {

/** @return @p error as a JSON object with the single member "error". */
[[nodiscard]] std::string errorJson(const Error &error);

/** @return The response for @p error; every error response to a caller is rendered here. @param requestId Echoed to the caller; may be empty. */
[[nodiscard]] HttpResponse renderError(const Error &error, const std::string &requestId);

/** @return The error in a response of another host, for @p status and the run state in @p body; RunState::Maybe when the body does not say "no". */
[[nodiscard]] Error parseErrorResponse(int status, const std::string &body);

} // namespace skylark
