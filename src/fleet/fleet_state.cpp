/** @file fleet_state.cpp Publishes what the fleet controller knows and records outages of the key-value service. */
#include "core/event_log_func.h"
#include "core/table/error_table.h"
#include "fleet/fleet_controller_base.h"

namespace skylark {

namespace {

/** Keeps in mind that answers to watches may have been lost, unless the service has refused the call because of its rate limit and so serves this host. */
void noteLostCall(FleetController::Impl &impl, const Error &error, TimePoint lostAt)
{
    if (error.code != ErrorCode::RateLimited) {
        recordLostCall(impl.trust, lostAt);
    }
}

/** Replaces the watches after the first answer that follows a lost call. */
void noteServedCall(FleetController::Impl &impl, TimePoint now)
{
    if (!recordServedCall(impl.trust, now)) {
        return;
    }
    for (const auto &mirror : {impl.config, impl.targets, impl.hosts, impl.quarantine}) {
        if (mirror) {
            doubtWatch(*mirror, WatchDoubt::ServiceReturned, now);
        }
    }
}

} // namespace

void publishFleet(FleetController::Impl &impl)
{
    impl.state.storeReachable = impl.reachable;
    impl.publish(std::make_shared<const FleetSnapshot>(impl.state));
}

void recordStoreSuccess(FleetController::Impl &impl)
{
    const TimePoint now = BootClock::now();
    noteServedCall(impl, now);
    recordAnswer(impl.contact, now);
    if (impl.reachable && !impl.state.storeAway) {
        return;
    }
    impl.reachable = true;
    impl.state.storeAway = false;
    const auto down = std::chrono::duration_cast<std::chrono::milliseconds>(now - impl.unreachableSince);
    logEvent(EventKind::DependencyBack, {}, {{"dependency", "store"}, {"down_ms", down.count()}});
    publishFleet(impl);
}

void recordStoreFailure(FleetController::Impl &impl, const Error &error, TimePoint lostAt)
{
    const TimePoint now = BootClock::now();
    noteLostCall(impl, error, lostAt);
    addCounter(*impl.metrics, "skylark_store_failures_total", {{"error", errorInfo(error.code).name}});
    const bool away = isStoreAway(impl.contact, now);
    if (!impl.reachable && away == impl.state.storeAway) {
        return;
    }
    if (impl.reachable) {
        impl.unreachableSince = now;
        logEvent(EventKind::DependencyLost, {}, {{"dependency", "store"}, {"error", errorInfo(error.code).name}, {"detail", error.detail}});
    }
    impl.reachable = false;
    impl.state.storeAway = away;
    publishFleet(impl);
}

void recordStalePoll(FleetController::Impl &impl, const Error *error, TimePoint sentAt)
{
    if (error != nullptr) {
        noteLostCall(impl, *error, sentAt);
    } else {
        noteServedCall(impl, BootClock::now());
    }
}

} // namespace skylark
