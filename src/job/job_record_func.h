/** @file job_record_func.h Stored form of jobs and results, and the keys under which they are kept. */
#pragma once

#include "core/result_type.h"
#include "job/job_type.h"

#include <string>
#include <string_view>

namespace skylark {

/** Prefix of all keys that hosts follow to know the jobs. */
inline constexpr std::string_view jobPrefix = "jobs/";

/** @return Key of the record of @p job. */
[[nodiscard]] std::string jobRecordKey(const JobId &job);

/** @return Whether @p key is the key of a record. */
[[nodiscard]] bool isJobRecordKey(std::string_view key);

/** @return Key that changes with each job accepted on the route of @p host and @p prefix; makes acceptances follow one another. */
[[nodiscard]] std::string jobQuotaKey(std::string_view host, std::string_view prefix);

/** @return Key of part @p part of the submission's body. */
[[nodiscard]] std::string jobBodyKey(const JobId &job, std::uint32_t part);

/** @return Prefix of the results of @p job. */
[[nodiscard]] std::string jobResultPrefix(const JobId &job);

/** @return Key of the result at @p position; keys sort by position. */
[[nodiscard]] std::string jobResultKey(const JobId &job, std::uint64_t position);

/** @return Key of the kept outputs of @p job. */
[[nodiscard]] std::string jobOutputsKey(const JobId &job);

/** @return Stored form of @p outputs; outputs beyond @p maxBytes of text are left out. */
[[nodiscard]] std::string encodeSavedOutputs(const SavedOutputs &outputs, std::size_t maxBytes);

/** @return The outputs in @p value, or InvalidDocument. */
[[nodiscard]] Result<SavedOutputs> decodeSavedOutputs(std::string_view value);

/** @return Stored form of @p record. */
[[nodiscard]] std::string encodeStoredJob(const StoredJob &record);

/** @return The record in @p value, or InvalidDocument. */
[[nodiscard]] Result<StoredJob> decodeStoredJob(std::string_view value);

/** @return Stored form of @p result. */
[[nodiscard]] std::string encodeJobResult(const JobResult &result);

/** @return The result in @p value, or InvalidDocument. */
[[nodiscard]] Result<JobResult> decodeJobResult(std::string_view value);

} // namespace skylark
