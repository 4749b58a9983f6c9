/** @file peer_link_func.h Status datagrams and configuration pulls between entry hosts; belongs to the traffic thread. */
#pragma once

#include "proxy/proxy_base.h"

#include <functional>
#include <memory>

namespace skylark {

/** Options of the link. */
struct PeerLinkOptions {
    HostId host; ///< This host.
    SessionId session; ///< This run of its process.
    DomainId domain; ///< Failure domain.
    Endpoint listen; ///< Address, UDP and TCP.
    std::function<void(const HostStatus &status)> onStatus; ///< Called with each new status of another host.
    std::function<void(HostStatus &status)> describe; ///< Adds what other parts tell the other hosts.
    std::function<void(Revision version, const Endpoint &peer)> onNewerConfig; ///< Called when another host has a newer configuration.
};

/** Link to the other hosts. */
struct PeerLink {
    struct Impl;
    std::shared_ptr<Impl> impl; ///< Hidden state.

    /** Opens the sockets and begins to send the host's status. */
    static Result<std::unique_ptr<PeerLink>> create(std::shared_ptr<Proxy> proxy, PeerLinkOptions options);
    ~PeerLink();
};

/** Takes the list of hosts from the proxy's snapshot. */
void updatePeers(PeerLink &link);

/** Sends the host's status soon if the other hosts should hear of @p change before the regular interval. */
void announceLoadChange(PeerLink &link, LoadChange change);

/** Sends the host's status soon, bundling what changes within a few milliseconds. */
void announceSoon(PeerLink &link);

} // namespace skylark
