/** @file kv_platform.cpp The platform's weight store and its target list. */
#include "keyvalue/kv_call_func.h"

#include "core/json_member_func.h"

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

TargetInfo parseTarget(const json::object &object)
{
    TargetInfo info;
    info.id.value = stringMember(object, "id");
    info.kind = stringMember(object, "kind") == "service" ? TargetKind::Service : TargetKind::Engine;
    info.service = stringMember(object, "service");
    info.domain.value = stringMember(object, "domain");
    info.endpoint.address = stringMember(object, "address");
    info.endpoint.port = static_cast<std::uint16_t>(numberMember(object, "port"));
    info.leaving = boolMember(object, "leaving");
    info.checksFencing = boolMember(object, "checks_fencing", true);
    info.orderTimeout = std::chrono::milliseconds(numberMember(object, "order_timeout_ms", 1000));
    return info;
}

} // namespace

asio::awaitable<Result<Done>> reserveWeightFetch(KvClient &client, ModelId model, std::string version)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/weights/fetch";
    request.body = json::serialize(json::object{{"model", model.value}, {"version", version}});
    const auto answer = co_await kvCallForObject(client, KvCallKind::Write, std::move(request));
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    co_return Done{};
}

asio::awaitable<Result<std::vector<TargetInfo>>> platformTargets(KvClient &client)
{
    HttpRequest request;
    request.target = "/hosts";
    const auto answer = co_await kvCallForObject(client, KvCallKind::Read, std::move(request));
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    std::vector<TargetInfo> targets;
    for (const json::value &value : arrayMember(valueOf(answer), "targets")) {
        const json::object *object = value.if_object();
        if (object == nullptr || stringMember(*object, "id").empty()) {
            co_return makeError(ErrorCode::ProtocolError, "entry of the target list has no id");
        }
        targets.push_back(parseTarget(*object));
    }
    co_return targets;
}

} // namespace skylark
