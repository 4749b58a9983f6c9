/** @file document_reader_func.h Reads JSON documents and collects all validation errors; internal to config. */
#pragma once

#include "config/config_func.h"

#include <boost/json.hpp>
#include <functional>
#include <initializer_list>
#include <limits>

namespace skylark {

/** Collects the mistakes of one document. */
struct DocumentReader {
    std::vector<ConfigMistake> mistakes;
};

/** Reads the value of a member or array element. @param path Path for the mistakes that it records. */
using MemberHandler = std::function<void(const boost::json::value &value, const std::string &path)>;

/** Permitted member of an object. */
struct MemberRule {
    std::string_view name;
    bool required{false}; ///< Whether the member must be present.
    MemberHandler handler; ///< Reads the member if it is present.
};

/** Parses @p text as a JSON object; comments and trailing commas are allowed. @return The object, or nothing if a mistake was recorded. */
[[nodiscard]] std::optional<boost::json::object> parseObject(DocumentReader &reader, std::string_view text);

/** Calls the handler of each member that is present. Unknown members, and required ones that are missing, are recorded as mistakes. */
void readMembers(DocumentReader &reader, const boost::json::object &object, const std::string &path, std::initializer_list<MemberRule> rules);

/** Like readMembers(), but records a mistake if @p value is not an object. */
void readObject(DocumentReader &reader, const boost::json::value &value, const std::string &path, std::initializer_list<MemberRule> rules);

/** Calls @p handler for each element of an array; records a mistake if @p value is not an array. */
void readArray(DocumentReader &reader, const boost::json::value &value, const std::string &path, const MemberHandler &handler);

/** Reads a string of 1 to @p maxLength visible ASCII characters into @p into; otherwise records a mistake. */
void readString(DocumentReader &reader, const boost::json::value &value, const std::string &path, std::string &into, std::size_t maxLength = 200);

/** Reads an integer from @p minimum to @p maximum. @return The number, or nothing if a mistake was recorded. */
[[nodiscard]] std::optional<std::uint64_t> readInteger(
    DocumentReader &reader, const boost::json::value &value, const std::string &path, std::uint64_t minimum, std::uint64_t maximum);

/** Reads a number from @p minimum to @p maximum into @p into; otherwise records a mistake. */
void readNumber(DocumentReader &reader, const boost::json::value &value, const std::string &path, double minimum, double maximum, double &into);

/** Reads a boolean into @p into; otherwise records a mistake. */
void readBool(DocumentReader &reader, const boost::json::value &value, const std::string &path, bool &into);

void addMistake(DocumentReader &reader, std::string path, std::string text);

} // namespace skylark
