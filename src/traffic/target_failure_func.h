/** @file target_failure_func.h Handles failed calls to targets: target health, pooled connections and the run state of the request. */
#pragma once

#include "traffic/caller_server_base.h"
#include "traffic/request_context_type.h"

namespace skylark {

/**
 * Records a failed call to a target: whether the request may have run and, unless the caller is gone, the health of the target, for which a silence of
 * up to maxSoundSilence does not count.
 * After a timeout the pooled connections of the target are closed and the engine is asked to cancel @p attempt; after a refusal the
 * target counts as leaving if it says that it is draining, and is asked otherwise.
 */
void recordCallFailure(CallerServer::Impl &impl, RequestContext &context, const TargetInfo &target, const RequestId &attempt, const Error &error);

/** @return Whether @p target was marked as leaving so long ago that it must be asked again. */
[[nodiscard]] bool isLeavingDoubtful(const CallerServer::Impl &impl, const TargetId &target, TimePoint now);

/** Asks @p target whether it is draining, unless it was asked just before. It counts as leaving, or serves again, as it answers. */
void startDrainCheck(CallerServer::Impl &impl, const TargetInfo &target);

/** Closes the idle pooled connections to @p endpoint after a timeout, so that the next request opens a new one. */
void dropSilentConnections(CallerServer::Impl &impl, const Endpoint &endpoint);

/** @return Whether @p code means that the peer did not respond in time or that sending to it failed. */
[[nodiscard]] bool isUnresponsive(ErrorCode code);

/**
 * @param lastAttempt Failure of the last attempt, if any.
 * @return @p error as reported to the caller: never with RunState::No when an attempt may have run. @p lastAttempt replaces an error
 * whose code cannot carry RunState::Maybe.
 */
[[nodiscard]] Error finalError(const RequestContext &context, Error error, const std::optional<Error> &lastAttempt);

/** Counts an online stream on a target for the lifetime of the object. */
struct OnlineStreamGuard {
    TargetLoadTable &table;
    TargetId target;

    OnlineStreamGuard(TargetLoadTable &loads, TargetId counted);
    ~OnlineStreamGuard();
    OnlineStreamGuard(const OnlineStreamGuard &) = delete;
    OnlineStreamGuard &operator=(const OnlineStreamGuard &) = delete;
};

} // namespace skylark
