/** @file job_type.h Batch jobs, their items, results and checkpoints as stored in the key-value service. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"
#include "http/http_type.h"
#include "policy/stream_origin_type.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylark {

/** One item as the caller submitted it. */
struct JobItem {
    std::string id; ///< Also the request identifier towards targets.
    std::string path; ///< Request target: path and query.
    HttpHeaders headers;
    std::string body; ///< After decoding from the encoding of the submission.
    std::uint64_t tokens{0}; ///< Tokens of the prompt plus the maximum tokens of the output.
};

/** A job as the caller submitted it. */
struct JobSubmission {
    std::vector<JobItem> items; ///< At least one.
};

/** Final state of an item. */
enum class ItemState : std::uint8_t {
    Completed, ///< The whole output has been received.
    Failed, ///< A target rejected it for good, its runs failed too often, the job's retention expired, or its route is gone or no batch route any more.
};

/** Summary of one item in the record of a job; the item itself is in the stored body of the submission. */
struct ItemHead {
    std::string id;
    std::uint64_t tokens{0}; ///< Tokens that count towards the limit of the route while the item has no result.
};

/** Entry of the result list of a job; its place in the list is the position of the result. */
struct ResultEntry {
    std::uint32_t index{0}; ///< Index of the item in the job.
    ItemState state{ItemState::Completed};
};

/** Record of a job in the key-value service. Each write is conditional on the revision of its key. */
struct StoredJob {
    JobId id;
    WorkspaceId workspace; ///< Workspace of the caller; empty for a job that needs no key, and in records of earlier versions.
    std::string host; ///< Host of the matched route.
    std::string path; ///< Path of the submission; selects the route together with the host.
    std::string digest; ///< Hash of the submission's body; tells a repeated submission from another one under the same identifier.
    UnixTime created{}; ///< Wall clock time of the accepting host, for operators only: the clocks of hosts differ and may jump.
    SessionId owner; ///< Session of the host process that runs the items; empty when the owner released the job.
    bool ended{false}; ///< Whether the caller ended the job; its remaining items are not run.
    std::uint32_t bodyParts{0}; ///< Number of keys that hold the submission's body.
    std::vector<ItemHead> items;
    std::vector<ResultEntry> listed; ///< Items that have a result, in the order of their positions.
};

/** @return Whether every item has a result. */
[[nodiscard]] inline bool isComplete(const StoredJob &record)
{
    return record.listed.size() == record.items.size();
}

/** @return Whether the job still has items to run; otherwise it is called closed. */
[[nodiscard]] inline bool isOpen(const StoredJob &record)
{
    return !record.ended && !isComplete(record);
}

/** Result of one item as readers receive it. */
struct JobResult {
    std::string item; ///< Identifier of the item.
    ItemState state{ItemState::Completed};
    std::string text; ///< Data of all events, separated by line feeds; empty for a failed item.
};

/** Stored partial output of an unfinished item, from which another host can resume the item. */
struct ItemCheckpoint {
    std::uint64_t lastEventId{0}; ///< Identifier of the last event in the text.
    std::uint64_t events{0}; ///< Number of events in the text.
    unsigned failures{0}; ///< Number of runs that the target itself reported as failed.
    std::string text; ///< Data of these events, separated by line feeds.
    std::optional<ServiceVersion> origin{}; ///< Version that produced the text; empty when there is none, or an earlier release wrote the checkpoint.
};

/** Checkpoints of a job by the index of the item. */
using ItemCheckpoints = std::map<std::uint32_t, ItemCheckpoint>;

/** Page of results returned by one read. */
struct JobPage {
    std::uint64_t total{0}; ///< Number of items of the job.
    std::uint64_t next{0}; ///< Position after the last result; the next read continues there.
    std::vector<JobResult> results;
};

} // namespace skylark
