/** @file http_server.cpp HTTP server over Boost.Beast. */
#include "http/http_server_func.h"

#include "core/table/error_table.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>
#include <sys/socket.h>

namespace skylark {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

/** State shared by the acceptor and the connections. */
struct HttpServer::Impl {
    tcp::acceptor acceptor; ///< Listening socket.
    HttpServerOptions options;
    HttpHandler handler;
    std::set<HttpServerConnection *> connections; ///< Open connections.
    std::size_t active{0}; ///< Number of requests being handled.
    bool closing{false}; ///< Whether responses have "Connection: close".
};

/** Connection of one caller. */
struct HttpServerConnection {
    beast::tcp_stream stream; ///< Socket with timeouts.
    beast::flat_buffer buffer; ///< Bytes received but not parsed yet.
    std::weak_ptr<HttpServer::Impl> server;
    std::chrono::milliseconds writeTimeout{}; ///< Time limit of one write.
    std::function<void()> callerGone; ///< Called once if the caller closes the connection before the response is complete.
    bool busy{false}; ///< Whether a request is being read or handled.
    bool keepAlive{true}; ///< Whether the connection stays open after the current response.
    std::uint64_t requestNumber{0}; ///< Number of the current request, so that a watch for an earlier request does not act on this one.
};

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t readBytes = 4096; ///< Maximum size in bytes of a read outside the HTTP parser.
/** Time limit for reading the rest of a rejected request: closing a connection with unread data resets it, and the caller loses the response. */
constexpr std::chrono::milliseconds lingerTime{500};

bool isClosing(const HttpServerConnection &connection)
{
    const auto server = connection.server.lock();
    return !server || server->closing;
}

Result<Done> writeResult(HttpServerConnection &connection, const beast::error_code &error)
{
    if (!error) {
        return Done{};
    }
    connection.keepAlive = false;
    return makeError(ErrorCode::CallerGone, error.message(), RunState::Maybe);
}

/** Waits until the socket is readable, and calls HttpServerConnection::callerGone if the caller has closed or reset the connection. */
void watchForDisconnect(const std::shared_ptr<HttpServerConnection> &connection)
{
    const std::uint64_t number = connection->requestNumber;
    connection->stream.socket().async_wait(tcp::socket::wait_read, [connection, number](const beast::error_code &error) {
        if (error || !connection->busy || connection->requestNumber != number) {
            return;
        }
        char byte = 0;
        const auto got = ::recv(connection->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool disconnected = got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
        if (disconnected && connection->callerGone) {
            const auto action = std::exchange(connection->callerGone, nullptr);
            action();
        }
    });
}

template<typename Message>
void setHeaders(Message &message, const HttpHeaders &headers)
{
    for (const HttpHeader &header : headers) {
        message.insert(header.name, header.value);
    }
}

HttpRequest convertRequest(http::request<http::string_body> message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    return request;
}

/** Closes the sending side, then reads and discards what the caller still sends, for at most lingerTime. */
asio::awaitable<void> drainInput(std::shared_ptr<HttpServerConnection> connection)
{
    beast::error_code ignored;
    connection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    connection->stream.expires_after(lingerTime);
    for (;;) {
        connection->buffer.clear();
        const auto [error, bytes] = co_await connection->stream.async_read_some(connection->buffer.prepare(readBytes), awaitTuple);
        if (error) {
            co_return;
        }
    }
}

/** Sends an error response for a request that could not be read, and makes the connection close. */
asio::awaitable<void> rejectRequest(const std::shared_ptr<HttpServerConnection> &connection, const HttpServerOptions &options, Error error)
{
    HttpResponder responder{connection, false, false};
    connection->keepAlive = false;
    HttpResponse response;
    response.status = errorInfo(error.code).status;
    if (options.renderError) {
        response = options.renderError(error);
    }
    co_await sendResponse(responder, std::move(response));
    co_await drainInput(connection);
}

/** Reads a request head. If @p timeout passes, returns beast::error::timeout and leaves the connection open, so that an error response can be sent. */
asio::awaitable<beast::error_code> readHead(std::shared_ptr<HttpServerConnection> connection,
                                            std::chrono::milliseconds timeout,
                                            http::request_parser<http::string_body> &parser)
{
    struct Deadline {
        bool over{false}; ///< Whether reading has ended, so that the timer does nothing.
        bool expired{false}; ///< Whether the deadline passed before reading ended.
    };
    const auto deadline = std::make_shared<Deadline>();
    asio::steady_timer timer(connection->stream.get_executor(), timeout);
    connection->stream.expires_never();
    timer.async_wait([connection, deadline](const beast::error_code &cancelled) {
        if (!cancelled && !deadline->over) {
            deadline->expired = true;
            beast::error_code ignored;
            connection->stream.socket().cancel(ignored);
        }
    });
    const auto [error, bytes] = co_await http::async_read_header(connection->stream, connection->buffer, parser, awaitTuple);
    deadline->over = true;
    const beast::error_code timedOut = beast::error::timeout;
    const beast::error_code outcome = error;
    co_return outcome && deadline->expired ? timedOut : outcome;
}

/** @return The error with which a request with this head is rejected, or nothing if it is acceptable. */
std::optional<Error> findHeadError(const http::request<http::string_body> &message, std::size_t maxBody, const beast::error_code &error)
{
    if (error == beast::error::timeout) {
        return makeError(ErrorCode::HeaderTimeout, "request head did not arrive in time");
    }
    if (error == http::error::header_limit) {
        return makeError(ErrorCode::HeaderTooLarge, "request head exceeds the size limit");
    }
    if (error == http::error::body_limit) {
        return makeError(ErrorCode::PayloadTooLarge, "body limit is " + std::to_string(maxBody) + " bytes");
    }
    if (error) {
        return makeError(ErrorCode::InvalidRequest, error.message());
    }
    if (message.count(http::field::host) > 1) {
        return makeError(ErrorCode::InvalidRequest, "more than one Host header");
    }
    return std::nullopt;
}

/** Reads one request. @return Nothing if the connection was closed or the request was rejected. */
asio::awaitable<std::optional<HttpRequest>> readRequest(std::shared_ptr<HttpServerConnection> connection, const HttpServerOptions &options)
{
    if (connection->buffer.size() == 0) {
        connection->stream.expires_after(options.keepAlive);
        const auto [error, bytes] = co_await connection->stream.async_read_some(connection->buffer.prepare(readBytes), awaitTuple);
        if (error) {
            co_return std::nullopt;
        }
        connection->buffer.commit(bytes);
    }
    connection->busy = true;
    http::request_parser<http::string_body> parser;
    parser.body_limit(options.maxBody);
    parser.header_limit(options.maxHeader);
    const beast::error_code headError = co_await readHead(connection, options.headTimeout, parser);
    if (headError == http::error::end_of_stream || headError == asio::error::connection_reset) {
        co_return std::nullopt;
    }
    if (const auto rejection = findHeadError(parser.get(), options.maxBody, headError)) {
        co_await rejectRequest(connection, options, *rejection);
        co_return std::nullopt;
    }
    connection->stream.expires_after(options.bodyTimeout);
    if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> proceed(http::status::continue_, 11);
        const auto [error, bytes] = co_await http::async_write(connection->stream, proceed, awaitTuple);
        if (error) {
            co_return std::nullopt;
        }
    }
    const auto [bodyError, bodyBytes] = co_await http::async_read(connection->stream, connection->buffer, parser, awaitTuple);
    if (bodyError == http::error::body_limit) {
        co_await rejectRequest(connection, options, makeError(ErrorCode::PayloadTooLarge, "body limit is " + std::to_string(options.maxBody) + " bytes"));
        co_return std::nullopt;
    }
    if (bodyError) {
        co_return std::nullopt;
    }
    connection->keepAlive = parser.get().keep_alive();
    co_return convertRequest(parser.release());
}

/** Runs the handler for one request. If it does not finish the response, the connection is not kept alive. */
asio::awaitable<void> handleRequest(const std::shared_ptr<HttpServer::Impl> &impl, std::shared_ptr<HttpServerConnection> connection, HttpRequest request)
{
    HttpResponder responder{connection, false, false};
    ++connection->requestNumber;
    ++impl->active;
    watchForDisconnect(connection);
    co_await impl->handler(std::move(request), responder);
    --impl->active;
    connection->callerGone = nullptr;
    if (!responder.finished) {
        connection->keepAlive = false;
    }
    beast::error_code ignored;
    connection->stream.socket().cancel(ignored);
}

/** Registers a connection at its server while its coroutine exists; the event loop may destroy the coroutine before it has finished. */
struct ConnectionRegistration {
    std::shared_ptr<HttpServer::Impl> impl;
    HttpServerConnection *connection;

    ConnectionRegistration(std::shared_ptr<HttpServer::Impl> server, HttpServerConnection *registered)
        : impl(std::move(server))
        , connection(registered)
    {
        this->impl->connections.insert(this->connection);
    }
    ConnectionRegistration(const ConnectionRegistration &) = delete;
    ConnectionRegistration &operator=(const ConnectionRegistration &) = delete;
    ~ConnectionRegistration()
    {
        this->impl->connections.erase(this->connection);
    }
};

asio::awaitable<void> serveConnection(std::shared_ptr<HttpServer::Impl> impl, tcp::socket socket)
{
    auto connection =
        std::make_shared<HttpServerConnection>(HttpServerConnection{beast::tcp_stream(std::move(socket)), {}, impl, impl->options.writeTimeout, {}});
    const ConnectionRegistration registration(impl, connection.get());
    beast::error_code ignored;
    connection->stream.socket().set_option(tcp::no_delay(true), ignored);
    while (connection->keepAlive) {
        connection->busy = false;
        std::optional<HttpRequest> request = co_await readRequest(connection, impl->options);
        if (!request) {
            break;
        }
        co_await handleRequest(impl, connection, std::move(*request));
    }
    connection->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    connection->stream.close();
}

asio::awaitable<void> acceptLoop(std::shared_ptr<HttpServer::Impl> impl)
{
    while (impl->acceptor.is_open()) {
        auto [error, socket] = co_await impl->acceptor.async_accept(awaitTuple);
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            co_return;
        }
        if (error || impl->connections.size() >= impl->options.maxConnections) {
            continue;
        }
        asio::co_spawn(impl->acceptor.get_executor(), serveConnection(impl, std::move(socket)), asio::detached);
    }
}

} // namespace

asio::awaitable<Result<Done>> sendResponse(HttpResponder &responder, HttpResponse response)
{
    const auto connection = responder.connection;
    http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
    setHeaders(message, response.headers);
    message.body() = std::move(response.body);
    connection->keepAlive = connection->keepAlive && !isClosing(*connection);
    message.keep_alive(connection->keepAlive);
    message.prepare_payload();
    responder.started = true;
    connection->stream.expires_after(connection->writeTimeout);
    const auto [error, bytes] = co_await http::async_write(connection->stream, message, awaitTuple);
    responder.finished = !error;
    co_return writeResult(*connection, error);
}

asio::awaitable<Result<Done>> startStream(HttpResponder &responder, int status, HttpHeaders headers)
{
    const auto connection = responder.connection;
    http::response<http::empty_body> message(static_cast<http::status>(status), 11);
    setHeaders(message, headers);
    connection->keepAlive = connection->keepAlive && !isClosing(*connection);
    message.keep_alive(connection->keepAlive);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    responder.started = true;
    connection->stream.expires_after(connection->writeTimeout);
    const auto [error, bytes] = co_await http::async_write_header(connection->stream, serializer, awaitTuple);
    co_return writeResult(*connection, error);
}

asio::awaitable<Result<Done>> writeChunk(HttpResponder &responder, std::string data)
{
    const auto connection = responder.connection;
    if (data.empty()) {
        co_return Done{};
    }
    connection->stream.expires_after(connection->writeTimeout);
    const auto [error, bytes] = co_await asio::async_write(connection->stream, http::make_chunk(asio::buffer(data)), awaitTuple);
    co_return writeResult(*connection, error);
}

asio::awaitable<Result<Done>> finishStream(HttpResponder &responder)
{
    const auto connection = responder.connection;
    connection->stream.expires_after(connection->writeTimeout);
    const auto [error, bytes] = co_await asio::async_write(connection->stream, http::make_chunk_last(), awaitTuple);
    responder.finished = !error;
    co_return writeResult(*connection, error);
}

void onCallerDisconnect(HttpResponder &responder, std::function<void()> action)
{
    responder.connection->callerGone = std::move(action);
}

void abortConnection(HttpResponder &responder)
{
    responder.connection->keepAlive = false;
    responder.connection->stream.close();
}

Result<std::unique_ptr<HttpServer>> HttpServer::create(const asio::any_io_executor &executor, HttpServerOptions options, HttpHandler handler)
{
    beast::error_code error;
    const auto address = asio::ip::make_address(options.listen.address, error);
    if (error) {
        return makeError(ErrorCode::InvalidSettings, options.listen.address + " is not an IP address");
    }
    tcp::acceptor acceptor(executor);
    const tcp::endpoint endpoint(address, options.listen.port);
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return makeError(ErrorCode::InvalidSettings, options.listen.address + ":" + std::to_string(options.listen.port) + ": " + error.message());
    }
    auto server = std::make_unique<HttpServer>();
    server->impl = std::make_shared<Impl>(Impl{std::move(acceptor), std::move(options), std::move(handler), {}, 0, false});
    asio::co_spawn(executor, acceptLoop(server->impl), asio::detached);
    return server;
}

HttpServer::~HttpServer()
{
    if (this->impl) {
        beast::error_code ignored;
        this->impl->acceptor.close(ignored);
        for (HttpServerConnection *connection : this->impl->connections) {
            connection->stream.close();
        }
    }
}

void updateLimits(HttpServer &server, std::uint32_t maxHeader, std::size_t maxBody, std::chrono::milliseconds headTimeout, std::chrono::milliseconds keepAlive)
{
    HttpServerOptions &options = server.impl->options;
    options.maxHeader = maxHeader;
    options.maxBody = maxBody;
    options.headTimeout = headTimeout;
    options.keepAlive = keepAlive;
}

std::uint16_t listenPort(const HttpServer &server)
{
    beast::error_code ignored;
    return server.impl->acceptor.local_endpoint(ignored).port();
}

void announceClose(HttpServer &server)
{
    server.impl->closing = true;
}

void stopAccepting(HttpServer &server)
{
    beast::error_code ignored;
    server.impl->acceptor.close(ignored);
}

void closeIdleConnections(HttpServer &server)
{
    for (HttpServerConnection *connection : server.impl->connections) {
        if (!connection->busy) {
            connection->stream.close();
        }
    }
}

std::size_t activeRequests(const HttpServer &server)
{
    return server.impl->active;
}

} // namespace skylark
