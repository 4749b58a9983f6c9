/** @file target_view_func.h Inputs of routing decisions, from the control snapshot and this host's own counters; choice of service targets and hosts. */
#pragma once

#include "traffic/caller_server_base.h"
#include "traffic/request_context_type.h"

namespace skylark {

/** @return Engines of this failure domain that take only batch work under @p mode. */
[[nodiscard]] std::vector<TargetId> reservedForBatch(PolicyMode mode, const ControlSnapshot &snapshot);

/** @return Whether @p view is an engine that has the model in its version and the adapter loaded. An empty version or @p adapter matches any. */
[[nodiscard]] bool hasModel(const TargetView &view, const ModelSpec &model, const std::string &adapter);

/** @return Whether @p view is leaving and takes no new work, according to the host list, its load report, a refusal or a check by this host. */
[[nodiscard]] bool isLeaving(const CallerServer::Impl &impl, const TargetView &view);

/** @return The input of the routing decision for the next attempt of @p context. */
[[nodiscard]] RouteInput makeRouteInput(CallerServer::Impl &impl, const RequestContext &context, TimePoint now);

/** @return Average time between two slots of the model becoming free. @param serviceMs Time that a stream holds its slot, in milliseconds. */
[[nodiscard]] std::chrono::milliseconds slotTime(const RouteInput &input, double serviceMs);

/**
 * @param tried Targets on which an attempt failed; chosen only when there is no other.
 * @return The target of service @p name with the fewest calls in flight, or null when all are leaving or blocked.
 */
[[nodiscard]] const TargetView *chooseServiceTarget(
    CallerServer::Impl &impl, const ControlSnapshot &snapshot, const std::string &name, const std::vector<TargetId> &tried, TimePoint now);

/** @return A random live host of @p domain, or null. */
[[nodiscard]] const HostView *chooseHost(CallerServer::Impl &impl, const ControlSnapshot &snapshot, const DomainId &domain);

} // namespace skylark
