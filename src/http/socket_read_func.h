/** @file socket_read_func.h Reads with a time limit that look at the socket before they give up. */
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <memory>

namespace skylark {

/** What a read from a socket would find. */
enum class SocketInput : std::uint8_t {
    Nothing, ///< The read would wait.
    Bytes, ///< Bytes have arrived.
    Closed, ///< The peer has closed or reset the connection.
};

/** Looks at the socket of @p stream without reading from it. An error of the socket is no longer reported by later reads. */
[[nodiscard]] SocketInput peekInput(boost::beast::tcp_stream &stream);

/** @return Whether a read from @p stream would end at once: with bytes, at the end of the input, or with an error, which remains for the read to report. */
[[nodiscard]] bool isReadable(boost::beast::tcp_stream &stream);

/** @return Whether the peer of @p stream has closed or reset the connection, also while bytes that it sent before are unread. */
[[nodiscard]] bool hasPeerClosed(boost::beast::tcp_stream &stream);

/** Cancels the operations on a socket at a time, until the deadline is destroyed, which must precede the end of the stream. The connection stays open. */
struct ReadDeadline {
    boost::asio::steady_timer timer;
    boost::beast::tcp_stream &stream;
    bool expired{false}; ///< Whether operations were cancelled.

    /** Starts a deadline @p timeout from now; the stream's own timeout is switched off. */
    static std::shared_ptr<ReadDeadline> create(boost::beast::tcp_stream &stream, std::chrono::milliseconds timeout);
};

/**
 * Reads until @p read completes. What has arrived by the time the process looks is read too: it may have been late itself.
 * @param lateTime Additional time for reading these.
 * @param read Starts or continues the read.
 * @return beast::error::timeout if @p timeout passed; the connection stays open, and the read may be continued.
 */
template<typename Read>
boost::asio::awaitable<boost::beast::error_code> readWithin(boost::beast::tcp_stream &stream,
                                                            std::chrono::milliseconds timeout,
                                                            std::chrono::milliseconds lateTime,
                                                            Read read)
{
    auto deadline = ReadDeadline::create(stream, timeout);
    boost::beast::error_code error = co_await read();
    if (error == boost::asio::error::operation_aborted && deadline->expired && isReadable(stream)) {
        deadline = ReadDeadline::create(stream, lateTime);
        error = co_await read();
    }
    const boost::beast::error_code timedOut = boost::beast::error::timeout;
    co_return error == boost::asio::error::operation_aborted && deadline->expired ? timedOut : error;
}

} // namespace skylark
