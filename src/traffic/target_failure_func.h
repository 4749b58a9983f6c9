/** @file target_failure_func.h What a failed call means for the target and the request. */
#pragma once

#include "traffic/caller_server_base.h"
#include "traffic/request_context_type.h"

namespace skylark {

/** Records a failed call to a target: health, silent connections, leaving targets, and whether the request may have run. */
void noteCallFailed(CallerServer::Impl &impl, RequestContext &context, const TargetInfo &target, const RequestId &attempt, const Error &error);

/** Closes pooled connections to @p endpoint after a timeout, so that the next request opens a new one. */
void dropSilentConnections(CallerServer::Impl &impl, const Endpoint &endpoint);

/** @return Whether @p code means that the peer did not answer in time. */
[[nodiscard]] bool isSilence(ErrorCode code);

/** @return @p error as the caller may see it: it never says "not run" when an attempt may have run. */
[[nodiscard]] Error finalError(const RequestContext &context, Error error, const std::optional<Error> &lastAttempt);

/** Counts a stream on a target for as long as it exists. */
struct StreamCount {
    TargetLoadTable &table; ///< Table.
    TargetId target; ///< Target.

    StreamCount(TargetLoadTable &loads, TargetId counted);
    ~StreamCount();
    StreamCount(const StreamCount &) = delete;
    StreamCount &operator=(const StreamCount &) = delete;
};

} // namespace skylark
