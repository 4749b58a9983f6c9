/** @file rate_limit.cpp Keeps the rate limits that targets name, and divides each among the hosts. */
#include "policy/rate_limit_func.h"

#include "core/hash_func.h"

#include <algorithm>
#include <cmath>

namespace skylark {

namespace {

constexpr std::size_t maxAnnounced = 256; ///< Observations in one announcement; bounds the size of a datagram.

/** Sets the rate of the bucket to this host's share. A host that has no share keeps no tokens. */
void applyShare(const RateLimitTable &table, TargetRate &rate, TimePoint now)
{
    const LimitShare share = shareOf(table, rate);
    refillTokens(rate.bucket, now);
    rate.bucket.perSecond = share.perSecond;
    rate.bucket.capacity = table.settings.burst;
    rate.bucket.tokens = share.sends ? rate.bucket.tokens : 0.0;
}

/** Puts a new limit in force. A target that had none before starts without a token. */
void setLimit(const RateLimitTable &table, TargetRate &rate, const LimitObservation &observation, TimePoint now)
{
    const bool begins = !rate.latest.perSecond && observation.perSecond;
    rate.latest = observation;
    if (begins) {
        rate.rank = rankOf(table, observation.target);
        rate.bucket = {.updatedAt = now};
    }
    applyShare(table, rate, now);
}

} // namespace

void setSenders(RateLimitTable &table, std::vector<HostId> hosts, TimePoint now)
{
    if (hosts == table.hosts) {
        return;
    }
    table.hosts = std::move(hosts);
    for (auto &[target, rate] : table.targets) {
        if (rate.latest.perSecond) {
            rate.rank = rankOf(table, target);
            applyShare(table, rate, now);
        }
    }
}

void recordSend(RateLimitTable &table, const TargetId &target, TimePoint now)
{
    TargetRate &rate = table.targets[target];
    ++rate.sent;
    if (rate.latest.perSecond) {
        refillTokens(rate.bucket, now);
        rate.bucket.tokens -= 1;
    }
}

bool observeAnswer(RateLimitTable &table, const LimitObservation &observation, TimePoint sentAt)
{
    TargetRate &rate = table.targets[observation.target];
    const bool tooOld = !observation.perSecond && rate.latest.perSecond && sentAt <= rate.latest.at;
    if (tooOld || observation.at < rate.latest.at) {
        return false;
    }
    const bool changed = rate.latest.perSecond != observation.perSecond;
    setLimit(table, rate, observation, observation.at);
    rate.own = observation;
    rate.namedAt = observation.perSecond ? observation.at : rate.namedAt;
    return changed;
}

bool mergeObservation(RateLimitTable &table, const LimitObservation &observation, TimePoint now)
{
    TargetRate &rate = table.targets[observation.target];
    if (observation.at <= rate.latest.at) {
        return false;
    }
    const bool changed = rate.latest.perSecond != observation.perSecond;
    setLimit(table, rate, observation, now);
    return changed;
}

std::vector<LimitObservation> limitsToAnnounce(const RateLimitTable &table, TimePoint now)
{
    std::vector<LimitObservation> due;
    for (const auto &[target, rate] : table.targets) {
        const bool recent = rate.namedAt != TimePoint{} && now - rate.namedAt < table.settings.announceTime;
        if (recent && due.size() < maxAnnounced) {
            due.push_back(rate.own);
        }
    }
    return due;
}

std::optional<double> limitOf(const RateLimitTable &table, const TargetId &target)
{
    const auto found = table.targets.find(target);
    return found == table.targets.end() ? std::nullopt : found->second.latest.perSecond;
}

std::optional<std::size_t> rankOf(const RateLimitTable &table, const TargetId &target)
{
    if (std::find(table.hosts.begin(), table.hosts.end(), table.host) == table.hosts.end()) {
        return std::nullopt;
    }
    const std::uint64_t ownScore = rendezvousScore(target.value, table.host.value);
    const auto before = std::count_if(table.hosts.begin(), table.hosts.end(), [&](const HostId &host) {
        const std::uint64_t score = rendezvousScore(target.value, host.value);
        return score > ownScore || (score == ownScore && host < table.host);
    });
    return static_cast<std::size_t>(before);
}

LimitShare shareOf(const RateLimitTable &table, const TargetRate &rate)
{
    if (!rate.latest.perSecond || !rate.rank) {
        return {};
    }
    const double perSecond = *rate.latest.perSecond;
    const double further = std::min(std::floor(perSecond / table.settings.perSecondPerSender), static_cast<double>(table.hosts.size()));
    const auto senders = std::min(table.hosts.size(), static_cast<std::size_t>(further) + table.settings.minSenders);
    if (*rate.rank >= senders) {
        return {};
    }
    const double share = perSecond / static_cast<double>(senders);
    return {true, *rate.rank == 0 ? std::max(share, table.settings.minPerSecond) : share};
}

bool maySend(const RateLimitTable &table, const TargetId &target, StreamKind kind, TimePoint now)
{
    const auto found = table.targets.find(target);
    if (found == table.targets.end() || !found->second.latest.perSecond) {
        return true;
    }
    const TokenBucket &bucket = found->second.bucket;
    const TimePoint since = kind == StreamKind::Batch ? now - table.settings.batchWait : now;
    return bucket.perSecond > 0 && tokensAt(bucket, since) >= 1.0;
}

} // namespace skylark
