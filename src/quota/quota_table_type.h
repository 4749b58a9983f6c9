/** @file quota_table_type.h What a host knows of the request quotas of workspaces: buckets that it holds, and what it knows of the other holders. */
#pragma once

#include "http/http_type.h"
#include "peer/status_type.h"
#include "policy/request_quota_type.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace skylark {

/** A host of the fleet and its address for datagrams. */
struct QuotaPeer {
    QuotaHost id;
    Endpoint endpoint; ///< Not used for the host itself.

    bool operator==(const QuotaPeer &other) const = default;
};

/** What is known of a holder. */
enum class HolderState : std::uint8_t {
    Unknown, ///< Not asked lately, or has further tokens.
    Empty, ///< Has no token.
    NoRight, ///< Does not hold a part, or may not grant now.
    Silent, ///< Has not answered in time.
};

/** One holder of a workspace's quota. */
struct QuotaHolder {
    std::uint32_t host{0}; ///< Index into QuotaTable::hosts.
    HolderState state{HolderState::Unknown};
    TimePoint until{}; ///< Until when the holder is not asked again.
};

/** Tokens that were granted in advance. */
struct HeldTokens {
    unsigned count{0};
    TimePoint expiresAt{};
};

/** Quota of one workspace. */
struct WorkspaceQuota {
    QuotaLimit limit;
    std::uint64_t epoch{0}; ///< Epoch of @c holders; 0 before they were chosen.
    std::vector<QuotaHolder> holders;
    std::optional<std::size_t> own; ///< This host's index in @c holders; empty when it holds no part.
    QuotaBucket bucket; ///< This host's part.
    std::vector<HeldTokens> held; ///< Oldest first.
    DecayedRate demand; ///< Requests of callers at this host.
    DecayedRate admitted; ///< Those that were admitted.
    DecayedRate refused; ///< Those that were refused.
    TimePoint lastReturn{}; ///< Time given to the caller that was refused last.
};

/** Counters since the start of the process. */
struct QuotaCounts {
    std::uint64_t admitted{0};
    std::uint64_t refusedEmpty{0}; ///< Holders said that they have no token.
    std::uint64_t refusedUnknown{0}; ///< No holder with a right to grant answered.
    std::uint64_t tokensGranted{0}; ///< By this host, as a holder.
    std::uint64_t tokensReceived{0}; ///< By this host, in time.
    std::uint64_t tokensLate{0}; ///< Received after the request had asked another holder; not used.
    std::uint64_t tokensLapsed{0}; ///< Received in advance and not needed within heldTokenLife.
    std::uint64_t asks{0}; ///< Sent to other hosts.
    std::uint64_t answersEmpty{0};
    std::uint64_t answersNoRight{0};
    std::uint64_t silent{0}; ///< Not answered in time.
    std::uint64_t requestsRefusedNoRight{0}; ///< Requests of other hosts that this host had no right to grant.
};

/** A request for tokens that is under way. */
struct PendingAsk {
    WorkspaceId workspace;
    HostId holder;
    TimePoint sentAt{};
    TimePoint deadline{}; ///< A later answer is not used.
};

/** State of the quotas of all workspaces. Changed by the functions of quota_table_func.h only. */
struct QuotaTable {
    HostId host; ///< This host.
    DomainId domain; ///< Its failure domain.
    QuotaAllowance allowance;
    HostLease lease;
    QuotaEpoch epoch;
    std::vector<QuotaPeer> hosts; ///< All hosts, this one included; empty while they are not known.
    std::unordered_map<WorkspaceId, WorkspaceQuota> workspaces; ///< Those that have a quota.
    std::unordered_map<std::uint64_t, PendingAsk> pending; ///< By number of the request.
    std::uint64_t lastNumber{0}; ///< Starts at a random number, so that answers to an earlier process of this host do not match.
    std::uint64_t random{1}; ///< State of the pseudorandom generator.
    QuotaCounts counts;
};

/** Progress of one request of a caller. */
struct QuotaAttempt {
    WorkspaceId workspace;
    TimePoint startedAt{};
    std::vector<std::uint32_t> asked; ///< Hosts that were asked, by index; valid in @c epoch.
    std::uint64_t epoch{0};
    unsigned asks{0}; ///< Requests to other hosts.
    unsigned empty{0}; ///< Holders that said, or are known, to have no token.
};

/** What to do next for a request. */
struct QuotaStep {
    enum class Kind : std::uint8_t {
        Admit, ///< The request has its token, or needs none.
        Ask, ///< Send @c message to @c holder and wait.
        Refuse, ///< The workspace is over its quota.
        Unknown, ///< No holder could be asked whether it is.
    };
    Kind kind{Kind::Admit};
    QuotaRequestMessage message; ///< For Ask.
    Endpoint holder; ///< For Ask: address of the holder.
    HostId holderId; ///< For Ask.
    std::chrono::milliseconds wait{0}; ///< For Ask: how long to wait. For Refuse and Unknown: when the caller is to return.
};

} // namespace skylark
