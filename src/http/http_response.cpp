/** @file http_response.cpp Sends the response to one request of a connection. */
#include "http/http_connection_base.h"
#include "http/socket_read_func.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace skylark {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/** @return Whether the connection is closed after the current response. A stop waits for the next request if it has arrived already. */
bool isClosing(HttpServerConnection &connection)
{
    const auto server = connection.server.lock();
    const bool stopping = !server || server->closing;
    return stopping && connection.buffer.size() == 0 && peekInput(connection.stream) != SocketInput::Bytes;
}

Result<Done> writeResult(HttpServerConnection &connection, const beast::error_code &error)
{
    if (!error) {
        return Done{};
    }
    connection.keepAlive = false;
    return makeError(ErrorCode::CallerGone, error.message(), RunState::Maybe);
}

/** Lets the account close a connection while a write to its caller waits. */
struct ClosableWrite {
    std::shared_ptr<HttpServerConnection> connection;

    explicit ClosableWrite(std::shared_ptr<HttpServerConnection> writing)
        : connection(std::move(writing))
    {
        this->connection->hold->progressAt = BootClock::now();
        this->connection->hold->close = [raw = this->connection.get()] {
            raw->keepAlive = false;
            raw->stream.close();
        };
    }
    ClosableWrite(const ClosableWrite &) = delete;
    ClosableWrite &operator=(const ClosableWrite &) = delete;
    ~ClosableWrite()
    {
        this->connection->hold->close = nullptr;
    }
};

/** Writes @p buffers. The time limit applies to each step, so that a caller that reads slowly gets all of them. */
template<typename Buffers>
asio::awaitable<beast::error_code> writeInSteps(std::shared_ptr<HttpServerConnection> connection, Buffers buffers)
{
    const ClosableWrite closable(connection);
    beast::buffers_suffix<Buffers> rest(std::move(buffers));
    while (beast::buffer_bytes(rest) > 0) {
        connection->stream.expires_after(connection->writeTimeout);
        const auto [error, bytes] = co_await connection->stream.async_write_some(rest, awaitTuple);
        if (error) {
            co_return error;
        }
        rest.consume(bytes);
        recordMoved(*connection->hold, bytes);
    }
    co_return beast::error_code();
}

template<typename Message>
void setHeaders(Message &message, const HttpHeaders &headers)
{
    for (const HttpHeader &header : headers) {
        message.insert(header.name, header.value);
    }
}

} // namespace

asio::awaitable<bool> reserveAnswer(HttpResponder &responder, std::uint64_t bytes, std::chrono::milliseconds limit)
{
    const auto connection = responder.connection;
    if (bytes <= smallHoldBytes) {
        holdAnswer(*connection, std::max(connection->answerBytes, bytes)); // The request ends and gives back more than that.
        co_return true;
    }
    recordMoved(*connection->hold, bytes - std::min(bytes, connection->answerBytes));
    const bool reserved = co_await reserveMemory(connection->hold, totalBytes(connection->requestBytes, bytes), limit);
    connection->hold->progressAt = BootClock::now();
    if (reserved) {
        connection->answerBytes = std::max(connection->answerBytes, bytes);
    }
    co_return reserved;
}

bool isClosedForMemory(const HttpResponder &responder)
{
    return responder.connection->hold->closed;
}

asio::awaitable<Result<Done>> sendResponse(HttpResponder &responder, HttpResponse response)
{
    const auto connection = responder.connection;
    holdAnswer(*connection, std::max<std::uint64_t>(connection->answerBytes, response.body.size()));
    http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
    setHeaders(message, response.headers);
    message.body() = std::move(response.body);
    connection->keepAlive = connection->keepAlive && !isClosing(*connection);
    message.keep_alive(connection->keepAlive);
    message.prepare_payload();
    responder.started = true;
    connection->state = ConnectionState::Responding;
    http::response_serializer<http::string_body> serializer(message);
    beast::error_code error;
    const ClosableWrite closable(connection);
    while (!error && !serializer.is_done()) {
        connection->stream.expires_after(connection->writeTimeout);
        const auto [stepError, bytes] = co_await http::async_write_some(connection->stream, serializer, awaitTuple);
        error = stepError;
        recordMoved(*connection->hold, bytes);
    }
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
    connection->state = ConnectionState::Responding;
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
    holdAnswer(*connection, data.size());
    const auto error = co_await writeInSteps(connection, http::make_chunk(asio::buffer(data)));
    holdAnswer(*connection, 0);
    co_return writeResult(*connection, error);
}

asio::awaitable<Result<Done>> finishStream(HttpResponder &responder)
{
    const auto connection = responder.connection;
    const auto error = co_await writeInSteps(connection, http::make_chunk_last());
    responder.finished = !error;
    co_return writeResult(*connection, error);
}

void onCallerDisconnect(HttpResponder &responder, std::function<void()> action)
{
    if (responder.connection->callerHasGone) {
        action(); // The caller left before the handler was ready to act on it.
        return;
    }
    responder.connection->callerGone = std::move(action);
}

void onUnfinished(HttpResponder &responder, std::function<HttpResponse()> render)
{
    responder.connection->renderUnfinished = std::move(render);
}

void abortConnection(HttpResponder &responder)
{
    responder.connection->keepAlive = false;
    responder.connection->stream.close();
}

} // namespace skylark
