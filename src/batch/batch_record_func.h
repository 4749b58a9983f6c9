/** @file batch_record_func.h JSON form of job and group records in the key-value service. */
#pragma once

#include "control/snapshot_type.h"
#include "core/result_type.h"
#include "policy/claim_type.h"

#include <string>
#include <string_view>

namespace skylark {

/** @return The id of the job that @p workspace submits under @p jobKey. */
[[nodiscard]] JobId batchJobId(const WorkspaceId &workspace, std::string_view jobKey);

/** @return Key of a job record. */
[[nodiscard]] std::string batchJobKey(const JobId &job);

/** @return Prefix of the keys of a job's group records. */
[[nodiscard]] std::string batchGroupPrefix(const JobId &job);

/** @return Key of a group record. */
[[nodiscard]] std::string batchGroupKey(const JobId &job, std::uint32_t group);

/** @return JSON value of a job record. */
[[nodiscard]] std::string renderBatchJob(const JobRecord &record);

/** Parses the value of the key of job @p id. @return ProtocolError when it is malformed. */
[[nodiscard]] Result<JobRecord> parseBatchJob(const JobId &id, std::string_view text, KvVersion version);

/** @return JSON value of a group record. */
[[nodiscard]] std::string renderBatchGroup(const GroupRecord &record);

/** Parses the value of a group key. @return ProtocolError when it is malformed. */
[[nodiscard]] Result<GroupRecord> parseBatchGroup(std::string_view text);

/** @return Kind of the input blob of a group whose items call the model with index @p model in JobRecord::models. */
[[nodiscard]] std::string inputBlobKind(std::size_t model);

/** @return Model that the items of @p group call. */
[[nodiscard]] ModelId modelOfGroup(const JobRecord &record, std::uint32_t group);

} // namespace skylark
