/** @file workspace.cpp Finds the workspace of an API key. */
#include "fleet/workspace_func.h"

#include "core/hash_func.h"

#include <algorithm>

namespace skylark {

KeyTable buildKeyTable(const std::vector<WorkspaceRule> &workspaces, std::uint64_t seed)
{
    KeyTable table;
    table.seed = seed;
    for (std::size_t i = 0; i < workspaces.size(); ++i) {
        for (const std::string &key : workspaces[i].keys) {
            const std::uint64_t digest = hash64(key, seed);
            const auto [first, last] = table.entries.equal_range(digest);
            const bool known = std::any_of(first, last, [&key](const auto &entry) {
                return entry.second.key == key;
            });
            if (known) {
                ++table.repeated;
            } else {
                table.entries.emplace(digest, KeyEntry{key, i});
            }
        }
    }
    return table;
}

void indexWorkspaces(RoutingConfig &config)
{
    if (config.workspaces) {
        config.keys = std::make_shared<const KeyTable>(buildKeyTable(*config.workspaces, hash64(randomIdHex())));
    }
}

const WorkspaceRule *findWorkspace(const RoutingConfig &config, std::string_view key)
{
    if (!config.workspaces || !config.keys || key.empty()) {
        return nullptr;
    }
    const WorkspaceRule *found = nullptr;
    const auto [first, last] = config.keys->entries.equal_range(hash64(key, config.keys->seed));
    for (auto entry = first; entry != last; ++entry) {
        if (equalsInConstantTime(entry->second.key, key)) {
            found = &(*config.workspaces)[entry->second.workspace];
        }
    }
    return found;
}

bool equalsInConstantTime(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i) {
        difference |= static_cast<unsigned>(static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]));
    }
    return difference == 0;
}

unsigned priorityOf(const RoutingConfig &config, const RouteRule &route, const WorkspaceId &workspace)
{
    if (config.workspaces && !workspace.empty()) {
        for (const WorkspaceRule &rule : *config.workspaces) {
            if (rule.id == workspace) {
                return rule.priority;
            }
        }
    }
    return route.priority;
}

} // namespace skylark
