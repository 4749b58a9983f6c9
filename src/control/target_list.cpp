/** @file target_list.cpp Reads the platform's target list and exchanges it with peers. */
#include "control/controller_func.h"
#include "policy/fleet_size_func.h"

#include <exception>
#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

json::object targetToJson(const TargetInfo &target)
{
    return {{"id", target.id.value},
            {"kind", target.kind == TargetKind::Engine ? "engine" : "service"},
            {"service", target.service},
            {"domain", target.domain.value},
            {"address", target.endpoint.address},
            {"port", target.endpoint.port},
            {"leaving", target.leaving},
            {"checksFencing", target.checksFencing},
            {"orderTimeoutMs", target.orderTimeout.count()}};
}

std::string textOf(const json::object &object, json::string_view name)
{
    return json::value_to<std::string>(object.at(name));
}

TargetInfo targetFromJson(const json::object &object)
{
    TargetInfo target;
    target.id = TargetId{textOf(object, "id")};
    target.kind = textOf(object, "kind") == "engine" ? TargetKind::Engine : TargetKind::Service;
    target.service = textOf(object, "service");
    target.domain = DomainId{textOf(object, "domain")};
    target.endpoint = {textOf(object, "address"), object.at("port").to_number<std::uint16_t>()};
    target.leaving = object.at("leaving").as_bool();
    target.checksFencing = object.at("checksFencing").as_bool();
    target.orderTimeout = std::chrono::milliseconds(object.at("orderTimeoutMs").to_number<std::int64_t>());
    return target;
}

} // namespace

std::string targetsToJson(const std::vector<TargetInfo> &list)
{
    json::array targets;
    for (const TargetInfo &target : list) {
        targets.emplace_back(targetToJson(target));
    }
    return json::serialize(targets);
}

Result<std::vector<TargetInfo>> targetsFromJson(std::string_view text)
{
    try {
        const json::value targets = json::parse(json::string_view(text.data(), text.size()));
        std::vector<TargetInfo> list;
        for (const json::value &target : targets.as_array()) {
            list.push_back(targetFromJson(target.as_object()));
        }
        return list;
    } catch (const std::exception &problem) {
        return makeError(ErrorCode::ProtocolError, std::string("target list: ") + problem.what());
    }
}

void applyTargetList(const ControlPtr &control, std::vector<TargetInfo> list)
{
    std::map<TargetId, ControlTarget> next;
    for (const TargetInfo &info : list) {
        if (info.domain != control->self.domain) {
            continue;
        }
        const auto known = control->targets.find(info.id);
        const bool same = known != control->targets.end() && known->second.info.endpoint == info.endpoint && known->second.info.kind == info.kind
                          && known->second.info.service == info.service;
        if (!same) {
            // A different address or service means a different process, so the state of the old one is discarded.
            LOG(INFO) << "[place] target " << info.id.value << " at " << info.endpoint.address << ":" << info.endpoint.port << " is listed";
            next[info.id].info = info;
            continue;
        }
        next[info.id] = std::move(known->second);
        next[info.id].info = info;
    }
    for (const auto &[id, target] : control->targets) {
        if (!next.contains(id)) {
            LOG(INFO) << "[place] target " << id.value << " is no longer listed";
        }
    }
    control->targets = std::move(next);
    control->targetList = std::move(list);
    if (!control->targetsKnown) {
        control->targetsKnownAt = BootClock::now();
    }
    control->targetsKnown = true;
    control->ownersOutdated = true;
    evaluateTargets(control);
    publishSoon(control);
}

asio::awaitable<void> runTargetList(ControlPtr control)
{
    while (!control->sessionEnded) {
        co_await acquirePlatformCall(control);
        auto list = co_await platformTargets(*control->kv);
        recordPlatformResult(*control);
        if (isOk(list)) {
            for (const Error &error : valueOf(list).refused) {
                LOG(WARNING) << "[place] " << error.detail << "; it names no target";
                addCounter(*control->context.metrics, "skylark_target_entries_refused_total", {{"field", error.param}});
            }
            applyTargetList(control, std::move(valueOf(list).targets));
        }
        // During an outage the last list is kept; targets that disappear are detected by refused connections.
        const std::chrono::nanoseconds interval = hostListInterval(control->targetList.size(), control->context.settings->hostListInterval);
        co_await pauseFor(control, interval - interval / 10 + randomBelow(*control, interval / 5));
    }
}

} // namespace skylark
