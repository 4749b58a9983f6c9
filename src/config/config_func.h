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

/** One mistake in a document. */
struct ConfigMistake {
    std::string path; ///< Place, such as "models[2].version"; empty for the whole document.
    std::string text; ///< What is wrong.
};

/** @return "template" or "workspace". */
[[nodiscard]] std::string_view documentKindName(DocumentKind kind);

/** @return The kind that @p name means, or nothing. */
[[nodiscard]] std::optional<DocumentKind> documentKindOf(std::string_view name);

/**
 * Checks @p document as the successor of its present version in @p config.
 * @param config Configuration of the head that the edit is based on; duplicate API keys and template use are checked against it.
 * @return All mistakes; empty when the document may be committed.
 */
[[nodiscard]] std::vector<ConfigMistake> validateDocument(const FleetConfig &config, const Document &document);

/** @return One InvalidDocument error that lists @p mistakes, one a line. */
[[nodiscard]] Error invalidDocument(const std::vector<ConfigMistake> &mistakes);

/**
 * Resolves all workspaces of @p state.
 * @param mistakes Receives the mistakes of workspaces that are left out; committed documents have none.
 */
[[nodiscard]] std::shared_ptr<const FleetConfig> resolveConfig(const ConfigState &state, std::vector<ConfigMistake> &mistakes);

} // namespace skylark
