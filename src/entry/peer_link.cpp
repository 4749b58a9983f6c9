/** @file peer_link.cpp Status datagrams and configuration pulls between entry hosts. */
#include "entry/peer_link_base.h"

#include "core/event_log_func.h"
#include "core/task_func.h"
#include "entry/origin_link_func.h"
#include "proxy/relay_path.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <cctype>
#include <charconv>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds statusIntervalPerPeer{8}; ///< Interval added for each recipient, so that the bytes that a host sends per second stay bounded.
constexpr std::size_t maxEarlyRecipients = 64; ///< Up to this many hosts of the own failure domain learn of each placement at once.
constexpr milliseconds statusRetryDelay{250}; ///< Delay of the next datagram after one that an exception has kept from being sent.
constexpr milliseconds reportInterval{1000}; ///< Interval of datagrams with evidence and limits that have not changed.
constexpr milliseconds newsTime{1000}; ///< A change is repeated in every regular datagram for this time, because some get lost.
constexpr milliseconds earlyStatusDelay{4}; ///< Delay of an early datagram, so that changes in this time share it; about one step of a target.

constexpr std::uint32_t maxRelayedHeadBytes = 131072; ///< The limit of callers' request heads, and the headers that hosts add.
constexpr std::string_view peerJobPath = "/peer/job/"; ///< Followed by the job's identifier, a slash, and the number of results that the reader has.
constexpr milliseconds jobConnectTimeout{200}; ///< Covers several round trips between failure domains; the store is asked when the owner does not answer.
constexpr milliseconds jobAnswerTimeout{400}; ///< Covers the transfer of the results.

void scheduleStatus(const LinkPtr &link, milliseconds delay);

/** @return Interval of regular datagrams to @p hosts recipients. */
milliseconds statusIntervalFor(std::size_t hosts)
{
    return std::max(minStatusInterval, statusIntervalPerPeer * static_cast<int>(hosts));
}

/** @return Number of peers in the failure domain of this host. */
std::size_t countOwnDomainPeers(const PeerLink::Impl &link)
{
    return static_cast<std::size_t>(std::count_if(link.peers.begin(), link.peers.end(), [&link](const auto &entry) {
        return entry.second.domain == link.options.domain;
    }));
}

/** @return Recipients of the next datagram: all peers in a small fleet; in a large one those of the own failure domain, and others at a longer interval. */
std::vector<Endpoint> nextRecipients(PeerLink::Impl &link, bool includeOtherDomains, TimePoint now)
{
    link.otherDomainsSentAt = includeOtherDomains ? now : link.otherDomainsSentAt;
    std::vector<Endpoint> endpoints;
    for (const auto &[host, peer] : link.peers) {
        if (includeOtherDomains || peer.domain == link.options.domain) {
            endpoints.push_back(peer.endpoint);
        }
    }
    return endpoints;
}

/**
 * Adds evidence and limits to a status: to one that goes to other failure domains in a large fleet, and otherwise at an interval that is short after a change.
 * They would more than double the bytes of every datagram.
 */
void addReports(PeerLink::Impl &link, HostStatus &status, bool toOtherDomains, TimePoint now)
{
    const milliseconds interval = now - link.newsAt < newsTime ? minStatusInterval : reportInterval;
    const bool rareDatagram = toOtherDomains && link.peers.size() > smallFleetPeers;
    if (!link.allDomainsDue && !rareDatagram && now - link.reportedAt < interval) {
        return;
    }
    link.allDomainsDue = false;
    link.reportedAt = now;
    status.quarantine = reportOf(link.proxy->quarantine, now);
    status.limits = limitsToAnnounce(link.proxy->rateLimits, now);
}

/** Sends the host's status and schedules the next regular datagram. */
void sendOwnStatus(const LinkPtr &link)
{
    const TimePoint now = BootClock::now();
    removeExpiredPeers(*link, now);
    reportOverdueEntries(*link, now);
    HostStatus status;
    status.host = link->options.host;
    status.domain = link->options.domain;
    status.session = link->options.session;
    status.incarnation = link->incarnation;
    status.sequence = ++link->sequence;
    status.leaving = link->proxy->stopping;
    status.ready = isReady(*link->proxy);
    status.linksLost = link->proxy->links.lost;
    status.configRevision = link->proxy->fleet->config ? link->proxy->fleet->config->version : Revision{};
    addOwnLoad(link->proxy->loadTracker, status);
    const bool toOtherDomains =
        link->allDomainsDue || link->peers.size() <= smallFleetPeers || now - link->otherDomainsSentAt >= otherDomainIntervalFor(link->peers.size());
    addReports(*link, status, toOtherDomains, now);
    link->options.completeStatus(status);
    sendStatus(*link->exchange, status, nextRecipients(*link, toOtherDomains, now));
    link->earlyStatusScheduled = false;
    scheduleStatus(link, statusIntervalFor(link->peers.size() <= smallFleetPeers ? link->peers.size() : countOwnDomainPeers(*link)));
}

void scheduleStatus(const LinkPtr &link, milliseconds delay)
{
    link->timer.expires_after(delay);
    link->timer.async_wait([weak = std::weak_ptr<PeerLink::Impl>(link)](const boost::system::error_code &error) {
        const auto strong = weak.lock();
        if (error || !strong) {
            return;
        }
        const bool sent = tryRun("status of this host", [&strong] {
            sendOwnStatus(strong);
        });
        if (!sent) {
            strong->earlyStatusScheduled = false;
            scheduleStatus(strong, statusRetryDelay);
        }
    });
}

/** Applies the status of another host; drops one that is out of date. */
void handleStatus(const LinkPtr &link, const HostStatus &status)
{
    if (status.host == link->options.host) {
        return;
    }
    const auto before = link->proxy->loadTracker.peers.find(status.host);
    const bool wasLeaving = before != link->proxy->loadTracker.peers.end() && before->second.leaving;
    if (!applyStatus(link->proxy->loadTracker, status, BootClock::now())) {
        return;
    }
    if (wasLeaving != status.leaving) {
        updateSenders(*link->proxy);
    }
    const milliseconds delay = excessDelay(link->clocks[status.host], status.incarnation, status.sentAt, BootClock::now());
    if (link->options.onProof) {
        link->options.onProof(status, delay);
    }
    QuarantineReport report = status.quarantine;
    correctDelay(report, delay);
    applyQuarantineReport(*link->proxy, status.host, report);
    for (LimitObservation limit : status.limits) {
        limit.at -= delay;
        applyLimit(*link->proxy, limit);
    }
    const Revision own = link->proxy->fleet->config ? link->proxy->fleet->config->version : Revision{};
    const auto peer = link->peers.find(status.host);
    if (status.configRevision > own && peer != link->peers.end()) {
        link->options.onNewerConfig(status.configRevision, peer->second.endpoint);
    }
    link->options.onStatus(status);
}

/** @return Whether @p text can stand in a path without being encoded. Callers choose the identifiers of jobs. */
bool isPathSegment(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_';
    });
}

/** @return The document of the job in @p path, of the form JOB/AFTER; empty when this host does not own the job. */
std::optional<std::string> ownedJobAt(const PeerLink::Impl &link, std::string_view path)
{
    const std::size_t slash = path.find('/');
    const std::string_view number = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
    std::uint64_t after = 0;
    const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), after);
    // A host that cannot reach the store may have lost its jobs to others.
    const bool readable = error == std::errc() && end == number.data() + number.size() && link.proxy->fleet->storeReachable;
    return readable && link.options.ownedJob ? link.options.ownedJob(JobId{std::string(path.substr(0, slash))}, after) : std::nullopt;
}

/** @return The configuration document or a job that this host owns; 404 for another path, or when this host has neither. */
HttpResponse answerPeer(const PeerLink::Impl &link, const HttpRequest &request)
{
    const std::string_view path = targetPath(request.target);
    std::optional<std::string> document;
    if (path == peerConfigPath && link.proxy->fleet->configDocument) {
        document = *link.proxy->fleet->configDocument;
    } else if (path.starts_with(peerJobPath)) {
        document = ownedJobAt(link, path.substr(peerJobPath.size()));
    }
    HttpResponse response;
    response.status = document ? 200 : 404;
    response.body = document.value_or(std::string());
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
            handleStatus(strong, status);
        }
    };
    handlers.onQuotaRequest = [weak](const QuotaRequestMessage &request, const Endpoint &sender) {
        if (const auto strong = weak.lock(); strong && strong->options.onQuotaRequest) {
            strong->options.onQuotaRequest(request, sender);
        }
    };
    handlers.onQuotaGrant = [weak](const QuotaGrantMessage &grant) {
        if (const auto strong = weak.lock(); strong && strong->options.onQuotaGrant) {
            strong->options.onQuotaGrant(grant);
        }
    };
    addOriginHandlers(weak, handlers);
    auto exchange = StatusExchange::create(executor, impl->options.listen, std::move(handlers));
    if (!isOk(exchange)) {
        return errorOf(exchange);
    }
    impl->exchange = std::move(valueOf(exchange));
    HttpServerOptions serverOptions;
    serverOptions.listen = impl->options.listen;
    serverOptions.memory = impl->options.memory;
    serverOptions.maxHeader = maxRelayedHeadBytes;
    auto server = HttpServer::create(executor, serverOptions, [weak](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
        const auto strong = weak.lock();
        if (strong && strong->options.onRelayed && request.target.starts_with(peerRelayPath)) {
            co_await strong->options.onRelayed(std::move(request), responder);
            co_return;
        }
        HttpResponse response = strong ? answerPeer(*strong, request) : HttpResponse{.status = 503, .headers = {}, .body = {}};
        co_await sendResponse(responder, std::move(response));
    });
    if (!isOk(server)) {
        return errorOf(server);
    }
    impl->server = std::move(valueOf(server));
    scheduleStatus(impl, minStatusInterval);
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

asio::awaitable<Result<std::string>> readJobAtPeer(std::shared_ptr<PeerLink::Impl> link, HostId host, JobId job, std::uint64_t after)
{
    const auto peer = link->peers.find(host);
    if (peer == link->peers.end() || !isPathSegment(job.value)) {
        co_return makeError(ErrorCode::NotFound, "host is unknown, or the identifier does not fit into a path");
    }
    HttpRequest request;
    request.target = std::string(peerJobPath) + job.value + '/' + std::to_string(after);
    const HttpTimeouts timeouts{jobConnectTimeout, jobAnswerTimeout, jobAnswerTimeout, jobAnswerTimeout};
    auto answer = co_await httpCall(link->proxy->http, peer->second.endpoint, std::move(request), timeouts);
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    if (valueOf(answer).status != 200) {
        co_return makeError(ErrorCode::NotFound, "host does not own the job");
    }
    co_return std::move(valueOf(answer).body);
}

void sendQuotaRequest(PeerLink &link, const QuotaRequestMessage &request, const Endpoint &holder)
{
    sendQuotaRequest(*link.impl->exchange, request, holder);
}

void sendQuotaGrant(PeerLink &link, const QuotaGrantMessage &grant, const Endpoint &sender)
{
    sendQuotaGrant(*link.impl->exchange, grant, sender);
}

void announceLoadChange(PeerLink &link, LoadChange change)
{
    // Hosts that choose targets by counts older than the gap between two requests choose the same ones; a datagram to each host is affordable up to a limit.
    const bool affordable = link.impl->peers.size() <= smallFleetPeers || countOwnDomainPeers(*link.impl) <= maxEarlyRecipients;
    if (change == LoadChange::SlotNeeded || affordable) {
        scheduleEarlyStatus(link);
    }
}

void scheduleStatusToAll(PeerLink &link)
{
    link.impl->newsAt = BootClock::now();
    link.impl->allDomainsDue = true;
    scheduleEarlyStatus(link);
}

void scheduleEarlyStatus(PeerLink &link)
{
    if (!link.impl->earlyStatusScheduled) {
        link.impl->earlyStatusScheduled = true;
        scheduleStatus(link.impl, earlyStatusDelay);
    }
}

} // namespace skylark
