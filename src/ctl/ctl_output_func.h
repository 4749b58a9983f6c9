/** @file ctl_output_func.h Output of skylarkctl: tables, line diffs, and access to values of JSON responses. */
#pragma once

#include <boost/json.hpp>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace skylark {

/** A text table. */
struct Table {
    std::vector<std::string> heading; ///< Column names.
    std::vector<std::vector<std::string>> rows; ///< Cells of each row; missing cells at the end of a row stay blank.
};

/** Prints a table to standard output with aligned columns. */
void printTable(const Table &table);

/** Prints JSON to standard output on one line. */
void printJson(const boost::json::value &value);

/** @return The string at a path of member names; other types are serialized as JSON; empty when the member is missing or null. */
[[nodiscard]] std::string textAt(const boost::json::value &value, std::initializer_list<const char *> path);

/** @return A member as an unsigned integer; 0 when it is missing or not one. */
[[nodiscard]] std::uint64_t numberAt(const boost::json::value &value, const char *name);

/** @return Whether a member is true; false when it is missing. */
[[nodiscard]] bool boolAt(const boost::json::value &value, const char *name);

/** @return A member as an array; empty when it is missing or not an array. */
[[nodiscard]] boost::json::array arrayAt(const boost::json::value &value, const char *name);

/** @return A number with one decimal place. */
[[nodiscard]] std::string formatOneDecimal(double value);

/** @return A Unix time in milliseconds as UTC in the form "2026-01-31 12:00:00Z"; "-" for 0. */
[[nodiscard]] std::string formatTime(std::uint64_t unixMs);

/** @return A line diff with "-", "+" or " " in front of each line, three lines of context, and "..." after each run of lines; empty when the texts are equal.
 */
[[nodiscard]] std::string diffLines(std::string_view before, std::string_view after);

} // namespace skylark
