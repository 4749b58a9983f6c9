/** @file engine_response_func.h Errors from responses and transport failures of targets. */
#pragma once

#include "core/id_type.h"
#include "core/result_type.h"
#include "http/http_client_func.h"

#include <optional>

namespace skylark {

/** @return Whether a response of status 503 says that the target did not run the request because it is draining. */
[[nodiscard]] bool isDrainingRefusal(const HttpResponse &response);

/** @return The error for an engine's response with a status other than 200. Its detail begins with the status, followed by the start of the body. */
[[nodiscard]] Error engineStatusError(const HttpResponse &response);

/**
 * Checks the request id that a target echoes in the header "x-request-id".
 * @param required Whether a missing header is an error, too.
 * @return ResponseMismatch if the header names another request than @p requestId; nothing if it is correct.
 */
[[nodiscard]] std::optional<Error> checkRequestIdEcho(const HttpHeaders &headers, const RequestId &requestId, bool required);

/** Closes the idle connections to @p endpoint if @p error is FirstByteTimeout or IdleTimeout, because they may be silent, too. @return @p error. */
Error handleTransportError(HttpClient &http, const Endpoint &endpoint, Error error);

} // namespace skylark
