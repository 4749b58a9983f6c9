/** @file crash_evidence_func.h Evidence of prompt prefixes and requests that crash targets, from online generations and service calls. */
#pragma once

#include "policy/run_progress_type.h"
#include "traffic/caller_server_base.h"
#include "traffic/request_context_type.h"

#include <optional>

namespace skylark {

/** @return The error for a request that is quarantined or whose prompt has a quarantined prefix; empty when it may be sent to a target. */
[[nodiscard]] std::optional<Error> quarantineError(CallerServer::Impl &impl, const RequestContext &context);

/** Records that a request is about to be sent to a target. */
void recordRunStart(CallerServer::Impl &impl, const RequestContext &context);

/** Records an attempt that failed with @p error; it is suspect if its target closed the connection as the answer began or before. */
void recordFailedRun(CallerServer::Impl &impl, const RequestContext &context, const TargetId &target, const RunProgress &progress, const Error &error);

/** Records an attempt whose answer was complete. */
void recordSoundRun(CallerServer::Impl &impl, const RequestContext &context);

} // namespace skylark
