/** @file http_request_writer.cpp Writes the heads of HTTP requests. */
#include "http/http_request_writer_func.h"

#include "http/http_grammar_func.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <string_view>

namespace skylark {

namespace {

constexpr std::string_view lineEnd = "\r\n";

constexpr std::array<std::string_view, 3> framingFields{"Content-Length", "Transfer-Encoding", "Connection"};

bool hasName(const HttpHeader &header, std::string_view name)
{
    return boost::algorithm::iequals(header.name, name);
}

/** @return Whether the field belongs to the framing of the message or to its connection. */
bool isFramingField(const HttpHeader &header)
{
    return std::any_of(framingFields.begin(), framingFields.end(), [&header](std::string_view name) {
        return hasName(header, name);
    });
}

/** @return Whether a request with this method has a body, which may be empty. */
bool expectsBody(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH" || method == "OPTIONS";
}

void appendField(std::string &head, std::string_view name, std::string_view value)
{
    head.append(name).append(": ").append(value).append(lineEnd);
}

} // namespace

Result<std::string> renderRequestHead(const HttpRequest &request, const Endpoint &endpoint)
{
    if (const auto part = findInvalidPart(request)) {
        return makeError(ErrorCode::InvalidRequest, *part + " is malformed", RunState::No);
    }
    std::string head;
    head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1").append(lineEnd);
    for (const HttpHeader &header : request.headers) {
        if (!isFramingField(header)) {
            appendField(head, header.name, header.value);
        }
    }
    const bool hasHost = std::any_of(request.headers.begin(), request.headers.end(), [](const HttpHeader &header) {
        return hasName(header, "Host");
    });
    if (!hasHost) {
        appendField(head, "Host", endpoint.address + ":" + std::to_string(endpoint.port));
    }
    if (!request.body.empty() || expectsBody(request.method)) {
        appendField(head, "Content-Length", std::to_string(request.body.size()));
    }
    head.append(lineEnd);
    return head;
}

} // namespace skylark
