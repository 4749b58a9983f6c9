/** @file kv_platform.cpp The platform's weight store and its target list. */
#include "keyvalue/kv_call_func.h"

#include "core/json_member_func.h"

#include <boost/asio/ip/address.hpp>
#include <limits>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/** @return The error of an entry of the target list whose field @p name is missing or invalid. */
Error invalidField(const TargetInfo &info, std::string_view name)
{
    Error error = makeError(ErrorCode::InvalidDocument, "entry of target '" + info.id.value + "' has no valid " + std::string(name));
    error.param = name;
    return error;
}

/** @return Whether member @p name is absent or a boolean. */
bool isOptionalBool(const json::object &object, std::string_view name)
{
    const json::value *member = object.if_contains(name);
    return member == nullptr || member->is_bool();
}

/** @return The target of an entry of the list, or InvalidDocument with the name of a field that is missing or invalid. */
Result<TargetInfo> parseTarget(const json::object &object)
{
    TargetInfo info;
    info.id.value = stringMember(object, "id");
    const std::string kind = stringMember(object, "kind");
    info.kind = kind == "service" ? TargetKind::Service : TargetKind::Engine;
    info.service = stringMember(object, "service");
    info.domain.value = stringMember(object, "domain");
    info.endpoint.address = stringMember(object, "address");
    const std::uint64_t port = numberMember(object, "port");
    info.endpoint.port = static_cast<std::uint16_t>(port);
    info.leaving = boolMember(object, "leaving");
    info.checksFencing = boolMember(object, "checks_fencing", true);
    info.orderTimeout = std::chrono::milliseconds(numberMember(object, "order_timeout_ms", 1000));
    if (info.id.empty()) {
        return invalidField(info, "id");
    }
    if (kind != "service" && kind != "engine") {
        return invalidField(info, "kind");
    }
    if (info.kind == TargetKind::Service && info.service.empty()) {
        return invalidField(info, "service");
    }
    if (info.domain.empty()) {
        return invalidField(info, "domain");
    }
    boost::system::error_code notNumeric;
    asio::ip::make_address(info.endpoint.address, notNumeric);
    if (notNumeric) {
        return invalidField(info, "address");
    }
    if (port == 0 || port > std::numeric_limits<std::uint16_t>::max()) {
        return invalidField(info, "port");
    }
    if (!isOptionalBool(object, "leaving") || !isOptionalBool(object, "checks_fencing")) {
        return invalidField(info, isOptionalBool(object, "leaving") ? "checks_fencing" : "leaving");
    }
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

asio::awaitable<Result<PlatformTargets>> platformTargets(KvClient &client)
{
    HttpRequest request;
    request.target = "/hosts";
    const auto answer = co_await kvCallForObject(client, KvCallKind::Read, std::move(request));
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    PlatformTargets list;
    for (const json::value &value : arrayMember(valueOf(answer), "targets")) {
        const json::object *object = value.if_object();
        auto target = object != nullptr ? parseTarget(*object) : Result<TargetInfo>(invalidField({}, "fields"));
        if (isOk(target)) {
            list.targets.push_back(std::move(valueOf(target)));
        } else {
            list.refused.push_back(errorOf(target));
        }
    }
    co_return list;
}

} // namespace skylark
