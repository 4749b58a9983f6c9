/** @file http_request_reader_func.h Reads the requests of a connection to an HTTP server. */
#pragma once

#include "http/http_connection_base.h"

namespace skylark {

/** Reports a request that did not reach the handler, or got no response from it. */
void reportUnserved(const HttpServerOptions &options, ErrorCode cause);

/** @return The response to a request that is rejected with @p error. */
[[nodiscard]] HttpResponse renderRejection(const HttpServerOptions &options, const Error &error);

/** @return The idle limit; after a change the longer of both for as long as connections may have been idle at the change. */
[[nodiscard]] std::chrono::milliseconds keepAliveInForce(const HttpServer::Impl &server);

/** Reads one request. @return Nothing if the connection was closed or the request was rejected. */
boost::asio::awaitable<std::optional<HttpRequest>> readRequest(std::shared_ptr<HttpServerConnection> connection, std::shared_ptr<HttpServer::Impl> server);

/** Refuses the first request of a connection with 503 without reading it whole. */
boost::asio::awaitable<void> refuseConnection(std::shared_ptr<HttpServerConnection> connection, std::shared_ptr<HttpServer::Impl> server);

} // namespace skylark
