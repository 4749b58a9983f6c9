/** @file http_client.cpp HTTP client over Boost.Beast. */
#include "http/http_client_func.h"

#include "http/http_client_connection_base.h"
#include "http/http_request_writer_func.h"
#include "http/socket_read_func.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace skylark {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t readChunkBytes = 16384;
constexpr int firstStatus = 100; ///< A response with a lower one, such as 000, is none.
constexpr int firstFinalStatus = 200; ///< Responses with a lower status are interim ones.
constexpr unsigned maxInterimResponses = 8; ///< Bounds what a peer can make a request read before its response.
constexpr std::chrono::milliseconds lateReadTime{100}; ///< Time limit for reading bytes that have arrived by the time limit of a read.

/** Writes a whole request. @return The error, and the number of bytes that were written. */
asio::awaitable<std::pair<beast::error_code, std::size_t>> writeRequest(HttpConnection &connection, const std::string &head, const std::string &body)
{
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(head), asio::buffer(body)};
    const auto [error, bytes] = co_await asio::async_write(connection.stream, buffers, awaitTuple);
    co_return std::pair(error, bytes);
}

/** Reads the head of a response. */
asio::awaitable<beast::error_code> readHeadBytes(HttpConnection &connection)
{
    const auto [error, bytes] = co_await http::async_read_header(connection.stream, connection.buffer, *connection.parser, awaitTuple);
    co_return error;
}

/** Reads a part of the body of a response. */
asio::awaitable<beast::error_code> readBodyBytes(HttpConnection &connection)
{
    const auto [error, bytes] = co_await http::async_read_some(connection.stream, connection.buffer, *connection.parser, awaitTuple);
    co_return error;
}

/** Prepares a connection for the next response. */
void beginResponse(HttpConnection &connection)
{
    connection.parser.emplace();
    connection.parser->body_limit(boost::none);
    connection.parser->header_limit(maxResponseHeadBytes);
}

/** @return The error of a request whose response has no head because its read ended with @p error. */
Error headError(const beast::error_code &error, const Endpoint &endpoint)
{
    const bool malformed = error.category() == http::make_error_code(http::error::bad_version).category() && error != http::error::end_of_stream
                           && error != http::error::partial_message;
    const ErrorCode code = malformed ? ErrorCode::ProtocolError : ErrorCode::StreamBroken;
    return transportError(error, ErrorCode::FirstByteTimeout, code, RunState::Maybe, endpoint);
}

/** Registers the connection at an abort handle while httpOpen() uses it. */
struct OpeningRegistration {
    std::shared_ptr<HttpAbortHandle> handle; ///< May be null.

    OpeningRegistration(std::shared_ptr<HttpAbortHandle> abort, HttpConnection *connection)
        : handle(std::move(abort))
    {
        if (this->handle) {
            this->handle->opening = connection;
        }
    }
    OpeningRegistration(const OpeningRegistration &) = delete;
    OpeningRegistration &operator=(const OpeningRegistration &) = delete;
    ~OpeningRegistration()
    {
        if (this->handle) {
            this->handle->opening = nullptr;
        }
    }
};

HttpExchange makeExchange(const std::shared_ptr<HttpClient> &client, Endpoint endpoint, HttpConnectionPtr connection)
{
    HttpExchange exchange;
    exchange.endpoint = std::move(endpoint);
    exchange.client = client;
    exchange.connection = std::move(connection);
    return exchange;
}

/** Copies the head that was read to the exchange. */
void takeHead(HttpExchange &exchange)
{
    const auto &parser = *exchange.connection->parser;
    exchange.status = static_cast<int>(parser.get().result_int());
    for (HttpHeader &header : headersOf(parser)) {
        exchange.headers.push_back(std::move(header));
    }
}

/** Reads the next head, which may be that of an interim response. After @p timeout the exchange stays open. */
asio::awaitable<Result<Done>> readNextHead(HttpExchange &exchange, std::chrono::milliseconds timeout)
{
    HttpConnection &connection = *exchange.connection;
    const auto error = co_await readWithin(connection.stream, timeout, lateReadTime, [&connection] {
        return readHeadBytes(connection);
    });
    if (!error) {
        takeHead(exchange);
        co_return Done{};
    }
    if (!isReadLimit(error) && !connection.aborted) {
        exchange.connection.reset();
    }
    co_return headError(error, exchange.endpoint);
}

asio::awaitable<Result<HttpResponse>> readResponse(HttpExchange exchange, std::chrono::milliseconds idleTimeout, std::size_t maxBody)
{
    HttpResponse response;
    response.status = exchange.status;
    response.headers = std::move(exchange.headers);
    for (;;) {
        auto piece = co_await httpRead(exchange, idleTimeout);
        if (!isOk(piece)) {
            co_return errorOf(piece);
        }
        if (!valueOf(piece)) {
            co_return response;
        }
        response.body += *valueOf(piece);
        if (response.body.size() > maxBody) {
            co_return makeError(ErrorCode::ProtocolError, "response body exceeds the size limit", RunState::Maybe);
        }
    }
}

} // namespace

std::shared_ptr<HttpClient> HttpClient::create(asio::any_io_executor executor)
{
    auto client = std::make_shared<HttpClient>();
    client->executor = std::move(executor);
    return client;
}

void httpAbortOpening(HttpAbortHandle &handle)
{
    handle.aborted = true;
    if (handle.opening != nullptr) {
        handle.opening->aborted = true;
        handle.opening->stream.close();
    }
}

asio::awaitable<Result<HttpExchange>> httpSend(std::shared_ptr<HttpClient> client,
                                               Endpoint endpoint,
                                               HttpRequest request,
                                               HttpTimeouts timeouts,
                                               ConnectionUse use,
                                               std::shared_ptr<HttpAbortHandle> abort)
{
    PooledConnection pooled = use == ConnectionUse::Pooled ? popIdleConnection(*client, endpoint) : PooledConnection();
    HttpConnectionPtr connection = std::move(pooled.connection);
    if (!connection) {
        auto opened = co_await openConnection(*client, endpoint, timeouts.connect);
        if (!isOk(opened)) {
            co_return errorOf(opened);
        }
        connection = std::move(valueOf(opened));
    }
    if (abort && abort->aborted) {
        co_return makeError(ErrorCode::Cancelled, "aborted before the request was sent");
    }
    const auto head = renderRequestHead(request, endpoint);
    if (!isOk(head)) {
        co_return errorOf(head);
    }
    const OpeningRegistration registration(abort, connection.get());
    connection->stream.expires_after(timeouts.send);
    const auto [error, sent] = co_await writeRequest(*connection, valueOf(head), request.body);
    if (error) {
        if (sent == 0) {
            co_return transportError(error, ErrorCode::ConnectFailed, ErrorCode::ConnectFailed, RunState::No, endpoint);
        }
        // A peer that reads no further is silent, but has not closed the connection.
        co_return transportError(error, ErrorCode::IdleTimeout, ErrorCode::SendFailed, RunState::Maybe, endpoint);
    }
    beginResponse(*connection);
    HttpExchange exchange = makeExchange(client, std::move(endpoint), std::move(connection));
    exchange.unsolicitedBytes = pooled.unsolicitedBytes;
    co_return exchange;
}

asio::awaitable<Result<Done>> httpReadHead(HttpExchange &exchange, std::chrono::milliseconds timeout)
{
    const TimePoint end = BootClock::now() + timeout;
    for (unsigned interim = 0; interim <= maxInterimResponses; ++interim) {
        const auto left = std::max(std::chrono::milliseconds(1), std::chrono::ceil<std::chrono::milliseconds>(end - BootClock::now()));
        auto head = co_await readNextHead(exchange, left);
        if (!isOk(head) || exchange.status >= firstFinalStatus) {
            co_return head;
        }
        if (exchange.status < firstStatus) {
            exchange.connection.reset();
            co_return makeError(ErrorCode::ProtocolError, "response with the status " + std::to_string(exchange.status), RunState::Maybe);
        }
        exchange.status = 0;
        exchange.headers.clear();
        beginResponse(*exchange.connection);
    }
    exchange.connection.reset();
    co_return makeError(ErrorCode::ProtocolError, "too many interim responses", RunState::Maybe);
}

asio::awaitable<Result<HttpExchange>> httpOpen(std::shared_ptr<HttpClient> client,
                                               Endpoint endpoint,
                                               HttpRequest request,
                                               HttpTimeouts timeouts,
                                               ConnectionUse use,
                                               std::shared_ptr<HttpAbortHandle> abort)
{
    auto sent = co_await httpSend(std::move(client), std::move(endpoint), std::move(request), timeouts, use, abort);
    if (!isOk(sent)) {
        co_return sent;
    }
    HttpExchange &exchange = valueOf(sent);
    const OpeningRegistration registration(abort, exchange.connection.get());
    const auto head = co_await httpReadHead(exchange, timeouts.firstByte);
    if (exchange.connection && exchange.connection->aborted) {
        co_return makeError(ErrorCode::Cancelled, "aborted while waiting for the response", RunState::Maybe);
    }
    if (!isOk(head)) {
        co_return errorOf(head);
    }
    co_return sent;
}

asio::awaitable<Result<std::optional<std::string>>> httpRead(HttpExchange &exchange, std::chrono::milliseconds idleTimeout)
{
    auto piece = co_await httpReadPatiently(exchange, idleTimeout);
    if (!isOk(piece)) {
        exchange.connection.reset();
    }
    co_return piece;
}

asio::awaitable<Result<std::optional<std::string>>> httpReadPatiently(HttpExchange &exchange, std::chrono::milliseconds idleTimeout)
{
    if (!exchange.connection) {
        co_return std::optional<std::string>();
    }
    HttpConnection &connection = *exchange.connection;
    auto &parser = *connection.parser;
    std::string piece(readChunkBytes, '\0');
    while (!parser.is_done()) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        const auto error = co_await readWithin(connection.stream, idleTimeout, lateReadTime, [&connection] {
            return readBodyBytes(connection);
        });
        const std::size_t filled = piece.size() - parser.get().body().size;
        const bool failed = error && error != http::error::need_buffer && !(isTimeout(error) && filled > 0);
        if (failed && !isReadLimit(error)) {
            exchange.connection.reset();
        }
        if (failed) {
            co_return transportError(error, ErrorCode::IdleTimeout, ErrorCode::StreamBroken, RunState::Maybe, exchange.endpoint);
        }
        if (filled > 0) {
            piece.resize(filled);
            co_return std::optional<std::string>(std::move(piece));
        }
    }
    releaseConnection(exchange);
    co_return std::optional<std::string>();
}

bool httpIsOpen(const HttpExchange &exchange)
{
    return exchange.connection != nullptr;
}

bool httpHasInput(const HttpExchange &exchange)
{
    return exchange.connection && (exchange.connection->buffer.size() > 0 || isReadable(exchange.connection->stream));
}

void httpCloseAfterUse(HttpExchange &exchange)
{
    exchange.client.reset();
}

void httpAbort(HttpExchange &exchange)
{
    if (exchange.connection) {
        exchange.connection->stream.close();
    }
}

asio::awaitable<Result<HttpResponse>> httpCall(std::shared_ptr<HttpClient> client,
                                               Endpoint endpoint,
                                               HttpRequest request,
                                               HttpTimeouts timeouts,
                                               ConnectionUse use,
                                               std::size_t maxBody,
                                               std::shared_ptr<HttpAbortHandle> abort)
{
    auto opened = co_await httpOpen(std::move(client), std::move(endpoint), std::move(request), timeouts, use, std::move(abort));
    if (!isOk(opened)) {
        co_return errorOf(opened);
    }
    co_return co_await readResponse(std::move(valueOf(opened)), timeouts.idle, maxBody);
}

asio::awaitable<Result<HttpResponse>> httpCallExpectContinue(
    std::shared_ptr<HttpClient> client, Endpoint endpoint, HttpRequest request, HttpTimeouts timeouts, std::function<Result<Done>()> precheck)
{
    auto opened = co_await openConnection(*client, endpoint, timeouts.connect);
    if (!isOk(opened)) {
        co_return errorOf(opened);
    }
    HttpConnectionPtr connection = std::move(valueOf(opened));
    request.headers.push_back({"Expect", "100-continue"});
    const auto requestHead = renderRequestHead(request, endpoint);
    if (!isOk(requestHead)) {
        co_return errorOf(requestHead);
    }
    connection->stream.expires_after(timeouts.send);
    const auto [headError, headBytes] = co_await writeRequest(*connection, valueOf(requestHead), {});
    if (headError) {
        co_return transportError(headError, ErrorCode::SendFailed, ErrorCode::SendFailed, RunState::No, endpoint);
    }
    beginResponse(*connection);
    HttpExchange exchange = makeExchange(client, endpoint, std::move(connection));
    const auto continueHead = co_await readNextHead(exchange, timeouts.firstByte);
    if (!isOk(continueHead)) {
        Error error = errorOf(continueHead);
        error.run = RunState::No;
        co_return error;
    }
    if (exchange.connection->parser->get().result() != http::status::continue_) {
        co_return co_await readResponse(std::move(exchange), timeouts.idle, readChunkBytes);
    }
    exchange.headers.clear();
    const Result<Done> precheckResult = precheck();
    if (!isOk(precheckResult)) {
        co_return errorOf(precheckResult);
    }
    exchange.connection->stream.expires_after(timeouts.send);
    const auto [bodyError, bodyBytes] = co_await writeRequest(*exchange.connection, {}, request.body);
    if (bodyError) {
        co_return transportError(bodyError, ErrorCode::SendFailed, ErrorCode::SendFailed, RunState::Maybe, endpoint);
    }
    beginResponse(*exchange.connection);
    const auto head = co_await httpReadHead(exchange, timeouts.firstByte);
    if (!isOk(head)) {
        co_return errorOf(head);
    }
    co_return co_await readResponse(std::move(exchange), timeouts.idle, std::size_t{1} << 20U);
}

} // namespace skylark
