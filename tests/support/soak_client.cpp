/** @file soak_client.cpp Caller that reuses one connection and records how each of its requests ended. */
#include "support/soak_client_func.h"

#include "core/async_sleep_func.h"
#include "names.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>
#include <sstream>
#include <sys/socket.h>

namespace skylark::test {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds connectTimeout{1000};
constexpr milliseconds patience{500}; ///< Time after its budget for which the caller still waits for the final answer.
constexpr milliseconds resetDelay{30}; ///< Time for the reset to arrive that follows if the host closed the connection before it had read the request.

using ResponseParser = http::response_parser<http::string_body>;

std::string chunksOf(const std::string &body)
{
    constexpr std::size_t chunkBytes = 0x1000;
    std::string text;
    for (std::size_t at = 0; at < body.size(); at += chunkBytes) {
        const std::string chunk = body.substr(at, chunkBytes);
        std::ostringstream size;
        size << std::hex << chunk.size();
        text += size.str() + "\r\n" + chunk + "\r\n";
    }
    return text + "0\r\n\r\n";
}

std::string requestText(const SoakCall &call)
{
    std::string text = call.method + ' ' + call.target + " HTTP/1.1\r\nHost: h.example\r\n" + std::string(platform::headerRequestId) + ": " + call.id + "\r\n"
                       + std::string(platform::headerDeadline) + ": " + std::to_string(call.budget.count()) + "\r\n";
    text += std::string(platform::headerApiKey) + ": " + std::string(soakApiKey) + "\r\n";
    for (const HttpHeader &header : call.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    if (call.chunked) {
        return text + "Transfer-Encoding: chunked\r\n\r\n" + chunksOf(call.body);
    }
    return text + "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
}

asio::awaitable<bool> sendText(SoakConnection &connection, std::string text)
{
    connection.stream.expires_after(connectTimeout);
    const auto [error, bytes] = co_await asio::async_write(connection.stream, asio::buffer(text), awaitTuple);
    co_return !error;
}

asio::awaitable<bool> sendRequest(SoakConnection &connection, const SoakCall &call)
{
    const std::string text = requestText(call);
    if (call.firstPart > 0 && call.firstPart < text.size()) {
        const bool sent = co_await sendText(connection, text.substr(0, call.firstPart));
        if (!sent) {
            co_return false;
        }
        co_await sleepFor(call.pause);
        const bool rest = co_await sendText(connection, text.substr(call.firstPart));
        co_return rest;
    }
    const bool whole = co_await sendText(connection, text);
    co_return whole;
}

/** @return Whether the peer of a connection that it has closed had read all bytes. Otherwise its system sends a reset. */
bool wasReadByPeer(SoakConnection &connection)
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    const int failed = ::getsockopt(connection.stream.socket().native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length);
    return failed == 0 && info.tcpi_state == TCP_CLOSE_WAIT;
}

asio::awaitable<SoakEnd> closedEnd(SoakConnection &connection, bool begun, beast::error_code error)
{
    if (error == beast::error::timeout) {
        co_return SoakEnd::GaveUp;
    }
    if (begun) {
        co_return SoakEnd::BrokenOff;
    }
    co_await sleepFor(resetDelay);
    co_return wasReadByPeer(connection) ? SoakEnd::ClosedAfterRead : SoakEnd::ClosedUnread;
}

/** Reads until the response is complete, the connection closes or the caller gives up. */
asio::awaitable<void> readResponse(SoakConnection &connection, ResponseParser &parser, SoakRecord &record)
{
    const TimePoint giveUpAt = record.sentAt + record.call.budget + patience;
    TimePoint lastAt = BootClock::now();
    while (!parser.is_done()) {
        const auto left = std::chrono::duration_cast<milliseconds>(giveUpAt - BootClock::now());
        connection.stream.expires_after(std::max(milliseconds(1), left));
        const auto [error, bytes] = co_await http::async_read_some(connection.stream, connection.buffer, parser, awaitTuple);
        const TimePoint now = BootClock::now();
        const auto gap = std::chrono::duration_cast<milliseconds>(now - lastAt);
        if (gap > record.longestGap) {
            record.longestGap = gap;
            record.gapSince = lastAt;
        }
        lastAt = now;
        if (error) {
            record.end = co_await closedEnd(connection, parser.got_some(), error);
            co_return;
        }
    }
    record.end = SoakEnd::Answered;
}

} // namespace

std::string soakBody(const std::string &id, std::size_t size)
{
    std::string body;
    while (body.size() < size) {
        body += id + ' ';
    }
    body.resize(size);
    return body;
}

asio::awaitable<std::unique_ptr<SoakConnection>> connectTo(Endpoint host)
{
    const auto executor = co_await asio::this_coro::executor;
    auto connection = std::make_unique<SoakConnection>(SoakConnection{beast::tcp_stream(executor), {}, {}});
    connection->stream.expires_after(connectTimeout);
    const tcp::endpoint endpoint(asio::ip::make_address(host.address), host.port);
    const auto [error] = co_await connection->stream.async_connect(endpoint, awaitTuple);
    if (error) {
        connection.reset();
    }
    co_return connection;
}

bool isOpen(SoakConnection &connection)
{
    char byte = 0;
    tcp::socket &socket = connection.stream.socket();
    return socket.is_open() && ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

asio::awaitable<SoakRecord> sendSoakCall(SoakConnection &connection, SoakCall call)
{
    SoakRecord record;
    record.call = std::move(call);
    record.idleSince = connection.idleSince;
    record.startedAt = BootClock::now();
    ResponseParser parser;
    parser.body_limit(boost::none);
    const bool sent = co_await sendRequest(connection, record.call);
    record.sentAt = BootClock::now();
    if (sent) {
        co_await readResponse(connection, parser, record);
    }
    record.endedAt = BootClock::now();
    if (parser.is_header_done()) {
        const auto &response = parser.get();
        record.status = static_cast<int>(response.result_int());
        record.signature = std::string(response[std::string(platform::headerSignature)]);
        record.body = response.body();
    }
    connection.idleSince = record.endedAt;
    if (record.end != SoakEnd::Answered || !parser.keep_alive()) {
        connection.stream.close();
    }
    co_return record;
}

const char *soakEndName(SoakEnd end)
{
    switch (end) {
    case SoakEnd::NotSent:
        return "not_sent";
    case SoakEnd::Answered:
        return "answered";
    case SoakEnd::BrokenOff:
        return "broken_off";
    case SoakEnd::ClosedAfterRead:
        return "closed_after_read";
    case SoakEnd::ClosedUnread:
        return "closed_unread";
    case SoakEnd::GaveUp:
        return "gave_up";
    }
    return "unknown";
}

} // namespace skylark::test
