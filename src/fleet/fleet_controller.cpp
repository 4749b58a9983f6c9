/** @file fleet_controller.cpp Follows the configuration, the targets and the hosts in the key-value service; runs on the control thread. */
#include "fleet/fleet_controller_func.h"

#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "core/invariant_func.h"
#include "core/table/error_table.h"
#include "fleet/host_entry_func.h"
#include "store/key_mirror_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace skylark {

namespace asio = boost::asio;

struct FleetController::Impl {
    asio::any_io_executor executor; ///< Executor of the control thread.
    std::shared_ptr<const KvStore> store; ///< Key-value service.
    FleetWire wire; ///< Decoders of stored documents.
    FleetOptions options; ///< Settings of this host.
    std::shared_ptr<MetricsRegistry> metrics;
    std::function<void(SnapshotPtr)> publish; ///< Called with each new snapshot.
    std::function<void(const QuarantineEntry &)> onQuarantine; ///< Called with each entry that was written; may be empty.
    std::shared_ptr<KeyMirror> config; ///< Mirror of the operators' configuration.
    std::shared_ptr<KeyMirror> targets; ///< Mirror of the targets' entries.
    std::shared_ptr<KeyMirror> hosts; ///< Mirror of the hosts' entries.
    std::shared_ptr<KeyMirror> quarantine; ///< Mirror of the entries of quarantined parts.
    FleetSnapshot state; ///< Latest state, copied into each snapshot.
    TargetMap usableTargets; ///< Targets for requests, including those whose entry expired during an outage of the service.
    std::map<TargetId, TimePoint> expiredTargets; ///< Those of usableTargets that have no entry, with the time at which they are removed.
    TimePoint failedAt{}; ///< Time of the last failed call to the service.
    TimePoint unreachableSince{}; ///< Start of the current outage, or of the last one.
    bool reachable{true}; ///< Whether the last call to the service succeeded.
    std::uint64_t lease{0}; ///< Lease of the host's entry; 0 for none.
    bool leaving{false}; ///< Whether the host's entry is being removed.
    bool pullingConfig{false}; ///< Whether a request for a peer's configuration is in flight.
    std::shared_ptr<HttpClient> peerHttp; ///< Client for configuration pulls.
    std::uint64_t random{0}; ///< State of the pseudorandom generator.
};

namespace {

using ImplPtr = std::shared_ptr<FleetController::Impl>;

/**
 * Minimum interval of the cheap reads that detect missed changes. With a read of the whole prefix it stays below the 2 s within which a change must be in
 * force.
 */
constexpr std::chrono::milliseconds minPollInterval{1000};
constexpr std::chrono::milliseconds maxPollInterval{2000}; ///< In large deployments a change must be in force within 3 s.
constexpr std::chrono::milliseconds pollIntervalPerHost{50}; ///< The interval grows with the number of hosts, so that together they make 20 polls per second.
/** The interval between watch calls for the host list grows by this for each host, to batch its changes when all hosts start at once. */
constexpr std::chrono::milliseconds hostWatchIntervalPerHost{10};
constexpr std::chrono::milliseconds maxHostWatchInterval{2000}; ///< The other hosts learn of a restarted host within this time; its lease lasts longer.
constexpr std::chrono::milliseconds storeRetryMax{1000}; ///< Maximum delay between failed calls of a mirror in a small fleet.
constexpr std::chrono::milliseconds pullConnectTimeout{300}; ///< Covers a few round trips between failure domains.
constexpr std::chrono::milliseconds pullAnswerTimeout{1000}; ///< Covers the transfer of a document of at most 1 MB.

constexpr std::chrono::milliseconds quarantineEntryTtl{600000}; ///< Longest quarantine of a part, and longest lease of the service.
constexpr std::chrono::milliseconds quarantineWriteInterval{1000}; ///< Interval of attempts to write the entry of a quarantined part.
constexpr unsigned quarantineWriteAttempts = 30; ///< Covers an outage of half a minute; the hosts remember the part themselves as long as they run.

constexpr std::size_t largeFleetHosts = 16; ///< From this number of other hosts on, store calls of every host are spared where the others can help.
constexpr std::chrono::milliseconds configPollIntervalLarge{6000}; ///< In a large fleet the hosts announce their configuration to one another.

std::chrono::milliseconds pollIntervalFor(std::size_t hosts)
{
    return std::clamp(pollIntervalPerHost * static_cast<int>(hosts), minPollInterval, maxPollInterval);
}

std::chrono::milliseconds hostWatchIntervalFor(std::size_t hosts)
{
    return std::min(hostWatchIntervalPerHost * static_cast<int>(hosts), maxHostWatchInterval);
}

/** Publishes a copy of the current state. */
void publish(FleetController::Impl &impl)
{
    impl.state.storeReachable = impl.reachable;
    impl.publish(std::make_shared<const FleetSnapshot>(impl.state));
}

/** Records a successful call to the service; ends an outage. */
void recordStoreSuccess(FleetController::Impl &impl)
{
    if (impl.reachable) {
        return;
    }
    impl.reachable = true;
    const auto down = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - impl.unreachableSince);
    logEvent(EventKind::DependencyBack, {}, {{"dependency", "store"}, {"down_ms", down.count()}});
    publish(impl);
}

/** Records a failed call to the service; begins an outage unless one is in progress. */
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
    publish(impl);
}

/** Decodes a configuration document and puts it in force if it is newer than the present one. @param source Where it was read, "store" or "peer"; logged. */
void adoptConfig(FleetController::Impl &impl, std::string_view document, std::string_view source)
{
    auto decoded = impl.wire.decodeConfig(document);
    const Revision before = impl.state.config ? impl.state.config->version : Revision{};
    if (!isOk(decoded)) {
        addCounter(*impl.metrics, "skylark_config_refused_total");
        logEvent(EventKind::ConfigRefused, {}, {{"in_force", before.value}, {"detail", errorOf(decoded).detail}});
        return;
    }
    RoutingConfig &config = valueOf(decoded);
    if (impl.state.config && config.version <= before) {
        return;
    }
    SKY_INVARIANT(Promise::ConfigForward, config.version > before || !impl.state.config);
    logEvent(EventKind::ConfigAdopted, {}, {{"version", config.version.value}, {"before", before.value}, {"source", source}, {"routes", config.routes.size()}});
    setGauge(*impl.metrics, "skylark_config_version", {}, static_cast<double>(config.version.value));
    impl.state.config = std::make_shared<const RoutingConfig>(std::move(config));
    impl.state.configDocument = std::make_shared<const std::string>(document);
    publish(impl);
}

void publishTargets(FleetController::Impl &impl)
{
    impl.state.targets = std::make_shared<const TargetMap>(impl.usableTargets);
    publish(impl);
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
asio::awaitable<void> removeExpiredTargets(ImplPtr impl)
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

void onTargets(const ImplPtr &impl, const KeyMirrorUpdate &update)
{
    recordStoreSuccess(*impl);
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

void onConfig(const ImplPtr &impl, const KeyMirrorUpdate &update)
{
    recordStoreSuccess(*impl);
    for (const KvItem &item : update.changed) {
        if (!item.deleted && item.key == impl->wire.configKey) {
            adoptConfig(*impl, item.value, "store");
        }
    }
}

void onHosts(const ImplPtr &impl, const KeyMirrorUpdate & /*update*/)
{
    recordStoreSuccess(*impl);
    std::vector<PeerEntry> peers;
    for (const auto &[key, item] : impl->hosts->items) {
        auto entry = decodeHostEntry(key, item.value);
        if (isOk(entry) && valueOf(entry).host != impl->options.host) {
            peers.push_back(std::move(valueOf(entry)));
        }
    }
    const auto pollInterval = pollIntervalFor(peers.size() + 1);
    impl->config->options.pollInterval = peers.size() >= largeFleetHosts ? configPollIntervalLarge : pollInterval;
    impl->targets->options.pollInterval = pollInterval;
    impl->targets->options.watchInterval = targetWatchIntervalFor(impl->options, peers.size() + 1);
    for (const auto &mirror : {impl->config, impl->targets, impl->hosts, impl->quarantine}) {
        mirror->options.retryMax = storeRetryMaxFor(impl->options, peers.size() + 1);
    }
    impl->hosts->options.watchInterval = hostWatchIntervalFor(peers.size() + 1);
    impl->state.peers = std::move(peers);
    impl->state.peersKnown = true;
    publish(*impl);
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
    mirror->onFailure = [weak](const Error &error) {
        if (const auto strong = weak.lock()) {
            recordStoreFailure(*strong, error);
        }
    };
    asio::co_spawn(impl->executor, runKeyMirror(mirror), asio::detached);
    if (mirror->options.pollInterval.count() > 0) {
        asio::co_spawn(impl->executor, pollKeyMirror(mirror), asio::detached);
    }
    return mirror;
}

/** Grants a lease and writes the host's entry under it. */
asio::awaitable<Result<Done>> writeHostEntry(ImplPtr impl)
{
    auto lease = co_await impl->store->grantLease(impl->options.leaseTtl);
    if (!isOk(lease)) {
        co_return errorOf(lease);
    }
    const PeerEntry own{impl->options.host, impl->options.session, impl->options.domain, impl->options.endpoint};
    KvTransaction transaction;
    transaction.writes.push_back({hostEntryKey(own.host), encodeHostEntry(own), valueOf(lease)});
    auto written = co_await impl->store->commit(std::move(transaction));
    if (!isOk(written)) {
        co_return errorOf(written);
    }
    impl->lease = valueOf(lease);
    co_return Done{};
}

/** Writes the host's entry, renews its lease, and writes the entry again when the lease has expired. */
asio::awaitable<void> maintainHostEntry(ImplPtr impl)
{
    while (!impl->leaving) {
        if (impl->lease == 0) {
            co_await writeHostEntry(impl);
        } else {
            const auto renewed = co_await impl->store->renewLease(impl->lease);
            if (!isOk(renewed) && errorOf(renewed).code == ErrorCode::LeaseExpired) {
                impl->lease = 0;
                continue;
            }
        }
        const auto jitter = std::chrono::milliseconds(nextRandom(impl->random) % 200U);
        co_await sleepFor((impl->lease == 0 ? std::chrono::milliseconds(500) : impl->options.leaseRenewal) + jitter);
    }
}

/** Fetches the configuration document of @p peer and adopts it if it is newer. */
asio::awaitable<void> pullConfig(ImplPtr impl, Endpoint peer)
{
    HttpRequest request;
    request.target = peerConfigPath;
    const HttpTimeouts timeouts{pullConnectTimeout, pullAnswerTimeout, pullAnswerTimeout, pullAnswerTimeout};
    auto answer = co_await httpCall(impl->peerHttp, peer, std::move(request), timeouts);
    impl->pullingConfig = false;
    if (isOk(answer) && valueOf(answer).status == 200) {
        adoptConfig(*impl, valueOf(answer).body, "peer");
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

std::unique_ptr<FleetController> FleetController::create(const asio::any_io_executor &executor,
                                                         std::shared_ptr<const KvStore> store,
                                                         FleetWire wire,
                                                         FleetOptions options,
                                                         std::shared_ptr<MetricsRegistry> metrics,
                                                         std::function<void(SnapshotPtr)> publish,
                                                         std::function<void(const QuarantineEntry &)> onQuarantine)
{
    auto impl = std::make_shared<Impl>();
    impl->executor = executor;
    impl->store = std::move(store);
    impl->wire = std::move(wire);
    impl->options = std::move(options);
    impl->metrics = std::move(metrics);
    impl->publish = std::move(publish);
    impl->onQuarantine = std::move(onQuarantine);
    impl->peerHttp = HttpClient::create(executor);
    impl->random = hash64(impl->options.session.value);
    impl->config = startMirror(impl, {.prefix = impl->wire.configKey, .pollInterval = minPollInterval}, onConfig);
    impl->targets =
        startMirror(impl, {.prefix = impl->wire.targetPrefix, .watchInterval = impl->options.targetWatchInterval, .pollInterval = minPollInterval}, onTargets);
    impl->quarantine = startMirror(impl, {.prefix = std::string(quarantineEntryPrefix)}, onQuarantineEntries);
    impl->hosts = startMirror(impl, {.prefix = std::string(hostEntryPrefix)}, onHosts);
    asio::co_spawn(executor, maintainHostEntry(impl), asio::detached);
    auto controller = std::make_unique<FleetController>();
    controller->impl = std::move(impl);
    return controller;
}

FleetController::~FleetController()
{
    if (this->impl) {
        this->impl->leaving = true;
        for (const auto &mirror : {this->impl->config, this->impl->targets, this->impl->hosts, this->impl->quarantine}) {
            mirror->stopped = true;
        }
    }
}

std::chrono::milliseconds targetWatchIntervalFor(const FleetOptions &options, std::size_t hosts)
{
    return hosts <= largeFleetHosts ? options.targetWatchInterval : std::max(options.targetWatchInterval, options.drainLimit / 2);
}

std::chrono::milliseconds storeRetryMaxFor(const FleetOptions &options, std::size_t hosts)
{
    return hosts <= largeFleetHosts ? storeRetryMax : std::max(storeRetryMax, options.drainLimit * 5 / 8);
}

void pullNewerConfig(FleetController &controller, Revision version, const Endpoint &peer)
{
    const ImplPtr &impl = controller.impl;
    const Revision own = impl->state.config ? impl->state.config->version : Revision{};
    if (impl->pullingConfig || version <= own) {
        return;
    }
    impl->pullingConfig = true;
    asio::co_spawn(impl->executor, pullConfig(impl, peer), asio::detached);
}

void writeQuarantineEntry(FleetController &controller, const QuarantineEntry &entry)
{
    asio::co_spawn(controller.impl->executor, storeQuarantineEntry(controller.impl, entry), asio::detached);
}

void removeQuarantineEntry(FleetController &controller, PromptPartId part)
{
    asio::co_spawn(controller.impl->executor, deleteQuarantineEntry(controller.impl, part), asio::detached);
}

void removeHostEntry(FleetController &controller, std::function<void()> done)
{
    const ImplPtr impl = controller.impl;
    impl->leaving = true;
    asio::co_spawn(
        impl->executor,
        [](ImplPtr owner, std::function<void()> finished) -> asio::awaitable<void> {
            if (owner->lease != 0) {
                co_await owner->store->endLease(owner->lease);
            }
            finished();
        }(impl, std::move(done)),
        asio::detached);
}

} // namespace skylark
