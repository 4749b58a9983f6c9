/** @file workspace_reader.cpp Reads template and workspace documents. */
#include "config/workspace_reader_func.h"

#include <algorithm>
#include <array>
#include <set>

namespace skylark {

namespace json = boost::json;

namespace {

constexpr std::uint64_t maxTimeoutMs = 3'600'000; // One hour; a longer timeout probably has the wrong unit.
constexpr std::uint64_t maxDueSeconds = 366ULL * 24 * 3600;
constexpr std::uint64_t maxReplicas = 10'000;
constexpr std::uint64_t maxItemAttempts = 100;
constexpr std::uint64_t minutesPerDay = 1440;
constexpr double maxShare = 1000.0;
constexpr std::size_t minApiKeyLength = 8;
constexpr std::array<std::string_view, 7> knownMethods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

MemberHandler stringInto(DocumentReader &reader, std::string &into)
{
    return [&reader, &into](const json::value &value, const std::string &path) {
        readString(reader, value, path, into);
    };
}

MemberHandler boolInto(DocumentReader &reader, bool &into)
{
    return [&reader, &into](const json::value &value, const std::string &path) {
        readBool(reader, value, path, into);
    };
}

MemberHandler numberInto(DocumentReader &reader, double minimum, double maximum, double &into)
{
    return [&reader, minimum, maximum, &into](const json::value &value, const std::string &path) {
        readNumber(reader, value, path, minimum, maximum, into);
    };
}

template<typename Number>
MemberHandler integerInto(DocumentReader &reader, std::uint64_t minimum, std::uint64_t maximum, Number &into)
{
    return [&reader, minimum, maximum, &into](const json::value &value, const std::string &path) {
        if (const auto number = readInteger(reader, value, path, minimum, maximum)) {
            into = Number(*number);
        }
    };
}

/** Records a mistake for each element of @p items with the name of an earlier one. @param suffix Added to the path of the element. */
template<typename Item, typename NameOf>
void reportDuplicates(DocumentReader &reader, const std::vector<Item> &items, const std::string &path, const std::string &suffix, NameOf nameOf)
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < items.size(); ++i) {
        const std::string &name = nameOf(items[i]);
        if (!name.empty() && !seen.insert(name).second) {
            std::string elementPath = path;
            elementPath.append("[").append(std::to_string(i)).append("]").append(suffix);
            addMistake(reader, std::move(elementPath), "is listed twice");
        }
    }
}

void readModels(DocumentReader &reader, const json::value &value, const std::string &path, std::vector<ModelSpec> &into)
{
    into.clear();
    readArray(reader, value, path, [&](const json::value &element, const std::string &elementPath) {
        ModelSpec &model = into.emplace_back();
        const MemberHandler adapters = [&](const json::value &list, const std::string &listPath) {
            readArray(reader, list, listPath, [&](const json::value &adapter, const std::string &adapterPath) {
                readString(reader, adapter, adapterPath, model.adapters.emplace_back());
            });
        };
        readObject(reader,
                   element,
                   elementPath,
                   {{"name", true, stringInto(reader, model.name.value)},
                    {"version", true, stringInto(reader, model.version)},
                    {"adapters", false, adapters},
                    {"replicas", false, integerInto(reader, 0, maxReplicas, model.replicas)}});
    });
    reportDuplicates(reader, into, path, ".name", [](const ModelSpec &model) -> const std::string & {
        return model.name.value;
    });
}

void readCall(DocumentReader &reader, const json::value &value, const std::string &path, ServiceCallSpec &call)
{
    readObject(reader,
               value,
               path,
               {{"method", true, stringInto(reader, call.method)},
                {"path_prefix", true, stringInto(reader, call.pathPrefix)},
                {"repeatable", false, boolInto(reader, call.repeatable)}});
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
    readArray(reader, value, path, [&](const json::value &element, const std::string &elementPath) {
        ServiceSpec &service = into.emplace_back();
        const MemberHandler calls = [&](const json::value &list, const std::string &listPath) {
            readArray(reader, list, listPath, [&](const json::value &call, const std::string &callPath) {
                readCall(reader, call, callPath, service.calls.emplace_back());
            });
        };
        readObject(reader, element, elementPath, {{"name", true, stringInto(reader, service.name)}, {"calls", true, calls}});
    });
    reportDuplicates(reader, into, path, ".name", [](const ServiceSpec &service) -> const std::string & {
        return service.name;
    });
}

void readOnline(DocumentReader &reader, const json::value &value, const std::string &path, OnlinePolicy &online)
{
    readObject(reader,
               value,
               path,
               {{"deadline_ms", false, integerInto(reader, 1, maxTimeoutMs, online.deadline)},
                {"first_byte_timeout_ms", false, integerInto(reader, 1, maxTimeoutMs, online.firstByteTimeout)},
                {"idle_timeout_ms", false, integerInto(reader, 1, maxTimeoutMs, online.idleTimeout)},
                {"hedge", false, boolInto(reader, online.hedge)}});
}

void readBatch(DocumentReader &reader, const json::value &value, const std::string &path, BatchPolicy &batch)
{
    const MemberHandler shopHours = [&](const json::value &hours, const std::string &hoursPath) {
        readObject(reader,
                   hours,
                   hoursPath,
                   {{"from_minute", true, integerInto(reader, 0, minutesPerDay, batch.shopHours.fromMinute)},
                    {"to_minute", true, integerInto(reader, 0, minutesPerDay, batch.shopHours.toMinute)}});
    };
    readObject(reader,
               value,
               path,
               {{"share", false, numberInto(reader, 0.0, maxShare, batch.share)},
                {"tail_weight", false, numberInto(reader, 0.0, 1.0, batch.tailWeight)},
                {"shop_hours", false, shopHours},
                {"default_due_s", false, integerInto(reader, 1, maxDueSeconds, batch.defaultDue)},
                {"max_attempts", false, integerInto(reader, 1, maxItemAttempts, batch.maxAttempts)}});
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
    readArray(reader, value, path, [&](const json::value &element, const std::string &elementPath) {
        std::string &key = into.emplace_back();
        readString(reader, element, elementPath, key);
        if (!key.empty() && key.size() < minApiKeyLength) {
            addMistake(reader, elementPath, "must have at least " + std::to_string(minApiKeyLength) + " characters");
        }
    });
    reportDuplicates(reader, into, path, "", [](const std::string &key) -> const std::string & {
        return key;
    });
}

/** @return A handler that reads a section of a document with @p read into @p into. */
template<typename Section>
MemberHandler sectionInto(DocumentReader &reader, void (*read)(DocumentReader &, const json::value &, const std::string &, Section &), Section &into)
{
    return [&reader, read, &into](const json::value &value, const std::string &path) {
        read(reader, value, path, into);
    };
}

/**
 * Reads a document. Members that are absent keep their values in @p into.
 * @param workspace Whether it is a workspace, which also has the members "template" and "api_keys"; otherwise it is a template.
 */
void readParameters(DocumentReader &reader, std::string_view body, bool workspace, WorkspaceConfig &into)
{
    const auto object = parseObject(reader, body);
    if (!object) {
        return;
    }
    const MemberRule models{"models", false, sectionInto(reader, readModels, into.models)};
    const MemberRule services{"services", false, sectionInto(reader, readServices, into.services)};
    const MemberRule online{"online", false, sectionInto(reader, readOnline, into.online)};
    const MemberRule batch{"batch", false, sectionInto(reader, readBatch, into.batch)};
    const MemberRule record{"when_record_unavailable", false, sectionInto(reader, readRecordUnavailable, into.whenRecordUnavailable)};
    if (!workspace) {
        readMembers(reader, *object, "", {models, services, online, batch, record});
        return;
    }
    const MemberRule templateName{"template", true, stringInto(reader, into.templateName)};
    const MemberRule apiKeys{"api_keys", false, sectionInto(reader, readApiKeys, into.apiKeys)};
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
