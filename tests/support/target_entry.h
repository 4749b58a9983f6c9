/** @file target_entry.h Entries of targets in the store, with all fields of the platform's format. */
#pragma once

#include <boost/json.hpp>
#include <string>

namespace skylark::test {

/** @return The entry of a target of @p service at @p address. */
[[nodiscard]] inline boost::json::object targetEntryObject(const std::string &service = "s", const std::string &address = "127.0.0.1:9000")
{
    return {{"service", service},
            {"address", address},
            {"zone", "north"},
            {"version", "v1"},
            {"slots", 4},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"sequence", 1}};
}

/** @return The same with member @p name set to @p value. */
[[nodiscard]] inline boost::json::object targetEntryWith(const std::string &name, boost::json::value value)
{
    boost::json::object entry = targetEntryObject();
    entry[name] = std::move(value);
    return entry;
}

} // namespace skylark::test
