/** @file http_client_connection_base.h Connections of the HTTP client: opening, pooling and errors. */
#pragma once

#include "http/http_client_func.h"
#include "http/http_parser_base.h"

#include <boost/beast/core.hpp>

namespace skylark {

/** Largest head of a response. Every field of it can be written into a response of this process, whose container holds 65,533 bytes a field. */
inline constexpr std::uint32_t maxResponseHeadBytes = 65536;

/** One TCP connection with the parser of its current response. */
struct HttpConnection {
    boost::beast::tcp_stream stream; ///< Socket with timeouts.
    boost::beast::flat_buffer buffer; ///< Bytes received but not parsed yet.
    std::optional<HttpParser<false, boost::beast::http::buffer_body>> parser;
    TimePoint openedAt;
    TimePoint usableUntil{}; ///< While idle: time after which the peer may have closed the connection.
    bool aborted{false}; ///< Whether the exchange was aborted.
};

/** An idle connection that a request may use. */
struct PooledConnection {
    HttpConnectionPtr connection; ///< Null if there is none.
    bool unsolicitedBytes{false}; ///< Whether the peer had sent bytes on one that was closed for it.
};

/** @return Whether a read reached its own time limit, which leaves the connection open. */
[[nodiscard]] bool isReadLimit(const boost::beast::error_code &error);

/** @return Whether the peer was silent until a time limit, or until the system gave the connection up. */
[[nodiscard]] bool isTimeout(const boost::beast::error_code &error);

/**
 * @param timeoutCode Code if the peer was silent until a time limit.
 * @param otherCode Code of any other failure but an abort, which is ErrorCode::Cancelled.
 * @param run Whether the request may have run.
 */
[[nodiscard]] Error transportError(const boost::beast::error_code &error, ErrorCode timeoutCode, ErrorCode otherCode, RunState run, const Endpoint &endpoint);

/** Takes an idle connection to @p endpoint out of the pool. Those that are closed or have unexpected bytes are dropped. */
[[nodiscard]] PooledConnection popIdleConnection(HttpClient &client, const Endpoint &endpoint);

/** Returns the connection of @p exchange to the pool after a whole response, or closes it. */
void releaseConnection(HttpExchange &exchange);

/** Opens a connection. @return ConnectFailed or ConnectTimeout, without any byte of a request sent. */
[[nodiscard]] boost::asio::awaitable<Result<HttpConnectionPtr>> openConnection(const HttpClient &client, Endpoint endpoint, std::chrono::milliseconds timeout);

} // namespace skylark
