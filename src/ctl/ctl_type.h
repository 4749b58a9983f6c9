/** @file ctl_type.h Types shared by the commands of skylarkctl. */
#pragma once

#include "core/result_type.h"
#include "http/http_type.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace skylark {

/** Exit code of the program. */
enum class ExitCode : std::uint8_t {
    Ok = 0, ///< Done.
    Refused = 1, ///< The fleet refused, or a wait ended without success.
    Usage = 2, ///< Wrong command line or unreadable file.
    Unreachable = 3, ///< No host answered.
    Conflict = 4, ///< The document or job has changed meanwhile.
};

/** Command line. */
struct CtlOptions {
    std::vector<Endpoint> admin; ///< Operators' addresses, tried in order.
    std::vector<Endpoint> api; ///< Callers' addresses, tried in order.
    std::string apiKey; ///< Key for job commands.
    bool json{false}; ///< JSON instead of tables.
    std::string file; ///< Input file; "-" is standard input.
    std::string out; ///< Output file; empty is standard output.
    std::string key; ///< Job key.
    std::string due; ///< Due time.
    std::string by; ///< Operator's name.
    std::string expect; ///< Expected document revision, "current", or empty for a new document.
    std::uint64_t revision{0}; ///< Revision to wait for.
    std::chrono::milliseconds timeout{10000}; ///< Limit of a wait.
    std::vector<std::string> words; ///< Command and its arguments.

    /** @return Argument @p index, or an empty string. */
    [[nodiscard]] std::string word(std::size_t index) const
    {
        return index < this->words.size() ? this->words[index] : std::string();
    }
};

/** One command. */
struct CtlCommand {
    std::string_view first; ///< First word.
    std::string_view second; ///< Second word, or empty.
    std::string_view arguments; ///< Arguments for the help.
    std::string_view summary; ///< One sentence.
    ExitCode (*run)(const CtlOptions &options); ///< Runs it.
};

} // namespace skylark
