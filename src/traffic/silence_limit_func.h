/** @file silence_limit_func.h How long a target or another host may be silent during a request. */
#pragma once

#include "traffic/caller_server_base.h"
#include "traffic/request_context_type.h"

namespace skylark {

/** @return Time left until the deadline of the request; negative after it. */
[[nodiscard]] std::chrono::milliseconds timeLeft(const RequestContext &context);

/** @return Whether the request waits until its deadline for a target that can go on with its answer, of which the caller or this host has a part. */
[[nodiscard]] bool waitsForTarget(const RequestContext &context);

/** @return Number of attempts that count towards the limit. */
[[nodiscard]] unsigned countedAttempts(const RequestContext &context);

/** @return Whether the number of attempts and the retry budget allow another attempt after the current one. @param repeatable Whether the call may run twice.
 */
[[nodiscard]] bool mayRetry(const CallerServer::Impl &impl, const RequestContext &context, bool repeatable);

/**
 * @param stream Whether the answer is read as a stream of events.
 * @param moveAfter Configured limit, which applies while the request may move to another target.
 * @return How long the current target may be silent: until the deadline if the request may not move.
 */
[[nodiscard]] std::chrono::milliseconds silenceLimitOf(const RequestContext &context, bool stream, std::chrono::milliseconds moveAfter);

/** @return Whether the request has failed for good because its target was silent until the deadline. */
[[nodiscard]] bool isSilentUntilDeadline(const RequestContext &context, const Error &failure);

} // namespace skylark
