/** @file http_server_func.h HTTP server; all handlers run on its executor's thread. */
#pragma once

#include "core/result_type.h"
#include "http/http_type.h"
#include "policy/memory_budget_type.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

namespace skylark {

struct MemoryAccount;

/** Why a client was refused or its connection closed, besides errors in its request. */
enum class ClientLimit : std::uint8_t {
    BodyStalled, ///< A body made no progress.
    BodyTooSlow, ///< A body was slower than the minimum rate.
    FramingTooLarge, ///< Chunk extensions or trailers exceeded the limit of the head.
    MemoryWait, ///< No memory became free for a request in time.
    MemoryClosed, ///< The connection held much without progress while others waited for memory.
};

/** @return Name of a cause in logs and metrics. */
[[nodiscard]] std::string_view clientLimitName(ClientLimit limit);

/** A client that met a limit. */
struct ClientLimitReport {
    ClientLimit cause{};
    std::uint64_t bytes{0}; ///< Bytes held for it, or the size that exceeded the limit.
    std::chrono::milliseconds idle{0}; ///< Time since its last progress, or of its wait.
};

/** Listening address and limits of a server. */
struct HttpServerOptions {
    Endpoint listen; ///< Address to listen on; port 0 selects a free port.
    std::size_t maxBody{std::size_t{8} << 20U}; ///< Largest request body in bytes.
    std::uint32_t maxHeader{8192}; ///< Largest request head in bytes.
    std::chrono::milliseconds headTimeout{5000}; ///< Time to receive a request head, counted from its first byte.
    std::chrono::milliseconds bodyTimeout{30000}; ///< Time to receive a request body, whatever its rate.
    std::chrono::milliseconds keepAlive{60000}; ///< Time after which an idle connection is closed.
    std::chrono::milliseconds writeTimeout{10000}; ///< Time after which a connection is closed whose caller reads nothing of a response.
    std::size_t maxConnections{4096}; ///< Requests on further connections are refused with 503.
    BodyLimits bodyLimits; ///< Limits on the progress of a request body.
    std::chrono::milliseconds memoryWait{5000}; ///< Time for which a request waits for memory before it is refused with 503.
    std::shared_ptr<MemoryAccount> memory; ///< Account of the bytes held for callers; null for one with half of the machine's memory.
    std::function<unsigned(const HttpRequest &head)> bodyCopies; ///< Copies of a body that exist while its request is handled; null for one.
    std::function<void(const ClientLimitReport &)> onClientLimit; ///< Called for each client that met a limit; may be null.
    std::function<HttpResponse(const Error &)> renderError; ///< Renders errors of reading a request (400, 408, 413, 431); null sends an empty body.
    std::function<void(ErrorCode)> onUnserved; ///< Called for each request that did not reach the handler, or got no response from it; may be null.
};

struct HttpServerConnection;

/** Sends the response to one request: either with sendResponse(), or with startStream(), writeChunk() and finishStream(). */
struct HttpResponder {
    std::shared_ptr<HttpServerConnection> connection; ///< Connection to the caller.
    bool started{false}; ///< Whether sending a response was started.
    bool finished{false}; ///< Whether the response was sent completely.
};

/**
 * Waits until the process may hold an answer of @p bytes for this caller, before it is read from a target.
 * @param limit Longest wait.
 * @return Whether it may; otherwise the caller's connection may be closed.
 */
boost::asio::awaitable<bool> reserveAnswer(HttpResponder &responder, std::uint64_t bytes, std::chrono::milliseconds limit);

/** @return Whether the connection is to be closed without a response, because it held too much of the memory for too long. */
[[nodiscard]] bool isClosedForMemory(const HttpResponder &responder);

/** Sends a complete response. */
boost::asio::awaitable<Result<Done>> sendResponse(HttpResponder &responder, HttpResponse response);

/** Sends the head of a chunked response. */
boost::asio::awaitable<Result<Done>> startStream(HttpResponder &responder, int status, HttpHeaders headers);

/** Sends one chunk of a streamed response; does nothing if @p data is empty. */
boost::asio::awaitable<Result<Done>> writeChunk(HttpResponder &responder, std::string data);

/** Ends a streamed response. Without this call the connection is closed, so that the caller recognises the response as incomplete. */
boost::asio::awaitable<Result<Done>> finishStream(HttpResponder &responder);

/** Sets @p action to be called once if the caller closes its connection before the response is complete. */
void onCallerDisconnect(HttpResponder &responder, std::function<void()> action);

/** Sets @p render to be called by answerUnfinished() if the request has no response by then. */
void onUnfinished(HttpResponder &responder, std::function<HttpResponse()> render);

/** Closes the caller's connection without completing the response. */
void abortConnection(HttpResponder &responder);

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpRequest request, HttpResponder &responder)>;

/** A listening server. */
struct HttpServer {
    struct Impl;
    std::shared_ptr<Impl> impl; ///< Internal state, shared with open connections.

    /** Binds the listening socket and starts accepting connections. @return InvalidSettings if the address cannot be used. */
    static Result<std::unique_ptr<HttpServer>> create(const boost::asio::any_io_executor &executor, HttpServerOptions options, HttpHandler handler);
    ~HttpServer();
};

/** Changes the limits on requests, not the listening address. A request that is being read keeps the previous limits, and a connection that waits keeps the
 * longer idle limit. */
void updateLimits(HttpServer &server, std::uint32_t maxHeader, std::size_t maxBody, std::chrono::milliseconds headTimeout, std::chrono::milliseconds keepAlive);

/** @return The port that @p server listens on. */
[[nodiscard]] std::uint16_t listenPort(const HttpServer &server);

/** Marks the server as stopping: every further response has "Connection: close". New connections are still accepted. */
void announceClose(HttpServer &server);

/** Stops accepting connections after those that are established already; running requests continue. */
void stopAccepting(HttpServer &server);

/** Closes connections on which no request has arrived, from now on as soon as they have no request. */
void closeIdleConnections(HttpServer &server);

/**
 * Answers the requests without a response just before the process exits: 503 to those that are still being read, since they will not run, and what the handler
 * has set with onUnfinished(), or 504, to those that are being handled. Their handlers can send nothing afterwards.
 */
void answerUnfinished(HttpServer &server);

/** @return Number of open connections, with and without a request. */
[[nodiscard]] std::size_t openConnections(const HttpServer &server);

/** @return Number of requests being handled. */
[[nodiscard]] std::size_t activeRequests(const HttpServer &server);

} // namespace skylark
