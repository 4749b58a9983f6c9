/** @file http_grammar_func.h Grammar of the names and values that are written into HTTP messages (RFC 9110, RFC 9112, RFC 3986). */
#pragma once

#include "http/http_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace skylark {

/** @return Whether @p text is a token: a method or the name of a header field. */
[[nodiscard]] bool isHttpToken(std::string_view text);

/** @return Whether @p text is the value of a header field: visible characters, with spaces and tabs only between them. May be empty. */
[[nodiscard]] bool isFieldValue(std::string_view text);

/** @return Whether @p text is a request target in origin form: an absolute path and an optional query. */
[[nodiscard]] bool isOriginForm(std::string_view text);

/** @return Whether @p text is one non-empty segment of a path. */
[[nodiscard]] bool isPathSegment(std::string_view text);

/** @return The part of @p request that cannot be written as one HTTP request, such as "target" or "value of header X-A"; nothing if there is none. */
[[nodiscard]] std::optional<std::string> findInvalidPart(const HttpRequest &request);

} // namespace skylark
