/** @file stream_continuation.cpp Keeps a stream at the software version that began it, within an answer and over the attempts of its caller. */
#include "core/event_log_func.h"
#include "policy/stream_origin_func.h"
#include "proxy/forwarding_base.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;

namespace {

bool isResumableStream(const RouteRule &route)
{
    return route.kind == CallKind::Stream && route.resumable;
}

/** @return Whether the caller already has the beginning of the stream. */
bool isResumedByCaller(const ProxyCall &call)
{
    return call.lastEventId > 0 || !call.resumes.empty();
}

/** @return Key under which the origin of the stream is recorded; empty for a stream that was resumed without naming the attempt that began it. */
std::optional<std::uint64_t> recordKeyOf(const ProxyCall &call)
{
    if (!isResumedByCaller(call)) {
        return streamKey(call.id);
    }
    return call.resumes.empty() ? std::nullopt : std::optional(streamKey(call.resumes));
}

ServiceVersion versionOfTarget(const Forwarding &forwarding, const TargetId &target)
{
    return versionOf(forwarding.proxy->fleet->targets->at(target));
}

/**
 * Removes candidates whose version is not listed in the registry, where others are: if this host ended, no other could tell that the version has served.
 */
void preferListedVersions(const Forwarding &forwarding, std::vector<BalanceCandidate> &candidates)
{
    const auto &listed = forwarding.proxy->fleet->listedVersions;
    const auto isListed = [&](const BalanceCandidate &candidate) {
        return listed && listed->contains(versionOfTarget(forwarding, candidate.id));
    };
    if (std::any_of(candidates.begin(), candidates.end(), isListed)) {
        std::erase_if(candidates, [&](const BalanceCandidate &candidate) {
            return !isListed(candidate);
        });
    }
}

/** Collects what is known of the origin of a stream that the caller resumes. */
asio::awaitable<OriginEvidence> collectEvidence(Forwarding &forwarding)
{
    Proxy &proxy = *forwarding.proxy;
    OriginEvidence evidence;
    const auto key = recordKeyOf(forwarding.call);
    if (key) {
        evidence.recorded = recordedOrigin(proxy.origins, *key, BootClock::now());
        if (!evidence.recorded && proxy.originSources.askHosts) {
            evidence.recorded = co_await proxy.originSources.askHosts(*key);
        }
    }
    if (evidence.recorded || !proxy.originSources.readStore) {
        co_return evidence;
    }
    auto stored = co_await proxy.originSources.readStore();
    if (isOk(stored)) {
        const auto &records = valueOf(stored).records;
        const auto found = key ? records.find(*key) : records.end();
        evidence.recorded = found != records.end() ? std::optional(found->second) : std::nullopt;
        evidence.served = std::move(valueOf(stored).versions);
    }
    co_return evidence;
}

} // namespace

std::vector<BalanceCandidate> candidatesFor(const Forwarding &forwarding)
{
    auto candidates = candidatesOf(*forwarding.proxy, forwarding.service, forwarding.tried, forwarding.domain);
    if (!isResumableStream(*forwarding.route)) {
        return candidates;
    }
    if (!forwarding.origin) {
        preferListedVersions(forwarding, candidates);
        return candidates;
    }
    std::erase_if(candidates, [&forwarding](const BalanceCandidate &candidate) {
        return !mayContinueAt(forwarding.origin, versionOfTarget(forwarding, candidate.id));
    });
    return candidates;
}

bool isVersionGone(const Forwarding &forwarding)
{
    if (!forwarding.origin) {
        return false;
    }
    std::vector<ServiceVersion> accepting;
    for (const BalanceCandidate &candidate : candidatesOf(*forwarding.proxy, forwarding.service, {}, forwarding.domain)) {
        accepting.push_back(versionOfTarget(forwarding, candidate.id));
    }
    return outlookOf(*forwarding.origin, accepting) == ContinuationOutlook::VersionGone;
}

void beginStream(Forwarding &forwarding)
{
    if (!isResumableStream(*forwarding.route)) {
        return;
    }
    if (forwarding.relaying) {
        return; // The host that runs it records its version.
    }
    forwarding.origin = forwarding.targetVersion;
    const auto key = recordKeyOf(forwarding.call);
    if (!key) {
        return;
    }
    recordOrigin(forwarding.proxy->origins, *key, *forwarding.origin, BootClock::now());
    if (forwarding.proxy->originSources.announce) {
        forwarding.proxy->originSources.announce(*key, *forwarding.origin);
    }
}

asio::awaitable<std::string_view> resolveOrigin(Forwarding &forwarding)
{
    if (!isResumableStream(*forwarding.route) || !isResumedByCaller(forwarding.call)) {
        co_return std::string_view();
    }
    const OriginEvidence evidence = co_await collectEvidence(forwarding);
    std::vector<ServiceId> services;
    for (const WeightedService &entry : forwarding.route->services) {
        services.push_back(entry.service);
    }
    const OriginDecision decision = findOrigin(evidence, services);
    addCounter(*forwarding.proxy->metrics, "skylark_caller_resumes_total", {{"origin", originReasonName(decision.reason)}});
    logEvent(EventKind::CallerResumed,
             forwarding.call.id.value,
             {{"route", forwarding.route->name},
              {"resumes", forwarding.call.resumes.value},
              {"after", forwarding.call.lastEventId},
              {"origin", originReasonName(decision.reason)},
              {"service", decision.origin ? decision.origin->service.value : std::string()},
              {"version", decision.origin ? decision.origin->version.value : std::string()},
              {"took_ms", elapsedSince(forwarding.arrivedAt).count()}});
    if (!decision.origin) {
        co_return "origin_unknown";
    }
    if (std::find(services.begin(), services.end(), decision.origin->service) == services.end()) {
        co_return "service_changed";
    }
    forwarding.origin = decision.origin;
    forwarding.service = decision.origin->service;
    co_return std::string_view();
}

} // namespace skylark
