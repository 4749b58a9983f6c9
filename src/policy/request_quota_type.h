/** @file request_quota_type.h Request quotas of workspaces, divided among hosts that hold token buckets for them. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"
#include "policy/token_bucket_func.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace skylark {

/** Request quota of a workspace, for all hosts together. */
struct QuotaLimit {
    double perSecond{0}; ///< Requests a second; 0 for no limit.
    double burst{0}; ///< Requests at once beyond the rate.

    bool operator==(const QuotaLimit &other) const = default;
};

/** By how much a quota may be exceeded in any window. */
struct QuotaAllowance {
    std::chrono::milliseconds window{5000}; ///< Length of the window.
    double overage{0.1}; ///< Share of the requests within the quota.
    double slack{20}; ///< Requests in addition.
};

/** A host that may hold a part of a quota. */
struct QuotaHost {
    HostId host;
    DomainId domain;

    bool operator==(const QuotaHost &other) const = default;
};

/** Part of a quota that one holder grants. */
struct QuotaShare {
    double perSecond{0}; ///< Tokens a second.
    double capacity{0}; ///< Largest number of tokens; at least 1, because tokens are granted whole.
    double start{0}; ///< Tokens of a new bucket.
};

/** A host's proof that its entry in the key-value service is alive, and with it its right to grant tokens. */
struct HostLease {
    std::uint64_t entry{0}; ///< Number of the entry among those that this process has written; 0 before the first.
    TimePoint provedUntil{}; ///< The entry is not removed before this time.
    TimePoint grantsFrom{}; ///< From this time on, the other hosts know of the entry and have given up the share.
};

/** Version of what the shares of a host depend on: its list of hosts and the quotas of its configuration. */
struct QuotaEpoch {
    std::uint64_t number{0}; ///< Number of changes so far; 0 while the hosts are unknown.
    TimePoint changedAt{}; ///< Time of the last change.
};

/** Bucket of one workspace at a host that holds, or has held, a part of its quota. */
struct QuotaBucket {
    TokenBucket tokens;
    bool holds{false}; ///< Whether the host held a part of the quota in the epoch.
    bool used{false}; ///< Whether the host ever held a part of it.
    std::uint64_t epoch{0}; ///< Number of the epoch of the share.
    std::uint64_t entry{0}; ///< Entry of the host under which the tokens accrued.
    TimePoint promisedUntil{}; ///< Time of the last token that was promised to a sender.
};

/** Answer of a holder. */
struct QuotaDecision {
    unsigned tokens{0}; ///< Tokens granted.
    std::chrono::milliseconds retryAfter{0}; ///< Time until the next token; if none was granted, until the next one that is not promised.
};

/** A holder as the host that needs a token sees it. */
struct QuotaCandidate {
    bool isSelf{false}; ///< Whether it is the host itself.
    bool ownDomain{false}; ///< Whether it is in the same failure domain.
    bool usable{true}; ///< Whether it was not asked for this request, and is not known to be without tokens.
};

/** Rate of events, averaged over about a second. */
struct DecayedRate {
    double events{0}; ///< Events before @c at, each weighted by its age.
    TimePoint at{};
};

} // namespace skylark
