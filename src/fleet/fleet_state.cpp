/** @file fleet_state.cpp Publishes what the fleet controller knows and records outages of the key-value service. */
#include "core/event_log_func.h"
#include "core/table/error_table.h"
#include "fleet/fleet_controller_base.h"

namespace skylark {

void publishFleet(FleetController::Impl &impl)
{
    impl.state.storeReachable = impl.reachable;
    impl.publish(std::make_shared<const FleetSnapshot>(impl.state));
}

void recordStoreSuccess(FleetController::Impl &impl)
{
    if (impl.reachable) {
        return;
    }
    impl.reachable = true;
    const auto down = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - impl.unreachableSince);
    logEvent(EventKind::DependencyBack, {}, {{"dependency", "store"}, {"down_ms", down.count()}});
    publishFleet(impl);
}

void recordStoreFailure(FleetController::Impl &impl, const Error &error)
{
    impl.failedAt = BootClock::now();
    addCounter(*impl.metrics, "skylark_store_failures_total", {{"error", errorInfo(error.code).name}});
    if (!impl.reachable) {
        return;
    }
    impl.reachable = false;
    impl.unreachableSince = impl.failedAt;
    logEvent(EventKind::DependencyLost, {}, {{"dependency", "store"}, {"error", errorInfo(error.code).name}, {"detail", error.detail}});
    publishFleet(impl);
}

} // namespace skylark
