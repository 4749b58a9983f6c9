/** @file document_reader_func.h Reading of JSON documents with a list of all mistakes; internal to config. */
#pragma once

#include "config/config_func.h"

#include <boost/json.hpp>
#include <functional>
#include <initializer_list>
#include <limits>

namespace skylark {

/** Collects the mistakes of one document. */
struct DocumentReader {
    std::vector<ConfigMistake> mistakes; ///< Mistakes found so far.
};

/** Reads one member; called with its value and path. */
using MemberHandler = std::function<void(const boost::json::value &value, const std::string &path)>;

/** One permitted member of an object. */
struct MemberRule {
    std::string_view name; ///< Member name.
    bool required{false}; ///< Whether it must be present.
    MemberHandler handler; ///< Reads it.
};

/** Parses @p text, which may hold comments, as an object; a syntax error is recorded. */
[[nodiscard]] std::optional<boost::json::object> parseObject(DocumentReader &reader, std::string_view text);

/** Reads an object by rules; unknown, missing and mistyped members are recorded. */
void readMembers(DocumentReader &reader, const boost::json::object &object, const std::string &path, std::initializer_list<MemberRule> rules);

/** Like readMembers(), but records a mistake when @p value is no object. */
void readObject(DocumentReader &reader, const boost::json::value &value, const std::string &path, std::initializer_list<MemberRule> rules);

/** Calls @p handler for each element of an array. */
void readArray(DocumentReader &reader, const boost::json::value &value, const std::string &path, const MemberHandler &handler);

/** Reads a text of 1 to @p longest visible characters. */
void readText(DocumentReader &reader, const boost::json::value &value, const std::string &path, std::string &into, std::size_t longest = 200);

/** Reads a whole number within bounds. */
[[nodiscard]] std::optional<std::uint64_t> readWhole(
    DocumentReader &reader, const boost::json::value &value, const std::string &path, std::uint64_t least, std::uint64_t most);

/** Reads a number within bounds. */
void readNumber(DocumentReader &reader, const boost::json::value &value, const std::string &path, double least, double most, double &into);

/** Reads true or false. */
void readFlag(DocumentReader &reader, const boost::json::value &value, const std::string &path, bool &into);

/** Records a mistake. */
void addMistake(DocumentReader &reader, std::string path, std::string text);

} // namespace skylark
