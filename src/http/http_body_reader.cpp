/** @file http_body_reader.cpp Reads the body of a request, within the limits of the server. */
#include "http/http_receiving_base.h"
#include "http/socket_read_func.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <sys/socket.h>

namespace skylark {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

ReceiveFailure limitFailure(ClientLimit limit, ErrorCode code, std::string detail)
{
    return {makeError(code, std::move(detail)), limit};
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
                receiving.bodyUntil = receiving.lastByteAt + lateRequestTime;
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

} // namespace

milliseconds timeSince(TimePoint then)
{
    return std::chrono::duration_cast<milliseconds>(BootClock::now() - then);
}

ReceiveFailure memoryFailure(const Receiving &receiving)
{
    const bool closed = receiving.connection->hold->closed;
    return limitFailure(closed ? ClientLimit::MemoryClosed : ClientLimit::MemoryWait, ErrorCode::NotReady, "no memory for the request");
}

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

asio::awaitable<std::optional<ReceiveFailure>> receiveBody(Receiving &receiving)
{
    beginBody(receiving);
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

} // namespace skylark
