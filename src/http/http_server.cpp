/** @file http_server.cpp HTTP server over Boost.Beast: accepts connections and runs the handler for each request. */
#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/table/error_table.h"
#include "core/task_func.h"
#include "http/http_connection_base.h"
#include "http/http_request_reader_func.h"
#include "http/socket_read_func.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <sstream>
#include <sys/socket.h>

namespace skylark {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t maxRefusing = 64; ///< Connections over the limit that are refused at the same time.
constexpr std::chrono::milliseconds acceptRetryDelay{20}; ///< Delay after a failure to accept, such as a lack of file descriptors.

/** @return Whether @p connection is still used for the request with this number. */
bool isServing(const HttpServerConnection &connection, std::uint64_t number)
{
    const bool serves = connection.state == ConnectionState::Handling || connection.state == ConnectionState::Responding;
    return serves && connection.requestNumber == number;
}

void watchForDisconnect(const std::shared_ptr<HttpServerConnection> &connection);

/** Repeats the watch after a while: bytes of a next request keep the socket readable. */
void watchAgainLater(const std::shared_ptr<HttpServerConnection> &connection)
{
    constexpr std::chrono::milliseconds interval{100};
    const auto timer = std::make_shared<asio::steady_timer>(connection->stream.get_executor(), interval);
    const std::uint64_t number = connection->requestNumber;
    timer->async_wait([connection, number, timer](const beast::error_code &error) {
        if (!error && isServing(*connection, number)) {
            watchForDisconnect(connection);
        }
    });
}

/** Waits until the socket is readable, and calls HttpServerConnection::callerGone if the caller has closed or reset the connection. */
void watchForDisconnect(const std::shared_ptr<HttpServerConnection> &connection)
{
    const std::uint64_t number = connection->requestNumber;
    connection->stream.socket().async_wait(tcp::socket::wait_read, [connection, number](const beast::error_code &error) {
        if (error || !isServing(*connection, number)) {
            return;
        }
        if (!hasPeerClosed(connection->stream)) {
            watchAgainLater(connection);
            return;
        }
        connection->callerHasGone = true;
        if (connection->callerGone) {
            const auto action = std::exchange(connection->callerGone, nullptr);
            action();
        }
    });
}

/** Runs the handler for one request. A handler that ends without a response, or with an exception, is answered for with status 500. */
asio::awaitable<void> handleRequest(const std::shared_ptr<HttpServer::Impl> &impl, std::shared_ptr<HttpServerConnection> connection, HttpRequest request)
{
    HttpResponder responder{connection, false, false};
    ++connection->requestNumber;
    connection->callerHasGone = false;
    connection->state = ConnectionState::Handling;
    watchForDisconnect(connection);
    try {
        co_await impl->handler(std::move(request), responder);
    } catch (const std::exception &error) {
        reportUnexpectedError("request of a caller", error.what());
    }
    connection->callerGone = nullptr;
    connection->renderUnfinished = nullptr;
    connection->keepAlive = connection->keepAlive && responder.finished;
    if (!responder.started && connection->stream.socket().is_open()) {
        reportUnserved(impl->options, ErrorCode::Internal);
        HttpResponse response;
        response.status = errorInfo(ErrorCode::Internal).status;
        co_await sendResponse(responder, std::move(response));
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

std::shared_ptr<HttpServerConnection> makeConnection(const std::shared_ptr<HttpServer::Impl> &impl, tcp::socket socket)
{
    auto connection =
        std::make_shared<HttpServerConnection>(HttpServerConnection{beast::tcp_stream(std::move(socket)), {}, impl, impl->options.writeTimeout, {}});
    connection->hold = std::make_shared<MemoryHold>(impl->options.memory, connectionBytes);
    beast::error_code ignored;
    connection->stream.socket().set_option(tcp::no_delay(true), ignored);
    return connection;
}

void closeConnection(HttpServerConnection &connection)
{
    beast::error_code ignored;
    connection.stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    connection.stream.close();
}

asio::awaitable<void> serveConnection(std::shared_ptr<HttpServer::Impl> impl, tcp::socket socket)
{
    const auto connection = makeConnection(impl, std::move(socket));
    const ConnectionRegistration registration(impl, connection.get());
    while (connection->keepAlive) {
        connection->state = ConnectionState::Idle;
        std::optional<HttpRequest> request = co_await readRequest(connection, impl);
        if (!request) {
            break;
        }
        co_await handleRequest(impl, connection, std::move(*request));
        releaseRequest(*connection);
    }
    closeConnection(*connection);
}

/** Refuses a connection over the limit. */
asio::awaitable<void> refuseOverLimit(std::shared_ptr<HttpServer::Impl> impl, tcp::socket socket)
{
    const auto connection = makeConnection(impl, std::move(socket));
    co_await refuseConnection(connection, impl);
    --impl->refusing;
    closeConnection(*connection);
}

/** Starts to serve a new connection, or to refuse it if there are too many. */
void startConnection(const std::shared_ptr<HttpServer::Impl> &impl, tcp::socket socket)
{
    const bool accepted = impl->connections.size() < impl->options.maxConnections;
    if (accepted) {
        startTask(impl->acceptor.get_executor(), "connection of a caller", serveConnection(impl, std::move(socket)));
        return;
    }
    ++impl->refusing;
    startTask(impl->acceptor.get_executor(), "refusal of a connection", refuseOverLimit(impl, std::move(socket)), [impl] {
        --impl->refusing;
    });
}

/** Accepts connections while the server listens. What cannot be accepted or refused yet waits in the listen backlog. */
asio::awaitable<void> acceptLoop(std::shared_ptr<HttpServer::Impl> impl)
{
    while (impl->acceptor.is_open()) {
        auto [error, socket] = co_await impl->acceptor.async_accept(awaitTuple);
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            co_return;
        }
        if (!error) {
            startConnection(impl, std::move(socket));
        }
        while (error || impl->refusing >= maxRefusing) {
            co_await sleepFor(acceptRetryDelay);
            error.clear();
        }
    }
}

/** Accepts the connections that the kernel has established already: closing the listening socket would reset them with their requests. */
void acceptBacklog(const std::shared_ptr<HttpServer::Impl> &impl)
{
    beast::error_code error;
    impl->acceptor.non_blocking(true, error);
    for (int accepted = 0; !error && accepted < asio::socket_base::max_listen_connections; ++accepted) {
        tcp::socket socket = impl->acceptor.accept(error);
        if (!error) {
            startConnection(impl, std::move(socket));
        }
    }
}

/** @return The response to a request without one just before the process exits. */
HttpResponse unfinishedResponse(const HttpServerOptions &options, const HttpServerConnection &connection)
{
    if (connection.state == ConnectionState::Reading) {
        return renderRejection(options, makeError(ErrorCode::NotReady, "server is stopping"));
    }
    if (connection.renderUnfinished) {
        return connection.renderUnfinished();
    }
    HttpResponse response;
    response.status = errorInfo(ErrorCode::Timeout).status;
    return response;
}

/** @return The bytes of unfinishedResponse(). */
std::string unfinishedAnswer(const HttpServerOptions &options, const HttpServerConnection &connection)
{
    HttpResponse response = unfinishedResponse(options, connection);
    http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
    for (const HttpHeader &header : response.headers) {
        message.insert(header.name, header.value);
    }
    message.body() = std::move(response.body);
    message.keep_alive(false);
    message.prepare_payload();
    std::ostringstream text;
    text << message;
    return text.str();
}

} // namespace

std::string_view clientLimitName(ClientLimit limit)
{
    switch (limit) {
    case ClientLimit::BodyStalled:
        return "body_stalled";
    case ClientLimit::BodyTooSlow:
        return "body_too_slow";
    case ClientLimit::FramingTooLarge:
        return "framing_too_large";
    case ClientLimit::MemoryWait:
        return "memory_wait";
    case ClientLimit::MemoryClosed:
        return "memory_closed";
    }
    return "unknown";
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
    if (!options.memory) {
        options.memory = MemoryAccount::create(executor, budgetFor(0, machineMemory()));
        options.memory->onClose = [report = options.onClientLimit](const MemoryHold &hold, std::chrono::milliseconds idle) {
            if (report) {
                report({ClientLimit::MemoryClosed, hold.bytes, idle});
            }
        };
    }
    auto server = std::make_unique<HttpServer>();
    server->impl = std::make_shared<Impl>(Impl{std::move(acceptor), std::move(options), std::move(handler)});
    startLoop(executor, "accepting of connections", [impl = server->impl] {
        return acceptLoop(impl);
    });
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
    if (server.impl->limitsUpdated && keepAlive != options.keepAlive) {
        server.impl->longerKeepAlive = std::max(keepAliveInForce(*server.impl), keepAlive);
        server.impl->longerUntil = std::chrono::steady_clock::now() + server.impl->longerKeepAlive;
    }
    server.impl->limitsUpdated = true;
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
    acceptBacklog(server.impl);
    beast::error_code ignored;
    server.impl->acceptor.close(ignored);
}

void closeIdleConnections(HttpServer &server)
{
    server.impl->closeIdle = true;
    for (HttpServerConnection *connection : server.impl->connections) {
        if (connection->state == ConnectionState::Idle) {
            // Its coroutine answers a request that has arrived meanwhile, or closes the connection.
            beast::error_code ignored;
            connection->stream.socket().cancel(ignored);
        }
    }
}

void answerUnfinished(HttpServer &server)
{
    for (HttpServerConnection *connection : server.impl->connections) {
        if (connection->state != ConnectionState::Reading && connection->state != ConnectionState::Handling) {
            continue;
        }
        const std::string answer = unfinishedAnswer(server.impl->options, *connection);
        beast::error_code ignored;
        connection->state = ConnectionState::Responding;
        ::send(connection->stream.socket().native_handle(), answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        connection->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    }
}

std::size_t openConnections(const HttpServer &server)
{
    return server.impl->connections.size();
}

std::size_t activeRequests(const HttpServer &server)
{
    const auto &connections = server.impl->connections;
    return static_cast<std::size_t>(std::count_if(connections.begin(), connections.end(), [](const HttpServerConnection *connection) {
        return connection->state == ConnectionState::Handling || connection->state == ConnectionState::Responding;
    }));
}

} // namespace skylark
