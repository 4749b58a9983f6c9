/** @file crash_evidence_func.h Evidence of prompt prefixes that crash engines, from online generations. */
#pragma once

#include "policy/run_progress_type.h"
#include "traffic/caller_server_base.h"
#include "traffic/chat_type.h"

#include <optional>

namespace skylark {

/** @return The error for a generation whose prompt has a quarantined prefix; empty when it may be sent to a target. */
[[nodiscard]] std::optional<Error> quarantineError(CallerServer::Impl &impl, const Generation &generation);

/** Records that a generation is about to be sent to a target. */
void recordGenerationStart(CallerServer::Impl &impl, const Generation &generation);

/** Records an attempt that failed with @p error; it is suspect if its target closed the connection as the answer began or before. */
void recordGenerationFailure(CallerServer::Impl &impl, const Generation &generation, const TargetId &target, const RunProgress &progress, const Error &error);

/** Records an attempt whose answer was complete. */
void recordSoundGeneration(CallerServer::Impl &impl, const Generation &generation);

} // namespace skylark
