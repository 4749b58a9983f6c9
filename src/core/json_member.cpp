/** @file json_member.cpp Reads optional members of JSON objects. */
#include "core/json_member_func.h"

namespace skylark {

namespace json = boost::json;

std::optional<json::object> parseJsonObject(std::string_view text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

std::string stringMember(const json::object &object, std::string_view name, std::string_view fallback)
{
    const json::value *member = object.if_contains(name);
    return std::string(member != nullptr && member->is_string() ? std::string_view(member->get_string()) : fallback);
}

std::uint64_t numberMember(const json::object &object, std::string_view name, std::uint64_t fallback)
{
    const json::value *member = object.if_contains(name);
    if (member == nullptr) {
        return fallback;
    }
    if (member->is_uint64()) {
        return member->get_uint64();
    }
    return member->is_int64() && member->get_int64() >= 0 ? static_cast<std::uint64_t>(member->get_int64()) : fallback;
}

double doubleMember(const json::object &object, std::string_view name, double fallback)
{
    const json::value *member = object.if_contains(name);
    return member != nullptr && member->is_number() ? member->to_number<double>() : fallback;
}

bool boolMember(const json::object &object, std::string_view name, bool fallback)
{
    const json::value *member = object.if_contains(name);
    return member != nullptr && member->is_bool() ? member->get_bool() : fallback;
}

const json::array &arrayMember(const json::object &object, std::string_view name)
{
    static const json::array none;
    const json::value *member = object.if_contains(name);
    return member != nullptr && member->is_array() ? member->get_array() : none;
}

} // namespace skylark
