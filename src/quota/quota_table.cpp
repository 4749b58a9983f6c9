/** @file quota_table.cpp Keeps a host's state of the request quotas; without a clock, sockets or threads. */
#include "quota/quota_table_func.h"

#include "core/hash_func.h"
#include "policy/request_quota_func.h"

#include <algorithm>

namespace skylark {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds silentTime{500}; ///< Time for which a holder that has not answered, or has no right to grant, is not asked.
constexpr milliseconds unknownReturnTime{500}; ///< Retry-After while it is not known whether a workspace is over its quota.

/** Chooses the holders of a workspace if hosts or limits have changed since. Done on first use, because most workspaces send to few hosts. */
void chooseHolders(const QuotaTable &table, const WorkspaceId &workspace, WorkspaceQuota &quota)
{
    if (quota.epoch == table.epoch.number) {
        return;
    }
    std::vector<QuotaHost> hosts;
    hosts.reserve(table.hosts.size());
    for (const QuotaPeer &peer : table.hosts) {
        hosts.push_back(peer.id);
    }
    quota.holders.clear();
    quota.own.reset();
    for (const std::size_t index : quotaHolders(workspace, quota.limit, table.allowance, hosts)) {
        if (hosts[index].host == table.host) {
            quota.own = quota.holders.size();
        }
        quota.holders.push_back({static_cast<std::uint32_t>(index)});
    }
    quota.holders.shrink_to_fit();
    quota.epoch = table.epoch.number;
}

/** Brings the holders and the own bucket of a workspace up to date. @return The workspace's quota; null when it has none. */
WorkspaceQuota *currentQuota(QuotaTable &table, const WorkspaceId &workspace, TimePoint now)
{
    const auto found = table.workspaces.find(workspace);
    if (found == table.workspaces.end()) {
        return nullptr;
    }
    WorkspaceQuota &quota = found->second;
    chooseHolders(table, workspace, quota);
    const auto share = quota.own ? std::optional(quotaShareOf(quota.limit, table.allowance, quota.holders.size())) : std::nullopt;
    updateBucket(quota.bucket, share, table.epoch, table.lease, now);
    return &quota;
}

/**
 * Begins an epoch after a change of hosts or limits. The buckets that this host holds are brought up to date at once: one that is seldom asked would otherwise
 * lose what accrued before the last change.
 */
void beginEpoch(QuotaTable &table, TimePoint now)
{
    ++table.epoch.number;
    table.epoch.changedAt = now;
    for (const auto &[workspace, quota] : table.workspaces) {
        if (quota.bucket.holds) {
            currentQuota(table, workspace, now);
        }
    }
}

/** Takes a token that was granted in advance. */
bool takeHeldToken(QuotaTable &table, WorkspaceQuota &quota, TimePoint now)
{
    std::erase_if(quota.held, [&](const HeldTokens &held) {
        const bool lapsed = now >= held.expiresAt;
        table.counts.tokensLapsed += lapsed ? held.count : 0;
        return lapsed;
    });
    if (quota.held.empty()) {
        return false;
    }
    if (--quota.held.front().count == 0) {
        quota.held.erase(quota.held.begin());
    }
    return true;
}

bool wasAsked(const QuotaAttempt &attempt, std::uint32_t host)
{
    return std::find(attempt.asked.begin(), attempt.asked.end(), host) != attempt.asked.end();
}

/** Grants a token from the own bucket. */
bool takeOwnToken(QuotaTable &table, WorkspaceQuota &quota, TimePoint now)
{
    QuotaHolder &own = quota.holders[*quota.own];
    if (!mayGrant(table.lease, now)) {
        own.state = HolderState::NoRight;
        own.until = now + silentTime;
        return false;
    }
    const QuotaDecision decision = grantTokens(quota.bucket, 1, now);
    if (decision.tokens == 0) {
        own.state = HolderState::Empty;
        own.until = emptyUntil(now, decision.retryAfter);
        return false;
    }
    ++table.counts.tokensGranted;
    own.state = decision.retryAfter.count() > 0 ? HolderState::Empty : HolderState::Unknown;
    own.until = emptyUntil(now, decision.retryAfter);
    return true;
}

/** @return The holder to ask next, as an index into the holders; empty if there is none. */
std::optional<std::size_t> chooseNext(QuotaTable &table, const WorkspaceQuota &quota, const QuotaAttempt &attempt, TimePoint now)
{
    std::vector<QuotaCandidate> candidates;
    candidates.reserve(quota.holders.size());
    for (std::size_t i = 0; i < quota.holders.size(); ++i) {
        const QuotaHolder &holder = quota.holders[i];
        const QuotaHost &host = table.hosts[holder.host].id;
        const bool known = holder.state != HolderState::Unknown && now < holder.until;
        candidates.push_back({quota.own == i, host.domain == table.domain, !known && !wasAsked(attempt, holder.host)});
    }
    return nextHolder(candidates, nextRandom(table.random));
}

QuotaStep askHolder(QuotaTable &table, const WorkspaceQuota &quota, QuotaAttempt &attempt, std::size_t holder, TimePoint now)
{
    const QuotaPeer &peer = table.hosts[quota.holders[holder].host];
    QuotaStep step;
    step.kind = QuotaStep::Kind::Ask;
    step.holder = peer.endpoint;
    step.holderId = peer.id.host;
    step.wait = quotaAnswerTimeout(peer.id.domain == table.domain);
    step.message = {table.host, attempt.workspace, ++table.lastNumber, tokensToAsk(rateAt(quota.demand, now))};
    table.pending[step.message.number] = {attempt.workspace, peer.id.host, now, now + step.wait};
    ++table.counts.asks;
    ++attempt.asks;
    return step;
}

/** Refuses a request: as over the quota if a holder is known to have no token, and as unknown otherwise. */
QuotaStep refuseRequest(QuotaTable &table, WorkspaceQuota &quota, QuotaAttempt &attempt, TimePoint now)
{
    std::optional<TimePoint> earliest;
    for (const QuotaHolder &holder : quota.holders) {
        const bool empty = holder.state == HolderState::Empty && (now < holder.until || wasAsked(attempt, holder.host));
        if (empty) {
            earliest = std::min(earliest.value_or(holder.until), holder.until);
            ++attempt.empty;
        }
    }
    countEvent(quota.refused, now);
    QuotaStep step;
    if (!earliest) {
        ++table.counts.refusedUnknown;
        step.kind = QuotaStep::Kind::Unknown;
        step.wait = unknownReturnTime;
        return step;
    }
    ++table.counts.refusedEmpty;
    const double equalPart = quota.limit.perSecond / static_cast<double>(table.hosts.size());
    quota.lastReturn = returnTime(quota.lastReturn, *earliest, std::max(rateAt(quota.admitted, now), equalPart), now);
    step.kind = QuotaStep::Kind::Refuse;
    step.wait = std::chrono::ceil<milliseconds>(quota.lastReturn - now);
    return step;
}

/** @return The holder with the identifier @p host; null when it is none any more. */
QuotaHolder *findHolder(const QuotaTable &table, WorkspaceQuota &quota, const HostId &host)
{
    const auto found = std::find_if(quota.holders.begin(), quota.holders.end(), [&](const QuotaHolder &holder) {
        return table.hosts[holder.host].id.host == host;
    });
    return found == quota.holders.end() ? nullptr : &*found;
}

void setHolderState(QuotaTable &table, const PendingAsk &ask, HolderState state, TimePoint until)
{
    const auto quota = table.workspaces.find(ask.workspace);
    if (quota == table.workspaces.end() || quota->second.epoch != table.epoch.number) {
        return;
    }
    if (QuotaHolder *holder = findHolder(table, quota->second, ask.holder); holder != nullptr) {
        holder->state = state;
        holder->until = until;
    }
}

} // namespace

void setQuotaHosts(QuotaTable &table, std::vector<QuotaPeer> hosts, TimePoint now)
{
    if (hosts == table.hosts) {
        return;
    }
    const bool sameHosts = std::equal(hosts.begin(), hosts.end(), table.hosts.begin(), table.hosts.end(), [](const QuotaPeer &a, const QuotaPeer &b) {
        return a.id == b.id;
    });
    table.hosts = std::move(hosts);
    if (!sameHosts) {
        beginEpoch(table, now);
    }
}

void setQuotaLimits(QuotaTable &table, const std::map<WorkspaceId, QuotaLimit> &limits, TimePoint now)
{
    bool changed = false;
    std::erase_if(table.workspaces, [&](const auto &entry) {
        return !limits.contains(entry.first);
    });
    for (const auto &[workspace, limit] : limits) {
        WorkspaceQuota &quota = table.workspaces[workspace];
        changed = changed || quota.limit != limit;
        quota.limit = limit;
    }
    if (changed) {
        beginEpoch(table, now);
    }
}

QuotaGrantMessage answerQuotaRequest(QuotaTable &table, const QuotaRequestMessage &request, TimePoint now)
{
    QuotaGrantMessage answer{table.host, request.workspace, request.number, 0, milliseconds(0)};
    WorkspaceQuota *quota = currentQuota(table, request.workspace, now);
    if (quota == nullptr || !quota->own || !mayGrant(table.lease, now)) {
        ++table.counts.requestsRefusedNoRight;
        return answer;
    }
    const QuotaDecision decision = grantTokens(quota->bucket, request.tokens, now);
    table.counts.tokensGranted += decision.tokens;
    answer.tokens = decision.tokens;
    answer.retryAfter = decision.retryAfter;
    return answer;
}

QuotaAttempt beginAttempt(QuotaTable &table, const WorkspaceId &workspace, TimePoint now)
{
    if (const auto found = table.workspaces.find(workspace); found != table.workspaces.end()) {
        countEvent(found->second.demand, now);
    }
    QuotaAttempt attempt;
    attempt.workspace = workspace;
    attempt.startedAt = now;
    return attempt;
}

QuotaStep nextStep(QuotaTable &table, QuotaAttempt &attempt, TimePoint now)
{
    WorkspaceQuota *quota = currentQuota(table, attempt.workspace, now);
    if (quota == nullptr) {
        return {};
    }
    if (attempt.epoch != table.epoch.number) {
        attempt.epoch = table.epoch.number;
        attempt.asked.clear();
    }
    if (takeHeldToken(table, *quota, now)) {
        recordAdmitted(table, attempt.workspace, now);
        return {};
    }
    while (attempt.asks < maxQuotaAsks && now - attempt.startedAt < maxQuotaWait) {
        const auto chosen = chooseNext(table, *quota, attempt, now);
        if (!chosen) {
            break;
        }
        attempt.asked.push_back(quota->holders[*chosen].host);
        if (quota->own != chosen) {
            return askHolder(table, *quota, attempt, *chosen, now);
        }
        if (takeOwnToken(table, *quota, now)) {
            recordAdmitted(table, attempt.workspace, now);
            return {};
        }
    }
    return refuseRequest(table, *quota, attempt, now);
}

std::optional<unsigned> recordGrant(QuotaTable &table, const QuotaGrantMessage &grant, TimePoint now)
{
    const auto found = table.pending.find(grant.number);
    const bool expected = found != table.pending.end() && found->second.workspace == grant.workspace && found->second.holder == grant.from;
    if (!expected || now >= found->second.deadline) {
        table.counts.tokensLate += grant.tokens;
        return std::nullopt;
    }
    const PendingAsk ask = found->second;
    table.pending.erase(found);
    if (grant.tokens == 0) {
        const bool empty = grant.retryAfter.count() > 0;
        ++(empty ? table.counts.answersEmpty : table.counts.answersNoRight);
        setHolderState(table, ask, empty ? HolderState::Empty : HolderState::NoRight, empty ? emptyUntil(now, grant.retryAfter) : now + silentTime);
        return 0U;
    }
    // The last token of the holder was among them.
    const bool lastToken = grant.retryAfter.count() > 0;
    setHolderState(table, ask, lastToken ? HolderState::Empty : HolderState::Unknown, emptyUntil(now, grant.retryAfter));
    table.counts.tokensReceived += grant.tokens;
    const auto quota = table.workspaces.find(ask.workspace);
    if (grant.tokens > 1 && quota != table.workspaces.end()) {
        quota->second.held.push_back({grant.tokens - 1, ask.sentAt + heldTokenLife});
    }
    return 1U;
}

void recordSilence(QuotaTable &table, std::uint64_t number, TimePoint now)
{
    const auto found = table.pending.find(number);
    if (found == table.pending.end()) {
        return;
    }
    const PendingAsk ask = found->second;
    table.pending.erase(found);
    ++table.counts.silent;
    setHolderState(table, ask, HolderState::Silent, now + silentTime);
}

void recordAdmitted(QuotaTable &table, const WorkspaceId &workspace, TimePoint now)
{
    ++table.counts.admitted;
    if (const auto found = table.workspaces.find(workspace); found != table.workspaces.end()) {
        countEvent(found->second.admitted, now);
    }
}

} // namespace skylark
