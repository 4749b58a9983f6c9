/** @file request_quotas_base.h Admits requests by the quotas of their workspaces, and grants tokens to other hosts; used on the traffic thread only. */
#pragma once

#include "fleet/fleet_type.h"
#include "quota/quota_table_type.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace skylark {

/** A request for tokens whose answer is awaited. */
struct QuotaWait {
    boost::asio::steady_timer timer; ///< Expires when the answer is late; cancelled when it arrives.
    std::optional<unsigned> tokens; ///< Tokens for the request; empty until the answer arrives.
};

/** Request quotas at one host. */
struct RequestQuotas {
    boost::asio::any_io_executor executor;
    QuotaTable table;
    Revision config; ///< Version of the configuration in force.
    bool stopped{false}; ///< Whether this host gives up its entry and grants nothing any more.
    std::map<std::uint64_t, std::shared_ptr<QuotaWait>> waits; ///< By number of the request for tokens.
    std::function<void(const QuotaRequestMessage &message, const Endpoint &holder)> sendRequest; ///< Sends a datagram.
    std::function<void(const QuotaGrantMessage &message, const Endpoint &sender)> sendGrant; ///< Sends a datagram.

    /** @param session Identifier of this run of the process, from which numbers and random choices start. */
    static std::shared_ptr<RequestQuotas> create(
        boost::asio::any_io_executor executor, HostId host, DomainId domain, QuotaAllowance allowance, const SessionId &session);
};

/** Whether a request may be forwarded. */
struct QuotaVerdict {
    int status{0}; ///< 0 when it may; else the status of the response.
    std::string_view reason; ///< Why it may not.
    std::chrono::milliseconds retryAfter{0}; ///< When the caller is to return.
    std::chrono::milliseconds waited{0}; ///< Time since the request arrived.
};

/**
 * Waits for a token for a request. Returns at once when the workspace is empty or has no quota.
 * @return 429 when the workspace is over its quota, and 503 when no holder could be asked whether it is.
 */
boost::asio::awaitable<QuotaVerdict> admitRequest(std::shared_ptr<RequestQuotas> quotas, WorkspaceId workspace, RequestId id);

/** Applies the hosts and the quotas of a snapshot of the fleet. */
void applyQuotaSnapshot(RequestQuotas &quotas, const FleetSnapshot &snapshot);

/** Sets the proof that this host's entry is alive. */
void setHostLease(RequestQuotas &quotas, const HostLease &lease);

/** Ends this host's right to grant; must be called before it gives up its entry. */
void stopGranting(RequestQuotas &quotas);

/** Answers the request of another host for tokens. */
void handleQuotaRequest(RequestQuotas &quotas, const QuotaRequestMessage &request, const Endpoint &sender);

/** Applies the answer of a holder. */
void handleQuotaGrant(RequestQuotas &quotas, const QuotaGrantMessage &grant);

/** @return Metrics in the text exposition format. Series are named for the twenty workspaces with the most requests; the others are added up. */
[[nodiscard]] std::string quotaMetricsText(const RequestQuotas &quotas);

} // namespace skylark
