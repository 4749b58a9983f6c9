/** @file http_request_reader.cpp Reads the requests of a connection, within the limits of the server. */
#include "http/http_request_reader_func.h"

#include "core/table/error_table.h"
#include "http/socket_read_func.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace skylark {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t readBytes = 4096; ///< Maximum size in bytes of a read outside the HTTP parser.
/** Time limit for reading the rest of a rejected request: closing a connection with unread data resets it, and the caller loses the response. */
constexpr std::chrono::milliseconds lingerTime{500};
constexpr std::chrono::milliseconds lateReadTime{500}; ///< Time limit for reading the rest of a request that has arrived in part by its time limit.

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
    reportUnserved(options, error.code);
    co_await sendResponse(responder, renderRejection(options, error));
    co_await drainInput(connection);
}

using RequestParser = http::request_parser<http::string_body>;

asio::awaitable<beast::error_code> readHead(std::shared_ptr<HttpServerConnection> connection, RequestParser &parser)
{
    const auto [error, bytes] = co_await http::async_read_header(connection->stream, connection->buffer, parser, awaitTuple);
    co_return error;
}

asio::awaitable<beast::error_code> readBody(std::shared_ptr<HttpServerConnection> connection, RequestParser &parser)
{
    const auto [error, bytes] = co_await http::async_read(connection->stream, connection->buffer, parser, awaitTuple);
    co_return error;
}

/** @return How long @p connection may wait for the first bytes of a request. */
std::chrono::milliseconds idleLimit(const HttpServer::Impl &server, const HttpServerConnection &connection)
{
    constexpr std::chrono::milliseconds firstRequestTime{500}; // The request of a new connection is in transit.
    if (!server.closeIdle) {
        return keepAliveInForce(server);
    }
    return connection.requestNumber == 0 ? firstRequestTime : std::chrono::milliseconds(0);
}

/** Waits for the first bytes of a request. @return Whether there are any; otherwise the caller has closed the connection, or it was idle for too long. */
asio::awaitable<bool> waitForInput(std::shared_ptr<HttpServerConnection> connection, std::shared_ptr<HttpServer::Impl> server)
{
    const auto idleSince = std::chrono::steady_clock::now();
    for (;;) {
        const auto left = idleSince + idleLimit(*server, *connection) - std::chrono::steady_clock::now();
        if (left.count() > 0) {
            const auto deadline = ReadDeadline::create(connection->stream, std::chrono::ceil<std::chrono::milliseconds>(left));
            const auto [error] = co_await connection->stream.socket().async_wait(tcp::socket::wait_read, awaitTuple);
            if (!error) {
                co_return true;
            }
        }
        const SocketInput input = peekInput(connection->stream);
        if (input != SocketInput::Nothing || std::chrono::steady_clock::now() >= idleSince + idleLimit(*server, *connection)) {
            co_return input == SocketInput::Bytes;
        }
    }
}

/** @return The error with which a request is rejected whose read ended with @p error, or nothing if there was none. */
std::optional<Error> findReadError(std::size_t maxBody, const beast::error_code &error)
{
    if (error == beast::error::timeout) {
        return makeError(ErrorCode::HeaderTimeout, "request did not arrive in time");
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
    return std::nullopt;
}

/** @return Whether a read of a body ended because the connection did, so that there is nobody to answer. */
bool isConnectionLost(const beast::error_code &error)
{
    const beast::error_code partial = http::error::partial_message;
    return error && error != beast::error::timeout && (error == partial || error.category() != partial.category());
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

std::chrono::milliseconds keepAliveInForce(const HttpServer::Impl &server)
{
    const std::chrono::milliseconds current = server.options.keepAlive;
    return std::chrono::steady_clock::now() < server.longerUntil ? std::max(server.longerKeepAlive, current) : current;
}

asio::awaitable<void> refuseConnection(std::shared_ptr<HttpServerConnection> connection, std::shared_ptr<HttpServer::Impl> server)
{
    constexpr std::chrono::milliseconds requestTime{1000}; // A response before the request would not be taken for its response.
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
    const HttpServerOptions &options = server->options;
    if (connection->buffer.size() == 0) {
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
    RequestParser parser;
    parser.body_limit(options.maxBody);
    parser.header_limit(options.maxHeader);
    const std::size_t maxBody = options.maxBody;
    const beast::error_code headError = co_await readWithin(connection->stream, options.headTimeout, lateReadTime, [&connection, &parser] {
        return readHead(connection, parser);
    });
    if (headError == http::error::end_of_stream || headError == asio::error::connection_reset) {
        co_return std::nullopt;
    }
    auto rejection = findReadError(maxBody, headError);
    if (!rejection && parser.get().count(http::field::host) > 1) {
        rejection = makeError(ErrorCode::InvalidRequest, "more than one Host header");
    }
    if (rejection) {
        co_await rejectRequest(connection, options, *rejection);
        co_return std::nullopt;
    }
    if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> proceed(http::status::continue_, 11);
        connection->stream.expires_after(options.bodyTimeout);
        const auto [error, bytes] = co_await http::async_write(connection->stream, proceed, awaitTuple);
        if (error) {
            co_return std::nullopt;
        }
    }
    const beast::error_code bodyError = co_await readWithin(connection->stream, options.bodyTimeout, lateReadTime, [&connection, &parser] {
        return readBody(connection, parser);
    });
    if (isConnectionLost(bodyError)) {
        reportUnserved(options, ErrorCode::CallerGone);
        co_return std::nullopt;
    }
    if (const auto bodyRejection = findReadError(maxBody, bodyError)) {
        co_await rejectRequest(connection, options, *bodyRejection);
        co_return std::nullopt;
    }
    connection->keepAlive = parser.get().keep_alive();
    co_return convertRequest(parser.release());
}

} // namespace skylark
