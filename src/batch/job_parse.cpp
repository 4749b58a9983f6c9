/** @file job_parse.cpp Parses a job submission and splits it into groups. */
#include "batch/job_parse_func.h"

#include <algorithm>
#include <boost/json.hpp>

namespace skylark {

namespace json = boost::json;

namespace {

constexpr std::size_t maxGroupBytes = 900000; ///< Keeps a blob with its transport frame below 1 MB.
constexpr std::string_view chatUrl = "/v1/chat/completions";
constexpr std::string_view servicePrefix = "/v1/services/";

Error lineError(const JobParser &parser, ErrorCode code, const std::string &detail)
{
    const std::string place = "line " + std::to_string(parser.line);
    Error error = makeError(code, place + ": " + detail);
    error.param = place;
    return error;
}

std::string_view trimmed(std::string_view line)
{
    constexpr std::string_view space = " \t\r\n";
    const auto first = line.find_first_not_of(space);
    return first == std::string_view::npos ? std::string_view() : line.substr(first, line.find_last_not_of(space) - first + 1);
}

std::string_view textMember(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string_view(value->as_string()) : std::string_view();
}

/** @return Whether @p workspace marks the service call as repeatable; false for a call that it does not list. */
bool isRepeatable(const WorkspaceConfig &workspace, std::string_view method, std::string_view url)
{
    const std::string_view rest = url.substr(servicePrefix.size());
    const std::string_view name = rest.substr(0, rest.find('/'));
    const std::string_view path = rest.substr(name.size());
    for (const ServiceSpec &service : workspace.services) {
        for (const ServiceCallSpec &call : service.calls) {
            if (service.name == name && call.method == method && path.starts_with(call.pathPrefix)) {
                return call.repeatable;
            }
        }
    }
    return false;
}

Result<Done> checkCall(const JobParser &parser, std::string_view method, std::string_view url)
{
    if (url.starts_with(servicePrefix) && !isRepeatable(*parser.workspace, method, url)) {
        return lineError(parser, ErrorCode::CallNotRepeatable, "the call is not marked repeatable, and a batch item may run more than once");
    }
    if (url != chatUrl) {
        return lineError(parser, ErrorCode::InvalidRequest, "\"url\" must be \"" + std::string(chatUrl) + "\"");
    }
    if (method != "POST") {
        return lineError(parser, ErrorCode::InvalidRequest, "\"method\" must be \"POST\"");
    }
    return Done{};
}

bool hasModel(const WorkspaceConfig &workspace, std::string_view model)
{
    return std::any_of(workspace.models.begin(), workspace.models.end(), [model](const ModelSpec &spec) {
        return spec.name.value == model;
    });
}

/** Appends the item to the open group of its model, or to a new group when it does not fit. */
void addItem(JobParser &parser, const ModelId &model, std::string_view line)
{
    ParsedJob &job = parser.job;
    const auto known = std::find(job.models.begin(), job.models.end(), model);
    const auto modelIndex = static_cast<std::size_t>(known - job.models.begin());
    if (known == job.models.end()) {
        job.models.push_back(model);
    }
    const auto open = parser.openGroup.find(model);
    const bool fits =
        open != parser.openGroup.end() && job.groups[open->second].items < itemsPerGroup && job.groups[open->second].lines.size() + line.size() < maxGroupBytes;
    if (!fits) {
        parser.openGroup[model] = job.groups.size();
        job.groups.push_back({modelIndex, 0, {}});
    }
    GroupInput &group = job.groups[parser.openGroup[model]];
    group.lines.append(line).push_back('\n');
    ++group.items;
    ++job.items;
}

} // namespace

Result<Done> parseJobLine(JobParser &parser, std::string_view text)
{
    ++parser.line;
    const std::string_view line = trimmed(text);
    if (line.empty()) {
        return Done{};
    }
    boost::system::error_code error;
    const json::value value = json::parse(line, error);
    if (error || !value.is_object()) {
        return lineError(parser, ErrorCode::InvalidRequest, error ? error.message() : "not a JSON object");
    }
    const json::object &item = value.as_object();
    const std::string customId(textMember(item, "custom_id"));
    if (customId.empty()) {
        return lineError(parser, ErrorCode::InvalidRequest, "\"custom_id\" must be a non-empty string");
    }
    const auto [known, isNew] = parser.lineOfId.emplace(customId, parser.line);
    if (!isNew) {
        return lineError(parser, ErrorCode::InvalidRequest, "\"custom_id\" was already used in line " + std::to_string(known->second));
    }
    const auto call = checkCall(parser, textMember(item, "method"), textMember(item, "url"));
    if (!isOk(call)) {
        return errorOf(call);
    }
    const json::value *body = item.if_contains("body");
    if (body == nullptr || !body->is_object()) {
        return lineError(parser, ErrorCode::InvalidRequest, "\"body\" must be an object");
    }
    const std::string model(textMember(body->as_object(), "model"));
    if (!hasModel(*parser.workspace, model)) {
        return lineError(parser, ErrorCode::ModelNotFound, "the workspace has no model \"" + model + "\"");
    }
    if (line.size() >= maxGroupBytes) {
        return lineError(parser, ErrorCode::PayloadTooLarge, "an item must be smaller than " + std::to_string(maxGroupBytes) + " bytes");
    }
    addItem(parser, ModelId{model}, line);
    return Done{};
}

Result<std::vector<ItemInput>> parseGroupInput(std::string_view lines)
{
    std::vector<ItemInput> items;
    while (!lines.empty()) {
        const std::string_view line = lines.substr(0, lines.find('\n'));
        lines.remove_prefix(std::min(lines.size(), line.size() + 1));
        boost::system::error_code error;
        const json::value value = json::parse(line, error);
        const json::object *item = error ? nullptr : value.if_object();
        const json::value *body = item != nullptr ? item->if_contains("body") : nullptr;
        if (body == nullptr) {
            return makeError(ErrorCode::ProtocolError, "malformed input blob: a line is not a JSON object with a \"body\"");
        }
        items.push_back({std::string(textMember(*item, "custom_id")), json::serialize(*body)});
    }
    return items;
}

} // namespace skylark
