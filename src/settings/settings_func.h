/** @file settings_func.h Reading and validating settings. */
#pragma once

#include "core/result_type.h"
#include "settings/settings_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace skylark {

/**
 * Parses and validates settings as a whole.
 * @param text JSON with comments.
 * @return The settings, or one InvalidSettings error whose detail lists every mistake, one a line, each with its path such as "hosts[2].http.port".
 */
[[nodiscard]] Result<Settings> parseSettings(std::string_view text);

/** Reads and parses the file at @p path. */
[[nodiscard]] Result<Settings> loadSettings(const std::string &path);

} // namespace skylark
