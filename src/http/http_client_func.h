/** @file http_client_func.h HTTP client with a connection pool; every object belongs to one thread. */
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

/** Deletes the hidden connection type. */
struct HttpConnectionDeleter {
    void operator()(HttpConnection *connection) const;
};

using HttpConnectionPtr = std::unique_ptr<HttpConnection, HttpConnectionDeleter>;

/** Pool of connections that finished a complete exchange. */
struct HttpClient {
    boost::asio::any_io_executor executor; ///< Executor of the thread that owns the client.
    std::map<Endpoint, std::vector<HttpConnectionPtr>> idle; ///< Reusable connections.
    std::size_t maxIdlePerEndpoint{64}; ///< Connections kept for each endpoint.
    std::chrono::milliseconds maxIdleTime{30000}; ///< Idle connections older than this are not used again.

    /** Creates a client for the thread of @p executor. */
    static std::shared_ptr<HttpClient> create(boost::asio::any_io_executor executor);
};

/** Lets another coroutine of the same thread cut an exchange while it is being opened. */
struct HttpAbortHandle {
    HttpConnection *opening{nullptr}; ///< Connection in use by httpOpen(); null otherwise.
    bool aborted{false}; ///< Whether the exchange was cut.
};

/** Cuts the exchange that @p handle was given to; httpOpen() ends with ErrorCode::Cancelled. */
void httpAbortOpening(HttpAbortHandle &handle);

/** One exchange whose body is being read. Destroying it before the end closes the connection. */
struct HttpExchange {
    int status{0}; ///< Status code.
    HttpHeaders headers; ///< Header fields of the response.
    Endpoint endpoint; ///< Peer.
    HttpConnectionPtr connection; ///< Null after the end of the body.
    std::weak_ptr<HttpClient> client; ///< Pool that gets the connection back.
};

/**
 * Sends @p request and reads the response head.
 * @return The exchange, or an error whose run state says whether a byte of the request was sent.
 */
boost::asio::awaitable<Result<HttpExchange>> httpOpen(std::shared_ptr<HttpClient> client,
                                                      Endpoint endpoint,
                                                      HttpRequest request,
                                                      HttpTimeouts timeouts,
                                                      ConnectionUse use = ConnectionUse::Pooled,
                                                      std::shared_ptr<HttpAbortHandle> abort = nullptr);

/** Reads the next piece of the body; an empty optional is the end, after which the connection may be reused. */
boost::asio::awaitable<Result<std::optional<std::string>>> httpRead(HttpExchange &exchange, std::chrono::milliseconds idleTimeout);

/** Closes the exchange's connection; a pending httpRead() ends with ErrorCode::Cancelled. Call from the client's thread. */
void httpAbort(HttpExchange &exchange);

/** Sends @p request and reads the whole response, up to @p maxBody bytes. */
boost::asio::awaitable<Result<HttpResponse>> httpCall(std::shared_ptr<HttpClient> client,
                                                      Endpoint endpoint,
                                                      HttpRequest request,
                                                      HttpTimeouts timeouts,
                                                      ConnectionUse use = ConnectionUse::Pooled,
                                                      std::size_t maxBody = std::size_t{64} << 20U);

/**
 * Sends the head with "Expect: 100-continue" on a fresh connection, waits for the 100 response, and sends the body only
 * when @p gate succeeds. The peer drops a request whose body does not follow within its own timeout.
 * @return The response; the gate's error; or a transport error.
 */
boost::asio::awaitable<Result<HttpResponse>> httpCallGated(
    std::shared_ptr<HttpClient> client, Endpoint endpoint, HttpRequest request, HttpTimeouts timeouts, std::function<Result<Done>()> gate);

/** Closes idle connections to @p endpoint that were opened before @p openedBefore. */
void httpCloseIdle(HttpClient &client, const Endpoint &endpoint, TimePoint openedBefore);

} // namespace skylark
