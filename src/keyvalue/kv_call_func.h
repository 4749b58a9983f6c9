/** @file kv_call_func.h One HTTP call to the key-value service, and what its response or its loss means. */
#pragma once

#include "keyvalue/kv_client_func.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <string_view>

namespace skylark {

/** Kind of a call; determines which counter is incremented and what a lost response means. */
enum class KvCallKind : std::uint8_t {
    Read, ///< Has no side effect.
    Write, ///< May have taken effect if its response is lost.
    Watch, ///< Long poll without side effect.
};

/** Makes a call. @param extraWait Time that the service may wait before it responds. @return The response; an error if there is none, or status 429 or 5xx. */
boost::asio::awaitable<Result<HttpResponse>> kvCall(KvClient &client, KvCallKind kind, HttpRequest request, std::chrono::milliseconds extraWait = {});

/** Makes a call that expects status 200 with a JSON object. */
boost::asio::awaitable<Result<boost::json::object>> kvCallForObject(KvClient &client,
                                                                    KvCallKind kind,
                                                                    HttpRequest request,
                                                                    std::chrono::milliseconds extraWait = {});

/** @return The error for a response that the protocol does not have. */
[[nodiscard]] Error unexpectedResponse(KvCallKind kind, const HttpResponse &answer);

/** @return The error for a call with a lease that the service does not know. */
[[nodiscard]] Error unknownLease(const LeaseId &lease);

/** @return The version that a response names; 0 if it names none. */
[[nodiscard]] KvVersion versionOf(const HttpResponse &answer);

} // namespace skylark
