/** @file byte_target.h A target that answers each request with the bytes that a test chooses, on connections that stay open. */
#pragma once

#include "core/async_sleep_func.h"
#include "http/http_type.h"
#include "names.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <string>

namespace skylark::test {

/** What a ByteTarget sends for one request. */
struct ByteAnswer {
    std::string bytes; ///< Sent at once.
    std::string lateBytes; ///< Sent after lateDelay, while no request is on the connection; nothing if empty.
    std::chrono::milliseconds lateDelay{50};
};

/** A target on the loop of the test; must outlive the loop's last run. */
struct ByteTarget {
    boost::asio::ip::tcp::acceptor acceptor;
    std::function<ByteAnswer(const std::string &id, unsigned number)> answer; ///< Answer to request @c id, the one with this number, from 0.
    unsigned requests{0}; ///< Requests received.
    unsigned connections{0}; ///< Connections accepted.
    unsigned closed{0}; ///< Connections that their peer has closed.

    explicit ByteTarget(boost::asio::io_context &loop)
        : acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        boost::asio::co_spawn(loop, this->listen(), boost::asio::detached);
    }

    [[nodiscard]] Endpoint endpoint() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    /** @return A whole answer with a body of @p body, and the header lines @p headers. */
    [[nodiscard]] static std::string whole(int status, const std::string &headers, const std::string &body)
    {
        return "HTTP/1.1 " + std::to_string(status) + " Text\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    [[nodiscard]] static std::string idLine(const std::string &id)
    {
        return std::string(platform::headerRequestId) + ": " + id + "\r\n";
    }

    [[nodiscard]] static std::string signatureLine(const std::string &id)
    {
        return std::string(platform::headerSignature) + ": signature-of-" + id + "\r\n";
    }

    /** @return The answer of a sound target to request @p id. */
    [[nodiscard]] static std::string sound(const std::string &id)
    {
        return whole(200, idLine(id) + signatureLine(id), "answer to " + id);
    }

    boost::asio::awaitable<void> listen()
    {
        for (;;) {
            auto [error, socket] = co_await this->acceptor.async_accept(boost::asio::as_tuple(boost::asio::use_awaitable));
            if (error) {
                co_return;
            }
            ++this->connections;
            boost::asio::co_spawn(this->acceptor.get_executor(), this->serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket)
    {
        namespace http = boost::beast::http;
        constexpr auto awaitTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
        boost::beast::flat_buffer buffer;
        for (;;) {
            http::request<http::string_body> request;
            const auto [readError, readBytes] = co_await http::async_read(socket, buffer, request, awaitTuple);
            if (readError) {
                ++this->closed;
                co_return;
            }
            const ByteAnswer sent = this->answer(std::string(request[std::string(platform::headerRequestId)]), this->requests++);
            const auto [error, count] = co_await boost::asio::async_write(socket, boost::asio::buffer(sent.bytes), awaitTuple);
            if (!error && !sent.lateBytes.empty()) {
                co_await sleepFor(sent.lateDelay);
                co_await boost::asio::async_write(socket, boost::asio::buffer(sent.lateBytes), awaitTuple);
            }
        }
    }
};

} // namespace skylark::test
