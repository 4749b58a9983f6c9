/** @file fleet_targets.cpp Keeps the targets that requests may use, also over an outage of the key-value service. */
#include "fleet/fleet_targets_func.h"

#include "core/async_sleep_func.h"
#include "core/event_log_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace skylark {

namespace asio = boost::asio;

namespace {

void publishTargets(FleetController::Impl &impl)
{
    impl.state.targets = std::make_shared<const TargetMap>(impl.usableTargets);
    publishFleet(impl);
}

/** Applies a target's entry; an entry that cannot be decoded removes the target. @return Whether usableTargets has changed. */
bool applyTarget(FleetController::Impl &impl, const TargetId &id, const KvItem &item)
{
    auto decoded = impl.wire.decodeTarget(id.value, item.value);
    if (!isOk(decoded)) {
        addCounter(*impl.metrics, "skylark_target_entries_refused_total");
        logEvent(EventKind::TargetRefused, id.value, {{"detail", errorOf(decoded).detail}});
        impl.expiredTargets.erase(id);
        return impl.usableTargets.erase(id) > 0;
    }
    TargetEntry &entry = valueOf(decoded);
    impl.expiredTargets.erase(id);
    const auto found = impl.usableTargets.find(id);
    const bool same = found != impl.usableTargets.end() && found->second == entry;
    if (same) {
        return false;
    }
    logTargetChange(entry, entry.leaving ? "leaving" : "ready", "store");
    impl.usableTargets[id] = std::move(entry);
    return true;
}

/** @return Whether the target was in usableTargets. */
bool removeTarget(FleetController::Impl &impl, const TargetId &id)
{
    const auto found = impl.usableTargets.find(id);
    impl.expiredTargets.erase(id);
    if (found == impl.usableTargets.end()) {
        return false;
    }
    logTargetChange(found->second, "gone", "store");
    impl.usableTargets.erase(found);
    return true;
}

/** Waits for the grace period and then removes the targets whose own grace period has ended without a new entry. */
asio::awaitable<void> removeExpiredTargets(FleetImplPtr impl)
{
    co_await sleepFor(impl->options.expiryGrace);
    const TimePoint now = BootClock::now();
    std::vector<TargetId> due;
    for (const auto &[id, until] : impl->expiredTargets) {
        if (until <= now) {
            due.push_back(id);
        }
    }
    bool changed = false;
    for (const TargetId &id : due) {
        changed = removeTarget(*impl, id) || changed;
    }
    if (changed) {
        publishTargets(*impl);
    }
}

} // namespace

void logTargetChange(const TargetEntry &target, std::string_view state, std::string_view source)
{
    logEvent(EventKind::TargetChanged,
             target.id.value,
             {{"state", state},
              {"source", source},
              {"service", target.service.value},
              {"domain", target.domain.value},
              {"address", target.endpoint.address + ":" + std::to_string(target.endpoint.port)}});
}

void onTargets(const FleetImplPtr &impl, const KeyMirrorUpdate &update)
{
    const TimePoint now = BootClock::now();
    const bool afterOutage = impl->failedAt != TimePoint{} && now - impl->failedAt < impl->options.expiryGrace;
    bool changed = impl->state.targets == nullptr;
    bool anyExpired = false;
    for (const KvItem &item : update.changed) {
        const TargetId id{item.key.substr(impl->wire.targetPrefix.size())};
        if (!item.deleted) {
            changed = applyTarget(*impl, id, item) || changed;
        } else if (afterOutage && impl->usableTargets.contains(id)) {
            // During an outage the service also removes entries of live targets, because their heartbeats do not reach it.
            impl->expiredTargets[id] = now + impl->options.expiryGrace;
            anyExpired = true;
        } else {
            changed = removeTarget(*impl, id) || changed;
        }
    }
    if (anyExpired) {
        asio::co_spawn(impl->executor, removeExpiredTargets(impl), asio::detached);
    }
    if (changed) {
        publishTargets(*impl);
    }
}

} // namespace skylark
