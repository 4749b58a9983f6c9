/** @file http_type.h HTTP messages, endpoints and time limits. */
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylark {

/** An address and port to connect to or to listen on. */
struct Endpoint {
    std::string address; ///< Numeric IP address.
    std::uint16_t port{0}; ///< TCP or UDP port.

    auto operator<=>(const Endpoint &) const = default;
};

/** One header field. */
struct HttpHeader {
    std::string name; ///< Compared case-insensitively.
    std::string value;
};

/** Header fields in the order of the message. */
using HttpHeaders = std::vector<HttpHeader>;

/** One request with its whole body. */
struct HttpRequest {
    std::string method{"GET"}; ///< Method in upper case.
    std::string target; ///< Path and query.
    HttpHeaders headers; ///< Header fields, without Host and Content-Length.
    std::string body; ///< Whole body.
};

/** One response with its whole body. */
struct HttpResponse {
    int status{200};
    HttpHeaders headers; ///< Header fields, without Content-Length.
    std::string body; ///< Whole body.
};

/** Time limits of one exchange, on the client side. */
struct HttpTimeouts {
    std::chrono::milliseconds connect{500}; ///< Opening the connection.
    std::chrono::milliseconds send{2000}; ///< Sending the request.
    std::chrono::milliseconds firstByte{5000}; ///< From the last byte of the request to the complete response head.
    std::chrono::milliseconds idle{2000}; ///< For the next part of the response body.
};

/** Which connection a request may use. */
enum class ConnectionUse : std::uint8_t {
    Pooled, ///< An idle connection of the pool, or a new one if there is none.
    Fresh, ///< Always a new connection; for calls that must not be retried.
};

/** @return The value of the first header @p name, or an empty view if there is none. */
[[nodiscard]] std::string_view headerValue(const HttpHeaders &headers, std::string_view name);

/** @return The path of @p target without its query. */
[[nodiscard]] std::string_view targetPath(std::string_view target);

/** @return The decoded value of query parameter @p name in @p target, or an empty string if it is absent. */
[[nodiscard]] std::string queryParameter(std::string_view target, std::string_view name);

/** @return The endpoint in @p text, "ADDRESS:PORT", or nothing if the text has another form or the port is 0. */
[[nodiscard]] std::optional<Endpoint> parseEndpoint(std::string_view text);

/** @return @p text percent-encoded for use in a path segment or query value. */
[[nodiscard]] std::string percentEncode(std::string_view text);

} // namespace skylark
