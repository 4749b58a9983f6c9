/** @file peer_link_func.h Status datagrams, configuration pulls and reads of jobs between entry hosts; used on the traffic thread only. */
#pragma once

#include "proxy/proxy_base.h"

#include <functional>
#include <memory>
#include <optional>

namespace skylark {

/** Options of the link. */
struct PeerLinkOptions {
    HostId host; ///< This host.
    SessionId session; ///< Identifier of this run of its process.
    DomainId domain; ///< Failure domain of this host.
    Endpoint listen; ///< Listen address: UDP for status datagrams, TCP for configuration pulls.
    std::chrono::milliseconds leaseTtl{3000}; ///< Lifetime of a host's entry in the key-value service without a renewal.
    std::shared_ptr<MemoryAccount> memory{}; ///< Account of the bytes held for other hosts; may be null.
    std::function<void(const HostStatus &status)> onStatus; ///< Called for each status of another host that is newer than its last one.
    std::function<void(const HostStatus &status, std::chrono::milliseconds delay)> onProof; ///< Called before onStatus with the excess delay; may be empty.
    std::function<void(HostStatus &status)> completeStatus; ///< Adds fields that the link does not know, such as job revisions, to each status sent.
    /** Encodes a job that this host owns, without the results up to @c after; empty if it owns no such job. */
    std::function<std::optional<std::string>(const JobId &job, std::uint64_t after)> ownedJob;
    /** Called once for each silence of a registered host whose entry must have lapsed by @c overdueAt if the host has ended; may be empty. */
    std::function<void(const HostId &host, TimePoint overdueAt)> onEntryOverdue;
    HttpHandler onRelayed; ///< Runs requests that other hosts relay.
    std::function<void(Revision version, const Endpoint &peer)> onNewerConfig; ///< Called when a known host has a newer configuration than this one.
    std::function<void(const QuotaRequestMessage &request, const Endpoint &sender)> onQuotaRequest; ///< Called for each request for quota tokens.
    std::function<void(const QuotaGrantMessage &grant)> onQuotaGrant; ///< Called for each answer to a request for quota tokens.
};

/** Sends this host's status to the other hosts, receives theirs, and serves the configuration document to them. */
struct PeerLink {
    struct Impl;
    std::shared_ptr<Impl> impl; ///< Hidden state.

    /** Opens the sockets and starts to send the host's status. @return The link, or an error when an address cannot be bound. */
    static Result<std::unique_ptr<PeerLink>> create(std::shared_ptr<Proxy> proxy, PeerLinkOptions options);
    ~PeerLink();
};

/** Asks @p host for a job that it owns. @return Its document, NotFound when the host is unknown or does not own the job, or the error of the connection. */
boost::asio::awaitable<Result<std::string>> readJobAtPeer(std::shared_ptr<PeerLink::Impl> link, HostId host, JobId job, std::uint64_t after);

/** @return The other registered hosts, with what their status says of their links. */
[[nodiscard]] std::vector<RelayPeer> listRelayPeers(const PeerLink::Impl &link);

/** Updates the recipients of the status from the hosts in the proxy's fleet snapshot. */
void updatePeers(PeerLink &link);

/** Sends a request for quota tokens to its holder. */
void sendQuotaRequest(PeerLink &link, const QuotaRequestMessage &request, const Endpoint &holder);

/** Answers a request for quota tokens. */
void sendQuotaGrant(PeerLink &link, const QuotaGrantMessage &grant, const Endpoint &sender);

/** Schedules an early status datagram if the other hosts need to know of @p change before the regular interval has passed. */
void announceLoadChange(PeerLink &link, LoadChange change);

/** Schedules an early status datagram to the hosts of all failure domains. */
void scheduleStatusToAll(PeerLink &link);

/** Schedules an early status datagram; changes within a few milliseconds share one datagram. */
void scheduleEarlyStatus(PeerLink &link);

} // namespace skylark
