/** @file http_request_reader.cpp Reads the requests of a connection, within the limits of the server. */
#include "http/http_request_reader_func.h"

#include "core/table/error_table.h"
#include "http/http_parser_base.h"
#include "http/socket_read_func.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <sys/socket.h>
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
constexpr milliseconds lateReadTime{500}; ///< Time limit for reading the rest of a request that has arrived in part by its time limit.

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

using RequestParser = HttpParser<true, http::string_body>;

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

/** A request that is being received. */
struct Receiving {
    std::shared_ptr<HttpServerConnection> connection;
    std::shared_ptr<HttpServer::Impl> server;
    std::uint32_t maxHeader; ///< Limits at the begin of the request.
    std::size_t maxBody;
    RequestParser parser{};
    std::uint64_t framing{0}; ///< Bytes of the head, of chunk extensions and of trailers.
    unsigned copies{1}; ///< Copies of the body that exist while the request is handled.
    std::optional<std::uint64_t> announced{}; ///< Length of the body if the head names it.
    TimePoint bodySince{}; ///< When the body began; later by the times in which the server did not read.
    TimePoint lastByteAt{}; ///< Likewise, of the last byte.
    TimePoint bodyUntil{}; ///< End of HttpServerOptions::bodyTimeout.
    bool late{false}; ///< Whether bytes were read after that, for which bodyUntil was moved.
};

/** Why a request was not received; without an error the connection was lost. */
struct ReceiveFailure {
    std::optional<Error> error{};
    std::optional<ClientLimit> limit{};
};

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

milliseconds timeSince(TimePoint then)
{
    return std::chrono::duration_cast<milliseconds>(BootClock::now() - then);
}

ReceiveFailure limitFailure(ClientLimit limit, ErrorCode code, std::string detail)
{
    return {makeError(code, std::move(detail)), limit};
}

ReceiveFailure memoryFailure(const Receiving &receiving)
{
    const bool closed = receiving.connection->hold->closed;
    return limitFailure(closed ? ClientLimit::MemoryClosed : ClientLimit::MemoryWait, ErrorCode::NotReady, "no memory for the request");
}

/** Reserves what the request and the next @p more bytes of its body need. @return Whether they may be read. */
asio::awaitable<bool> makeRoom(Receiving &receiving, std::uint64_t more)
{
    const auto connection = receiving.connection;
    const std::uint64_t received = receiving.parser.get().body().size() + more;
    const bool proved = receiving.parser.is_done() || received > bodyProofBytes;
    const std::uint64_t body = proved ? bodyReservation(received, receiving.announced, receiving.maxBody) * receiving.copies : received;
    const std::uint64_t wanted = std::max(connection->requestBytes, receiving.framing + body);
    const TimePoint began = BootClock::now();
    const bool reserved = co_await reserveMemory(connection->hold, totalBytes(wanted, 0), receiving.server->options.memoryWait);
    if (reserved) {
        connection->requestBytes = wanted;
    }
    const auto paused = BootClock::now() - began;
    connection->hold->progressAt += paused;
    receiving.bodySince += paused;
    receiving.lastByteAt += paused;
    receiving.bodyUntil += paused;
    co_return reserved;
}

/** Parses what has been received. */
beast::error_code parseInput(Receiving &receiving)
{
    beast::flat_buffer &buffer = receiving.connection->buffer;
    std::string &body = receiving.parser.get().body();
    if (!receiving.announced && body.size() + buffer.size() > smallHoldBytes && body.capacity() < receiving.maxBody) {
        // Pages that are not written take no memory; growing would copy the body and hold it twice.
        body.reserve(receiving.maxBody);
    }
    beast::error_code error;
    if (buffer.size() > 0 && !receiving.parser.is_done()) {
        buffer.consume(receiving.parser.put(buffer.data(), error));
    }
    if (buffer.size() == 0) {
        buffer.shrink_to_fit();
    }
    const beast::error_code needMore = http::error::need_more;
    return error == needMore ? beast::error_code() : error;
}

/** @return The number of bytes to read at once; not far beyond the body, since the bytes of a next request would be held until this one is handled. */
std::size_t nextReadBytes(const Receiving &receiving)
{
    constexpr std::size_t announcedRead = std::size_t{64} << 10U;
    constexpr std::size_t shortRead = std::size_t{16} << 10U;
    const auto left = receiving.parser.content_length_remaining();
    const std::size_t most = left && receiving.parser.get().body().size() >= bodyProofBytes ? announcedRead : shortRead;
    return left ? static_cast<std::size_t>(std::clamp<std::uint64_t>(*left, 1, most)) : most;
}

/** @return Why the body is not waited for any longer; nothing while it is. */
std::optional<ReceiveFailure> findSlowness(const Receiving &receiving, const BodyProgress &progress)
{
    const HttpServerOptions &options = receiving.server->options;
    if (receiving.connection->hold->closed) {
        return memoryFailure(receiving);
    }
    const BodyVerdict verdict = judgeBody(options.bodyLimits, progress);
    if (verdict == BodyVerdict::Stalled) {
        return limitFailure(ClientLimit::BodyStalled, ErrorCode::HeaderTimeout, "request body made no progress");
    }
    if (verdict == BodyVerdict::TooSlow) {
        return limitFailure(ClientLimit::BodyTooSlow, ErrorCode::HeaderTimeout, "request body was too slow");
    }
    if (BootClock::now() >= receiving.bodyUntil) {
        return ReceiveFailure{makeError(ErrorCode::HeaderTimeout, "request did not arrive in time"), {}};
    }
    return std::nullopt;
}

/** Receives the next bytes of a body into the buffer. What has arrived is read whatever the time is: the process may have been late itself. */
asio::awaitable<std::optional<ReceiveFailure>> receiveBytes(Receiving &receiving)
{
    HttpServerConnection &connection = *receiving.connection;
    for (;;) {
        const std::size_t size = nextReadBytes(receiving);
        const auto space = connection.buffer.prepare(size);
        const auto got = ::recv(connection.stream.socket().native_handle(), space.data(), size, MSG_DONTWAIT);
        if (got > 0) {
            connection.buffer.commit(static_cast<std::size_t>(got));
            recordMoved(*connection.hold, static_cast<std::uint64_t>(got));
            receiving.lastByteAt = BootClock::now();
            if (receiving.lastByteAt >= receiving.bodyUntil && !receiving.late) {
                receiving.late = true;
                receiving.bodyUntil = receiving.lastByteAt + lateReadTime;
            }
            co_return std::nullopt;
        }
        if (got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
            co_return ReceiveFailure{};
        }
        if (connection.buffer.size() == 0) {
            connection.buffer.shrink_to_fit();
        }
        const BodyProgress progress{timeSince(receiving.bodySince), timeSince(receiving.lastByteAt), receiving.parser.get().body().size()};
        if (auto failure = findSlowness(receiving, progress)) {
            co_return failure;
        }
        const auto left = std::chrono::ceil<milliseconds>(receiving.bodyUntil - BootClock::now());
        const auto wait = std::min(left, nextBodyVerdict(receiving.server->options.bodyLimits, progress));
        const auto deadline = ReadDeadline::create(connection.stream, std::max(milliseconds(1), wait));
        co_await connection.stream.socket().async_wait(tcp::socket::wait_read, awaitTuple);
    }
}

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

/** @return Size on the wire of the fields that @p parser has read. */
std::uint64_t fieldBytes(const RequestParser &parser)
{
    constexpr std::uint64_t separators = 4; // Colon, space and line end.
    std::uint64_t bytes = 0;
    for (const auto &field : parser.get()) {
        bytes += field.name_string().size() + field.value().size() + separators;
    }
    for (const HttpHeader &field : parser.longFields) {
        bytes += field.name.size() + field.value.size() + separators;
    }
    return bytes;
}

/** Reads the body whose head has been read. Memory for it is reserved before each read. */
asio::awaitable<std::optional<ReceiveFailure>> receiveBody(Receiving &receiving)
{
    auto countExtensions = [&receiving](std::uint64_t /*size*/, boost::beast::string_view extensions, beast::error_code &error) {
        receiving.framing += extensions.size();
        if (receiving.framing > receiving.maxHeader) {
            error = http::error::header_limit;
        }
    };
    receiving.parser.on_chunk_header(countExtensions);
    receiving.parser.eager(true);
    const std::uint64_t headFields = fieldBytes(receiving.parser);
    const ReceiveFailure tooLarge =
        limitFailure(ClientLimit::FramingTooLarge, ErrorCode::HeaderTooLarge, "head, chunk extensions and trailers exceed the size limit");
    for (;;) {
        const beast::error_code error = parseInput(receiving);
        if (error == http::error::header_limit) {
            co_return tooLarge;
        }
        if (error) {
            co_return ReceiveFailure{findReadError(receiving.maxBody, error), {}};
        }
        if (receiving.parser.is_done()) {
            break;
        }
        if (receiving.framing + receiving.connection->buffer.size() > receiving.maxHeader) {
            co_return tooLarge; // A line of the chunked coding, or trailers, that have not ended.
        }
        const bool room = co_await makeRoom(receiving, nextReadBytes(receiving));
        if (!room) {
            co_return memoryFailure(receiving);
        }
        auto failure = co_await receiveBytes(receiving);
        if (failure) {
            co_return failure;
        }
    }
    if (receiving.framing + fieldBytes(receiving.parser) - headFields > receiving.maxHeader) {
        co_return tooLarge;
    }
    co_return std::nullopt;
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
    const beast::error_code error = co_await readWithin(connection.stream, receiving.server->options.headTimeout, lateReadTime, [&receiving] {
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

/** Prepares the reading of the body: how much memory its request will take, and its time limits. */
void beginBody(Receiving &receiving)
{
    const HttpServerOptions &options = receiving.server->options;
    if (const auto length = receiving.parser.content_length()) {
        receiving.announced = *length;
    }
    if (options.bodyCopies && !receiving.parser.is_done()) {
        HttpRequest head;
        head.method = std::string(receiving.parser.get().method_string());
        head.target = std::string(receiving.parser.get().target());
        head.headers.push_back({"Host", std::string(receiving.parser.get()[http::field::host])});
        receiving.copies = options.bodyCopies(head);
    }
    receiving.bodySince = BootClock::now();
    receiving.lastByteAt = receiving.bodySince;
    receiving.bodyUntil = receiving.bodySince + options.bodyTimeout;
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
    beginBody(receiving);
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
