/** @file peer_link.cpp Status datagrams and configuration pulls between entry hosts. */
#include "entry/peer_link_func.h"

#include "core/event_log_func.h"
#include "core/task_func.h"
#include "peer/status_exchange_func.h"
#include "policy/sender_clock_func.h"
#include "policy/watch_trust_func.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cctype>
#include <charconv>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds minStatusInterval{100}; ///< Shortest interval of regular datagrams; short compared with the time of an online request at a target.
constexpr milliseconds statusIntervalPerPeer{8}; ///< Interval added for each recipient, so that the bytes that a host sends per second stay bounded.
constexpr milliseconds otherDomainIntervalPerPeer{12}; ///< The same for recipients in other failure domains; bytes between failure domains cost more.
constexpr std::size_t maxEarlyRecipients = 64; ///< Up to this many hosts of the own failure domain learn of each placement at once.
constexpr std::size_t smallFleetPeers = 16; ///< Up to this many peers, all get every datagram; beyond, other failure domains get them less often.
constexpr milliseconds statusRetryDelay{250}; ///< Delay of the next datagram after one that an exception has kept from being sent.
constexpr milliseconds transitTime{50}; ///< Transmission of a datagram, and the time until its receiver is scheduled.
constexpr milliseconds reportInterval{1000}; ///< Interval of datagrams with evidence and limits that have not changed.
constexpr milliseconds newsTime{1000}; ///< A change is repeated in every regular datagram for this time, because some get lost.
constexpr milliseconds earlyStatusDelay{4}; ///< Delay of an early datagram, so that changes in this time share it; about one step of a target.
constexpr milliseconds peerRemovalDelay{5000}; ///< A peer that has been neither registered nor heard from for this long is removed.

constexpr std::string_view peerJobPath = "/peer/job/"; ///< Followed by the job's identifier, a slash, and the number of results that the reader has.
constexpr milliseconds jobConnectTimeout{200}; ///< Covers several round trips between failure domains; the store is asked when the owner does not answer.
constexpr milliseconds jobAnswerTimeout{400}; ///< Covers the transfer of the results.

/** Another host that gets status datagrams. */
struct Peer {
    Endpoint endpoint; ///< Address for status datagrams and configuration pulls.
    DomainId domain; ///< Failure domain.
    bool registered{true}; ///< Whether its entry is in the key-value service.
    TimePoint lastSeen{}; ///< Last time at which it was registered or a status of it arrived.
    TimePoint knownSince{}; ///< When it was first found to be registered.
    TimePoint overdueAt{}; ///< When its entry was last reported to be overdue; TimePoint{} if it never was.
};

} // namespace

struct PeerLink::Impl {
    std::shared_ptr<Proxy> proxy; ///< Fleet snapshot and requests in flight.
    PeerLinkOptions options;
    std::unique_ptr<StatusExchange> exchange; ///< UDP socket for status datagrams.
    std::unique_ptr<HttpServer> server; ///< Serves the configuration document to other hosts.
    std::map<HostId, Peer> peers; ///< Recipients of the status.
    asio::steady_timer timer; ///< Expires when the next datagram is due.
    bool earlyStatusScheduled{false}; ///< Whether an early datagram is scheduled.
    TimePoint newsAt{}; ///< Time of the last change that had to be announced to all hosts.
    TimePoint reportedAt{}; ///< Time of the last datagram with evidence and limits.
    bool allDomainsDue{false}; ///< Whether the next datagram goes to all hosts, whatever the interval of other failure domains.
    std::map<HostId, SenderClock> clocks; ///< Clocks of the other hosts.
    TimePoint otherDomainsSentAt{}; ///< Time of the last datagram to other failure domains.
    std::uint64_t incarnation{0}; ///< Start time of the process in Unix milliseconds; orders the runs of this host.
    std::uint64_t sequence{0}; ///< Number of the last datagram; orders the datagrams of one run.
};

namespace {

using LinkPtr = std::shared_ptr<PeerLink::Impl>;

void scheduleStatus(const LinkPtr &link, milliseconds delay);

/** Removes peers that have been neither registered nor heard from for peerRemovalDelay, and their load counts. */
void removeExpiredPeers(PeerLink::Impl &link, TimePoint now)
{
    for (auto &[host, peer] : link.peers) {
        const auto heard = link.proxy->loadTracker.peers.find(host);
        peer.lastSeen = peer.registered ? now : heard != link.proxy->loadTracker.peers.end() ? std::max(peer.lastSeen, heard->second.heardAt) : peer.lastSeen;
    }
    std::erase_if(link.peers, [now](const auto &entry) {
        const bool gone = now - entry.second.lastSeen > peerRemovalDelay;
        if (gone) {
            logEvent(EventKind::PeerChanged,
                     entry.first.value,
                     {{"state", "gone"}, {"domain", entry.second.domain.value}, {"address", entry.second.endpoint.address}});
        }
        return gone;
    });
    std::vector<HostId> unknown;
    for (const auto &[host, peer] : link.proxy->loadTracker.peers) {
        if (!link.peers.contains(host) && now - peer.heardAt > peerRemovalDelay) {
            unknown.push_back(host);
        }
    }
    for (const HostId &host : unknown) {
        dropPeer(link.proxy->loadTracker, host);
        link.clocks.erase(host);
    }
}

/** Reports registered hosts that have been silent for longer than their entries can outlive them. */
void reportOverdueEntries(PeerLink::Impl &link, TimePoint now)
{
    const LoadTracker &tracker = link.proxy->loadTracker;
    for (auto &[host, peer] : link.peers) {
        const auto heard = tracker.peers.find(host);
        const TimePoint heardAt = heard != tracker.peers.end() ? std::max(peer.knownSince, heard->second.heardAt) : peer.knownSince;
        // In a large fleet, a status of another failure domain may be due later than its host's lease.
        const TimePoint overdueAt = entryOverdueAt(heardAt, std::max(link.options.leaseTtl, tracker.otherDomainExpiry));
        if (!peer.registered || now < overdueAt || peer.overdueAt == overdueAt) {
            continue;
        }
        peer.overdueAt = overdueAt;
        if (link.options.onEntryOverdue) {
            link.options.onEntryOverdue(host, overdueAt);
        }
    }
}

/** @return Interval of regular datagrams to @p hosts recipients. */
milliseconds statusIntervalFor(std::size_t hosts)
{
    return std::max(minStatusInterval, statusIntervalPerPeer * static_cast<int>(hosts));
}

/** @return Interval of datagrams to other failure domains. */
milliseconds otherDomainIntervalFor(std::size_t peers)
{
    return peers <= smallFleetPeers ? minStatusInterval : otherDomainIntervalPerPeer * static_cast<int>(peers);
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

/** Tells the load tracker how often other failure domains send their status, and when it expires. */
void setStatusIntervals(PeerLink::Impl &link)
{
    constexpr int intervalsToExpiry = 3; // Two datagrams in a row may be lost.
    LoadTracker &tracker = link.proxy->loadTracker;
    const milliseconds interval = otherDomainIntervalFor(link.peers.size());
    tracker.otherDomainInterval = interval + transitTime;
    tracker.otherDomainExpiry = std::max(tracker.peerExpiry, intervalsToExpiry * interval);
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
    auto exchange = StatusExchange::create(executor, impl->options.listen, std::move(handlers));
    if (!isOk(exchange)) {
        return errorOf(exchange);
    }
    impl->exchange = std::move(valueOf(exchange));
    HttpServerOptions serverOptions;
    serverOptions.listen = impl->options.listen;
    serverOptions.memory = impl->options.memory;
    auto server = HttpServer::create(executor, serverOptions, [weak](HttpRequest request, HttpResponder &responder) -> asio::awaitable<void> {
        const auto strong = weak.lock();
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

void updatePeers(PeerLink &link)
{
    for (auto &[host, peer] : link.impl->peers) {
        peer.registered = false;
    }
    for (const PeerEntry &entry : link.impl->proxy->fleet->peers) {
        const auto [found, added] = link.impl->peers.try_emplace(entry.host);
        found->second.knownSince = added ? BootClock::now() : found->second.knownSince;
        if (added || found->second.endpoint != entry.endpoint) {
            logEvent(EventKind::PeerChanged, entry.host.value, {{"state", "registered"}, {"domain", entry.domain.value}, {"address", entry.endpoint.address}});
        }
        found->second.endpoint = entry.endpoint;
        found->second.domain = entry.domain;
        found->second.registered = true;
    }
    setStatusIntervals(*link.impl);
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
