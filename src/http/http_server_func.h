/** @file http_server_func.h HTTP server; all handlers run on the thread of its executor. */
#pragma once

#include "core/result_type.h"
#include "http/http_type.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

namespace skylark {

/** Limits of a server. */
struct HttpServerOptions {
    Endpoint listen; ///< Address to listen on; port 0 takes any free port.
    std::size_t maxBody{std::size_t{8} << 20U}; ///< Largest request body in bytes.
    std::uint32_t maxHeader{8192}; ///< Largest request head in bytes.
    std::chrono::milliseconds headTimeout{5000}; ///< Time to receive a request head once its first byte arrived.
    std::chrono::milliseconds bodyTimeout{30000}; ///< Time to receive a request body.
    std::chrono::milliseconds keepAlive{60000}; ///< Time that an idle connection is kept.
    std::chrono::milliseconds writeTimeout{10000}; ///< Time for a slow caller to take one piece of a response.
    std::size_t maxConnections{4096}; ///< Connections beyond this are closed at once.
    std::function<HttpResponse(const Error &)> renderError; ///< Renders transport-level errors (408, 413, 400).
};

struct HttpServerConnection;

/** Answers one request: either sendResponse(), or startStream(), writeChunk() and finishStream(). */
struct HttpResponder {
    std::shared_ptr<HttpServerConnection> connection; ///< Connection of the caller.
    bool started{false}; ///< Whether a response was begun.
    bool finished{false}; ///< Whether a response was completed.
};

/** Sends a whole response. */
boost::asio::awaitable<Result<Done>> sendResponse(HttpResponder &responder, HttpResponse response);

/** Begins a chunked response. */
boost::asio::awaitable<Result<Done>> startStream(HttpResponder &responder, int status, HttpHeaders headers);

/** Sends one chunk of a streamed response. */
boost::asio::awaitable<Result<Done>> writeChunk(HttpResponder &responder, std::string data);

/** Ends a streamed response. A stream that is not finished is closed so that the caller sees it cut. */
boost::asio::awaitable<Result<Done>> finishStream(HttpResponder &responder);

/** Calls @p action once if the caller closes its connection before the response is complete. */
void onCallerGone(HttpResponder &responder, std::function<void()> action);

/** Closes the caller's connection without completing the response. */
void abortConnection(HttpResponder &responder);

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpRequest request, HttpResponder &responder)>;

/** A listening server. */
struct HttpServer {
    struct Impl;
    std::shared_ptr<Impl> impl; ///< Hidden state, shared with running connections.

    /** Binds and starts accepting. */
    static Result<std::unique_ptr<HttpServer>> create(const boost::asio::any_io_executor &executor, HttpServerOptions options, HttpHandler handler);
    ~HttpServer();
};

/** Changes the limits on requests; a request that is being read keeps the former ones. The listening address stays. */
void updateLimits(HttpServer &server, std::uint32_t maxHeader, std::size_t maxBody, std::chrono::milliseconds headTimeout, std::chrono::milliseconds keepAlive);

/** @return The port that @p server listens on. */
[[nodiscard]] std::uint16_t listenPort(const HttpServer &server);

/** Marks the server as stopping: every further response carries "Connection: close". Accepting goes on. */
void announceClose(HttpServer &server);

/** Stops accepting connections; running requests go on. */
void stopAccepting(HttpServer &server);

/** Closes connections without a running request. */
void closeIdleConnections(HttpServer &server);

/** @return Requests being handled. */
[[nodiscard]] std::size_t activeRequests(const HttpServer &server);

} // namespace skylark
