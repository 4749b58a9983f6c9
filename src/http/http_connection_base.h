/** @file http_connection_base.h State of an HTTP server and of its connections. */
#pragma once

#include "http/http_server_func.h"

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
    std::function<HttpResponse()> renderUnfinished; ///< Renders the response of answerUnfinished(); null sends 504 without a body.
    ConnectionState state{ConnectionState::Idle};
    bool keepAlive{true}; ///< Whether the connection stays open after the current response.
    std::uint64_t requestNumber{0}; ///< Number of the current request, so that a watch for an earlier request does not act on this one.
};

} // namespace skylark
