/** @file raw_caller.h A caller of an HTTP server that writes and reads raw bytes. */
#pragma once

#include "http/http_type.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>

namespace skylark::test {

/** A caller that writes raw bytes. Its functions do not run the event loop. */
struct RawCaller {
    boost::asio::ip::tcp::socket socket;
    std::string received; ///< All bytes received.
    bool closed{false}; ///< Whether the server closed or reset the connection.

    RawCaller(boost::asio::io_context &loop, const Endpoint &endpoint)
        : socket(loop)
    {
        this->socket.connect({boost::asio::ip::make_address(endpoint.address), endpoint.port});
        this->socket.non_blocking(true);
    }

    void write(const std::string &bytes)
    {
        boost::system::error_code error;
        boost::asio::write(this->socket, boost::asio::buffer(bytes), error);
        CHECK_FALSE(error);
    }

    /** Adds what has arrived to received. */
    void poll()
    {
        std::array<char, 4096> bytes{};
        boost::system::error_code error;
        while (!error) {
            this->received.append(bytes.data(), this->socket.read_some(boost::asio::buffer(bytes), error));
        }
        this->closed = this->closed || error != boost::asio::error::would_block;
    }

    /** @return How many times @p text was received. */
    [[nodiscard]] std::size_t count(const std::string &text) const
    {
        std::size_t found = 0;
        for (std::size_t at = this->received.find(text); at != std::string::npos; at = this->received.find(text, at + 1)) {
            ++found;
        }
        return found;
    }
};

} // namespace skylark::test
