/** @file document_reader.cpp Reads JSON documents and collects all validation errors. */
#include "config/document_reader_func.h"

#include <algorithm>

namespace skylark {

namespace json = boost::json;

void addMistake(DocumentReader &reader, std::string path, std::string text)
{
    reader.mistakes.push_back({std::move(path), std::move(text)});
}

std::optional<json::object> parseObject(DocumentReader &reader, std::string_view text)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::error_code error;
    const json::value value = json::parse(json::string_view(text.data(), text.size()), error, {}, options);
    if (error) {
        addMistake(reader, "", "is not valid JSON: " + error.message());
        return std::nullopt;
    }
    if (!value.is_object()) {
        addMistake(reader, "", "must be an object");
        return std::nullopt;
    }
    return value.get_object();
}

void readMembers(DocumentReader &reader, const json::object &object, const std::string &path, std::initializer_list<MemberRule> rules)
{
    const std::string prefix = path.empty() ? "" : path + ".";
    for (const MemberRule &rule : rules) {
        const json::value *value = object.if_contains(json::string_view(rule.name.data(), rule.name.size()));
        if (value != nullptr) {
            rule.handler(*value, prefix + std::string(rule.name));
        } else if (rule.required) {
            addMistake(reader, prefix + std::string(rule.name), "is missing");
        }
    }
    for (const auto &member : object) {
        const std::string_view name(member.key().data(), member.key().size());
        const bool known = std::any_of(rules.begin(), rules.end(), [name](const MemberRule &rule) {
            return rule.name == name;
        });
        if (!known) {
            addMistake(reader, prefix + std::string(name), "is not a known member");
        }
    }
}

void readObject(DocumentReader &reader, const json::value &value, const std::string &path, std::initializer_list<MemberRule> rules)
{
    if (!value.is_object()) {
        addMistake(reader, path, "must be an object");
        return;
    }
    readMembers(reader, value.get_object(), path, rules);
}

void readArray(DocumentReader &reader, const json::value &value, const std::string &path, const MemberHandler &handler)
{
    if (!value.is_array()) {
        addMistake(reader, path, "must be an array");
        return;
    }
    std::size_t index = 0;
    for (const json::value &element : value.get_array()) {
        handler(element, path + "[" + std::to_string(index++) + "]");
    }
}

void readString(DocumentReader &reader, const json::value &value, const std::string &path, std::string &into, std::size_t maxLength)
{
    if (!value.is_string()) {
        addMistake(reader, path, "must be a string");
        return;
    }
    const json::string &text = value.get_string();
    const bool visible = std::all_of(text.begin(), text.end(), [](char c) {
        return c > ' ' && c != '\x7f';
    });
    if (text.empty() || text.size() > maxLength || !visible) {
        addMistake(reader, path, "must have 1 to " + std::to_string(maxLength) + " visible ASCII characters");
        return;
    }
    into.assign(text.data(), text.size());
}

std::optional<std::uint64_t> readInteger(
    DocumentReader &reader, const json::value &value, const std::string &path, std::uint64_t minimum, std::uint64_t maximum)
{
    json::error_code error;
    const auto number = value.to_number<std::uint64_t>(error);
    if (error || number < minimum || number > maximum) {
        addMistake(reader, path, "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return std::nullopt;
    }
    return number;
}

void readNumber(DocumentReader &reader, const json::value &value, const std::string &path, double minimum, double maximum, double &into)
{
    json::error_code error;
    const double number = value.to_number<double>(error);
    if (error || !(number >= minimum && number <= maximum)) {
        const auto text = [](double bound) {
            return json::serialize(json::value(bound));
        };
        addMistake(reader, path, "must be a number from " + text(minimum) + " to " + text(maximum));
        return;
    }
    into = number;
}

void readBool(DocumentReader &reader, const json::value &value, const std::string &path, bool &into)
{
    if (!value.is_bool()) {
        addMistake(reader, path, "must be true or false");
        return;
    }
    into = value.get_bool();
}

} // namespace skylark
