/** @file error_render.cpp Renders errors as responses and parses those of other hosts. */
#include "traffic/error_render_func.h"

#include "core/result_type.h"
#include "core/table/error_table.h"

#include <algorithm>
#include <boost/json.hpp>

namespace skylark {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds defaultRetryAfter{1000}; ///< Used when the error does not say when a retry may succeed.

/** @return Value of Retry-After in whole seconds, at least 1; empty when a retry does not help. */
std::string retryAfterSeconds(const Error &error, const ErrorInfo &info)
{
    const bool refusal = info.status == 429 || info.status == 503;
    if (!error.retryAfter && !(info.retryable && refusal)) {
        return {};
    }
    const auto wait = error.retryAfter.value_or(defaultRetryAfter);
    return std::to_string(std::max<long long>((wait.count() + 999) / 1000, 1));
}

} // namespace

std::string errorJson(const Error &error)
{
    const ErrorInfo &info = errorInfo(error.code);
    json::object object;
    object["type"] = json::string_view(info.type.data(), info.type.size());
    object["code"] = json::string_view(info.name.data(), info.name.size());
    object["message"] = error.detail.empty() ? std::string(info.name) : error.detail;
    object["param"] = error.param.empty() ? json::value(nullptr) : json::value(json::string(error.param));
    object["run"] = error.run == RunState::Maybe ? "maybe" : "no";
    json::object root;
    root["error"] = std::move(object);
    return json::serialize(root);
}

HttpResponse renderError(const Error &error, const std::string &requestId)
{
    const ErrorInfo &info = errorInfo(error.code);
    HttpResponse response;
    response.status = info.status;
    response.headers.push_back({"content-type", "application/json"});
    if (!requestId.empty()) {
        response.headers.push_back({"x-request-id", requestId});
    }
    const std::string retryAfter = retryAfterSeconds(error, info);
    if (!retryAfter.empty()) {
        response.headers.push_back({"retry-after", retryAfter});
    }
    response.body = errorJson(error);
    return response;
}

Error parseErrorResponse(int status, const std::string &body)
{
    std::string message = "status " + std::to_string(status);
    RunState run = RunState::Maybe;
    boost::system::error_code failure;
    const json::value value = json::parse(body, failure);
    if (!failure && value.is_object() && value.get_object().contains("error") && value.at("error").is_object()) {
        const json::object &error = value.at("error").get_object();
        const json::value *runMember = error.if_contains("run");
        run = runMember != nullptr && runMember->is_string() && runMember->get_string() == "no" ? RunState::No : RunState::Maybe;
        if (const json::value *text = error.if_contains("message"); text != nullptr && text->is_string()) {
            message += ": " + std::string(text->get_string());
        }
    }
    if (run == RunState::No && (status == 429 || status == 503)) {
        return makeError(ErrorCode::TargetOverloaded, message, run);
    }
    if (status >= 400 && status < 500) {
        return makeError(ErrorCode::TargetRejected, message, run);
    }
    return makeError(ErrorCode::TargetFailed, message, run);
}

} // namespace skylark
