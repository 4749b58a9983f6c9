/** @file http_grammar.cpp Grammar of the names and values that are written into HTTP messages. */
#include "http/http_grammar_func.h"

#include <algorithm>

namespace skylark {

namespace {

constexpr std::string_view tokenMarks = "!#$%&'*+-.^_`|~"; ///< Characters of a token besides letters and digits (RFC 9110, section 5.6.2).
constexpr std::string_view segmentMarks = "-._~!$&'()*+,;=:@"; ///< Characters of a path segment besides letters and digits (RFC 3986, section 3.3).
constexpr std::size_t maxNameInText = 64; ///< Bytes of a header name that an error text repeats.

// Unlike std::isalnum(), independent of the locale.
bool isAlphanumeric(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

bool isHexDigit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

bool isTokenCharacter(char c)
{
    return isAlphanumeric(c) || tokenMarks.find(c) != std::string_view::npos;
}

/** @return Whether @p c is visible, or part of a non-ASCII character, which field values may contain (obs-text). */
bool isFieldCharacter(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte > 0x20 && byte != 0x7f;
}

/** @return Whether @p text consists of characters of path segments, percent-encoded bytes, and the characters in @p more. */
bool isPathText(std::string_view text, std::string_view more)
{
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%') {
            if (i + 2 >= text.size() || !isHexDigit(text[i + 1]) || !isHexDigit(text[i + 2])) {
                return false;
            }
            i += 2;
        } else if (!isAlphanumeric(text[i]) && segmentMarks.find(text[i]) == std::string_view::npos && more.find(text[i]) == std::string_view::npos) {
            return false;
        }
    }
    return true;
}

} // namespace

bool isHttpToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFieldValue(std::string_view text)
{
    if (text.empty()) {
        return true;
    }
    const bool within = std::all_of(text.begin(), text.end(), [](char c) {
        return isFieldCharacter(c) || c == ' ' || c == '\t';
    });
    return within && isFieldCharacter(text.front()) && isFieldCharacter(text.back());
}

bool isOriginForm(std::string_view text)
{
    return text.starts_with('/') && isPathText(text, "/?");
}

bool isPathSegment(std::string_view text)
{
    return !text.empty() && isPathText(text, "");
}

std::optional<std::string> findInvalidPart(const HttpRequest &request)
{
    if (!isHttpToken(request.method)) {
        return "method";
    }
    if (!isOriginForm(request.target)) {
        return "target";
    }
    for (const HttpHeader &header : request.headers) {
        if (!isHttpToken(header.name)) {
            return "name of a header";
        }
        if (!isFieldValue(header.value)) {
            return "value of header " + header.name.substr(0, maxNameInText);
        }
    }
    return std::nullopt;
}

} // namespace skylark
