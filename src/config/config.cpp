/** @file config.cpp Validation of documents and resolution of workspaces against their templates. */
#include "config/config_func.h"

#include "config/workspace_reader_func.h"

#include <algorithm>

namespace skylark {

namespace {

constexpr std::size_t maxNameLength = 64;
constexpr std::size_t maxBodyBytes = std::size_t{64} << 10U; // Eight documents of this size fit into the configuration log of 512 KB.

const Document *findDocument(const DocumentMap &documents, DocumentKind kind, const std::string &name)
{
    const auto found = documents.find({kind, name});
    return found == documents.end() || found->second.deleted ? nullptr : &found->second;
}

/** Calls @p visit with each workspace document that uses the template @p templateName. */
template<typename Visit>
void forEachWorkspaceOf(const DocumentMap &documents, const std::string &templateName, Visit visit)
{
    for (const auto &[key, document] : documents) {
        if (document.kind == DocumentKind::Workspace && !document.deleted && templateNameOf(document.body) == templateName) {
            visit(document);
        }
    }
}

void checkName(DocumentReader &reader, const std::string &name)
{
    const bool permitted = std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    });
    if (name.empty() || name.size() > maxNameLength || !permitted) {
        addMistake(reader, "name", "must have 1 to 64 letters, digits, \"-\", \"_\" or \".\"");
    }
}

void checkDeletion(DocumentReader &reader, const FleetConfig &config, const Document &document)
{
    if (findDocument(config.documents, document.kind, document.name) == nullptr) {
        addMistake(reader, "", "document does not exist");
    }
    if (document.kind == DocumentKind::Template) {
        forEachWorkspaceOf(config.documents, document.name, [&](const Document &workspace) {
            addMistake(reader, "", "still used by workspace " + workspace.name);
        });
    }
}

void checkTemplate(DocumentReader &reader, const FleetConfig &config, const Document &document)
{
    const WorkspaceConfig parameters = readTemplate(reader, document.body);
    if (!reader.mistakes.empty()) {
        return;
    }
    forEachWorkspaceOf(config.documents, document.name, [&](const Document &workspace) {
        DocumentReader workspaceReader;
        static_cast<void>(readWorkspace(workspaceReader, workspace.body, parameters));
        for (const ConfigMistake &mistake : workspaceReader.mistakes) {
            addMistake(reader, "workspace " + workspace.name + ": " + mistake.path, mistake.text);
        }
    });
}

void checkWorkspace(DocumentReader &reader, const FleetConfig &config, const Document &document)
{
    WorkspaceConfig defaults;
    const std::string templateName = templateNameOf(document.body);
    if (const Document *base = findDocument(config.documents, DocumentKind::Template, templateName)) {
        DocumentReader ignored;
        defaults = readTemplate(ignored, base->body);
    } else if (!templateName.empty()) {
        addMistake(reader, "template", "template \"" + templateName + "\" does not exist");
    }
    const WorkspaceConfig workspace = readWorkspace(reader, document.body, std::move(defaults));
    for (std::size_t i = 0; i < workspace.apiKeys.size(); ++i) {
        const auto owner = config.workspaceByKey.find(workspace.apiKeys[i]);
        if (owner != config.workspaceByKey.end() && owner->second.value != document.name) {
            addMistake(reader, "api_keys[" + std::to_string(i) + "]", "is already a key of workspace " + owner->second.value);
        }
    }
}

/** Reads all templates. @param mistakes Receives their mistakes. @return The parameters of each template by its name. */
std::map<std::string, WorkspaceConfig> readTemplates(const DocumentMap &documents, std::vector<ConfigMistake> &mistakes)
{
    std::map<std::string, WorkspaceConfig> templates;
    for (const auto &[key, document] : documents) {
        if (document.kind != DocumentKind::Template || document.deleted) {
            continue;
        }
        DocumentReader reader;
        templates[document.name] = readTemplate(reader, document.body);
        mistakes.insert(mistakes.end(), reader.mistakes.begin(), reader.mistakes.end());
    }
    return templates;
}

/** Adds one resolved workspace. An API key that another workspace already has stays with that one and is recorded in @p mistakes. */
void addWorkspace(FleetConfig &config, WorkspaceConfig workspace, std::vector<ConfigMistake> &mistakes)
{
    for (const std::string &key : workspace.apiKeys) {
        if (!config.workspaceByKey.emplace(key, workspace.id).second) {
            mistakes.push_back({"workspace " + workspace.id.value + ": api_keys", "contains a key of another workspace"});
        }
    }
    const WorkspaceId id = workspace.id;
    config.workspaces.emplace(id, std::move(workspace));
}

} // namespace

std::string_view documentKindName(DocumentKind kind)
{
    return kind == DocumentKind::Template ? "template" : "workspace";
}

std::optional<DocumentKind> documentKindFromName(std::string_view name)
{
    if (name == "template") {
        return DocumentKind::Template;
    }
    if (name == "workspace") {
        return DocumentKind::Workspace;
    }
    return std::nullopt;
}

std::vector<ConfigMistake> validateDocument(const FleetConfig &config, const Document &document)
{
    DocumentReader reader;
    checkName(reader, document.name);
    if (document.body.size() > maxBodyBytes) {
        addMistake(reader, "", "is larger than 64 KB");
    } else if (document.deleted) {
        checkDeletion(reader, config, document);
    } else if (document.kind == DocumentKind::Template) {
        checkTemplate(reader, config, document);
    } else {
        checkWorkspace(reader, config, document);
    }
    return reader.mistakes;
}

Error invalidDocument(const std::vector<ConfigMistake> &mistakes)
{
    std::string detail;
    for (const ConfigMistake &mistake : mistakes) {
        detail += (detail.empty() ? "" : "\n") + (mistake.path.empty() ? "" : mistake.path + ": ") + mistake.text;
    }
    Error error = makeError(ErrorCode::InvalidDocument, std::move(detail));
    error.param = mistakes.empty() ? "" : mistakes.front().path;
    return error;
}

std::shared_ptr<const FleetConfig> resolveConfig(const ConfigState &state, std::vector<ConfigMistake> &mistakes)
{
    auto config = std::make_shared<FleetConfig>();
    config->revision = state.revision;
    config->documents = state.documents;
    const auto templates = readTemplates(state.documents, mistakes);
    for (const auto &[key, document] : state.documents) {
        if (document.kind != DocumentKind::Workspace || document.deleted) {
            continue;
        }
        const auto base = templates.find(templateNameOf(document.body));
        DocumentReader reader;
        WorkspaceConfig workspace = readWorkspace(reader, document.body, base == templates.end() ? WorkspaceConfig() : base->second);
        workspace.id = WorkspaceId{document.name};
        if (base == templates.end()) {
            addMistake(reader, "template", "template does not exist");
        }
        for (const ConfigMistake &mistake : reader.mistakes) {
            mistakes.push_back({"workspace " + document.name + ": " + mistake.path, mistake.text});
        }
        if (reader.mistakes.empty()) {
            addWorkspace(*config, std::move(workspace), mistakes);
        }
    }
    return config;
}

} // namespace skylark
