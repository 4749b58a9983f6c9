/** @file config_func.h Validation of documents and resolution of workspaces against their templates. */
#pragma once

#include "config/config_type.h"
#include "core/result_type.h"
#include "policy/revision_type.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylark {

/** Validation error in a document. */
struct ConfigMistake {
    std::string path; ///< Path of the member, such as "models[2].version"; empty for the whole document.
    std::string text; ///< Description, such as "is missing".
};

/** @return "template" or "workspace". */
[[nodiscard]] std::string_view documentKindName(DocumentKind kind);

/** @return The kind with the name @p name, or nothing if there is none. */
[[nodiscard]] std::optional<DocumentKind> documentKindFromName(std::string_view name);

/**
 * Validates an edit of a document, which may create, replace or delete it.
 * @param config Configuration that the edit is based on; duplicate API keys and template use are checked against it.
 * @param document Document after the edit.
 * @return All mistakes; empty if the document may be committed.
 */
[[nodiscard]] std::vector<ConfigMistake> validateDocument(const FleetConfig &config, const Document &document);

/** @return An InvalidDocument error that lists @p mistakes, one per line. */
[[nodiscard]] Error invalidDocument(const std::vector<ConfigMistake> &mistakes);

/**
 * Resolves all workspaces of @p state against their templates.
 * @param mistakes Receives the mistakes of the documents; workspaces with mistakes are left out. Committed documents have none unless an older version
 * validated them less strictly.
 */
[[nodiscard]] std::shared_ptr<const FleetConfig> resolveConfig(const ConfigState &state, std::vector<ConfigMistake> &mistakes);

} // namespace skylark
