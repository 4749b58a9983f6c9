/** @file job_parse_func.h Parsing a job submission and cutting it into groups. */
#pragma once

#include "config/config_type.h"
#include "core/result_type.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylark {

constexpr std::uint32_t itemsPerGroup = 256; ///< Two writes a group keep an item below 0.01 writes.

/** Items of one group, as JSON lines. */
struct GroupInput {
    std::size_t model{0}; ///< Index in ParsedJob::models; all items of a group call the same model, so that any host with that model can run it.
    std::uint32_t items{0}; ///< Items.
    std::string lines; ///< One line an item.
};

/** A submission that was checked. */
struct ParsedJob {
    std::vector<ModelId> models; ///< Models in the order of their first use.
    std::vector<GroupInput> groups; ///< Groups in the order of their first item.
    std::uint32_t items{0}; ///< Items.
};

/** State of the parser between lines. */
struct JobParser {
    const WorkspaceConfig *workspace{nullptr}; ///< Workspace that submits.
    ParsedJob job; ///< Items so far.
    std::unordered_map<std::string, std::size_t> lineOfId; ///< Line of each item id.
    std::unordered_map<ModelId, std::size_t> openGroup; ///< Group that takes the next item of each model.
    std::size_t line{0}; ///< Lines read.
};

/** Takes one line; empty lines are skipped. @return InvalidRequest, ModelNotFound, CallNotRepeatable or PayloadTooLarge with param "line <n>". */
[[nodiscard]] Result<Done> parseJobLine(JobParser &parser, std::string_view line);

/** One item of an input blob. */
struct ItemInput {
    std::string customId; ///< Caller's id.
    std::string body; ///< Call body.
};

/** Parses an input blob. */
[[nodiscard]] Result<std::vector<ItemInput>> parseGroupInput(std::string_view lines);

} // namespace skylark
