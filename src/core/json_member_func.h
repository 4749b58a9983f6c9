/** @file json_member_func.h Reads optional members of JSON objects. */
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylark {

/** @return The object that @p text holds, or nothing when it is not valid JSON or not an object. */
[[nodiscard]] std::optional<boost::json::object> parseJsonObject(std::string_view text);

/** @return The string member @p name, or @p fallback when it is absent or of another kind. */
[[nodiscard]] std::string stringMember(const boost::json::object &object, std::string_view name, std::string_view fallback = {});

/** @return The non-negative integer member @p name, or @p fallback when it is absent, negative or of another kind. */
[[nodiscard]] std::uint64_t numberMember(const boost::json::object &object, std::string_view name, std::uint64_t fallback = 0);

/** @return The number member @p name, or @p fallback when it is absent or of another kind. */
[[nodiscard]] double doubleMember(const boost::json::object &object, std::string_view name, double fallback = 0);

/** @return The boolean member @p name, or @p fallback when it is absent or of another kind. */
[[nodiscard]] bool boolMember(const boost::json::object &object, std::string_view name, bool fallback = false);

/** @return The array member @p name, or an empty array when it is absent or of another kind. */
[[nodiscard]] const boost::json::array &arrayMember(const boost::json::object &object, std::string_view name);

} // namespace skylark
