/** @file job_type.h Batch jobs that are kept in the key-value service, their items and results. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"
#include "http/http_type.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace skylark {

/** One item as the caller submitted it. */
struct JobItem {
    std::string id; ///< Identifier; also the request identifier towards targets.
    std::string path; ///< Path and query.
    HttpHeaders headers; ///< Headers.
    std::string body; ///< Decoded body.
    std::uint64_t tokens{0}; ///< Tokens of the prompt and at most of the output.
};

/** A job as the caller submitted it. */
struct JobSubmission {
    std::vector<JobItem> items; ///< Items; at least one.
};

/** Final state of an item. */
enum class ItemState : std::uint8_t {
    Completed, ///< The whole output is known.
    Failed, ///< It can never be done, or was given up.
};

/** What the record of a job says of one item. */
struct ItemHead {
    std::string id; ///< Identifier.
    std::uint64_t tokens{0}; ///< Tokens that count towards the limit of the route.
};

/** One result at its position. */
struct ListedItem {
    std::uint32_t index{0}; ///< Index of the item in the job.
    ItemState state{ItemState::Completed}; ///< Final state.
};

/** Record of a job in the service; every change is conditional on its revision. */
struct StoredJob {
    JobId id; ///< Job.
    std::string host; ///< Host header of the submission.
    std::string path; ///< Path of the submission; selects the route.
    std::string digest; ///< Hash of the submission's body.
    UnixTime created{}; ///< Time of acceptance.
    SessionId owner; ///< Run of the host process that runs the items.
    bool ended{false}; ///< Whether the caller ended the job.
    std::uint32_t bodyParts{0}; ///< Keys that hold the submission's body.
    std::vector<ItemHead> items; ///< Items.
    std::vector<ListedItem> listed; ///< Results in the order of their positions.
};

/** @return Whether every item has a result. */
[[nodiscard]] inline bool isComplete(const StoredJob &record)
{
    return record.listed.size() == record.items.size();
}

/** @return Whether items of the job are still to be run. */
[[nodiscard]] inline bool isOpen(const StoredJob &record)
{
    return !record.ended && !isComplete(record);
}

/** A result as readers see it. */
struct JobResult {
    std::string item; ///< Item.
    ItemState state{ItemState::Completed}; ///< Final state.
    std::string text; ///< Data of all events, separated by line feeds; empty for a failed item.
};

/** Output of an unfinished item that is kept, so that another host goes on from there. */
struct SavedOutput {
    std::uint64_t lastEventId{0}; ///< Last event in the text.
    std::uint64_t events{0}; ///< Number of events in the text.
    unsigned failures{0}; ///< Runs that a target itself reported as failed.
    std::string text; ///< Data of these events.
};

/** Kept outputs of a job by the index of the item. */
using SavedOutputs = std::map<std::uint32_t, SavedOutput>;

/** One read of results. */
struct JobPage {
    std::uint64_t total{0}; ///< Items of the job.
    std::uint64_t next{0}; ///< Position after the last result.
    std::vector<JobResult> results; ///< Results.
};

} // namespace skylark
