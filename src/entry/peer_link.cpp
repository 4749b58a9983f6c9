/** @file peer_link.cpp Status datagrams and configuration pulls between entry hosts. */
#include "entry/peer_link_func.h"

#include "core/event_log_func.h"
#include "peer/status_exchange_func.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds statusInterval{100}; ///< Least time between two regular datagrams; a share of an online request's time at a target.
constexpr milliseconds intervalPerHost{8}; ///< The interval towards a group of hosts grows with its size, so that the bytes of a host stay bounded.
constexpr std::size_t smallFleet = 16; ///< Up to so many hosts all are told alike; beyond, the own failure domain more often than the others.
constexpr milliseconds bundleTime{4}; ///< Time in which changes are bundled into one datagram; a step of a target.
constexpr milliseconds forgetAfter{5000}; ///< A host that is neither registered nor heard of for so long gets no more datagrams.

/** Another host to send to. */
struct Peer {
    Endpoint endpoint; ///< Address.
    DomainId domain; ///< Failure domain.
    bool registered{true}; ///< Whether its entry is in the service.
    TimePoint lastSeen{}; ///< Last time at which it was registered or heard of.
};

} // namespace

struct PeerLink::Impl {
    std::shared_ptr<Proxy> proxy; ///< Traffic thread's state.
    PeerLinkOptions options; ///< Options.
    std::unique_ptr<StatusExchange> exchange; ///< UDP socket.
    std::unique_ptr<HttpServer> server; ///< Gives out the configuration document.
    std::map<HostId, Peer> peers; ///< Other hosts.
    asio::steady_timer timer; ///< Next datagram.
    bool soon{false}; ///< Whether the next datagram is due before its regular time.
    TimePoint farSentAt{}; ///< Last datagram to the other failure domains of a large fleet.
    std::uint64_t incarnation{0}; ///< Start of the process in Unix milliseconds.
    std::uint64_t sequence{0}; ///< Datagrams sent.
};

namespace {

using LinkPtr = std::shared_ptr<PeerLink::Impl>;

void scheduleNext(const LinkPtr &link, milliseconds delay);

void forgetPeers(PeerLink::Impl &link, TimePoint now)
{
    for (auto &[host, peer] : link.peers) {
        const auto heard = link.proxy->board.peers.find(host);
        peer.lastSeen = peer.registered ? now : heard != link.proxy->board.peers.end() ? std::max(peer.lastSeen, heard->second.heardAt) : peer.lastSeen;
    }
    std::erase_if(link.peers, [now](const auto &entry) {
        const bool gone = now - entry.second.lastSeen > forgetAfter;
        if (gone) {
            logEvent(EventKind::PeerChanged,
                     entry.first.value,
                     {{"state", "gone"}, {"domain", entry.second.domain.value}, {"address", entry.second.endpoint.address}});
        }
        return gone;
    });
    std::erase_if(link.proxy->board.peers, [&link, now](const auto &entry) {
        return !link.peers.contains(entry.first) && now - entry.second.heardAt > forgetAfter;
    });
}

milliseconds intervalFor(std::size_t hosts)
{
    return std::max(statusInterval, intervalPerHost * static_cast<int>(hosts));
}

std::size_t ownDomainPeers(const PeerLink::Impl &link)
{
    return static_cast<std::size_t>(std::count_if(link.peers.begin(), link.peers.end(), [&link](const auto &entry) {
        return entry.second.domain == link.options.domain;
    }));
}

/** @return Hosts that get the present datagram: all of a small fleet; of a large one the own failure domain, and the others at their own interval. */
std::vector<Endpoint> dueEndpoints(PeerLink::Impl &link, TimePoint now)
{
    const bool far = link.peers.size() <= smallFleet || now - link.farSentAt >= intervalFor(link.peers.size());
    link.farSentAt = far ? now : link.farSentAt;
    std::vector<Endpoint> endpoints;
    for (const auto &[host, peer] : link.peers) {
        if (far || peer.domain == link.options.domain) {
            endpoints.push_back(peer.endpoint);
        }
    }
    return endpoints;
}

void sendNow(const LinkPtr &link)
{
    const TimePoint now = BootClock::now();
    forgetPeers(*link, now);
    HostStatus status;
    status.host = link->options.host;
    status.domain = link->options.domain;
    status.session = link->options.session;
    status.incarnation = link->incarnation;
    status.sequence = ++link->sequence;
    status.leaving = link->proxy->stopping;
    status.ready = isReady(*link->proxy);
    status.configRevision = link->proxy->fleet->config ? link->proxy->fleet->config->version : Revision{};
    describeOwnLoad(link->proxy->board, status);
    link->options.describe(status);
    sendStatus(*link->exchange, status, dueEndpoints(*link, now));
    link->soon = false;
    scheduleNext(link, intervalFor(link->peers.size() <= smallFleet ? link->peers.size() : ownDomainPeers(*link)));
}

void scheduleNext(const LinkPtr &link, milliseconds delay)
{
    link->timer.expires_after(delay);
    link->timer.async_wait([weak = std::weak_ptr<PeerLink::Impl>(link)](const boost::system::error_code &error) {
        const auto strong = weak.lock();
        if (!error && strong) {
            sendNow(strong);
        }
    });
}

void receive(const LinkPtr &link, const HostStatus &status)
{
    if (status.host == link->options.host || !takeStatus(link->proxy->board, status, BootClock::now())) {
        return;
    }
    const Revision own = link->proxy->fleet->config ? link->proxy->fleet->config->version : Revision{};
    const auto peer = link->peers.find(status.host);
    if (status.configRevision > own && peer != link->peers.end()) {
        link->options.onNewerConfig(status.configRevision, peer->second.endpoint);
    }
    link->options.onStatus(status);
}

HttpResponse answerPull(const PeerLink::Impl &link, const HttpRequest &request)
{
    HttpResponse response;
    const auto &document = link.proxy->fleet->configDocument;
    response.status = targetPath(request.target) == peerConfigPath && document ? 200 : 404;
    response.body = response.status == 200 ? *document : std::string();
    return response;
}

} // namespace

Result<std::unique_ptr<PeerLink>> PeerLink::create(std::shared_ptr<Proxy> proxy, PeerLinkOptions options)
{
    const auto executor = proxy->executor;
    auto impl = std::make_shared<Impl>(Impl{std::move(proxy), std::move(options), {}, {}, {}, asio::steady_timer(executor)});
    impl->incarnation = static_cast<std::uint64_t>(unixNow().time_since_epoch().count());
    const std::weak_ptr<Impl> weak = impl;
    StatusHandlers handlers;
    handlers.onStatus = [weak](const HostStatus &status) {
        if (const auto strong = weak.lock()) {
            receive(strong, status);
        }
    };
    auto exchange = StatusExchange::create(executor, impl->options.listen, std::move(handlers));
    if (!isOk(exchange)) {
        return errorOf(exchange);
    }
    impl->exchange = std::move(valueOf(exchange));
    HttpServerOptions serverOptions;
    serverOptions.listen = impl->options.listen;
    auto server = HttpServer::create(executor, serverOptions, [weak](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
        const auto strong = weak.lock();
        HttpResponse response = strong ? answerPull(*strong, request) : HttpResponse{.status = 503, .headers = {}, .body = {}};
        co_await sendResponse(responder, std::move(response));
    });
    if (!isOk(server)) {
        return errorOf(server);
    }
    impl->server = std::move(valueOf(server));
    scheduleNext(impl, statusInterval);
    auto link = std::make_unique<PeerLink>();
    link->impl = std::move(impl);
    return link;
}

PeerLink::~PeerLink()
{
    if (this->impl) {
        this->impl->timer.cancel();
    }
}

void updatePeers(PeerLink &link)
{
    for (auto &[host, peer] : link.impl->peers) {
        peer.registered = false;
    }
    for (const PeerEntry &entry : link.impl->proxy->fleet->peers) {
        const auto [found, added] = link.impl->peers.try_emplace(entry.host);
        if (added || found->second.endpoint != entry.endpoint) {
            logEvent(EventKind::PeerChanged, entry.host.value, {{"state", "registered"}, {"domain", entry.domain.value}, {"address", entry.endpoint.address}});
        }
        found->second.endpoint = entry.endpoint;
        found->second.domain = entry.domain;
        found->second.registered = true;
    }
}

void announceLoadChange(PeerLink &link, LoadChange change)
{
    // One datagram to each peer for each request fits a small fleet only; a large one hears of free slots that were taken at the regular interval.
    if (change == LoadChange::SlotNeeded || link.impl->peers.size() <= smallFleet) {
        announceSoon(link);
    }
}

void announceSoon(PeerLink &link)
{
    if (!link.impl->soon) {
        link.impl->soon = true;
        scheduleNext(link.impl, bundleTime);
    }
}

} // namespace skylark
