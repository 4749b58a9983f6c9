/** @file http_message.cpp Headers, query parameters, percent encoding and endpoints of HTTP messages. */
#include "http/http_type.h"

#include <boost/algorithm/string/predicate.hpp>
#include <cctype>
#include <charconv>

namespace skylark {

namespace {

int hexDigit(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    const char lower = static_cast<char>(std::tolower(static_cast<unsigned char>(digit)));
    if (lower >= 'a' && lower <= 'f') {
        return lower - 'a' + 10;
    }
    return -1;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0) {
            decoded.push_back(static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2])));
            i += 2;
            continue;
        }
        decoded.push_back(text[i] == '+' ? ' ' : text[i]);
    }
    return decoded;
}

} // namespace

std::string_view headerValue(const HttpHeaders &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (boost::algorithm::iequals(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

std::string_view targetPath(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string queryParameter(std::string_view target, std::string_view name)
{
    const std::size_t start = target.find('?');
    if (start == std::string_view::npos) {
        return {};
    }
    std::string_view query = target.substr(start + 1);
    while (!query.empty()) {
        const std::size_t end = query.find('&');
        const std::string_view pair = query.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string() : percentDecode(pair.substr(equals + 1));
        }
        if (end == std::string_view::npos) {
            break;
        }
        query.remove_prefix(end + 1);
    }
    return {};
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    Endpoint endpoint{std::string(text.substr(0, colon)), 0};
    const std::string_view port = text.substr(colon + 1);
    const auto parsed = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    if (parsed.ec != std::errc() || parsed.ptr != port.data() + port.size() || endpoint.port == 0) {
        return std::nullopt;
    }
    return endpoint;
}

std::string percentEncode(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    encoded.reserve(text.size());
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~' || c == '/' || c == ':') {
            encoded.push_back(c);
            continue;
        }
        encoded.push_back('%');
        encoded.push_back(digits[byte >> 4U]);
        encoded.push_back(digits[byte & 15U]);
    }
    return encoded;
}

} // namespace skylark
