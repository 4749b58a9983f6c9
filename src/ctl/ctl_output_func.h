/** @file ctl_output_func.h Output of skylarkctl: tables, differences, values of JSON answers. */
#pragma once

#include <boost/json.hpp>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace skylark {

/** A table with a heading. */
struct Table {
    std::vector<std::string> heading; ///< Column names.
    std::vector<std::vector<std::string>> rows; ///< Cells.
};

/** Prints a table with aligned columns. */
void printTable(const Table &table);

/** Prints JSON with a line end. */
void printJson(const boost::json::value &value);

/** @return The text of a nested member; numbers and flags are written out; empty when there is none. */
[[nodiscard]] std::string textAt(const boost::json::value &value, std::initializer_list<const char *> path);

/** @return A member as a number; 0 when there is none. */
[[nodiscard]] std::uint64_t numberAt(const boost::json::value &value, const char *name);

/** @return Whether a member is true. */
[[nodiscard]] bool flagAt(const boost::json::value &value, const char *name);

/** @return A member as an array; empty when there is none. */
[[nodiscard]] boost::json::array arrayAt(const boost::json::value &value, const char *name);

/** @return A number with one decimal. */
[[nodiscard]] std::string oneDecimal(double value);

/** @return A Unix time in milliseconds as "2026-01-31 12:00:00Z". */
[[nodiscard]] std::string formatTime(std::uint64_t unixMs);

/** @return A line difference with "-", "+" and " " in front of each line and three lines of context; empty when the texts are equal. */
[[nodiscard]] std::string lineDifference(std::string_view before, std::string_view after);

} // namespace skylark
