/** @file control.cpp Control calls of the platform stand-in: faults, targets and counters. */
#include "platform_base.h"

namespace skylark::standin {

namespace json = boost::json;

namespace {

DownMode downModeOf(std::string_view name)
{
    return name == "close" ? DownMode::Close : name == "hang" ? DownMode::Hang : DownMode::Refuse;
}

HttpResponse setFaults(Platform &platform, const HttpRequest &request)
{
    const auto body = parseJsonObject(request.body);
    if (!body) {
        return errorResponse(400, "invalid_request", "faults must be a JSON object", true);
    }
    PlatformFaults &faults = platform.faults;
    faults.down = boolMember(*body, "down", faults.down);
    if (body->contains("down_mode")) {
        faults.downMode = downModeOf(stringMember(*body, "down_mode"));
    }
    faults.slow = std::chrono::milliseconds(numberMember(*body, "slow_ms", static_cast<std::uint64_t>(faults.slow.count())));
    faults.slowWrites = std::chrono::milliseconds(numberMember(*body, "slow_writes_ms", static_cast<std::uint64_t>(faults.slowWrites.count())));
    faults.dropWrites = doubleMember(*body, "drop_writes", faults.dropWrites);
    faults.loseAnswers = doubleMember(*body, "lose_answers", faults.loseAnswers);
    faults.randomState = numberMember(*body, "seed", faults.randomState);
    if (body->contains("rate_limit")) {
        platform.callLimit = {doubleMember(*body, "rate_limit"), doubleMember(*body, "rate_limit"), std::chrono::steady_clock::now()};
    }
    if (body->contains("weights_per_second")) {
        const double rate = doubleMember(*body, "weights_per_second");
        platform.weightsLimit = {rate, rate, std::chrono::steady_clock::now()};
    }
    platform.hostLag = std::chrono::milliseconds(numberMember(*body, "host_lag_ms", static_cast<std::uint64_t>(platform.hostLag.count())));
    platform.wake.cancel();
    return jsonResponse(200, json::object());
}

/** Removes a target, or creates it if it is missing and sets the members that are given. */
void updateTarget(std::map<std::string, json::object> &targets, const json::object &change)
{
    const std::string id = stringMember(change, "id");
    if (boolMember(change, "removed")) {
        targets.erase(id);
        return;
    }
    for (const auto &member : change) {
        targets[id][member.key()] = member.value();
    }
}

HttpResponse setTargets(Platform &platform, const HttpRequest &request)
{
    boost::system::error_code error;
    const json::value body = json::parse(request.body, error);
    if (error || !body.is_array()) {
        return errorResponse(400, "invalid_request", "targets must be a JSON array", true);
    }
    TargetList next;
    next.since = std::chrono::steady_clock::now();
    if (!platform.targetLists.empty()) {
        next.targets = platform.targetLists.back().targets;
    }
    for (const json::value &value : body.get_array()) {
        if (!value.is_object() || stringMember(value.get_object(), "id").empty()) {
            return errorResponse(400, "invalid_request", "each target must be an object with a non-empty \"id\"", true);
        }
        updateTarget(next.targets, value.get_object());
    }
    platform.targetLists.push_back(std::move(next));
    return jsonResponse(200, json::object());
}

json::object countsOf(const std::map<std::string, std::uint64_t> &counts)
{
    json::object object;
    for (const auto &[name, count] : counts) {
        object[name] = count;
    }
    return object;
}

HttpResponse stats(const Platform &platform)
{
    const PlatformCounts &counts = platform.counts;
    json::object body;
    body["reads"] = counts.reads;
    body["writes"] = counts.writes;
    body["watches"] = counts.watches;
    body["watching"] = counts.watching;
    body["refused"] = counts.refused;
    body["lost"] = counts.lost;
    body["dropped"] = counts.dropped;
    body["weight_fetches"] = counts.weightFetches;
    body["weights_refused"] = counts.weightsRefused;
    body["writes_by_prefix"] = countsOf(counts.writesByPrefix);
    body["reads_by_prefix"] = countsOf(counts.readsByPrefix);
    body["keys"] = platform.store.keys.size();
    body["leases"] = platform.store.leases.size();
    body["cursor"] = platform.store.lastEvent;
    return jsonResponse(200, body);
}

} // namespace

std::optional<HttpResponse> handleControl(Platform &platform, const HttpRequest &request)
{
    const std::string_view path = targetPath(request.target);
    if (path == "/faults" && request.method == "POST") {
        return setFaults(platform, request);
    }
    if (path == "/targets" && request.method == "POST") {
        return setTargets(platform, request);
    }
    if (path == "/stats") {
        return stats(platform);
    }
    return std::nullopt;
}

HttpResponse servedTargets(Platform &platform, SteadyTime now)
{
    while (platform.targetLists.size() > 1 && platform.targetLists[1].since + platform.hostLag <= now) {
        platform.targetLists.pop_front();
    }
    json::array targets;
    if (!platform.targetLists.empty() && platform.targetLists.front().since + platform.hostLag <= now) {
        for (const auto &[id, target] : platform.targetLists.front().targets) {
            targets.push_back(target);
        }
    }
    json::object body;
    body["targets"] = std::move(targets);
    return jsonResponse(200, body);
}

} // namespace skylark::standin
