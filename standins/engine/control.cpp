/** @file control.cpp Control calls of the engine stand-in: faults and counters. */
#include "engine_base.h"

#include <algorithm>
#include <cmath>

namespace skylark::standin {

namespace json = boost::json;

namespace {

/** Makes all open connections silent, except the one that this request came on. */
void silenceConnections(Engine &engine, const HttpResponder &responder)
{
    for (auto &[connection, silent] : engine.connections) {
        silent = silent || connection.lock() != responder.connection;
    }
}

HttpResponse setFaults(Engine &engine, const HttpRequest &request, const HttpResponder &responder)
{
    const auto body = parseJsonObject(request.body);
    if (!body) {
        return errorResponse(400, "invalid_request", "faults must be a JSON object", true);
    }
    EngineFaults &faults = engine.faults;
    faults.dieOn = stringMember(*body, "die_on", faults.dieOn);
    faults.rejectOn = stringMember(*body, "reject_on", faults.rejectOn);
    faults.failOn = stringMember(*body, "fail_on", faults.failOn);
    faults.draining = boolMember(*body, "draining", faults.draining);
    faults.slowFactor = doubleMember(*body, "slow_factor", faults.slowFactor);
    faults.cutAfterTokens = static_cast<unsigned>(numberMember(*body, "cut_after_tokens", faults.cutAfterTokens));
    faults.wrongId = boolMember(*body, "wrong_id", faults.wrongId);
    if (boolMember(*body, "silent")) {
        silenceConnections(engine, responder);
    }
    sampleLoad(engine);
    return jsonResponse(200, json::object());
}

json::object userStats(const EngineCounts &counts)
{
    json::object users;
    for (const auto &[user, count] : counts.users) {
        json::object entry;
        entry["started"] = count.started;
        entry["finished"] = count.finished;
        entry["tokens"] = count.tokens;
        users[user] = std::move(entry);
    }
    return users;
}

/** @return The quantile by the nearest-rank method; 0 without values. */
double quantile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    return values[std::max<std::size_t>(rank, 1) - 1];
}

json::object waitStats(const std::vector<double> &values)
{
    json::object object;
    object["count"] = values.size();
    object["p50"] = quantile(values, 0.5);
    object["p95"] = quantile(values, 0.95);
    object["p99"] = quantile(values, 0.99);
    object["max"] = quantile(values, 1);
    return object;
}

HttpResponse stats(const Engine &engine, bool withUsers, bool withWaits)
{
    const EngineCounts &counts = engine.counts;
    json::object body;
    body["started"] = counts.started;
    body["finished"] = counts.finished;
    body["cancelled"] = counts.cancelled;
    body["refused"] = counts.refused;
    body["tokens"] = counts.tokens;
    body["tokens_regenerated"] = counts.tokensRegenerated;
    body["prefill_tokens"] = counts.prefillTokens;
    body["cached_tokens"] = counts.cachedTokens;
    body["steps"] = counts.steps;
    body["step_ms"] = engine.stepMs;
    body["online_tokens"] = counts.onlineTokens;
    body["online_wait_ms"] = waitStats(counts.onlineWaitMs);
    body["yield_ms_p99"] = quantile(counts.onlineWaitMs, 0.99);
    if (withWaits) {
        body["online_waits"] = json::array(counts.onlineWaitMs.begin(), counts.onlineWaitMs.end());
    }
    body["max_waiting"] = counts.maxWaiting;
    body["running"] = engine.running.size();
    body["waiting"] = engine.waiting.size();
    body["orders"] = engine.orders;
    body["orders_refused"] = counts.ordersRefused;
    body["role"] = engine.role;
    if (withUsers) {
        body["users"] = userStats(counts);
    }
    return jsonResponse(200, body);
}

} // namespace

std::optional<HttpResponse> handleControl(Engine &engine, const HttpRequest &request, const HttpResponder &responder)
{
    const std::string_view path = targetPath(request.target);
    if (path == "/faults" && request.method == "POST") {
        return setFaults(engine, request, responder);
    }
    if (path == "/stats") {
        return stats(engine, queryParameter(request.target, "users") != "0", queryParameter(request.target, "waits") == "1");
    }
    return std::nullopt;
}

} // namespace skylark::standin
