/** @file workspace_reader.cpp Reading of template and workspace documents. */
#include "config/workspace_reader_func.h"

#include <algorithm>
#include <array>
#include <set>

namespace skylark {

namespace json = boost::json;

namespace {

constexpr std::uint64_t longestTimeoutMs = 3'600'000; // One hour; a longer wait is a unit mistake.
constexpr std::uint64_t longestDueSeconds = 366ULL * 24 * 3600;
constexpr std::uint64_t mostReplicas = 10'000;
constexpr std::uint64_t mostAttempts = 100;
constexpr std::uint64_t minutesPerDay = 1440;
constexpr double largestShare = 1000.0;
constexpr std::size_t shortestApiKey = 8;
constexpr std::array<std::string_view, 7> knownMethods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

MemberHandler textInto(DocumentReader &reader, std::string &into)
{
    return [&reader, &into](const json::value &value, const std::string &path) {
        readText(reader, value, path, into);
    };
}

MemberHandler flagInto(DocumentReader &reader, bool &into)
{
    return [&reader, &into](const json::value &value, const std::string &path) {
        readFlag(reader, value, path, into);
    };
}

MemberHandler numberInto(DocumentReader &reader, double least, double most, double &into)
{
    return [&reader, least, most, &into](const json::value &value, const std::string &path) {
        readNumber(reader, value, path, least, most, into);
    };
}

template<typename Number>
MemberHandler wholeInto(DocumentReader &reader, std::uint64_t least, std::uint64_t most, Number &into)
{
    return [&reader, least, most, &into](const json::value &value, const std::string &path) {
        if (const auto number = readWhole(reader, value, path, least, most)) {
            into = Number(*number);
        }
    };
}

/** Records elements of @p items whose name occurred before. */
template<typename Item, typename NameOf>
void refuseDuplicates(DocumentReader &reader, const std::vector<Item> &items, const std::string &path, const std::string &suffix, NameOf nameOf)
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < items.size(); ++i) {
        const std::string &name = nameOf(items[i]);
        if (!name.empty() && !seen.insert(name).second) {
            std::string place = path;
            place.append("[").append(std::to_string(i)).append("]").append(suffix);
            addMistake(reader, std::move(place), "is listed twice");
        }
    }
}

void readModels(DocumentReader &reader, const json::value &value, const std::string &path, std::vector<ModelSpec> &into)
{
    into.clear();
    readArray(reader, value, path, [&](const json::value &element, const std::string &place) {
        ModelSpec &model = into.emplace_back();
        const MemberHandler adapters = [&](const json::value &list, const std::string &listPath) {
            readArray(reader, list, listPath, [&](const json::value &adapter, const std::string &adapterPath) {
                readText(reader, adapter, adapterPath, model.adapters.emplace_back());
            });
        };
        readObject(reader,
                   element,
                   place,
                   {{"name", true, textInto(reader, model.name.value)},
                    {"version", true, textInto(reader, model.version)},
                    {"adapters", false, adapters},
                    {"replicas", false, wholeInto(reader, 0, mostReplicas, model.replicas)}});
    });
    refuseDuplicates(reader, into, path, ".name", [](const ModelSpec &model) -> const std::string & {
        return model.name.value;
    });
}

void readCall(DocumentReader &reader, const json::value &value, const std::string &path, ServiceCallSpec &call)
{
    readObject(reader,
               value,
               path,
               {{"method", true, textInto(reader, call.method)},
                {"path_prefix", true, textInto(reader, call.pathPrefix)},
                {"repeatable", false, flagInto(reader, call.repeatable)}});
    if (!call.method.empty() && std::find(knownMethods.begin(), knownMethods.end(), call.method) == knownMethods.end()) {
        addMistake(reader, path + ".method", "must be an HTTP method in capitals");
    }
    if (!call.pathPrefix.empty() && call.pathPrefix.front() != '/') {
        addMistake(reader, path + ".path_prefix", "must begin with \"/\"");
    }
}

void readServices(DocumentReader &reader, const json::value &value, const std::string &path, std::vector<ServiceSpec> &into)
{
    into.clear();
    readArray(reader, value, path, [&](const json::value &element, const std::string &place) {
        ServiceSpec &service = into.emplace_back();
        const MemberHandler calls = [&](const json::value &list, const std::string &listPath) {
            readArray(reader, list, listPath, [&](const json::value &call, const std::string &callPath) {
                readCall(reader, call, callPath, service.calls.emplace_back());
            });
        };
        readObject(reader, element, place, {{"name", true, textInto(reader, service.name)}, {"calls", true, calls}});
    });
    refuseDuplicates(reader, into, path, ".name", [](const ServiceSpec &service) -> const std::string & {
        return service.name;
    });
}

void readOnline(DocumentReader &reader, const json::value &value, const std::string &path, OnlinePolicy &online)
{
    readObject(reader,
               value,
               path,
               {{"deadline_ms", false, wholeInto(reader, 1, longestTimeoutMs, online.deadline)},
                {"first_byte_timeout_ms", false, wholeInto(reader, 1, longestTimeoutMs, online.firstByteTimeout)},
                {"idle_timeout_ms", false, wholeInto(reader, 1, longestTimeoutMs, online.idleTimeout)},
                {"hedge", false, flagInto(reader, online.hedge)}});
}

void readBatch(DocumentReader &reader, const json::value &value, const std::string &path, BatchPolicy &batch)
{
    const MemberHandler shopHours = [&](const json::value &hours, const std::string &hoursPath) {
        readObject(reader,
                   hours,
                   hoursPath,
                   {{"from_minute", true, wholeInto(reader, 0, minutesPerDay, batch.shopHours.fromMinute)},
                    {"to_minute", true, wholeInto(reader, 0, minutesPerDay, batch.shopHours.toMinute)}});
    };
    readObject(reader,
               value,
               path,
               {{"share", false, numberInto(reader, 0.0, largestShare, batch.share)},
                {"tail_weight", false, numberInto(reader, 0.0, 1.0, batch.tailWeight)},
                {"shop_hours", false, shopHours},
                {"default_due_s", false, wholeInto(reader, 1, longestDueSeconds, batch.defaultDue)},
                {"max_attempts", false, wholeInto(reader, 1, mostAttempts, batch.maxAttempts)}});
}

void readRecordUnavailable(DocumentReader &reader, const json::value &value, const std::string &path, RecordUnavailable &into)
{
    if (value.is_string() && value.get_string() == "refuse") {
        into = RecordUnavailable::Refuse;
    } else if (value.is_string() && value.get_string() == "pass") {
        into = RecordUnavailable::Pass;
    } else {
        addMistake(reader, path, "must be \"refuse\" or \"pass\"");
    }
}

void readApiKeys(DocumentReader &reader, const json::value &value, const std::string &path, std::vector<std::string> &into)
{
    readArray(reader, value, path, [&](const json::value &element, const std::string &place) {
        std::string &key = into.emplace_back();
        readText(reader, element, place, key);
        if (!key.empty() && key.size() < shortestApiKey) {
            addMistake(reader, place, "must have at least " + std::to_string(shortestApiKey) + " characters");
        }
    });
    refuseDuplicates(reader, into, path, "", [](const std::string &key) -> const std::string & {
        return key;
    });
}

/** @return A handler that calls @p read with @p into. */
template<typename Part>
MemberHandler part(DocumentReader &reader, void (*read)(DocumentReader &, const json::value &, const std::string &, Part &), Part &into)
{
    return [&reader, read, &into](const json::value &value, const std::string &path) {
        read(reader, value, path, into);
    };
}

/** Reads the members that templates and workspaces share over @p into, and the members "template" and "api_keys" of a workspace. */
void readParameters(DocumentReader &reader, std::string_view body, bool workspace, WorkspaceConfig &into)
{
    const auto object = parseObject(reader, body);
    if (!object) {
        return;
    }
    const MemberRule models{"models", false, part(reader, readModels, into.models)};
    const MemberRule services{"services", false, part(reader, readServices, into.services)};
    const MemberRule online{"online", false, part(reader, readOnline, into.online)};
    const MemberRule batch{"batch", false, part(reader, readBatch, into.batch)};
    const MemberRule record{"when_record_unavailable", false, part(reader, readRecordUnavailable, into.whenRecordUnavailable)};
    if (!workspace) {
        readMembers(reader, *object, "", {models, services, online, batch, record});
        return;
    }
    const MemberRule templateName{"template", true, textInto(reader, into.templateName)};
    const MemberRule apiKeys{"api_keys", false, part(reader, readApiKeys, into.apiKeys)};
    readMembers(reader, *object, "", {templateName, apiKeys, models, services, online, batch, record});
}

} // namespace

WorkspaceConfig readTemplate(DocumentReader &reader, std::string_view body)
{
    WorkspaceConfig parameters;
    readParameters(reader, body, false, parameters);
    return parameters;
}

std::string templateNameOf(std::string_view body)
{
    DocumentReader reader;
    const auto object = parseObject(reader, body);
    const json::value *name = object ? object->if_contains("template") : nullptr;
    return name != nullptr && name->is_string() ? std::string(name->get_string()) : std::string();
}

WorkspaceConfig readWorkspace(DocumentReader &reader, std::string_view body, WorkspaceConfig defaults)
{
    readParameters(reader, body, true, defaults);
    return defaults;
}

} // namespace skylark
