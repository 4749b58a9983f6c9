/** @file explain_func.h Finds in structured log lines of several hosts what happened to one request, job or item. */
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace skylark {

/** One line of the structured log. */
struct LogLine {
    std::int64_t timeMs{0}; ///< Wall clock time in Unix milliseconds.
    std::string host; ///< Host.
    std::string event; ///< Event.
    std::string id; ///< Request, job or item; empty for none.
    boost::json::object fields; ///< All fields.
    bool context{false}; ///< Whether the line is about a target or dependency that the request met, not about the request itself.
};

/** What happened to one request, job or item. */
struct Story {
    std::vector<LogLine> lines; ///< Lines in the order of time.
    std::string cause; ///< Cause in one sentence, as far as the lines tell.
};

/** @return The log line in @p text, which may have a prefix of its own; a line without event when there is none. */
[[nodiscard]] LogLine parseLogLine(std::string_view text);

/**
 * Collects the lines about @p id: those that bear it, those of the items of a job, and the changes of targets, dependencies and configurations that the
 * hosts of these lines saw shortly before.
 */
[[nodiscard]] Story explain(const std::vector<LogLine> &lines, std::string_view id);

/** Reads all log lines of @p in; other lines are left out. */
void readLogLines(std::istream &in, std::vector<LogLine> &lines);

/** @return @p line as text for a terminal; control characters are escaped. */
[[nodiscard]] std::string formatLogLine(const LogLine &line, std::int64_t begin);

} // namespace skylark
