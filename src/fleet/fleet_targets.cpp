/** @file fleet_targets.cpp Keeps the targets that requests may use, also over an outage of the key-value service. */
#include "fleet/fleet_targets_func.h"

#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/task_func.h"
#include "fleet/version_upkeep_func.h"

#include <algorithm>
#include <utility>

namespace skylark {

namespace asio = boost::asio;

namespace {

void publishTargets(FleetController::Impl &impl)
{
    impl.state.targets = std::make_shared<const TargetMap>(impl.usableTargets);
    publishFleet(impl);
}

/** @return Whether the target was in usableTargets. */
bool forgetTarget(FleetController::Impl &impl, const TargetId &id)
{
    impl.expiredTargets.erase(id);
    impl.entryRevisions.erase(id);
    return impl.usableTargets.erase(id) > 0;
}

/** Applies a target's entry; an entry that cannot be decoded removes the target. @return Whether usableTargets has changed. */
bool applyTarget(FleetController::Impl &impl, const TargetId &id, const KvItem &item)
{
    auto decoded = impl.wire.decodeTarget(id.value, item.value);
    if (!isOk(decoded)) {
        const Error &error = errorOf(decoded);
        addCounter(*impl.metrics, "skylark_target_entries_refused_total", {{"field", error.param}});
        logEvent(EventKind::TargetRefused, id.value, {{"field", error.param}, {"detail", error.detail}});
        return forgetTarget(impl, id);
    }
    TargetEntry &entry = valueOf(decoded);
    impl.expiredTargets.erase(id);
    impl.entryRevisions[id] = item.revision;
    const auto found = impl.usableTargets.find(id);
    const bool same = found != impl.usableTargets.end() && found->second == entry;
    if (same) {
        return false;
    }
    logTargetChange(entry, entry.leaving ? "leaving" : "ready", "store");
    impl.usableTargets[id] = std::move(entry);
    return true;
}

/** Removes a target whose entry is gone. @return Whether it was in usableTargets. */
bool removeTarget(FleetController::Impl &impl, const TargetId &id)
{
    if (const auto found = impl.usableTargets.find(id); found != impl.usableTargets.end()) {
        logTargetChange(found->second, "gone", "store");
    }
    return forgetTarget(impl, id);
}

/** @return When the targets without an entry are removed. */
TimePoint graceEnd(const FleetController::Impl &impl)
{
    return impl.contact.returnedAt + impl.options.expiryGrace;
}

/** Waits until the end of the grace period, reads the list once more and then removes the targets that still have no entry. */
asio::awaitable<void> removeExpiredTargets(FleetImplPtr impl)
{
    while (!impl->targets->stopped) {
        // Another outage in the meantime moves the end of the grace period.
        while (BootClock::now() < graceEnd(*impl)) {
            co_await sleepFor(graceEnd(*impl) - BootClock::now());
        }
        // The next watch may be due only later than the entries that were written in the grace period.
        const auto refreshed = co_await refreshKeyMirror(impl->targets);
        if (isOk(refreshed) && BootClock::now() >= graceEnd(*impl)) {
            break;
        }
        co_await sleepFor(impl->targets->options.retryMin);
    }
    bool changed = false;
    for (const TargetId &id : std::exchange(impl->expiredTargets, {})) {
        changed = removeTarget(*impl, id) || changed;
    }
    if (changed) {
        publishTargets(*impl);
    }
}

/** Keeps the revision of the first update of the target list after an outage. */
void recordReturn(FleetController::Impl &impl, const KeyMirrorUpdate &update)
{
    if (impl.returnOfRevision == impl.contact.returnedAt) {
        return;
    }
    impl.returnOfRevision = impl.contact.returnedAt;
    impl.returnRevision = impl.targets->revision;
    for (const KvItem &item : update.changed) {
        impl.returnRevision = std::max(impl.returnRevision, item.revision);
    }
}

/** Handles the removal of a target's entry. @return Whether usableTargets has changed. */
bool onEntryRemoved(const FleetImplPtr &impl, const TargetId &id)
{
    if (!impl->usableTargets.contains(id)) {
        return false;
    }
    const TimePoint now = BootClock::now();
    const EntryRemoval removal{impl->entryRevisions[id], impl->returnRevision};
    const bool kept = mayHaveLapsed(impl->contact, removal, now, impl->options.expiryGrace);
    const bool returned = impl->contact.returnedAt != TimePoint{};
    logEvent(EventKind::TargetEntryMissing,
             id.value,
             {{"kept_ms", kept ? std::chrono::duration_cast<std::chrono::milliseconds>(graceEnd(*impl) - now).count() : 0},
              {"return_age_ms", returned ? std::chrono::duration_cast<std::chrono::milliseconds>(now - impl->contact.returnedAt).count() : -1},
              {"written_revision", removal.writtenRevision},
              {"return_revision", removal.returnRevision}});
    if (!kept) {
        return removeTarget(*impl, id);
    }
    if (impl->expiredTargets.empty()) {
        startLoop(impl->executor, "removal of targets", [impl] {
            return removeExpiredTargets(impl);
        });
    }
    impl->expiredTargets.insert(id);
    return false;
}

} // namespace

void logTargetChange(const TargetEntry &target, std::string_view state, std::string_view source)
{
    logEvent(EventKind::TargetChanged,
             target.id.value,
             {{"state", state},
              {"source", source},
              {"service", target.service.value},
              {"version", target.version.value},
              {"domain", target.domain.value},
              {"address", target.endpoint.address + ":" + std::to_string(target.endpoint.port)}});
}

void onTargets(const FleetImplPtr &impl, const KeyMirrorUpdate &update)
{
    recordReturn(*impl, update);
    bool changed = impl->state.targets == nullptr;
    for (const KvItem &item : update.changed) {
        const TargetId id{item.key.substr(impl->wire.targetPrefix.size())};
        changed = (item.deleted ? onEntryRemoved(impl, id) : applyTarget(*impl, id, item)) || changed;
    }
    if (changed) {
        publishTargets(*impl);
        checkVersions(*impl);
    }
}

} // namespace skylark
