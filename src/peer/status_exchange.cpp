/** @file status_exchange.cpp UDP socket for the datagrams between hosts. */
#include "peer/status_exchange_func.h"

#include "core/task_func.h"
#include "peer/status_codec_func.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

/** Size of the socket's receive buffer. It holds a burst of one datagram from each host of the largest failure domain (33 hosts) while the thread is busy. */
constexpr int socketBufferBytes = 1 << 20;

} // namespace

struct StatusExchange::Impl {
    udp::socket socket;
    StatusHandlers handlers;
    StatusCounts counts;
    std::array<char, 65536> buffer{}; ///< Datagram being received; UDP allows no larger one.
    udp::endpoint sender; ///< Sender of the datagram in buffer.
};

namespace {

using ImplPtr = std::shared_ptr<StatusExchange::Impl>;

Result<udp::endpoint> toUdpEndpoint(const Endpoint &endpoint)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        return makeError(ErrorCode::InvalidSettings, endpoint.address + " is not an IP address");
    }
    return udp::endpoint(address, endpoint.port);
}

void handleDatagram(StatusExchange::Impl &impl, std::size_t size)
{
    auto datagram = size <= maxDatagramBytes ? decodeDatagram({impl.buffer.data(), size}, BootClock::now())
                                             : Result<Datagram>(makeError(ErrorCode::ProtocolError, "datagram exceeds the size limit"));
    if (!isOk(datagram)) {
        ++impl.counts.invalid;
        VLOG(1) << "[peer] dropped a datagram of " << size << " bytes from " << impl.sender << ": " << errorOf(datagram).detail;
        return;
    }
    ++impl.counts.received;
    impl.counts.bytesReceived += size;
    if (auto *status = std::get_if<HostStatus>(&valueOf(datagram)); status != nullptr && impl.handlers.onStatus) {
        impl.handlers.onStatus(std::move(*status));
    } else if (auto *yield = std::get_if<YieldMessage>(&valueOf(datagram)); yield != nullptr && impl.handlers.onYield) {
        impl.handlers.onYield(std::move(*yield));
    } else if (auto *request = std::get_if<QuotaRequestMessage>(&valueOf(datagram)); request != nullptr && impl.handlers.onQuotaRequest) {
        impl.handlers.onQuotaRequest(std::move(*request), {impl.sender.address().to_string(), impl.sender.port()});
    } else if (auto *grant = std::get_if<QuotaGrantMessage>(&valueOf(datagram)); grant != nullptr && impl.handlers.onQuotaGrant) {
        impl.handlers.onQuotaGrant(std::move(*grant));
    } else if (auto *record = std::get_if<OriginRecordMessage>(&valueOf(datagram)); record != nullptr && impl.handlers.onOriginRecord) {
        impl.handlers.onOriginRecord(std::move(record->record));
    } else if (auto *question = std::get_if<OriginQuestionMessage>(&valueOf(datagram)); question != nullptr && impl.handlers.onOriginQuestion) {
        impl.handlers.onOriginQuestion(std::move(*question), {impl.sender.address().to_string(), impl.sender.port()});
    } else if (auto *answer = std::get_if<OriginAnswerMessage>(&valueOf(datagram)); answer != nullptr && impl.handlers.onOriginAnswer) {
        impl.handlers.onOriginAnswer(std::move(answer->answer));
    }
}

void receiveNext(const ImplPtr &impl)
{
    impl->socket.async_receive_from(asio::buffer(impl->buffer), impl->sender, [impl](const boost::system::error_code &error, std::size_t size) {
        if (error == asio::error::operation_aborted || !impl->socket.is_open()) {
            return;
        }
        if (!error) {
            tryRun("datagram of a host", [&impl, size] {
                handleDatagram(*impl, size);
            });
        }
        if (impl->socket.is_open()) {
            receiveNext(impl);
        }
    });
}

void sendDatagram(StatusExchange::Impl &impl, const std::string &bytes, const Endpoint &peer)
{
    const auto endpoint = toUdpEndpoint(peer);
    if (!isOk(endpoint)) {
        return;
    }
    boost::system::error_code error;
    impl.socket.send_to(asio::buffer(bytes), valueOf(endpoint), 0, error);
    if (!error) {
        ++impl.counts.sent;
        impl.counts.bytesSent += bytes.size();
    }
}

Error bindError(const Endpoint &listen, const boost::system::error_code &error)
{
    return makeError(ErrorCode::Internal, "status address " + listen.address + ":" + std::to_string(listen.port) + ": " + error.message());
}

} // namespace

Result<std::unique_ptr<StatusExchange>> StatusExchange::create(const asio::any_io_executor &executor, const Endpoint &listen, StatusHandlers handlers)
{
    const auto endpoint = toUdpEndpoint(listen);
    if (!isOk(endpoint)) {
        return errorOf(endpoint);
    }
    auto impl = std::make_shared<Impl>(Impl{udp::socket(executor), std::move(handlers), {}, {}, {}});
    boost::system::error_code error;
    impl->socket.open(valueOf(endpoint).protocol(), error);
    if (error) {
        return bindError(listen, error);
    }
    impl->socket.bind(valueOf(endpoint), error);
    if (error) {
        return bindError(listen, error);
    }
    // Best effort: the kernel may grant less, and a full buffer only drops datagrams, which is tolerated.
    boost::system::error_code ignored;
    impl->socket.set_option(asio::socket_base::receive_buffer_size(socketBufferBytes), ignored);
    impl->socket.non_blocking(true, error);
    if (error) {
        return bindError(listen, error);
    }
    receiveNext(impl);
    auto exchange = std::make_unique<StatusExchange>();
    exchange->impl = std::move(impl);
    return exchange;
}

StatusExchange::~StatusExchange()
{
    if (this->impl) {
        boost::system::error_code ignored;
        this->impl->socket.close(ignored);
    }
}

void sendStatus(StatusExchange &exchange, const HostStatus &status, const std::vector<Endpoint> &peers)
{
    const std::string bytes = encodeStatus(status, BootClock::now());
    for (const Endpoint &peer : peers) {
        sendDatagram(*exchange.impl, bytes, peer);
    }
}

void sendYield(StatusExchange &exchange, const YieldMessage &message, const Endpoint &peer)
{
    sendDatagram(*exchange.impl, encodeYield(message), peer);
}

void sendQuotaRequest(StatusExchange &exchange, const QuotaRequestMessage &message, const Endpoint &peer)
{
    sendDatagram(*exchange.impl, encodeQuotaRequest(message), peer);
}

void sendQuotaGrant(StatusExchange &exchange, const QuotaGrantMessage &message, const Endpoint &peer)
{
    sendDatagram(*exchange.impl, encodeQuotaGrant(message), peer);
}

void sendOriginRecord(StatusExchange &exchange, const OriginMessage &message, const Endpoint &peer)
{
    sendDatagram(*exchange.impl, encodeOriginRecord(message), peer);
}

void sendOriginQuestion(StatusExchange &exchange, const OriginQuestionMessage &message, const Endpoint &peer)
{
    sendDatagram(*exchange.impl, encodeOriginQuestion(message), peer);
}

void sendOriginAnswer(StatusExchange &exchange, const OriginMessage &message, const Endpoint &peer)
{
    sendDatagram(*exchange.impl, encodeOriginAnswer(message), peer);
}

StatusCounts statusCounts(const StatusExchange &exchange)
{
    return exchange.impl->counts;
}

std::uint16_t listenPort(const StatusExchange &exchange)
{
    boost::system::error_code ignored;
    return exchange.impl->socket.local_endpoint(ignored).port();
}

} // namespace skylark
