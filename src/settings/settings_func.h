/** @file settings_func.h Reads and validates the daemon's settings file. */
#pragma once

#include "core/result_type.h"
#include "settings/settings_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace skylark {

/**
 * Parses and validates a settings file as a whole.
 * @param text JSON; comments and trailing commas are allowed.
 * @return The settings, or one InvalidSettings error whose detail lists every mistake, one a line, each with its path such as "hosts[2].http.port".
 */
[[nodiscard]] Result<Settings> parseSettings(std::string_view text);

/** Reads and parses the file at @p path. @return The settings, or InvalidSettings as from parseSettings(), with @p path as its parameter. */
[[nodiscard]] Result<Settings> loadSettings(const std::string &path);

} // namespace skylark
