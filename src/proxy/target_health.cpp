/** @file target_health.cpp Health of targets as seen by this host, and the candidate targets of a request. */
#include "core/hash_func.h"
#include "proxy/proxy_base.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace skylark {

namespace {

/** Time that a target is avoided after one failure; short, because most broken answers are isolated. */
constexpr std::chrono::milliseconds firstSuspectTime{400};
constexpr unsigned maxDoublings = 3; ///< Bounds the time at 3.2 s, after which a request tries the target again.
constexpr double sampleWeight = 0.2; ///< Weight of a new sample in a moving average.
constexpr double minSlowness = 1.2; ///< Smaller differences between targets count as noise.
constexpr double maxSlowness = 8.0; ///< Bounds the effect of one target's average.

/** @return Median over the service's targets of the average time to the first answer, in milliseconds; 0 when fewer than three are known. */
double medianFirstAnswer(const Proxy &proxy, const ServiceId &service)
{
    std::vector<double> values;
    for (const auto &[id, entry] : *proxy.fleet->targets) {
        const auto found = proxy.health.find(id);
        if (entry.service == service && found != proxy.health.end() && found->second.firstAnswerMs > 0) {
            values.push_back(found->second.firstAnswerMs);
        }
    }
    if (values.size() < 3) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/** @return Average time to the first answer divided by @p median; 1 when either is unknown or the ratio is below minSlowness. */
double slownessOf(const TargetHealth &health, double median)
{
    if (median <= 0 || health.firstAnswerMs <= 0) {
        return 1.0;
    }
    const double ratio = health.firstAnswerMs / median;
    return ratio < minSlowness ? 1.0 : std::min(ratio, maxSlowness);
}

} // namespace

void recordTargetSuccess(Proxy &proxy, const TargetId &target, std::optional<std::chrono::milliseconds> firstAnswer)
{
    TargetHealth &health = proxy.health[target];
    health.failures = 0;
    health.suspectUntil = TimePoint{};
    if (firstAnswer) {
        const auto sample = std::max(1.0, static_cast<double>(firstAnswer->count()));
        health.firstAnswerMs = health.firstAnswerMs <= 0 ? sample : health.firstAnswerMs + sampleWeight * (sample - health.firstAnswerMs);
    }
}

void recordTargetFailure(Proxy &proxy, const TargetEntry &target)
{
    TargetHealth &health = proxy.health[target.id];
    const TimePoint now = BootClock::now();
    health.suspectUntil = now + firstSuspectTime * (1U << std::min(health.failures, maxDoublings));
    ++health.failures;
    // Other connections to the same address may no longer respond either.
    httpCloseIdle(*proxy.http, target.endpoint, now);
    addCounter(*proxy.metrics, "skylark_target_failures_total", {{"target", target.id.value}});
}

void recordSilence(Proxy &proxy, const TargetEntry &target, std::chrono::milliseconds silence)
{
    if (silence >= doubtfulSilence) {
        httpCloseIdle(*proxy.http, target.endpoint, BootClock::now());
    }
    addCounter(*proxy.metrics, "skylark_target_silences_total", {{"target", target.id.value}});
}

std::vector<BalanceCandidate> candidatesOf(Proxy &proxy, const ServiceId &service, const std::vector<TargetId> &tried, const DomainId &domain)
{
    std::vector<BalanceCandidate> candidates;
    if (!proxy.fleet->targets) {
        return candidates;
    }
    const TimePoint now = BootClock::now();
    const double median = medianFirstAnswer(proxy, service);
    const auto ages = oldestStatusAges(proxy.loadTracker, now);
    for (const auto &[id, entry] : *proxy.fleet->targets) {
        if (entry.service != service || isLeaving(proxy.leavingTargets, entry)) {
            continue;
        }
        const TargetCounts counts = countsOf(proxy.loadTracker, id, now);
        BalanceCandidate candidate{.id = id, .slots = entry.slots, .online = counts.online, .batch = counts.batch, .sameDomain = entry.domain == domain};
        if (const auto age = ages.find(entry.domain); age != ages.end()) {
            candidate.countsAge = age->second;
        }
        candidate.rateLimited = !maySend(proxy.rateLimits, id, StreamKind::Online, now);
        candidate.tried = std::find(tried.begin(), tried.end(), id) != tried.end();
        if (const auto found = proxy.health.find(id); found != proxy.health.end()) {
            candidate.silent = isSilent(found->second.silence, now);
            candidate.suspect = now < found->second.suspectUntil;
            candidate.slowness = slownessOf(found->second, median);
        }
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

std::string promptPartsText(const PromptParts &prompt)
{
    constexpr std::size_t maxParts = 32; // Bounds the length of a log line.
    std::string text;
    for (std::size_t i = 0; i < std::min(prompt.shared.size(), maxParts); ++i) {
        text += i > 0 ? "," : "";
        text += hexText(prompt.shared[i].value);
    }
    if (prompt.shared.size() > maxParts) {
        text += ",+" + std::to_string(prompt.shared.size() - maxParts);
    }
    return text;
}

bool isReady(const Proxy &proxy)
{
    return !proxy.stopping && proxy.fleet->config && proxy.fleet->targets;
}

HttpHeaders endToEndHeaders(const HttpHeaders &headers)
{
    static constexpr std::array hopByHopHeaders{
        "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "TE", "Trailer", "Upgrade", "Expect"};
    std::string connectionTokens;
    for (const HttpHeader &header : headers) {
        if (boost::algorithm::iequals(header.name, "Connection")) {
            connectionTokens.append(connectionTokens.empty() ? "" : ",").append(header.value);
        }
    }
    boost::beast::http::token_list tokens(connectionTokens);
    HttpHeaders kept;
    for (const HttpHeader &header : headers) {
        const bool hopByHop = std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(), [&header](const char *name) {
            return boost::algorithm::iequals(header.name, name);
        });
        if (!hopByHop && !tokens.exists(header.name)) {
            kept.push_back(header);
        }
    }
    return kept;
}

} // namespace skylark
