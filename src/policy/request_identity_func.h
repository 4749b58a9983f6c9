/** @file request_identity_func.h Identity of a request, by which its repeats are recognised on every host. */
#pragma once

#include "policy/prompt_part_type.h"

#include <initializer_list>
#include <string_view>

namespace skylark {

/** @return Identity of the request that consists of @p texts, such as its path, caller and body; values that differ between attempts must be left out. */
[[nodiscard]] PromptPartId requestIdentity(std::initializer_list<std::string_view> texts);

} // namespace skylark
