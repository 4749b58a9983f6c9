/** @file status_exchange_func.h Sends and receives the datagrams between hosts (Cap'n Proto messages over UDP). */
#pragma once

#include "core/result_type.h"
#include "peer/status_type.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace skylark {

/** Handlers of valid datagrams; called on the executor of the exchange. An empty handler ignores its datagrams. */
struct StatusHandlers {
    std::function<void(HostStatus)> onStatus; ///< Receives the status of another host.
    std::function<void(YieldMessage)> onYield; ///< Receives a request to release slots of a target.
    std::function<void(QuotaRequestMessage, Endpoint sender)> onQuotaRequest; ///< Receives a request for quota tokens, and the address to answer to.
    std::function<void(QuotaGrantMessage)> onQuotaGrant; ///< Receives the answer to a request for quota tokens.
    std::function<void(OriginMessage)> onOriginRecord; ///< Receives the record of a stream's origin.
    std::function<void(OriginQuestionMessage, Endpoint sender)> onOriginQuestion; ///< Receives a question for a stream's origin, and the address to answer to.
    std::function<void(OriginMessage)> onOriginAnswer; ///< Receives the answer to a question for a stream's origin.
};

/** Counters of one exchange. Bytes count the payload of datagrams. */
struct StatusCounts {
    std::uint64_t sent{0}; ///< Datagrams sent.
    std::uint64_t received{0}; ///< Valid datagrams received.
    std::uint64_t invalid{0}; ///< Received datagrams that were oversized or could not be decoded.
    std::uint64_t bytesSent{0};
    std::uint64_t bytesReceived{0}; ///< Bytes of valid datagrams received.
};

/** UDP socket that exchanges datagrams with other hosts. */
struct StatusExchange {
    struct Impl;
    std::shared_ptr<Impl> impl;

    /** Binds the socket to @p listen and starts to receive. */
    static Result<std::unique_ptr<StatusExchange>> create(const boost::asio::any_io_executor &executor, const Endpoint &listen, StatusHandlers handlers);
    ~StatusExchange();
};

/** Sends @p status to each of @p peers. Errors are ignored, because the loss of datagrams is tolerated. */
void sendStatus(StatusExchange &exchange, const HostStatus &status, const std::vector<Endpoint> &peers);

/** Asks @p peer to release slots of a target. Errors are ignored. */
void sendYield(StatusExchange &exchange, const YieldMessage &message, const Endpoint &peer);

/** Asks @p peer for tokens of a workspace's quota. Errors are ignored. */
void sendQuotaRequest(StatusExchange &exchange, const QuotaRequestMessage &message, const Endpoint &peer);

/** Answers a request for tokens. Errors are ignored. */
void sendQuotaGrant(StatusExchange &exchange, const QuotaGrantMessage &message, const Endpoint &peer);

/** Sends the record of a stream's origin to its keeper. Errors are ignored. */
void sendOriginRecord(StatusExchange &exchange, const OriginMessage &message, const Endpoint &peer);

/** Asks the keeper of a stream's record. Errors are ignored. */
void sendOriginQuestion(StatusExchange &exchange, const OriginQuestionMessage &message, const Endpoint &peer);

/** Answers a question for the origin of a stream. Errors are ignored. */
void sendOriginAnswer(StatusExchange &exchange, const OriginMessage &message, const Endpoint &peer);

[[nodiscard]] StatusCounts statusCounts(const StatusExchange &exchange);

/** @return The port that the socket is bound to, which the system chose if port 0 was requested. */
[[nodiscard]] std::uint16_t listenPort(const StatusExchange &exchange);

} // namespace skylark
