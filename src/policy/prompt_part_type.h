/** @file prompt_part_type.h Parts of a request's prompt, which other requests may share. */
#pragma once

#include "core/id_type.h"

#include <vector>

namespace skylark {

using PromptPartId = StrongNumber<struct PromptPartTag>; ///< One part of a prompt, the same on every host; 0 for none.

/** Parts of the prompt of one request. */
struct PromptParts {
    std::vector<PromptPartId> shared; ///< Parts that other requests may share, in order; all but the last one.
    PromptPartId own; ///< Last part, which belongs to the request or its session.
};

} // namespace skylark
