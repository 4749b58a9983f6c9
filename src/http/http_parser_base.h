/** @file http_parser_base.h Parser of HTTP messages whose header fields may be of any length. */
#pragma once

#include "http/http_type.h"

#include <boost/beast/http.hpp>
#include <cstdint>
#include <limits>
#include <string>

namespace skylark {

/** Parser that keeps the fields which are too long for the container of Boost.Beast apart; the container throws an exception for them. */
template<bool isRequest, typename Body>
struct HttpParser : boost::beast::http::parser<isRequest, Body> {
    HttpHeaders longFields; ///< Fields of the head or of the trailers that the message lacks, in the order of arrival.

private:
    void on_field_impl(boost::beast::http::field name, // NOLINT(readability-identifier-naming): the name of the base class
                       boost::beast::string_view nameText,
                       boost::beast::string_view value,
                       boost::beast::error_code &error) override
    {
        constexpr std::size_t maxStored = std::numeric_limits<std::uint16_t>::max() - 2; // The container adds a separator of two bytes.
        if (nameText.size() <= maxStored && value.size() <= maxStored) {
            this->get().insert(name, nameText, value);
        } else if (name == boost::beast::http::field::host) {
            error = boost::beast::http::error::header_limit; // Repeated ones are looked for in the message.
        } else {
            this->longFields.push_back({std::string(nameText), std::string(value)});
        }
    }
};

/** @return The header fields that @p parser has read. */
template<bool isRequest, typename Body>
[[nodiscard]] HttpHeaders headersOf(const HttpParser<isRequest, Body> &parser)
{
    HttpHeaders headers;
    for (const auto &field : parser.get()) {
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    headers.insert(headers.end(), parser.longFields.begin(), parser.longFields.end());
    return headers;
}

} // namespace skylark
