/** @file http_receiving_base.h A request that the HTTP server is receiving, and the reading of its body. */
#pragma once

#include "http/http_connection_base.h"
#include "http/http_parser_base.h"

#include <optional>

namespace skylark {

/** Time limit for reading the rest of a request that has arrived in part by its time limit. */
inline constexpr std::chrono::milliseconds lateRequestTime{500};

using RequestParser = HttpParser<true, boost::beast::http::string_body>;

/** A request that is being received. */
struct Receiving {
    std::shared_ptr<HttpServerConnection> connection;
    std::shared_ptr<HttpServer::Impl> server;
    std::uint32_t maxHeader; ///< Limits at the begin of the request.
    std::size_t maxBody;
    RequestParser parser{};
    std::uint64_t framing{0}; ///< Bytes of the head, of chunk extensions and of trailers.
    unsigned copies{1}; ///< Copies of the body that exist while the request is handled.
    std::optional<std::uint64_t> announced{}; ///< Length of the body if the head names it.
    TimePoint bodySince{}; ///< When the body began; later by the times in which the server did not read.
    TimePoint lastByteAt{}; ///< Likewise, of the last byte.
    TimePoint bodyUntil{}; ///< End of HttpServerOptions::bodyTimeout.
    bool late{false}; ///< Whether bytes were read after that, for which bodyUntil was moved.
};

/** Why a request was not received; without an error the connection was lost. */
struct ReceiveFailure {
    std::optional<Error> error{};
    std::optional<ClientLimit> limit{};
};

/** @return Time since @p then. */
[[nodiscard]] std::chrono::milliseconds timeSince(TimePoint then);

/** @return The failure of a request for which no memory became free in time, or whose connection was closed for it. */
[[nodiscard]] ReceiveFailure memoryFailure(const Receiving &receiving);

/** Reserves what the request and the next @p more bytes of its body need. @return Whether they may be read. */
[[nodiscard]] boost::asio::awaitable<bool> makeRoom(Receiving &receiving, std::uint64_t more);

/** @return The error with which a request is rejected whose read ended with @p error, or nothing if there was none. @param maxBody Largest body in bytes. */
[[nodiscard]] std::optional<Error> findReadError(std::size_t maxBody, const boost::beast::error_code &error);

/** Reads the body whose head has been read. Memory for it is reserved before each read. @return Why it was not received; nothing if it was. */
[[nodiscard]] boost::asio::awaitable<std::optional<ReceiveFailure>> receiveBody(Receiving &receiving);

} // namespace skylark
