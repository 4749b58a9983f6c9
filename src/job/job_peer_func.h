/** @file job_peer_func.h Reads of a job at the host that runs it, which spare reads of the key-value service. */
#pragma once

#include "job/job_registry_base.h"

#include <optional>

namespace skylark {

/** Maximum of result texts in one answer of the owner, in bytes. */
inline constexpr std::size_t maxOwnerAnswerBytes = std::size_t{512} << 10U;

/**
 * Encodes the record of a job that this host runs, and results that it holds.
 * @param after Number of results that the reader has already.
 * @return The document; empty if this host does not own the job.
 */
[[nodiscard]] std::optional<std::string> encodeOwnedJob(const JobRegistry &registry, const JobId &job, std::uint64_t after);

/**
 * Applies a document of encodeOwnedJob(), as if its record and results had been read from the key-value service.
 * @param askedAt When the owner was asked.
 * @return InvalidDocument when it cannot be decoded or is about another job.
 */
[[nodiscard]] Result<Done> applyOwnedJob(const std::shared_ptr<JobRegistry> &registry, const JobId &job, std::string_view document, TimePoint askedAt);

/**
 * Brings the record of a job up to date: from its owner when a host announces the job, otherwise from the key-value service.
 * @param after Number of results that the reader has already.
 * @return Whether the job exists.
 */
boost::asio::awaitable<Result<bool>> refreshJob(std::shared_ptr<JobRegistry> registry, JobId job, std::uint64_t after);

} // namespace skylark
