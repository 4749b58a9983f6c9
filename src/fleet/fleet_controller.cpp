/** @file fleet_controller.cpp Follows the configuration, the targets and the hosts in the key-value service; runs on the control thread. */
#include "fleet/fleet_controller_func.h"

#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "core/task_func.h"
#include "fleet/fleet_config_func.h"
#include "fleet/fleet_controller_base.h"
#include "fleet/fleet_intervals_func.h"
#include "fleet/fleet_targets_func.h"
#include "fleet/host_entry_func.h"
#include "fleet/host_entry_upkeep_func.h"
#include "fleet/version_upkeep_func.h"

namespace skylark {

namespace asio = boost::asio;

namespace {

using ImplPtr = FleetImplPtr;

constexpr std::chrono::milliseconds quarantineEntryTtl{600000}; ///< Longest quarantine of a part, and longest lease of the service.
constexpr std::chrono::milliseconds quarantineWriteInterval{1000}; ///< Interval of attempts to write the entry of a quarantined part.
constexpr std::chrono::milliseconds quarantinePollInterval{10000}; ///< Interval of cheap reads of all entries; a quarantine lasts for a minute and more.
constexpr unsigned quarantineWriteAttempts = 30; ///< Covers an outage of half a minute; the hosts remember the part themselves as long as they run.

void onHosts(const ImplPtr &impl, const KeyMirrorUpdate & /*update*/)
{
    std::vector<PeerEntry> peers;
    for (const auto &[key, item] : impl->hosts->items) {
        auto entry = decodeHostEntry(key, item.value);
        if (isOk(entry) && valueOf(entry).host != impl->options.host) {
            peers.push_back(std::move(valueOf(entry)));
        }
    }
    impl->targets->options.pollInterval = pollIntervalFor(peers.size() + 1);
    impl->targets->options.watchInterval = targetWatchIntervalFor(impl->options, peers.size() + 1);
    for (const auto &mirror : {impl->config, impl->targets, impl->hosts, impl->quarantine}) {
        mirror->options.retryMax = storeRetryMaxFor(impl->options, peers.size() + 1);
    }
    impl->hosts->options.watchInterval = hostWatchIntervalFor(peers.size() + 1);
    impl->config->options.watchInterval = configWatchIntervalFor(impl->options, peers.size() + 1);
    impl->quarantine->options.watchEnabled = watchesQuarantine(peers.size() + 1);
    impl->state.peers = std::move(peers);
    impl->state.peersKnown = true;
    setPollIntervals(*impl);
    publishFleet(*impl);
}

void onQuarantineEntries(const ImplPtr &impl, const KeyMirrorUpdate &update)
{
    for (const KvItem &item : update.changed) {
        const auto entry = item.deleted ? Result<QuarantineEntry>(makeError(ErrorCode::NotFound, item.key)) : decodeQuarantineEntry(item.key, item.value);
        if (isOk(entry) && impl->onQuarantine) {
            impl->onQuarantine(valueOf(entry));
        }
    }
}

/** Writes an entry under a lease of its own, and tries again while the service does not answer. */
asio::awaitable<void> storeQuarantineEntry(ImplPtr impl, QuarantineEntry entry)
{
    for (unsigned attempt = 0; attempt < quarantineWriteAttempts; ++attempt) {
        const auto lease = co_await impl->store->grantLease(quarantineEntryTtl);
        if (isOk(lease)) {
            KvTransaction transaction;
            transaction.writes.push_back({quarantineEntryKey(entry.part), encodeQuarantineEntry(entry), valueOf(lease)});
            const auto written = co_await impl->store->commit(std::move(transaction));
            if (isOk(written)) {
                co_return;
            }
        }
        co_await sleepFor(quarantineWriteInterval);
    }
}

asio::awaitable<void> deleteQuarantineEntry(ImplPtr impl, PromptPartId part)
{
    KvTransaction transaction;
    transaction.removals.push_back(quarantineEntryKey(part));
    co_await impl->store->commit(std::move(transaction));
}

void logWatchReplaced(FleetController::Impl &impl, std::string_view prefix, WatchDoubt doubt, std::chrono::milliseconds age)
{
    addCounter(*impl.metrics, "skylark_watches_replaced_total", {{"reason", watchDoubtName(doubt)}});
    logEvent(EventKind::WatchReplaced, {}, {{"prefix", prefix}, {"reason", watchDoubtName(doubt)}, {"age_ms", age.count()}});
}

/** Starts a mirror that calls @p handler after each update. */
std::shared_ptr<KeyMirror> startMirror(const ImplPtr &impl, KeyMirrorOptions options, void (*handler)(const ImplPtr &, const KeyMirrorUpdate &))
{
    auto mirror = KeyMirror::create(impl->store, std::move(options), nextRandom(impl->random));
    const std::weak_ptr<FleetController::Impl> weak = impl;
    mirror->onUpdate = [weak, handler](const KeyMirrorUpdate &update) {
        if (const auto strong = weak.lock()) {
            handler(strong, update);
        }
    };
    mirror->onAnswer = [weak] {
        if (const auto strong = weak.lock()) {
            recordStoreSuccess(*strong);
        }
    };
    mirror->isStoreAnswering = [weak] {
        const auto strong = weak.lock();
        return !strong || strong->reachable;
    };
    mirror->onFailure = [weak](const Error &error, TimePoint lostAt) {
        if (const auto strong = weak.lock()) {
            recordStoreFailure(*strong, error, lostAt);
        }
    };
    mirror->onPoll = [weak](const Error *error, TimePoint sentAt) {
        if (const auto strong = weak.lock()) {
            recordStalePoll(*strong, error, sentAt);
        }
    };
    mirror->onWatchReplaced = [weak, prefix = mirror->options.prefix](WatchDoubt doubt, std::chrono::milliseconds age) {
        if (const auto strong = weak.lock()) {
            logWatchReplaced(*strong, prefix, doubt, age);
        }
    };
    startLoop(impl->executor, "watch of " + mirror->options.prefix, [mirror] {
        return runKeyMirror(mirror);
    });
    if (mirror->options.pollInterval.count() > 0) {
        startLoop(impl->executor, "reads of " + mirror->options.prefix, [mirror] {
            return pollKeyMirror(mirror);
        });
    }
    return mirror;
}

} // namespace

std::unique_ptr<FleetController> FleetController::create(const asio::any_io_executor &executor,
                                                         std::shared_ptr<const KvStore> store,
                                                         FleetWire wire,
                                                         FleetOptions options,
                                                         std::shared_ptr<MetricsRegistry> metrics,
                                                         std::function<void(SnapshotPtr)> publish,
                                                         std::function<void(const QuarantineEntry &)> onQuarantine)
{
    auto impl = std::make_shared<Impl>(executor);
    impl->store = std::move(store);
    impl->wire = std::move(wire);
    impl->options = std::move(options);
    impl->metrics = std::move(metrics);
    impl->publish = std::move(publish);
    impl->onQuarantine = std::move(onQuarantine);
    impl->peerHttp = HttpClient::create(executor);
    impl->random = hash64(impl->options.session.value);
    impl->contact.heartbeat = impl->options.targetHeartbeat;
    impl->config = startMirror(impl, {.prefix = impl->wire.configKey, .pollInterval = minPollInterval}, onConfig);
    impl->targets =
        startMirror(impl, {.prefix = impl->wire.targetPrefix, .watchInterval = impl->options.targetWatchInterval, .pollInterval = minPollInterval}, onTargets);
    impl->quarantine = startMirror(impl, {.prefix = std::string(quarantineEntryPrefix), .pollInterval = quarantinePollInterval}, onQuarantineEntries);
    impl->hosts = startMirror(impl, {.prefix = std::string(hostEntryPrefix), .pollInterval = hostPollIntervalFor(true)}, onHosts);
    startLoop(executor, "upkeep of the host's entry", [impl] {
        return maintainHostEntry(impl);
    });
    startLoop(executor, "registry of versions", [impl] {
        return maintainVersions(impl);
    });
    auto controller = std::make_unique<FleetController>();
    controller->impl = std::move(impl);
    return controller;
}

FleetController::~FleetController()
{
    if (this->impl) {
        this->impl->leaving = true;
        this->impl->versionTimer.cancel();
        for (const auto &mirror : {this->impl->config, this->impl->targets, this->impl->hosts, this->impl->quarantine}) {
            mirror->stopped = true;
        }
    }
}

void doubtHostList(FleetController &controller, TimePoint overdueAt)
{
    doubtWatch(*controller.impl->hosts, WatchDoubt::EntryOverdue, overdueAt);
}

void writeQuarantineEntry(FleetController &controller, const QuarantineEntry &entry)
{
    startTask(controller.impl->executor, "write of a quarantine", storeQuarantineEntry(controller.impl, entry));
}

void removeQuarantineEntry(FleetController &controller, PromptPartId part)
{
    startTask(controller.impl->executor, "removal of a quarantine", deleteQuarantineEntry(controller.impl, part));
}

} // namespace skylark
