/** @file soak_client_func.h Caller that reuses one connection and records how each of its requests ended. */
#pragma once

#include "core/clock_func.h"
#include "http/http_type.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace skylark::test {

inline constexpr std::string_view soakApiKey = "soak-key"; ///< Key of all callers of the soak; its configurations list it.

/** Request of a soak test. */
struct SoakCall {
    std::string id; ///< Request id.
    std::string route; ///< Name of its route; "job" for the submission of a job and "poll" for a read of its results.
    std::string method{"POST"};
    std::string target; ///< Path and query.
    HttpHeaders headers; ///< Headers besides those of each request.
    std::string body;
    bool chunked{false}; ///< Whether the body is sent in chunks.
    std::chrono::milliseconds budget{5000}; ///< Time that the caller waits for the whole answer.
    std::size_t firstPart{0}; ///< Bytes that are sent before a pause; 0 to send the request at once.
    std::chrono::milliseconds pause{0}; ///< Pause before the rest is sent.
};

/** How a request ended for its caller. */
enum class SoakEnd : std::uint8_t {
    NotSent, ///< The connection closed before the whole request was sent.
    Answered, ///< A whole response arrived.
    BrokenOff, ///< The connection closed within the response.
    ClosedAfterRead, ///< The connection closed without a response after the host had read the whole request.
    ClosedUnread, ///< The connection closed without a response, and the host had not read the whole request.
    GaveUp, ///< The caller closed the connection, because its budget was over.
};

/** Record of one request. */
struct SoakRecord {
    SoakCall call;
    std::size_t host{0}; ///< Index of the host.
    std::optional<TimePoint> idleSince; ///< When the connection became idle before this request; nothing on a new connection.
    TimePoint startedAt; ///< When the first byte was sent.
    TimePoint sentAt; ///< When the last byte was sent.
    TimePoint endedAt;
    SoakEnd end{SoakEnd::NotSent};
    int status{0}; ///< Status of the response; 0 for none.
    std::string signature; ///< Signature of the target in the response; empty in responses of the host itself.
    std::string body; ///< Body received.
    std::chrono::milliseconds longestGap{0}; ///< Longest time without a byte of the answer.
    TimePoint gapSince{}; ///< When that time began.
};

/** Connection of one caller to one host. */
struct SoakConnection {
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::optional<TimePoint> idleSince; ///< When the last response was complete; nothing before the first one.
};

/** @return A body of @p size bytes for request @p id. */
[[nodiscard]] std::string soakBody(const std::string &id, std::size_t size);

/** Connects to @p host. @return Null if it does not accept the connection. */
boost::asio::awaitable<std::unique_ptr<SoakConnection>> connectTo(Endpoint host);

/** @return Whether the host has not closed @p connection. */
[[nodiscard]] bool isOpen(SoakConnection &connection);

/** Sends a request and reads its response. The connection is closed unless it may be used again. */
boost::asio::awaitable<SoakRecord> sendSoakCall(SoakConnection &connection, SoakCall call);

/** @return Name of @p end. */
[[nodiscard]] const char *soakEndName(SoakEnd end);

} // namespace skylark::test
