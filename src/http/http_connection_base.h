/** @file http_connection_base.h State of an HTTP server and of its connections. */
#pragma once

#include "http/http_server_func.h"
#include "http/memory_account_base.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <set>

namespace skylark {

/** State shared by the acceptor and the connections. */
struct HttpServer::Impl {
    boost::asio::ip::tcp::acceptor acceptor; ///< Listening socket.
    HttpServerOptions options;
    HttpHandler handler;
    std::set<HttpServerConnection *> connections; ///< Open connections.
    std::size_t refusing{0}; ///< Number of connections over the limit that are being refused.
    bool closing{false}; ///< Whether responses have "Connection: close".
    bool limitsUpdated{false}; ///< Whether the limits are no longer the ones of create(), which callers do not know.
    std::chrono::milliseconds longerKeepAlive{0}; ///< Idle limit that callers may still rely on after a change.
    std::chrono::steady_clock::time_point longerUntil; ///< End of longerKeepAlive.
    bool closeIdle{false}; ///< Whether connections without a request are closed.
};

/** What a connection is used for. */
enum class ConnectionState : std::uint8_t {
    Idle, ///< Waits for a request.
    Reading, ///< Receives a request.
    Handling, ///< The handler runs and has sent nothing yet.
    Responding, ///< A response is being sent.
};

/** Connection of one caller. */
struct HttpServerConnection {
    boost::beast::tcp_stream stream; ///< Socket with timeouts.
    boost::beast::flat_buffer buffer; ///< Bytes received but not parsed yet.
    std::weak_ptr<HttpServer::Impl> server;
    std::chrono::milliseconds writeTimeout{}; ///< Time limit of one step of a write.
    std::function<void()> callerGone; ///< Called once if the caller closes the connection before the response is complete.
    bool callerHasGone{false}; ///< Whether the caller has closed the connection during the current request.
    std::function<HttpResponse()> renderUnfinished; ///< Renders the response of answerUnfinished(); null sends 504 without a body.
    ConnectionState state{ConnectionState::Idle};
    bool keepAlive{true}; ///< Whether the connection stays open after the current response.
    std::shared_ptr<MemoryHold> hold; ///< Bytes of this connection in the account of the process.
    std::uint64_t requestBytes{0}; ///< Part of them for the request.
    std::uint64_t answerBytes{0}; ///< Part of them for the answer.
    std::uint64_t requestNumber{0}; ///< Number of the current request, so that a watch for an earlier request does not act on this one.
};

inline constexpr std::uint64_t connectionBytes = 12288; ///< What an open connection takes: its state, coroutine frames and first read.

/** @return The bytes that @p connection holds with a request and an answer of these sizes. */
[[nodiscard]] inline std::uint64_t totalBytes(std::uint64_t request, std::uint64_t answer)
{
    return connectionBytes + request + answer;
}

/** Sets the bytes of the answer of @p connection, which is there already. */
inline void holdAnswer(HttpServerConnection &connection, std::uint64_t bytes)
{
    connection.answerBytes = bytes;
    setHeldBytes(*connection.hold, totalBytes(connection.requestBytes, bytes));
}

/** Gives back what @p connection holds for its request and answer. */
inline void releaseRequest(HttpServerConnection &connection)
{
    connection.requestBytes = 0;
    holdAnswer(connection, 0);
}

} // namespace skylark
