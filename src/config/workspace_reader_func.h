/** @file workspace_reader_func.h Reads template and workspace documents; internal to config. */
#pragma once

#include "config/document_reader_func.h"

namespace skylark {

/** Reads the body of a template. @return The default parameters of its workspaces. */
[[nodiscard]] WorkspaceConfig readTemplate(DocumentReader &reader, std::string_view body);

/** @return The member "template" of a workspace body; empty if it is missing or malformed. */
[[nodiscard]] std::string templateNameOf(std::string_view body);

/** Reads the body of a workspace. @param defaults Parameters of its template. @return @p defaults with the members of the body replaced. */
[[nodiscard]] WorkspaceConfig readWorkspace(DocumentReader &reader, std::string_view body, WorkspaceConfig defaults);

} // namespace skylark
