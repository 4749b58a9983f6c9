/** @file ctl_output.cpp Output of skylarkctl: tables, line diffs, and access to values of JSON responses. */
#include "ctl/ctl_output_func.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <iostream>

namespace skylark {

namespace json = boost::json;

namespace {

std::vector<std::string_view> splitLines(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return lines;
}

/** One line of a diff. */
struct DiffLine {
    char mark{' '}; ///< ' ' in both texts, '-' only in the old one, '+' only in the new one.
    std::string_view text;
};

/** @return All lines of both texts in order, those of their longest common subsequence once. */
std::vector<DiffLine> alignLines(const std::vector<std::string_view> &before, const std::vector<std::string_view> &after)
{
    const std::size_t width = after.size() + 1;
    std::vector<std::uint32_t> common((before.size() + 1) * width, 0);
    for (std::size_t i = before.size(); i-- > 0;) {
        for (std::size_t j = after.size(); j-- > 0;) {
            common[i * width + j] =
                before[i] == after[j] ? common[(i + 1) * width + j + 1] + 1 : std::max(common[(i + 1) * width + j], common[i * width + j + 1]);
        }
    }
    std::vector<DiffLine> lines;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < before.size() || j < after.size()) {
        if (i < before.size() && j < after.size() && before[i] == after[j]) {
            lines.push_back({' ', before[i++]});
            ++j;
        } else if (j >= after.size() || (i < before.size() && common[(i + 1) * width + j] >= common[i * width + j + 1])) {
            lines.push_back({'-', before[i++]});
        } else {
            lines.push_back({'+', after[j++]});
        }
    }
    return lines;
}

} // namespace

void printTable(const Table &table)
{
    std::vector<std::size_t> widths(table.heading.size(), 0);
    const auto widen = [&widths](const std::vector<std::string> &row) {
        for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    };
    widen(table.heading);
    std::for_each(table.rows.begin(), table.rows.end(), widen);
    const auto printRow = [&widths](const std::vector<std::string> &row) {
        std::string line;
        for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i) {
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        std::cout << line << "\n";
    };
    printRow(table.heading);
    std::for_each(table.rows.begin(), table.rows.end(), printRow);
}

void printJson(const json::value &value)
{
    std::cout << json::serialize(value) << "\n";
}

std::string textAt(const json::value &value, std::initializer_list<const char *> path)
{
    const json::value *current = &value;
    for (const char *name : path) {
        const json::object *object = current->if_object();
        current = object == nullptr ? nullptr : object->if_contains(name);
        if (current == nullptr) {
            return {};
        }
    }
    if (const json::string *text = current->if_string()) {
        return std::string(*text);
    }
    return current->is_null() ? std::string() : json::serialize(*current);
}

std::uint64_t numberAt(const json::value &value, const char *name)
{
    const json::object *object = value.if_object();
    const json::value *member = object == nullptr ? nullptr : object->if_contains(name);
    if (member == nullptr) {
        return 0;
    }
    json::error_code error;
    const auto number = member->to_number<std::uint64_t>(error);
    return error ? 0 : number;
}

bool boolAt(const json::value &value, const char *name)
{
    return textAt(value, {name}) == "true";
}

json::array arrayAt(const json::value &value, const char *name)
{
    const json::object *object = value.if_object();
    const json::value *member = object == nullptr ? nullptr : object->if_contains(name);
    return member != nullptr && member->is_array() ? member->get_array() : json::array();
}

std::string formatOneDecimal(double value)
{
    std::array<char, 32> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.1f", value);
    return buffer.data();
}

std::string formatTime(std::uint64_t unixMs)
{
    if (unixMs == 0) {
        return "-";
    }
    const auto seconds = static_cast<std::time_t>(unixMs / 1000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buffer{};
    std::strftime(buffer.data(), buffer.size(), "%Y-%m-%d %H:%M:%SZ", &parts);
    return buffer.data();
}

std::string diffLines(std::string_view before, std::string_view after)
{
    constexpr std::size_t context = 3;
    const auto lines = alignLines(splitLines(before), splitLines(after));
    std::vector<bool> shown(lines.size(), false);
    for (std::size_t i = 0; i < lines.size(); ++i) {
        if (lines[i].mark != ' ') {
            const std::size_t from = i < context ? 0 : i - context;
            std::fill(
                shown.begin() + static_cast<std::ptrdiff_t>(from), shown.begin() + static_cast<std::ptrdiff_t>(std::min(lines.size(), i + context + 1)), true);
        }
    }
    std::string text;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        if (!shown[i]) {
            text += i > 0 && shown[i - 1] ? "...\n" : "";
            continue;
        }
        text += lines[i].mark;
        text += std::string(lines[i].text) + "\n";
    }
    return text;
}

} // namespace skylark
