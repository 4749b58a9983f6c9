/** @file origin_link.cpp Exchange of the origins of streams between entry hosts. */
#include "entry/origin_link_func.h"

#include "entry/peer_link_base.h"
#include "policy/stream_origin_func.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds originAnswerTime{60}; ///< Covers several round trips between failure domains, after which the question is sent once more.
constexpr unsigned originQuestions = 2; ///< Datagrams to one keeper, some of which get lost.

/** @return Addresses of the keepers of @p stream among the registered hosts, without this host. */
std::map<HostId, Endpoint> keepersOf(const PeerLink::Impl &link, std::uint64_t stream)
{
    std::vector<RecordKeeper> hosts{{link.options.host, link.options.domain}};
    for (const auto &[host, peer] : link.peers) {
        if (peer.registered) {
            hosts.push_back({host, peer.domain});
        }
    }
    std::map<HostId, Endpoint> keepers;
    for (const HostId &host : recordKeepers(stream, std::move(hosts))) {
        if (const auto peer = link.peers.find(host); peer != link.peers.end()) {
            keepers.emplace(host, peer->second.endpoint);
        }
    }
    return keepers;
}

/** Answers another host from the records of this one. @param sender Address to answer to. */
void answerQuestion(PeerLink::Impl &link, const OriginQuestionMessage &question, const Endpoint &sender)
{
    const auto origin = recordedOrigin(link.proxy->origins, question.stream, BootClock::now());
    sendOriginAnswer(*link.exchange, {link.options.host, question.stream, origin.value_or(ServiceVersion())}, sender);
}

/** Passes an answer on to the requests that wait for it. */
void handleAnswer(PeerLink::Impl &link, const OriginMessage &message)
{
    for (const auto &question : link.questions) {
        if (question->stream != message.stream) {
            continue;
        }
        question->silent.erase(message.from);
        if (!message.origin.service.empty()) {
            question->origin = message.origin;
        }
        if (question->origin || question->silent.empty()) {
            question->answered.cancel();
        }
    }
}

} // namespace

void sendOriginRecord(PeerLink::Impl &link, std::uint64_t stream, const ServiceVersion &origin)
{
    for (const auto &[host, endpoint] : keepersOf(link, stream)) {
        sendOriginRecord(*link.exchange, {link.options.host, stream, origin}, endpoint);
    }
}

asio::awaitable<std::optional<ServiceVersion>> askOrigin(std::shared_ptr<PeerLink::Impl> link, std::uint64_t stream)
{
    auto question = std::make_shared<OriginQuestion>(OriginQuestion{stream, keepersOf(*link, stream), asio::steady_timer(link->timer.get_executor())});
    link->questions.push_back(question);
    for (unsigned sent = 0; sent < originQuestions && !question->silent.empty() && !question->origin; ++sent) {
        for (const auto &[host, endpoint] : question->silent) {
            sendOriginQuestion(*link->exchange, {link->options.host, stream}, endpoint);
        }
        question->answered.expires_after(originAnswerTime);
        co_await question->answered.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    std::erase(link->questions, question);
    co_return question->origin;
}

void addOriginHandlers(const std::weak_ptr<PeerLink::Impl> &link, StatusHandlers &handlers)
{
    handlers.onOriginRecord = [link](const OriginMessage &message) {
        if (const auto strong = link.lock()) {
            recordOrigin(strong->proxy->origins, message.stream, message.origin, BootClock::now());
        }
    };
    handlers.onOriginQuestion = [link](const OriginQuestionMessage &question, const Endpoint &sender) {
        if (const auto strong = link.lock()) {
            answerQuestion(*strong, question, sender);
        }
    };
    handlers.onOriginAnswer = [link](const OriginMessage &message) {
        if (const auto strong = link.lock()) {
            handleAnswer(*strong, message);
        }
    };
}

} // namespace skylark
