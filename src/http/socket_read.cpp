/** @file socket_read.cpp Reads with a time limit that look at the socket before they give up. */
#include "http/socket_read_func.h"

#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace skylark {

namespace {

constexpr std::chrono::milliseconds repeatDelay{50}; ///< Until a read that was between two of its steps at its deadline is cancelled again.

void startTimer(const std::shared_ptr<ReadDeadline> &deadline, std::chrono::milliseconds delay)
{
    deadline->timer.expires_after(delay);
    deadline->timer.async_wait([weak = std::weak_ptr<ReadDeadline>(deadline)](const boost::beast::error_code &cancelled) {
        const auto strong = weak.lock();
        if (cancelled || !strong) {
            return;
        }
        strong->expired = true;
        boost::beast::error_code ignored;
        strong->stream.socket().cancel(ignored);
        startTimer(strong, repeatDelay);
    });
}

} // namespace

SocketInput peekInput(boost::beast::tcp_stream &stream)
{
    char byte = 0;
    const auto got = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0) {
        return SocketInput::Bytes;
    }
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? SocketInput::Nothing : SocketInput::Closed;
}

bool isReadable(boost::beast::tcp_stream &stream)
{
    pollfd entry{.fd = stream.socket().native_handle(), .events = POLLIN, .revents = 0};
    return ::poll(&entry, 1, 0) > 0;
}

bool hasPeerClosed(boost::beast::tcp_stream &stream)
{
    pollfd entry{.fd = stream.socket().native_handle(), .events = POLLRDHUP, .revents = 0};
    return ::poll(&entry, 1, 0) > 0;
}

std::shared_ptr<ReadDeadline> ReadDeadline::create(boost::beast::tcp_stream &stream, std::chrono::milliseconds timeout)
{
    auto deadline = std::make_shared<ReadDeadline>(ReadDeadline{boost::asio::steady_timer(stream.get_executor()), stream});
    stream.expires_never();
    startTimer(deadline, timeout);
    return deadline;
}

} // namespace skylark
