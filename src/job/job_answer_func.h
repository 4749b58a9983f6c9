/** @file job_answer_func.h Answers to requests of callers on jobs. */
#pragma once

#include "job/job_registry_base.h"

namespace skylark {

inline constexpr std::chrono::milliseconds storeRetryAfter{700}; ///< Retry-After while the store cannot be reached.
inline constexpr std::chrono::milliseconds jobWriteRetryDelay{150}; ///< Delay after a failed write.

/** @return An answer without results. */
[[nodiscard]] JobAnswer makeJobAnswer(int status, std::string_view reason, std::optional<std::chrono::milliseconds> retryAfter = {});

/** @return The answer while the store cannot be reached. */
[[nodiscard]] JobAnswer storeUnavailable();

/** @return The answer about a job that the registry does not hold after its record was read. @param exists Result of that read. */
[[nodiscard]] JobAnswer missingJob(const Result<bool> &exists);

} // namespace skylark
