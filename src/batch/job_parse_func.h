/** @file job_parse_func.h Parses a job submission and splits it into groups. */
#pragma once

#include "config/config_type.h"
#include "core/result_type.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylark {

constexpr std::uint32_t itemsPerGroup = 256; ///< A group takes two record writes, so an item takes less than 0.01.

/** Items of one group, as JSON lines. */
struct GroupInput {
    std::size_t model{0}; ///< Index in ParsedJob::models; all items of a group call one model, so that any host with a target for it can run the group.
    std::uint32_t items{0}; ///< Number of items.
    std::string lines; ///< JSON lines, one per item, each ending in a newline.
};

/** Checked items of a submission, split into groups. */
struct ParsedJob {
    std::vector<ModelId> models; ///< Models that the items call, in the order of their first use.
    std::vector<GroupInput> groups; ///< Groups in the order of their first item.
    std::uint32_t items{0}; ///< Number of items in all groups.
};

/** State of the parser between lines. */
struct JobParser {
    const WorkspaceConfig *workspace{nullptr}; ///< Workspace that submits the job; must outlive the parser.
    ParsedJob job; ///< Items parsed so far.
    std::unordered_map<std::string, std::size_t> lineOfId; ///< Line number of each "custom_id".
    std::unordered_map<ModelId, std::size_t> openGroup; ///< Index in ParsedJob::groups of the group to which the next item of each model is added.
    std::size_t line{0}; ///< Number of the last line read, from 1.
};

/**
 * Parses one line and adds its item to the job; empty lines are skipped.
 * @return InvalidRequest, ModelNotFound, CallNotRepeatable or PayloadTooLarge with param "line <n>".
 */
[[nodiscard]] Result<Done> parseJobLine(JobParser &parser, std::string_view line);

/** One item of an input blob. */
struct ItemInput {
    std::string customId;
    std::string body; ///< JSON body of the model call.
};

/** Parses the JSON lines of an input blob. @return ProtocolError when a line has no body. */
[[nodiscard]] Result<std::vector<ItemInput>> parseGroupInput(std::string_view lines);

} // namespace skylark
