/** @file status_exchange_func.h Status and yield datagrams over UDP (Cap'n Proto messages). */
#pragma once

#include "core/result_type.h"
#include "peer/status_type.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace skylark {

/** Called on the exchange's executor for each valid datagram. */
struct StatusHandlers {
    std::function<void(HostStatus)> onStatus; ///< Status of another host.
    std::function<void(YieldMessage)> onYield; ///< Request for slots.
};

/** Counters of the exchange. */
struct StatusCounts {
    std::uint64_t sent{0}; ///< Datagrams sent.
    std::uint64_t received{0}; ///< Valid datagrams received.
    std::uint64_t invalid{0}; ///< Datagrams that did not parse.
    std::uint64_t bytesSent{0}; ///< Bytes sent.
    std::uint64_t bytesReceived{0}; ///< Bytes received.
};

/** One UDP socket. */
struct StatusExchange {
    struct Impl;
    std::shared_ptr<Impl> impl; ///< Hidden state.

    /** Binds the socket and starts to receive. */
    static Result<std::unique_ptr<StatusExchange>> create(const boost::asio::any_io_executor &executor, const Endpoint &listen, StatusHandlers handlers);
    ~StatusExchange();
};

/** Sends @p status to each of @p peers; loss is tolerated. */
void sendStatus(StatusExchange &exchange, const HostStatus &status, const std::vector<Endpoint> &peers);

/** Sends a yield message. */
void sendYield(StatusExchange &exchange, const YieldMessage &message, const Endpoint &peer);

/** @return Counters. */
[[nodiscard]] StatusCounts statusCounts(const StatusExchange &exchange);

/** @return The port that the socket is bound to; differs from the requested one when that was 0. */
[[nodiscard]] std::uint16_t listenPort(const StatusExchange &exchange);

} // namespace skylark
