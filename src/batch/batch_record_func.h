/** @file batch_record_func.h JSON encoding of job and group records in the key-value service. */
#pragma once

#include "control/snapshot_type.h"
#include "core/result_type.h"
#include "policy/claim_type.h"

#include <string>
#include <string_view>

namespace skylark {

/** @return Id of the job that @p workspace submits with the idempotency key @p jobKey; the same for each submission. */
[[nodiscard]] JobId batchJobId(const WorkspaceId &workspace, std::string_view jobKey);

[[nodiscard]] std::string batchJobKey(const JobId &job);

/** @return Prefix of the keys of the group records of @p job, ending in "/". */
[[nodiscard]] std::string batchGroupPrefix(const JobId &job);

[[nodiscard]] std::string batchGroupKey(const JobId &job, std::uint32_t group);

[[nodiscard]] std::string renderBatchJob(const JobRecord &record);

/** Parses a job record; missing members get default values. @return ProtocolError when it is no JSON object or has no valid state. */
[[nodiscard]] Result<JobRecord> parseBatchJob(const JobId &id, std::string_view text, KvVersion version);

[[nodiscard]] std::string renderBatchGroup(const GroupRecord &record);

/** Parses a group record; missing members get default values. @return ProtocolError when it is no JSON object or has no valid state. */
[[nodiscard]] Result<GroupRecord> parseBatchGroup(std::string_view text);

/** @return Blob kind of the input of a group; names the model that the group's items call. @param model Index in JobRecord::models. */
[[nodiscard]] std::string inputBlobKind(std::size_t model);

/** @return Model that the items of @p group call, by the kind of its input blob; the first model if the job has only one or no kind matches. */
[[nodiscard]] ModelId modelOfGroup(const JobRecord &record, std::uint32_t group);

} // namespace skylark
