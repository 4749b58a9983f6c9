/** @file request_quotas.cpp Admits requests by the quotas of their workspaces, and grants tokens to other hosts; used on the traffic thread only. */
#include "quota/request_quotas_base.h"

#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "policy/request_quota_func.h"
#include "quota/quota_table_func.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

milliseconds since(TimePoint time, TimePoint now)
{
    return std::chrono::duration_cast<milliseconds>(now - time);
}

/** Sends a request for tokens and waits for the answer. @return Tokens for the request; 0 when the holder has none or does not answer in time. */
asio::awaitable<unsigned> askForToken(std::shared_ptr<RequestQuotas> quotas, const QuotaStep &step)
{
    const auto wait = std::make_shared<QuotaWait>(QuotaWait{asio::steady_timer(quotas->executor), {}});
    const std::uint64_t number = step.message.number;
    quotas->waits[number] = wait;
    wait->timer.expires_after(step.wait);
    quotas->sendRequest(step.message, step.holder);
    co_await wait->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    quotas->waits.erase(number);
    if (!wait->tokens) {
        recordSilence(quotas->table, number, BootClock::now());
    }
    co_return wait->tokens.value_or(0);
}

/** Logs a refusal with what decided it. */
QuotaVerdict refusal(const RequestQuotas &quotas, const QuotaAttempt &attempt, const QuotaStep &step, const RequestId &id, TimePoint now)
{
    QuotaVerdict verdict;
    const bool overQuota = step.kind == QuotaStep::Kind::Refuse;
    verdict.status = overQuota ? statusTooManyRequests : statusUnavailable;
    verdict.reason = overQuota ? "quota" : "quota_unknown";
    verdict.retryAfter = step.wait;
    verdict.waited = since(attempt.startedAt, now);
    const auto found = quotas.table.workspaces.find(attempt.workspace);
    const bool known = found != quotas.table.workspaces.end();
    logSampled(EventKind::QuotaRefused,
               id.value,
               {{"workspace", attempt.workspace.value},
                {"reason", verdict.reason},
                {"per_second", known ? found->second.limit.perSecond : 0.0},
                {"burst", known ? found->second.limit.burst : 0.0},
                {"holders", known ? found->second.holders.size() : std::size_t{0}},
                {"empty", attempt.empty},
                {"asks", attempt.asks},
                {"hosts", quotas.table.hosts.size()},
                {"hosts_age_ms", since(quotas.table.epoch.changedAt, now).count()},
                {"waited_ms", verdict.waited.count()},
                {"retry_after_ms", verdict.retryAfter.count()},
                {"config", quotas.config.value}});
    return verdict;
}

} // namespace

std::shared_ptr<RequestQuotas> RequestQuotas::create(
    asio::any_io_executor executor, HostId host, DomainId domain, QuotaAllowance allowance, const SessionId &session)
{
    auto quotas = std::make_shared<RequestQuotas>();
    quotas->executor = std::move(executor);
    quotas->table.host = std::move(host);
    quotas->table.domain = std::move(domain);
    quotas->table.allowance = allowance;
    quotas->table.random = hash64(session.value);
    quotas->table.lastNumber = nextRandom(quotas->table.random);
    return quotas;
}

asio::awaitable<QuotaVerdict> admitRequest(std::shared_ptr<RequestQuotas> quotas, WorkspaceId workspace, RequestId id)
{
    if (!quotas || workspace.empty() || !quotas->table.workspaces.contains(workspace)) {
        co_return QuotaVerdict{};
    }
    QuotaAttempt attempt = beginAttempt(quotas->table, workspace, BootClock::now());
    for (;;) {
        const TimePoint now = BootClock::now();
        const QuotaStep step = nextStep(quotas->table, attempt, now);
        if (step.kind == QuotaStep::Kind::Refuse || step.kind == QuotaStep::Kind::Unknown) {
            co_return refusal(*quotas, attempt, step, id, now);
        }
        bool admitted = step.kind == QuotaStep::Kind::Admit;
        if (!admitted && co_await askForToken(quotas, step) > 0) {
            recordAdmitted(quotas->table, workspace, BootClock::now());
            admitted = true;
        }
        if (admitted) {
            QuotaVerdict verdict;
            verdict.waited = since(attempt.startedAt, BootClock::now());
            co_return verdict;
        }
    }
}

void applyQuotaSnapshot(RequestQuotas &quotas, const FleetSnapshot &snapshot)
{
    const TimePoint now = BootClock::now();
    std::vector<QuotaPeer> hosts;
    if (snapshot.peersKnown) {
        hosts.push_back({{quotas.table.host, quotas.table.domain}, {}});
        for (const PeerEntry &peer : snapshot.peers) {
            hosts.push_back({{peer.host, peer.domain}, peer.endpoint});
        }
    }
    setQuotaHosts(quotas.table, std::move(hosts), now);
    if (!snapshot.config || snapshot.config->version == quotas.config) {
        return;
    }
    quotas.config = snapshot.config->version;
    std::map<WorkspaceId, QuotaLimit> limits;
    if (snapshot.config->workspaces) {
        for (const WorkspaceRule &workspace : *snapshot.config->workspaces) {
            if (workspace.ratePerSecond > 0) {
                limits[workspace.id] = {workspace.ratePerSecond, workspace.burst};
            }
        }
    }
    setQuotaLimits(quotas.table, limits, now);
}

void setHostLease(RequestQuotas &quotas, const HostLease &lease)
{
    if (quotas.stopped) {
        return;
    }
    const TimePoint now = BootClock::now();
    const HostLease before = quotas.table.lease;
    quotas.table.lease = lease;
    const bool held = before.entry != 0 && now < before.provedUntil;
    const bool holds = now < lease.provedUntil;
    const bool matters = !quotas.table.workspaces.empty();
    if (matters && (lease.entry != before.entry || held != holds)) {
        logEvent(EventKind::QuotaRight,
                 {},
                 {{"state", holds ? "proved" : "ended"},
                  {"entry", lease.entry},
                  {"proved_for_ms", std::max<std::int64_t>(since(now, lease.provedUntil).count(), 0)},
                  {"grants_in_ms", std::max<std::int64_t>(since(now, lease.grantsFrom).count(), 0)}});
    }
}

void stopGranting(RequestQuotas &quotas)
{
    HostLease ended = quotas.table.lease;
    ended.provedUntil = TimePoint{};
    setHostLease(quotas, ended);
    quotas.stopped = true;
}

void handleQuotaRequest(RequestQuotas &quotas, const QuotaRequestMessage &request, const Endpoint &sender)
{
    quotas.sendGrant(answerQuotaRequest(quotas.table, request, BootClock::now()), sender);
}

void handleQuotaGrant(RequestQuotas &quotas, const QuotaGrantMessage &grant)
{
    const auto tokens = recordGrant(quotas.table, grant, BootClock::now());
    const auto wait = quotas.waits.find(grant.number);
    if (tokens && wait != quotas.waits.end()) {
        wait->second->tokens = tokens;
        wait->second->timer.cancel();
    }
}

} // namespace skylark
