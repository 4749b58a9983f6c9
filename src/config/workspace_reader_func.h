/** @file workspace_reader_func.h Reading of template and workspace documents; internal to config. */
#pragma once

#include "config/document_reader_func.h"

namespace skylark {

/** Reads a template body. @return The parameters that its workspaces start from. */
[[nodiscard]] WorkspaceConfig readTemplate(DocumentReader &reader, std::string_view body);

/** @return The member "template" of a workspace body, or an empty string. */
[[nodiscard]] std::string templateNameOf(std::string_view body);

/** Reads a workspace body over @p defaults, the parameters of its template. */
[[nodiscard]] WorkspaceConfig readWorkspace(DocumentReader &reader, std::string_view body, WorkspaceConfig defaults);

} // namespace skylark
