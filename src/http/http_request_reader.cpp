/** @file http_request_reader.cpp Reads the requests of a connection, within the limits of the server. */
#include "http/http_request_reader_func.h"

#include "core/table/error_table.h"
#include "http/http_receiving_base.h"
#include "http/socket_read_func.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <variant>

namespace skylark {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t readBytes = 4096; ///< Maximum size in bytes of a read outside the HTTP parser.
/** Time limit for reading the rest of a rejected request: closing a connection with unread data resets it, and the caller loses the response. */
constexpr milliseconds lingerTime{500};

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
    reportUnserved(options, error.code);
    co_await sendResponse(responder, renderRejection(options, error));
    co_await drainInput(connection);
}

/** @return The request that @p parser has read, whose body is moved out of it. */
HttpRequest takeRequest(RequestParser &parser)
{
    HttpRequest request;
    request.method = std::string(parser.get().method_string());
    request.target = std::string(parser.get().target());
    request.headers = headersOf(parser);
    request.body = std::move(parser.get().body());
    return request;
}

asio::awaitable<beast::error_code> readHead(Receiving &receiving)
{
    const auto [error, bytes] = co_await http::async_read_header(receiving.connection->stream, receiving.connection->buffer, receiving.parser, awaitTuple);
    receiving.framing += bytes;
    co_return error;
}

/** Lets the account end the reading of a request. */
struct ClosableRead {
    HttpServerConnection &connection;

    explicit ClosableRead(HttpServerConnection &reading)
        : connection(reading)
    {
        this->connection.hold->progressAt = BootClock::now();
        this->connection.hold->close = [this] {
            beast::error_code ignored;
            this->connection.stream.socket().cancel(ignored);
        };
    }
    ClosableRead(const ClosableRead &) = delete;
    ClosableRead &operator=(const ClosableRead &) = delete;
    ~ClosableRead()
    {
        this->connection.hold->close = nullptr;
    }
};

/** @return How long @p connection may wait for the first bytes of a request. */
milliseconds idleLimit(const HttpServer::Impl &server, const HttpServerConnection &connection)
{
    constexpr milliseconds firstRequestTime{500}; // The request of a new connection is in transit.
    if (!server.closeIdle) {
        return keepAliveInForce(server);
    }
    return connection.requestNumber == 0 ? firstRequestTime : milliseconds(0);
}

/** Waits for the first bytes of a request. @return Whether there are any; otherwise the caller has closed the connection, or it was idle for too long. */
asio::awaitable<bool> waitForInput(std::shared_ptr<HttpServerConnection> connection, std::shared_ptr<HttpServer::Impl> server)
{
    const auto idleSince = std::chrono::steady_clock::now();
    for (;;) {
        const auto left = idleSince + idleLimit(*server, *connection) - std::chrono::steady_clock::now();
        if (left.count() > 0) {
            const auto deadline = ReadDeadline::create(connection->stream, std::chrono::ceil<milliseconds>(left));
            const auto [error] = co_await connection->stream.socket().async_wait(tcp::socket::wait_read, awaitTuple);
            if (!error) {
                co_return true;
            }
        }
        if (connection->hold->closed) {
            co_return false;
        }
        const SocketInput input = peekInput(connection->stream);
        if (input != SocketInput::Nothing || std::chrono::steady_clock::now() >= idleSince + idleLimit(*server, *connection)) {
            co_return input == SocketInput::Bytes;
        }
    }
}

/** Reads the head of a request, of which some bytes are there. */
asio::awaitable<std::optional<ReceiveFailure>> receiveHead(Receiving &receiving)
{
    HttpServerConnection &connection = *receiving.connection;
    receiving.parser.body_limit(receiving.maxBody);
    receiving.parser.header_limit(receiving.maxHeader);
    const std::string_view begin(static_cast<const char *>(connection.buffer.data().data()), connection.buffer.size());
    if (begin.find("\r\n\r\n") == std::string_view::npos) {
        receiving.framing = receiving.maxHeader; // The rest may be as long as that.
        const bool room = co_await makeRoom(receiving, 0);
        receiving.framing = 0;
        if (!room) {
            co_return memoryFailure(receiving);
        }
    }
    const beast::error_code error = co_await readWithin(connection.stream, receiving.server->options.headTimeout, lateRequestTime, [&receiving] {
        return readHead(receiving);
    });
    if (connection.hold->closed) {
        co_return memoryFailure(receiving);
    }
    if (error == http::error::end_of_stream || error == asio::error::connection_reset) {
        co_return ReceiveFailure{};
    }
    if (auto rejection = findReadError(receiving.maxBody, error)) {
        co_return ReceiveFailure{std::move(rejection), {}};
    }
    if (receiving.parser.get().count(http::field::host) > 1) {
        co_return ReceiveFailure{makeError(ErrorCode::InvalidRequest, "more than one Host header"), {}};
    }
    co_return std::nullopt;
}

/** Tells the caller to send the body if it waits for that. @return Whether the connection is still there. */
asio::awaitable<bool> answerExpectation(const Receiving &receiving)
{
    if (!boost::beast::iequals(receiving.parser.get()[http::field::expect], "100-continue")) {
        co_return true;
    }
    http::response<http::empty_body> proceed(http::status::continue_, 11);
    receiving.connection->stream.expires_after(receiving.server->options.bodyTimeout);
    const auto [error, bytes] = co_await http::async_write(receiving.connection->stream, proceed, awaitTuple);
    co_return !error;
}

/** Receives one request, of which some bytes are there. @return The request, or why there is none; its bytes are freed by then. */
asio::awaitable<std::variant<HttpRequest, ReceiveFailure>> receiveRequest(std::shared_ptr<HttpServerConnection> connection,
                                                                          std::shared_ptr<HttpServer::Impl> server)
{
    const ClosableRead closable(*connection);
    Receiving receiving{connection, server, server->options.maxHeader, server->options.maxBody};
    auto failure = co_await receiveHead(receiving);
    if (failure) {
        co_return *failure;
    }
    const bool connected = co_await answerExpectation(receiving);
    if (!connected) {
        co_return ReceiveFailure{};
    }
    failure = co_await receiveBody(receiving);
    if (failure) {
        if (!failure->error) {
            reportUnserved(server->options, ErrorCode::CallerGone);
        }
        co_return *failure;
    }
    const bool room = co_await makeRoom(receiving, 0);
    if (!room) {
        co_return memoryFailure(receiving);
    }
    connection->requestBytes = receiving.framing + receiving.parser.get().body().size() * receiving.copies + connection->buffer.capacity();
    setHeldBytes(*connection->hold, totalBytes(connection->requestBytes, 0));
    connection->keepAlive = receiving.parser.get().keep_alive();
    co_return takeRequest(receiving.parser);
}

/** Reports a client that met a limit; the account reports those that it closes. */
void reportLimit(const HttpServerConnection &connection, const HttpServerOptions &options, const ReceiveFailure &failure)
{
    if (failure.limit && *failure.limit != ClientLimit::MemoryClosed && options.onClientLimit) {
        options.onClientLimit({*failure.limit, connection.hold->bytes, timeSince(connection.hold->progressAt)});
    }
}

} // namespace

void reportUnserved(const HttpServerOptions &options, ErrorCode cause)
{
    if (options.onUnserved) {
        options.onUnserved(cause);
    }
}

HttpResponse renderRejection(const HttpServerOptions &options, const Error &error)
{
    HttpResponse response;
    response.status = errorInfo(error.code).status;
    if (options.renderError) {
        response = options.renderError(error);
    }
    if (error.code == ErrorCode::NotReady && headerValue(response.headers, "Retry-After").empty()) {
        response.headers.push_back({"Retry-After", "0.5"});
    }
    return response;
}

milliseconds keepAliveInForce(const HttpServer::Impl &server)
{
    const milliseconds current = server.options.keepAlive;
    return std::chrono::steady_clock::now() < server.longerUntil ? std::max(server.longerKeepAlive, current) : current;
}

asio::awaitable<void> refuseConnection(std::shared_ptr<HttpServerConnection> connection, std::shared_ptr<HttpServer::Impl> server)
{
    constexpr milliseconds requestTime{1000}; // A response before the request would not be taken for its response.
    {
        const auto deadline = ReadDeadline::create(connection->stream, requestTime);
        co_await connection->stream.socket().async_wait(tcp::socket::wait_read, awaitTuple);
    }
    if (peekInput(connection->stream) == SocketInput::Bytes) {
        co_await rejectRequest(connection, server->options, makeError(ErrorCode::NotReady, "too many connections"));
    }
}

asio::awaitable<std::optional<HttpRequest>> readRequest(std::shared_ptr<HttpServerConnection> connection, std::shared_ptr<HttpServer::Impl> server)
{
    if (connection->buffer.size() == 0) {
        connection->buffer.shrink_to_fit();
        const ClosableRead closable(*connection);
        if (!co_await waitForInput(connection, server)) {
            co_return std::nullopt;
        }
        const auto [error, bytes] = co_await connection->stream.async_read_some(connection->buffer.prepare(readBytes), awaitTuple);
        if (error) {
            co_return std::nullopt;
        }
        connection->buffer.commit(bytes);
    }
    connection->state = ConnectionState::Reading;
    auto received = co_await receiveRequest(connection, server);
    if (auto *request = std::get_if<HttpRequest>(&received)) {
        co_return std::move(*request);
    }
    const ReceiveFailure &failure = std::get<ReceiveFailure>(received);
    reportLimit(*connection, server->options, failure);
    connection->buffer.clear();
    connection->buffer.shrink_to_fit();
    releaseRequest(*connection);
    if (failure.error) {
        co_await rejectRequest(connection, server->options, *failure.error);
    }
    co_return std::nullopt;
}

} // namespace skylark
