/** @file ctl_type.h Types shared by the commands of skylarkctl. */
#pragma once

#include "core/result_type.h"
#include "http/http_type.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace skylark {

/** Exit code of skylarkctl. */
enum class ExitCode : std::uint8_t {
    Ok = 0,
    Refused = 1, ///< A host refused the request, or a wait ended without success.
    Usage = 2, ///< Invalid command line, or a file that cannot be read.
    Unreachable = 3, ///< No host answered, or none is ready or can reach the key-value service.
    Conflict = 4, ///< The document or job was changed by another request (HTTP status 409).
};

/** Parsed command line. */
struct CtlOptions {
    std::vector<Endpoint> admin; ///< Admin addresses of hosts, tried in order.
    std::vector<Endpoint> api; ///< API addresses of hosts, tried in order; for job commands.
    std::string apiKey; ///< API key of the workspace; for job commands.
    bool json{false}; ///< Whether to print JSON instead of tables.
    std::string file; ///< Input file; "-" is standard input.
    std::string out; ///< Output file; empty is standard output.
    std::string key; ///< Job key of a submission.
    std::string due; ///< Due time of a submission, RFC 3339 or seconds from now; empty sends none.
    std::string by; ///< Operator's name, which edits record in the history.
    std::string expect; ///< Expected document revision, "current", or empty for a new document.
    std::uint64_t revision{0}; ///< Fleet revision to wait for; 0 when not given.
    std::chrono::milliseconds timeout{10000}; ///< Longest duration of a wait.
    std::vector<std::string> words; ///< Command and its arguments.

    /** @return Word @p index of the command line, or an empty string when there are fewer. */
    [[nodiscard]] std::string word(std::size_t index) const
    {
        return index < this->words.size() ? this->words[index] : std::string();
    }
};

/** One command and its help. */
struct CtlCommand {
    std::string_view first; ///< First word of the command line.
    std::string_view second; ///< Second word of the command line; empty when the command has one word.
    std::string_view arguments; ///< Arguments as shown in the help.
    std::string_view summary; ///< One sentence for the help.
    ExitCode (*run)(const CtlOptions &options);
};

} // namespace skylark
