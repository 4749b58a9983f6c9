/** @file target_view_func.h Routing questions made from the control snapshot and this host's own counters. */
#pragma once

#include "traffic/caller_server_base.h"
#include "traffic/request_context_type.h"

namespace skylark {

/** @return Engines of this failure domain that take only batch under @p mode. */
[[nodiscard]] std::vector<TargetId> reservedForBatch(PolicyMode mode, const ControlSnapshot &snapshot);

/** @return Whether @p view has the model, its version and the adapter loaded. */
[[nodiscard]] bool hasModel(const TargetView &view, const ModelSpec &model, const std::string &adapter);

/** @return Whether @p view takes no new work, by any source that this thread knows. */
[[nodiscard]] bool isLeaving(const CallerServer::Impl &impl, const TargetView &view, TimePoint now);

/** @return The question for the next attempt of @p context. */
[[nodiscard]] RouteQuestion makeQuestion(CallerServer::Impl &impl, const RequestContext &context, TimePoint now);

/** @return Usual time between two slots of the model becoming free. */
[[nodiscard]] std::chrono::milliseconds slotTime(const RouteQuestion &question, double serviceMs);

/** @return A target of service @p name, or null. @p tried Targets to avoid. */
[[nodiscard]] const TargetView *chooseService(
    CallerServer::Impl &impl, const ControlSnapshot &snapshot, const std::string &name, const std::vector<TargetId> &tried, TimePoint now);

/** @return A live host of @p domain, or null. */
[[nodiscard]] const HostView *chooseHost(CallerServer::Impl &impl, const ControlSnapshot &snapshot, const DomainId &domain);

} // namespace skylark
