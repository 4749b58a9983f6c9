/** @file request_quota.cpp Decisions on the request quotas of workspaces. */
#include "policy/request_quota_func.h"

#include "core/hash_func.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace skylark {

using std::chrono::milliseconds;

namespace {

constexpr double perSecondPerHolder = 2;
constexpr double usefulCapacity = 2; ///< A bucket for one token alone is empty for most of the time, so that too many holders have to be asked.
constexpr double roundingPart = 0.25; ///< Part of the allowed excess for capacities beyond the burst.
constexpr double startPart = 0.5; ///< Part of the allowed excess for new buckets.
constexpr double reservedPart = 0.25; ///< Part that neither of them uses, for tokens granted in advance and for hosts with an old list.
constexpr double lookaheadSeconds = 0.1; ///< Well below heldTokenLife, so that almost every token is used.
constexpr unsigned maxAsked = 16; ///< Bounds what a lost answer wastes.
constexpr double rateSeconds = 1; ///< Time over which a rate is averaged.
constexpr milliseconds maxPromise{2000}; ///< A sender asks several holders and uses one token, so that promises for a later time would mostly not be used.
constexpr milliseconds minEmptyTime{20}; ///< Two requests in this time do not ask the same holder.
constexpr milliseconds maxEmptyTime{1000}; ///< Tokens that were promised to others and not fetched lie idle for at most this time.
constexpr milliseconds maxReturnTime{30000}; ///< Beyond the time that any caller waits.
constexpr milliseconds ownDomainTimeout{20}; ///< Mostly the time until the holder is scheduled.
constexpr milliseconds otherDomainTimeout{60}; ///< The same, and a round trip between failure domains.

std::chrono::nanoseconds seconds(double value)
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(value * 1e9));
}

/** @return Time until the bucket has a whole token. */
std::chrono::nanoseconds timeToToken(const TokenBucket &bucket)
{
    constexpr double mostSeconds = 3600;
    return seconds(std::clamp((1 - bucket.tokens) / std::max(bucket.perSecond, 1 / mostSeconds), 0.0, mostSeconds));
}

/** @return Number of holders in each of @p domains failure domains, if it has so many hosts. */
std::size_t holdersPerDomain(const QuotaLimit &limit, const QuotaAllowance &allowance, std::size_t domains)
{
    const double byRate = limit.perSecond / perSecondPerHolder;
    const double byBurst = (limit.burst + roundingPart * allowedExcess(limit, allowance)) / usefulCapacity;
    return static_cast<std::size_t>(std::max(1.0, std::floor(std::min(byRate, byBurst) / static_cast<double>(domains))));
}

/** @return Largest number of holders whose buckets, with a token each, stay within burst and excess. */
std::size_t maxHolders(const QuotaLimit &limit, const QuotaAllowance &allowance)
{
    return static_cast<std::size_t>(std::max(1.0, std::floor(limit.burst + (1 - reservedPart) * allowedExcess(limit, allowance))));
}

/** @return The failure domains that hold parts of a quota: all of them, unless even one bucket in each would be too many. */
std::vector<DomainId> holdingDomains(const WorkspaceId &workspace, std::vector<DomainId> domains, std::size_t most)
{
    if (domains.size() > most) {
        std::sort(domains.begin(), domains.end(), [&workspace](const DomainId &a, const DomainId &b) {
            return rendezvousScore(workspace.value, a.value) > rendezvousScore(workspace.value, b.value);
        });
        domains.resize(most);
    }
    return domains;
}

} // namespace

double allowedExcess(const QuotaLimit &limit, const QuotaAllowance &allowance)
{
    return allowance.overage * (limit.perSecond * std::chrono::duration<double>(allowance.window).count() + limit.burst) + allowance.slack;
}

std::vector<std::size_t> quotaHolders(const WorkspaceId &workspace,
                                      const QuotaLimit &limit,
                                      const QuotaAllowance &allowance,
                                      const std::vector<QuotaHost> &hosts)
{
    struct Ranked {
        std::uint64_t score{0};
        std::size_t index{0};
    };
    std::map<DomainId, std::vector<Ranked>> domains;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        domains[hosts[i].domain].push_back({rendezvousScore(workspace.value, hosts[i].host.value), i});
    }
    std::vector<DomainId> names;
    names.reserve(domains.size());
    for (const auto &[domain, ranked] : domains) {
        names.push_back(domain);
    }
    names = holdingDomains(workspace, std::move(names), maxHolders(limit, allowance));
    std::vector<std::size_t> holders;
    const std::size_t wanted = names.empty() ? 0 : holdersPerDomain(limit, allowance, names.size());
    for (const DomainId &domain : names) {
        auto &ranked = domains[domain];
        const std::size_t count = std::min(wanted, ranked.size());
        const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(ranked.begin(), end, ranked.end(), [&hosts](const Ranked &a, const Ranked &b) {
            return a.score > b.score || (a.score == b.score && hosts[a.index].host < hosts[b.index].host);
        });
        std::transform(ranked.begin(), end, std::back_inserter(holders), [](const Ranked &one) {
            return one.index;
        });
    }
    return holders;
}

QuotaShare quotaShareOf(const QuotaLimit &limit, const QuotaAllowance &allowance, std::size_t holders)
{
    const auto count = static_cast<double>(std::max<std::size_t>(holders, 1));
    QuotaShare share;
    share.perSecond = limit.perSecond / count;
    const double excess = allowedExcess(limit, allowance);
    share.capacity = std::max({limit.burst / count, std::min((limit.burst + roundingPart * excess) / count, usefulCapacity), 1.0});
    const double left = (1 - reservedPart) * excess - std::max(count * share.capacity - limit.burst, 0.0);
    share.start = std::clamp(std::min(startPart * excess, left) / count, 0.0, share.capacity);
    return share;
}

bool mayGrant(const HostLease &lease, TimePoint now)
{
    return lease.entry != 0 && now >= lease.grantsFrom && now < lease.provedUntil;
}

HostLease renewedLease(const HostLease &lease, TimePoint callStart, milliseconds ttl)
{
    HostLease renewed = lease;
    renewed.provedUntil = std::max(renewed.provedUntil, callStart + ttl);
    return renewed;
}

HostLease newEntryLease(const HostLease &lease, bool predecessorAlive, TimePoint callStart, TimePoint writtenAt, milliseconds ttl)
{
    return {lease.entry + 1, callStart + ttl, predecessorAlive ? writtenAt : writtenAt + newHolderDelay};
}

void updateBucket(QuotaBucket &bucket, const std::optional<QuotaShare> &share, const QuotaEpoch &epoch, const HostLease &lease, TimePoint now)
{
    const bool sameEntry = bucket.entry == lease.entry;
    const bool sameEpoch = bucket.epoch == epoch.number;
    if (sameEntry && sameEpoch) {
        if (bucket.holds) {
            refillTokens(bucket.tokens, now);
        }
        return;
    }
    if (bucket.holds && sameEntry && bucket.epoch + 1 == epoch.number) {
        refillTokens(bucket.tokens, epoch.changedAt);
    }
    const bool begins = share && !(bucket.holds && sameEntry);
    if (share) {
        bucket.tokens.perSecond = share->perSecond;
        bucket.tokens.capacity = share->capacity;
        bucket.tokens.tokens = !bucket.used ? share->start : std::min(bucket.tokens.tokens, begins ? share->start : share->capacity);
        const TimePoint from = sameEntry ? epoch.changedAt : std::max(epoch.changedAt, lease.grantsFrom);
        bucket.tokens.updatedAt = std::max(bucket.tokens.updatedAt, from);
        refillTokens(bucket.tokens, now);
    }
    bucket.holds = share.has_value();
    bucket.used = bucket.used || bucket.holds;
    bucket.epoch = epoch.number;
    bucket.entry = lease.entry;
}

QuotaDecision grantTokens(QuotaBucket &bucket, unsigned wanted, TimePoint now)
{
    constexpr double rounding = 1e-9;
    refillTokens(bucket.tokens, now);
    const double whole = std::floor(bucket.tokens.tokens + rounding);
    if (whole >= 1) {
        const double further = std::clamp(static_cast<double>(wanted) - 1, 0.0, std::floor(whole / 2));
        bucket.tokens.tokens -= 1 + further;
        return {static_cast<unsigned>(1 + further), std::chrono::ceil<milliseconds>(timeToToken(bucket.tokens))};
    }
    const double perSecond = std::max(bucket.tokens.perSecond, rounding);
    const TimePoint next = now + timeToToken(bucket.tokens);
    const TimePoint unpromised = bucket.promisedUntil + seconds(std::min(1 / perSecond, 3600.0));
    bucket.promisedUntil = std::max(next, std::min(unpromised, now + maxPromise));
    return {0, std::max(std::chrono::ceil<milliseconds>(bucket.promisedUntil - now), milliseconds(1))};
}

unsigned tokensToAsk(double perSecond)
{
    return std::min(1 + static_cast<unsigned>(std::max(perSecond, 0.0) * lookaheadSeconds), maxAsked);
}

std::optional<std::size_t> nextHolder(const std::vector<QuotaCandidate> &candidates, std::uint64_t random)
{
    const auto rankOf = [](const QuotaCandidate &candidate) {
        return candidate.isSelf ? 0 : candidate.ownDomain ? 1 : 2;
    };
    int best = 3;
    std::vector<std::size_t> choices;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const int rank = candidates[i].usable ? rankOf(candidates[i]) : 3;
        if (rank < best) {
            best = rank;
            choices.clear();
        }
        if (rank == best && rank < 3) {
            choices.push_back(i);
        }
    }
    return choices.empty() ? std::nullopt : std::optional(choices[random % choices.size()]);
}

milliseconds quotaAnswerTimeout(bool ownDomain)
{
    return ownDomain ? ownDomainTimeout : otherDomainTimeout;
}

TimePoint emptyUntil(TimePoint now, milliseconds retryAfter)
{
    return now + std::clamp(retryAfter, minEmptyTime, maxEmptyTime);
}

TimePoint returnTime(TimePoint previous, TimePoint earliest, double perSecond, TimePoint now)
{
    const TimePoint after = previous + seconds(1 / std::max(perSecond, 1 / std::chrono::duration<double>(maxReturnTime).count()));
    return std::clamp(std::max(earliest, after), now + milliseconds(1), now + maxReturnTime);
}

void countEvent(DecayedRate &rate, TimePoint now)
{
    rate.events = rateAt(rate, now) * rateSeconds + 1;
    rate.at = now;
}

double rateAt(const DecayedRate &rate, TimePoint now)
{
    const double age = rate.at == TimePoint{} ? 0 : std::max(std::chrono::duration<double>(now - rate.at).count(), 0.0);
    return rate.events / rateSeconds * std::exp(-age / rateSeconds);
}

} // namespace skylark
