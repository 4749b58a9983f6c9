/** @file workspace_func.h Finds the workspace of an API key. */
#pragma once

#include "fleet/fleet_type.h"

#include <string_view>

namespace skylark {

/** Builds the table of all API keys of @p workspaces. @param seed Random number, unknown to callers. */
[[nodiscard]] KeyTable buildKeyTable(const std::vector<WorkspaceRule> &workspaces, std::uint64_t seed);

/** Builds the table of the API keys of @p config if it has workspaces; must be called before the configuration is put in force. */
void indexWorkspaces(RoutingConfig &config);

/**
 * Finds the owner of an API key. Takes the same time for any number of keys, and compares keys in constant time.
 * @return The workspace in @p config, or null when no workspace has the key, or when the key is empty.
 */
[[nodiscard]] const WorkspaceRule *findWorkspace(const RoutingConfig &config, std::string_view key);

/** @return Whether both texts are equal; the time taken depends on their lengths only. */
[[nodiscard]] bool equalsInConstantTime(std::string_view left, std::string_view right);

/** @return Priority of the requests of @p workspace on @p route: that of the workspace if the configuration has it, otherwise that of the route. */
[[nodiscard]] unsigned priorityOf(const RoutingConfig &config, const RouteRule &route, const WorkspaceId &workspace);

} // namespace skylark
