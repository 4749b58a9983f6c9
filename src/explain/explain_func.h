/** @file explain_func.h Explains what happened to one request, job or item from the structured log lines of several hosts. */
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
    std::int64_t timeMs{0}; ///< Unix time in milliseconds by the clock of the host.
    std::string host; ///< Host that wrote the line.
    std::string event; ///< Event name; empty when the text held no log line.
    std::string id; ///< Identifier of the event's subject, such as a request, job, item or target; empty for none.
    boost::json::object fields; ///< All fields, with those above.
    bool context{false}; ///< Whether the line is about a target, host or dependency that the request used, not about the request itself.
};

/** Result of explain(). */
struct Explanation {
    std::vector<LogLine> lines; ///< Related lines in order of time.
    std::string cause; ///< Most likely cause of the outcome, or why none was found.
};

/** Parses a log line; other text before its JSON object is ignored. @return The line; its event is empty when @p text holds no log line. */
[[nodiscard]] LogLine parseLogLine(std::string_view text);

/**
 * Explains what happened to the request, job or item @p id. The explanation holds the lines with this identifier, the lines of a job's items, and changes of
 * targets, dependencies and configurations that the same hosts logged shortly before.
 */
[[nodiscard]] Explanation explain(const std::vector<LogLine> &lines, std::string_view id);

/** Appends all log lines in @p in to @p lines; other lines are skipped. */
void readLogLines(std::istream &in, std::vector<LogLine> &lines);

/** @return @p line as text for a terminal, without control characters. @param begin Time that is shown as 0 ms, in Unix milliseconds. */
[[nodiscard]] std::string formatLogLine(const LogLine &line, std::int64_t begin);

} // namespace skylark
