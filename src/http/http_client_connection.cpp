/** @file http_client_connection.cpp Connections of the HTTP client: opening, pooling and errors. */
#include "http/http_client_connection_base.h"

#include "http/socket_read_func.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace skylark {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t maxUnparsedBytes = std::size_t{2} * maxResponseHeadBytes; ///< Bounds what a peer can send as one head, chunk header or trailer.

void reportUnsolicitedBytes(const HttpClient &client, const Endpoint &endpoint)
{
    if (client.onUnsolicitedBytes) {
        client.onUnsolicitedBytes(endpoint);
    }
}

/** @return How long the connection may stay idle: the timeout in the peer's Keep-Alive header minus a margin for transit, at most @p limit. */
std::chrono::milliseconds allowedIdleTime(const HttpHeaders &headers, std::chrono::milliseconds limit)
{
    constexpr std::string_view parameter = "timeout=";
    constexpr std::chrono::milliseconds margin{500}; // A request must not be in transit when the peer closes the connection.
    const std::string_view value = headerValue(headers, "Keep-Alive");
    const std::size_t at = value.find(parameter);
    unsigned seconds = 0;
    if (at == std::string_view::npos || std::from_chars(value.data() + at + parameter.size(), value.data() + value.size(), seconds).ec != std::errc()) {
        return limit;
    }
    return std::min(limit, std::max(std::chrono::milliseconds(0), std::chrono::milliseconds(std::chrono::seconds(seconds)) - margin));
}

/** @return Whether the peer has sent more bytes than those of the response that was read. */
bool hasMoreBytes(HttpConnection &connection)
{
    return connection.buffer.size() > 0 || peekInput(connection.stream) == SocketInput::Bytes;
}

/** Makes the kernel close a connection whose peer or network path stops responding, even if no data is being sent. */
void enableDeadPeerDetection(tcp::socket &socket)
{
    constexpr int probeAfterSeconds = 1; // With probeIntervalSeconds and probes: a dead connection is closed within 3 s.
    constexpr int probeIntervalSeconds = 1;
    constexpr int probes = 2;
    constexpr int userTimeoutMs = 3000;
    const int handle = socket.native_handle();
    const int enabled = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &probeAfterSeconds, sizeof probeAfterSeconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &probeIntervalSeconds, sizeof probeIntervalSeconds);
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof userTimeoutMs);
}

} // namespace

void HttpConnectionDeleter::operator()(HttpConnection *connection) const
{
    delete connection;
}

bool isReadLimit(const beast::error_code &error)
{
    return error == beast::error::timeout;
}

bool isTimeout(const beast::error_code &error)
{
    return isReadLimit(error) || error == asio::error::timed_out;
}

Error transportError(const beast::error_code &error, ErrorCode timeoutCode, ErrorCode otherCode, RunState run, const Endpoint &endpoint)
{
    const std::string endpointText = endpoint.address + ":" + std::to_string(endpoint.port);
    if (error == asio::error::operation_aborted) {
        return makeError(ErrorCode::Cancelled, endpointText, run);
    }
    return makeError(isTimeout(error) ? timeoutCode : otherCode, endpointText + ": " + error.message(), run);
}

PooledConnection popIdleConnection(HttpClient &client, const Endpoint &endpoint)
{
    PooledConnection result;
    const auto found = client.idle.find(endpoint);
    if (found == client.idle.end()) {
        return result;
    }
    while (!found->second.empty()) {
        HttpConnectionPtr connection = std::move(found->second.back());
        found->second.pop_back();
        const SocketInput input = peekInput(connection->stream);
        if (input == SocketInput::Bytes) {
            // Read as the response to the next request, they would be handed to the wrong caller.
            result.unsolicitedBytes = true;
            reportUnsolicitedBytes(client, endpoint);
        } else if (input == SocketInput::Nothing && BootClock::now() < connection->usableUntil) {
            result.connection = std::move(connection);
            break;
        }
    }
    return result;
}

void releaseConnection(HttpExchange &exchange)
{
    exchange.connection->usableUntil = BootClock::now();
    if (const auto owner = exchange.client.lock()) {
        exchange.connection->usableUntil += allowedIdleTime(exchange.headers, owner->maxIdleTime);
    }
    const auto client = exchange.client.lock();
    const bool more = hasMoreBytes(*exchange.connection);
    exchange.unsolicitedBytes = exchange.unsolicitedBytes || more;
    if (client && more) {
        reportUnsolicitedBytes(*client, exchange.endpoint);
    }
    const bool keep = exchange.connection->parser->keep_alive() && !more;
    exchange.connection->parser.reset();
    exchange.connection->stream.expires_never();
    if (client && keep) {
        auto &idleConnections = client->idle[exchange.endpoint];
        if (idleConnections.size() < client->maxIdlePerEndpoint) {
            idleConnections.push_back(std::move(exchange.connection));
            return;
        }
    }
    exchange.connection.reset();
}

asio::awaitable<Result<HttpConnectionPtr>> openConnection(const HttpClient &client, Endpoint endpoint, std::chrono::milliseconds timeout)
{
    beast::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        co_return makeError(ErrorCode::ConnectFailed, endpoint.address + " is not an IP address");
    }
    HttpConnectionPtr connection(new HttpConnection{beast::tcp_stream(client.executor), beast::flat_buffer(maxUnparsedBytes), {}, BootClock::now()});
    connection->stream.expires_after(timeout);
    const auto [connectError] = co_await connection->stream.async_connect(tcp::endpoint(address, endpoint.port), awaitTuple);
    if (connectError) {
        co_return transportError(connectError, ErrorCode::ConnectTimeout, ErrorCode::ConnectFailed, RunState::No, endpoint);
    }
    connection->stream.socket().set_option(tcp::no_delay(true), error);
    enableDeadPeerDetection(connection->stream.socket());
    co_return connection;
}

asio::awaitable<bool> httpCanConnect(std::shared_ptr<HttpClient> client, Endpoint endpoint, std::chrono::milliseconds timeout)
{
    const auto opened = co_await openConnection(*client, std::move(endpoint), timeout);
    co_return isOk(opened);
}

void httpCloseIdle(HttpClient &client, const Endpoint &endpoint, TimePoint openedBefore)
{
    const auto found = client.idle.find(endpoint);
    if (found == client.idle.end()) {
        return;
    }
    std::erase_if(found->second, [openedBefore](const HttpConnectionPtr &connection) {
        return connection->openedAt < openedBefore;
    });
}

} // namespace skylark
