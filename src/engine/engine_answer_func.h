/** @file engine_answer_func.h Meaning of answers and transport errors of targets. */
#pragma once

#include "core/id_type.h"
#include "core/result_type.h"
#include "http/http_client_func.h"

#include <optional>

namespace skylark {

/** @return The typed error for an answer of an engine with another status than 200. */
[[nodiscard]] Error engineRefusal(const HttpResponse &answer);

/** @return ResponseMismatch when @p headers echo another request id than @p requestId, or none although @p required. */
[[nodiscard]] std::optional<Error> echoMismatch(const HttpHeaders &headers, const RequestId &requestId, bool required);

/** Drops the idle connections to @p endpoint after a timeout, because they may be silent too. @return @p error. */
Error engineTransportError(HttpClient &http, const Endpoint &endpoint, Error error);

} // namespace skylark
