/** @file prompt_part_type.h Parts of a request's prompt, which other requests may share, and the request as a whole. */
#pragma once

#include "core/id_type.h"

#include <cstdint>
#include <vector>

namespace skylark {

using PromptPartId = StrongNumber<struct PromptPartTag>; ///< One part of a prompt, or a whole request; the same on every host, 0 for none.

constexpr std::uint64_t wholeRequestBit = 1ULL << 63U; ///< Set in the identifiers of whole requests, and in those only.

/** @return Identifier of the part with @p hash. */
[[nodiscard]] constexpr PromptPartId promptPart(std::uint64_t hash)
{
    return {hash & ~wholeRequestBit};
}

/** @return Identifier of the whole request with @p hash. */
[[nodiscard]] constexpr PromptPartId wholeRequest(std::uint64_t hash)
{
    return {hash | wholeRequestBit};
}

/** @return Whether @p id identifies a whole request, not a part that several may share. */
[[nodiscard]] constexpr bool isWholeRequest(PromptPartId id)
{
    return (id.value & wholeRequestBit) != 0;
}

/** Parts of the prompt of one request, from what many requests share to what only repeats of this one have. */
struct PromptParts {
    std::vector<PromptPartId> shared; ///< Parts that other requests may share, in order; all but the last one.
    PromptPartId own; ///< Last part, which belongs to the request or its session.
    PromptPartId request{}; ///< The whole request, the same whenever it comes again; 0 for a batch item.
    std::vector<std::uint32_t> sharedTokens{}; ///< Tokens of each part in @c shared; empty where they are not known.
    std::uint32_t ownTokens{0}; ///< Tokens of the last part.
};

} // namespace skylark
