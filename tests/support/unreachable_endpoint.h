/** @file unreachable_endpoint.h Addresses to which no connection can be opened. */
#pragma once

#include "http/http_type.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <vector>

namespace skylark::test {

/** An address at which connections are refused, or at which they hang as they do behind a partition. */
struct UnreachableEndpoint {
    boost::asio::ip::tcp::acceptor acceptor;
    std::vector<boost::asio::ip::tcp::socket> waiting; ///< Connections that fill the queue, so that further ones hang.

    UnreachableEndpoint(boost::asio::io_context &loop, bool hangs)
        : acceptor(loop)
    {
        const boost::asio::ip::tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
        this->acceptor.open(any.protocol());
        this->acceptor.bind(any);
        if (!hangs) {
            return; // Without listen(), connections are refused.
        }
        this->acceptor.listen(0);
        for (unsigned i = 0; i < 3; ++i) {
            this->waiting.emplace_back(loop);
            this->waiting.back().async_connect(this->acceptor.local_endpoint(), [](const boost::system::error_code & /*error*/) {
            });
        }
    }

    [[nodiscard]] Endpoint endpoint() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }
};

} // namespace skylark::test
