/** @file error_render_func.h Errors as callers see them. */
#pragma once

#include "core/error_type.h"
#include "http/http_type.h"

#include <string>

namespace skylark {

/** @return JSON object with the single member "error". */
[[nodiscard]] std::string errorJson(const Error &error);

/** @return The response for @p error; all paths that answer a caller with an error use it. */
[[nodiscard]] HttpResponse renderError(const Error &error, const std::string &requestId);

/** @return The error in a response that another host rendered; @p status decides when the body does not parse. */
[[nodiscard]] Error parseErrorResponse(int status, const std::string &body);

} // namespace skylark
