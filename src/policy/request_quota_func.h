/**
 * @file request_quota_func.h Decisions on the request quotas of workspaces.
 *
 * Designed for 80 workspaces on 64 hosts in 3 failure domains (3,300 on 360 hosts in 11 in two years), the largest with 80 requests/s, the smallest with
 * less than one; quotas of 1.6 times the usual rate; one workspace sends 5 to 8 times its usual rate for some seconds; callers of a workspace that use only
 * a few hosts; hosts that come and go and whose lists of one another are up to 2 s old.
 */
#pragma once

#include "policy/request_quota_type.h"

#include <vector>

namespace skylark {

/** Time after which a host that is new in the list grants tokens: the others learn of it up to 2 s later, and give up their share only then. */
inline constexpr std::chrono::milliseconds newHolderDelay{3000};

/** Time for which a token may be kept for a later request. It is added to the window in which a workspace can use what was granted, so it is short. */
inline constexpr std::chrono::milliseconds heldTokenLife{250};

/** Most holders that are asked for one request. */
inline constexpr unsigned maxQuotaAsks = 8;

/** Longest time that a request waits for its token. Callers want their answer within 300 ms. */
inline constexpr std::chrono::milliseconds maxQuotaWait{150};

/** @return Requests by which a workspace may exceed its rate and burst in a window. */
[[nodiscard]] double allowedExcess(const QuotaLimit &limit, const QuotaAllowance &allowance);

/**
 * Chooses the hosts that hold parts of a quota: in each failure domain the same number, the first by rendezvous hashing of workspace and host. Each holder
 * has about 2 requests a second, or more where so many buckets of at least one token would add up to too much beyond the burst. Where one holder in each
 * failure domain is too many, only some domains hold parts.
 * @param hosts All hosts, in any order.
 * @return Indexes into @p hosts, by failure domain.
 */
[[nodiscard]] std::vector<std::size_t> quotaHolders(const WorkspaceId &workspace,
                                                    const QuotaLimit &limit,
                                                    const QuotaAllowance &allowance,
                                                    const std::vector<QuotaHost> &hosts);

/** @return The share of each of @p holders hosts. A new bucket gets its part of half of the allowed excess. */
[[nodiscard]] QuotaShare quotaShareOf(const QuotaLimit &limit, const QuotaAllowance &allowance, std::size_t holders);

/** @return Whether a host may grant tokens at @p now, which must be read after the request has arrived: the machine may have been suspended before. */
[[nodiscard]] bool mayGrant(const HostLease &lease, TimePoint now);

/**
 * @return The lease after a successful renewal, or after the entry was written.
 * @param callStart Start of the successful call.
 */
[[nodiscard]] HostLease renewedLease(const HostLease &lease, TimePoint callStart, std::chrono::milliseconds ttl);

/**
 * @return The lease after the host has written its entry.
 * @param predecessorAlive Whether the entry replaced one of an earlier process of this host, so that no other host has taken over its shares.
 * @param callStart Start of the call that granted the lease.
 * @param writtenAt Time of the answer to the write.
 */
[[nodiscard]] HostLease newEntryLease(const HostLease &lease, bool predecessorAlive, TimePoint callStart, TimePoint writtenAt, std::chrono::milliseconds ttl);

/**
 * Adds what has accrued, and puts the share of the current epoch in force. Nothing accrues for a time in which another host may have held the share.
 * @param share Share of this host; empty when it holds none.
 */
void updateBucket(QuotaBucket &bucket, const std::optional<QuotaShare> &share, const QuotaEpoch &epoch, const HostLease &lease, TimePoint now);

/** Grants up to @p wanted tokens: the first if there is one, and further ones only from the half of what is there, so that one host does not take all. */
[[nodiscard]] QuotaDecision grantTokens(QuotaBucket &bucket, unsigned wanted, TimePoint now);

/** @return Tokens to ask for, by the recent demand of this host: those that it will need in the next 100 ms, beside the one for the request. */
[[nodiscard]] unsigned tokensToAsk(double perSecond);

/** @return Index of the holder to ask next: the host itself, else one of its own failure domain, else any; empty if none is usable. */
[[nodiscard]] std::optional<std::size_t> nextHolder(const std::vector<QuotaCandidate> &candidates, std::uint64_t random);

/** @return How long to wait for the answer of a holder. */
[[nodiscard]] std::chrono::milliseconds quotaAnswerTimeout(bool ownDomain);

/** @return Until when a holder without tokens is not asked again. @param retryAfter Time that it named. */
[[nodiscard]] TimePoint emptyUntil(TimePoint now, std::chrono::milliseconds retryAfter);

/**
 * @return When a refused caller is to return: after the one that was refused before it, by the time in which this host gets a token.
 * @param previous Time given to the caller before.
 * @param earliest Earliest time at which some holder has a token.
 * @param perSecond Tokens a second that this host gets.
 */
[[nodiscard]] TimePoint returnTime(TimePoint previous, TimePoint earliest, double perSecond, TimePoint now);

/** Counts an event. */
void countEvent(DecayedRate &rate, TimePoint now);

/** @return Events a second at @p now. */
[[nodiscard]] double rateAt(const DecayedRate &rate, TimePoint now);

} // namespace skylark
