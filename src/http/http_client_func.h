/** @file http_client_func.h HTTP client with a connection pool; each client and its exchanges must be used from one thread. */
#pragma once

#include "core/clock_func.h"
#include "core/result_type.h"
#include "http/http_type.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace skylark {

struct HttpConnection;

/** Deletes a connection, whose type is incomplete outside http_client.cpp. */
struct HttpConnectionDeleter {
    void operator()(HttpConnection *connection) const;
};

using HttpConnectionPtr = std::unique_ptr<HttpConnection, HttpConnectionDeleter>;

/** Client with a pool of connections that completed an exchange and can be reused. */
struct HttpClient {
    boost::asio::any_io_executor executor; ///< Executor of the thread that owns the client.
    std::map<Endpoint, std::vector<HttpConnectionPtr>> idle; ///< Reusable connections by endpoint; the one released last is at the end.
    std::size_t maxIdlePerEndpoint{64}; ///< Maximum number of idle connections to one endpoint.
    std::function<void(const Endpoint &endpoint)> onUnsolicitedBytes; ///< Called when a peer has sent bytes that belong to no request; may be empty.
    std::chrono::milliseconds maxIdleTime{30000}; ///< Connections idle for longer than this are not reused; the peer's Keep-Alive header can shorten it.

    /** Creates a client that runs on @p executor. */
    static std::shared_ptr<HttpClient> create(boost::asio::any_io_executor executor);
};

/** Lets another coroutine of the same thread abort an exchange while httpOpen() runs. */
struct HttpAbortHandle {
    HttpConnection *opening{nullptr}; ///< Connection in use by httpOpen(); otherwise null.
    bool aborted{false}; ///< Whether the exchange was aborted.
};

/** Aborts the httpOpen() call that was given @p handle; it returns ErrorCode::Cancelled. */
void httpAbortOpening(HttpAbortHandle &handle);

/** Exchange whose response body is being read. Destroying it before the end of the body closes the connection. */
struct HttpExchange {
    int status{0};
    HttpHeaders headers; ///< Header fields of the response.
    Endpoint endpoint; ///< Address of the peer.
    HttpConnectionPtr connection; ///< Null after the end of the body or a failure.
    /** Whether the peer sent bytes that belong to no request: after the response, or on the idle connection that the request was to use. */
    bool unsolicitedBytes{false};
    std::weak_ptr<HttpClient> client; ///< Client to whose pool the connection returns; empty when it is not to be reused.
};

/**
 * Sends @p request and reads the response head.
 * @param abort Handle that lets another coroutine abort the call; may be null.
 * @return The exchange, or an error with RunState::No if no byte of the request was sent.
 */
boost::asio::awaitable<Result<HttpExchange>> httpOpen(std::shared_ptr<HttpClient> client,
                                                      Endpoint endpoint,
                                                      HttpRequest request,
                                                      HttpTimeouts timeouts,
                                                      ConnectionUse use = ConnectionUse::Pooled,
                                                      std::shared_ptr<HttpAbortHandle> abort = nullptr);

/**
 * Sends @p request; httpReadHead() reads the response head.
 * @param abort Handle that lets another coroutine abort the call; may be null.
 * @return The exchange with status 0, or an error with RunState::No if no byte of the request was sent.
 */
boost::asio::awaitable<Result<HttpExchange>> httpSend(std::shared_ptr<HttpClient> client,
                                                      Endpoint endpoint,
                                                      HttpRequest request,
                                                      HttpTimeouts timeouts,
                                                      ConnectionUse use,
                                                      std::shared_ptr<HttpAbortHandle> abort);

/** Reads the head of the response, past interim (1xx) ones. After @p timeout the exchange stays open, and the call may be repeated. */
boost::asio::awaitable<Result<Done>> httpReadHead(HttpExchange &exchange, std::chrono::milliseconds timeout);

/** Reads the next part of the body. @return An empty optional at the end, after which the connection may be reused. */
boost::asio::awaitable<Result<std::optional<std::string>>> httpRead(HttpExchange &exchange, std::chrono::milliseconds idleTimeout);

/** Like httpRead(), but the exchange stays open after @p idleTimeout, and the call may be repeated. */
boost::asio::awaitable<Result<std::optional<std::string>>> httpReadPatiently(HttpExchange &exchange, std::chrono::milliseconds idleTimeout);

/** @return Whether the exchange still has its connection; a time limit of the system closes it, unlike one of a read. */
[[nodiscard]] bool httpIsOpen(const HttpExchange &exchange);

/** @return Whether bytes of the body have arrived that were not read yet. */
[[nodiscard]] bool httpHasInput(const HttpExchange &exchange);

/** Makes the client close the exchange's connection at the end of the body rather than reuse it. */
void httpCloseAfterUse(HttpExchange &exchange);

/** Closes the exchange's connection; a pending httpRead() returns ErrorCode::Cancelled. Must be called on the client's thread. */
void httpAbort(HttpExchange &exchange);

/**
 * Sends @p request and reads the whole response.
 * @param abort Handle that lets another coroutine abort the call until the response head has arrived; may be null.
 * @return ProtocolError if the body is larger than @p maxBody bytes.
 */
boost::asio::awaitable<Result<HttpResponse>> httpCall(std::shared_ptr<HttpClient> client,
                                                      Endpoint endpoint,
                                                      HttpRequest request,
                                                      HttpTimeouts timeouts,
                                                      ConnectionUse use = ConnectionUse::Pooled,
                                                      std::size_t maxBody = std::size_t{64} << 20U,
                                                      std::shared_ptr<HttpAbortHandle> abort = nullptr);

/**
 * Sends the request head with "Expect: 100-continue" on a new connection, waits for the 100 response, and sends the body only
 * if @p precheck then succeeds. The peer drops the request if the body does not arrive within the peer's own timeout.
 * @return The response, the error of @p precheck, or a transport error.
 */
boost::asio::awaitable<Result<HttpResponse>> httpCallExpectContinue(
    std::shared_ptr<HttpClient> client, Endpoint endpoint, HttpRequest request, HttpTimeouts timeouts, std::function<Result<Done>()> precheck);

/** @return Whether a connection to @p endpoint can be opened; it is closed at once. */
boost::asio::awaitable<bool> httpCanConnect(std::shared_ptr<HttpClient> client, Endpoint endpoint, std::chrono::milliseconds timeout);

/** Closes idle connections to @p endpoint that were opened before @p openedBefore. */
void httpCloseIdle(HttpClient &client, const Endpoint &endpoint, TimePoint openedBefore);

} // namespace skylark
