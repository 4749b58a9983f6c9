/** @file job_record_func.h Stored form of jobs, results and checkpoints, and the keys under which they are stored. */
#pragma once

#include "core/result_type.h"
#include "job/job_policy_func.h"
#include "job/job_type.h"

#include <string>
#include <string_view>

namespace skylark {

/** Prefix of all keys that hosts mirror: records of jobs and quota keys. */
inline constexpr std::string_view jobPrefix = "jobs/";

/** @return Key of the record of @p job. */
[[nodiscard]] std::string jobRecordKey(const JobId &job);

/** @return The job whose record has the key @p key, for which isJobRecordKey() holds. */
[[nodiscard]] JobId jobOfRecordKey(std::string_view key);

/** @return Whether @p key is the key of a job record. */
[[nodiscard]] bool isJobRecordKey(std::string_view key);

/**
 * @return Key of the ledger of waiting tokens that each acceptance of a job of @p workspace on the route of @p host and @p prefix writes; a condition on its
 *         revision serializes acceptances. @param workspace Empty for callers without one.
 */
[[nodiscard]] std::string jobQuotaKey(std::string_view host, std::string_view prefix, const WorkspaceId &workspace);

/** @return Stored form of @p ledger. */
[[nodiscard]] std::string encodeLedger(const WaitingLedger &ledger);

/** @return The ledger in @p value; empty when it is none, as earlier versions wrote it. */
[[nodiscard]] WaitingLedger decodeLedger(std::string_view value);

/** @return Key of the part with number @p part, from 0, of the submission's body. */
[[nodiscard]] std::string jobBodyKey(const JobId &job, std::uint32_t part);

/** @return Prefix of the keys of the results of @p job. */
[[nodiscard]] std::string jobResultPrefix(const JobId &job);

/** @return Key of the result at @p position; the keys of a job sort by position. */
[[nodiscard]] std::string jobResultKey(const JobId &job, std::uint64_t position);

/** @return Key of the checkpoints of @p job. */
[[nodiscard]] std::string jobCheckpointKey(const JobId &job);

/** @return Stored form of @p checkpoints; the first one that makes the texts exceed @p maxBytes, and all after it, are left out. */
[[nodiscard]] std::string encodeCheckpoints(const ItemCheckpoints &checkpoints, std::size_t maxBytes);

/** @return The checkpoints in @p value, or InvalidDocument. */
[[nodiscard]] Result<ItemCheckpoints> decodeCheckpoints(std::string_view value);

/** @return Stored form of @p record. */
[[nodiscard]] std::string encodeStoredJob(const StoredJob &record);

/** @return The record in @p value, or InvalidDocument. */
[[nodiscard]] Result<StoredJob> decodeStoredJob(std::string_view value);

/** @return Stored form of @p result. */
[[nodiscard]] std::string encodeJobResult(const JobResult &result);

/** @return The result in @p value, or InvalidDocument. */
[[nodiscard]] Result<JobResult> decodeJobResult(std::string_view value);

} // namespace skylark
