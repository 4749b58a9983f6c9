/** @file fleet_controller.cpp Controller of routes, targets and hosts; runs on the control thread. */
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
    asio::any_io_executor executor; ///< Control thread.
    std::shared_ptr<const KvStore> store; ///< Service.
    FleetWire wire; ///< Wire forms.
    FleetOptions options; ///< Host.
    std::shared_ptr<MetricsRegistry> metrics; ///< Metrics.
    std::function<void(SnapshotPtr)> publish; ///< Receives snapshots.
    std::shared_ptr<KeyMirror> config; ///< Operators' configuration.
    std::shared_ptr<KeyMirror> targets; ///< Targets' entries.
    std::shared_ptr<KeyMirror> hosts; ///< Hosts' entries.
    FleetSnapshot state; ///< Present knowledge.
    TargetMap known; ///< Usable targets, with those whose entry lapsed during an outage.
    std::map<TargetId, TimePoint> lapsed; ///< Of these, targets without an entry, with the time at which they are dropped.
    TimePoint failedAt{}; ///< Last failed call to the service.
    TimePoint lostAt{}; ///< Begin of the present outage.
    bool reachable{true}; ///< Whether the last call was answered.
    std::uint64_t lease{0}; ///< Lease of the host's entry; 0 for none.
    bool leaving{false}; ///< Whether the host's entry is being removed.
    bool pulling{false}; ///< Whether a configuration is being pulled from a peer.
    std::shared_ptr<HttpClient> peerHttp; ///< Transport for pulls.
    std::uint64_t random{0}; ///< State of the random sequence.
};

namespace {

using ImplPtr = std::shared_ptr<FleetController::Impl>;

/** Least interval of cheap reads; together with a read of the whole prefix it stays below the 2 s in which changes have to be in force. */
constexpr std::chrono::milliseconds checkInterval{1000};
constexpr std::chrono::milliseconds longestCheck{2000}; ///< The bound of large deployments is 3 s.
constexpr std::chrono::milliseconds checkPerHost{50}; ///< The interval grows with the hosts, so that together they make 20 checks a second.
constexpr std::chrono::milliseconds hostPausePerHost{10}; ///< Changes of the host list are bundled for so long for each host: all hosts start at once.
constexpr std::chrono::milliseconds longestHostPause{1000}; ///< A host that restarts is known to the others within this time; its lease lasts 3 s.
constexpr std::chrono::milliseconds pullConnect{300}; ///< Connecting to a peer: a few round trips between failure domains.
constexpr std::chrono::milliseconds pullAnswer{1000}; ///< Answer of a peer: a document of at most 1 MB.

std::chrono::milliseconds checkIntervalFor(std::size_t hosts)
{
    return std::clamp(checkPerHost * static_cast<int>(hosts), checkInterval, longestCheck);
}

std::chrono::milliseconds hostPauseFor(std::size_t hosts)
{
    return std::min(hostPausePerHost * static_cast<int>(hosts), longestHostPause);
}

void publish(FleetController::Impl &impl)
{
    impl.state.storeReachable = impl.reachable;
    impl.publish(std::make_shared<const FleetSnapshot>(impl.state));
}

void noteAnswered(FleetController::Impl &impl)
{
    if (impl.reachable) {
        return;
    }
    impl.reachable = true;
    const auto down = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - impl.lostAt);
    logEvent(EventKind::DependencyBack, {}, {{"dependency", "store"}, {"down_ms", down.count()}});
    publish(impl);
}

void noteFailed(FleetController::Impl &impl, const Error &error)
{
    impl.failedAt = BootClock::now();
    addCounter(*impl.metrics, "skylark_store_failures_total", {{"error", errorInfo(error.code).name}});
    if (!impl.reachable) {
        return;
    }
    impl.reachable = false;
    impl.lostAt = impl.failedAt;
    logEvent(EventKind::DependencyLost, {}, {{"dependency", "store"}, {"error", errorInfo(error.code).name}, {"detail", error.detail}});
    publish(impl);
}

/** Takes a configuration document if it is newer than the one in force. */
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
    impl.state.targets = std::make_shared<const TargetMap>(impl.known);
    publish(impl);
}

void logTarget(std::string_view state, const TargetEntry &entry)
{
    logEvent(EventKind::TargetChanged,
             entry.id.value,
             {{"state", state},
              {"service", entry.service.value},
              {"domain", entry.domain.value},
              {"address", entry.endpoint.address + ":" + std::to_string(entry.endpoint.port)}});
}

/** Takes a target's entry. @return Whether what callers of the snapshot see has changed. */
bool takeTarget(FleetController::Impl &impl, const TargetId &id, const KvItem &item)
{
    auto decoded = impl.wire.decodeTarget(id.value, item.value);
    if (!isOk(decoded)) {
        addCounter(*impl.metrics, "skylark_target_entries_refused_total");
        logEvent(EventKind::TargetRefused, id.value, {{"detail", errorOf(decoded).detail}});
        impl.lapsed.erase(id);
        return impl.known.erase(id) > 0;
    }
    TargetEntry &entry = valueOf(decoded);
    impl.lapsed.erase(id);
    const auto found = impl.known.find(id);
    const bool same = found != impl.known.end() && found->second.leaving == entry.leaving && found->second.endpoint == entry.endpoint
                      && found->second.service == entry.service && found->second.slots == entry.slots && found->second.domain == entry.domain;
    if (same) {
        return false;
    }
    logTarget(entry.leaving ? "leaving" : "ready", entry);
    impl.known[id] = std::move(entry);
    return true;
}

bool dropTarget(FleetController::Impl &impl, const TargetId &id)
{
    const auto found = impl.known.find(id);
    impl.lapsed.erase(id);
    if (found == impl.known.end()) {
        return false;
    }
    logTarget("gone", found->second);
    impl.known.erase(found);
    return true;
}

/** Drops the targets whose entry did not come back in time. */
asio::awaitable<void> dropLapsed(ImplPtr impl)
{
    co_await sleepFor(impl->options.lapseGrace);
    const TimePoint now = BootClock::now();
    std::vector<TargetId> due;
    for (const auto &[id, until] : impl->lapsed) {
        if (until <= now) {
            due.push_back(id);
        }
    }
    bool changed = false;
    for (const TargetId &id : due) {
        changed = dropTarget(*impl, id) || changed;
    }
    if (changed) {
        publishTargets(*impl);
    }
}

void onTargets(const ImplPtr &impl, const KeyMirrorUpdate &update)
{
    noteAnswered(*impl);
    const TimePoint now = BootClock::now();
    const bool afterOutage = impl->failedAt != TimePoint{} && now - impl->failedAt < impl->options.lapseGrace;
    bool changed = impl->state.targets == nullptr;
    bool waiting = false;
    for (const KvItem &item : update.changed) {
        const TargetId id{item.key.substr(impl->wire.targetPrefix.size())};
        if (!item.deleted) {
            changed = takeTarget(*impl, id, item) || changed;
        } else if (afterOutage && impl->known.contains(id)) {
            // The service removes entries of live targets when their heartbeats do not reach it.
            impl->lapsed[id] = now + impl->options.lapseGrace;
            waiting = true;
        } else {
            changed = dropTarget(*impl, id) || changed;
        }
    }
    if (waiting) {
        asio::co_spawn(impl->executor, dropLapsed(impl), asio::detached);
    }
    if (changed) {
        publishTargets(*impl);
    }
}

void onConfig(const ImplPtr &impl, const KeyMirrorUpdate &update)
{
    noteAnswered(*impl);
    for (const KvItem &item : update.changed) {
        if (!item.deleted && item.key == impl->wire.configKey) {
            adoptConfig(*impl, item.value, "store");
        }
    }
}

void onHosts(const ImplPtr &impl, const KeyMirrorUpdate & /*update*/)
{
    noteAnswered(*impl);
    std::vector<PeerEntry> peers;
    for (const auto &[key, item] : impl->hosts->items) {
        auto entry = decodeHostEntry(key, item.value);
        if (isOk(entry) && valueOf(entry).host != impl->options.host) {
            peers.push_back(std::move(valueOf(entry)));
        }
    }
    const auto check = checkIntervalFor(peers.size() + 1);
    impl->config->options.check = check;
    impl->targets->options.check = check;
    impl->hosts->options.pause = hostPauseFor(peers.size() + 1);
    impl->state.peers = std::move(peers);
    publish(*impl);
}

std::shared_ptr<KeyMirror> follow(const ImplPtr &impl, KeyMirrorOptions options, void (*handler)(const ImplPtr &, const KeyMirrorUpdate &))
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
            noteFailed(*strong, error);
        }
    };
    asio::co_spawn(impl->executor, runKeyMirror(mirror), asio::detached);
    if (mirror->options.check.count() > 0) {
        asio::co_spawn(impl->executor, checkKeyMirror(mirror), asio::detached);
    }
    return mirror;
}

/** Writes the host's entry under a new lease. */
asio::awaitable<Result<Done>> writeHostEntry(ImplPtr impl)
{
    auto lease = co_await impl->store->grantLease(impl->options.leaseTtl);
    if (!isOk(lease)) {
        co_return errorOf(lease);
    }
    const PeerEntry own{impl->options.host, impl->options.session, impl->options.domain, impl->options.endpoint};
    KvTransaction transaction;
    transaction.writes.push_back({hostEntryKey(own.host), encodeHostEntry(own), valueOf(lease)});
    auto decision = co_await impl->store->commit(std::move(transaction));
    if (!isOk(decision)) {
        co_return errorOf(decision);
    }
    impl->lease = valueOf(lease);
    co_return Done{};
}

/** Keeps the host's entry in the service. */
asio::awaitable<void> runHostEntry(ImplPtr impl)
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

asio::awaitable<void> pullConfig(ImplPtr impl, Endpoint peer)
{
    HttpRequest request;
    request.target = peerConfigPath;
    const HttpTimeouts timeouts{pullConnect, pullAnswer, pullAnswer, pullAnswer};
    auto answer = co_await httpCall(impl->peerHttp, peer, std::move(request), timeouts);
    impl->pulling = false;
    if (isOk(answer) && valueOf(answer).status == 200) {
        adoptConfig(*impl, valueOf(answer).body, "peer");
    }
}

} // namespace

std::unique_ptr<FleetController> FleetController::create(const asio::any_io_executor &executor,
                                                         std::shared_ptr<const KvStore> store,
                                                         FleetWire wire,
                                                         FleetOptions options,
                                                         std::shared_ptr<MetricsRegistry> metrics,
                                                         std::function<void(SnapshotPtr)> publish)
{
    auto impl = std::make_shared<Impl>();
    impl->executor = executor;
    impl->store = std::move(store);
    impl->wire = std::move(wire);
    impl->options = std::move(options);
    impl->metrics = std::move(metrics);
    impl->publish = std::move(publish);
    impl->peerHttp = HttpClient::create(executor);
    impl->random = hash64(impl->options.session.value);
    impl->config = follow(impl, {.prefix = impl->wire.configKey, .check = checkInterval}, onConfig);
    impl->targets = follow(impl, {.prefix = impl->wire.targetPrefix, .pause = impl->options.targetPause, .check = checkInterval}, onTargets);
    impl->hosts = follow(impl, {.prefix = std::string(hostEntryPrefix)}, onHosts);
    asio::co_spawn(executor, runHostEntry(impl), asio::detached);
    auto controller = std::make_unique<FleetController>();
    controller->impl = std::move(impl);
    return controller;
}

FleetController::~FleetController()
{
    if (this->impl) {
        this->impl->leaving = true;
        for (const auto &mirror : {this->impl->config, this->impl->targets, this->impl->hosts}) {
            mirror->stopped = true;
        }
    }
}

void notePeerConfig(FleetController &controller, Revision version, const Endpoint &peer)
{
    const ImplPtr &impl = controller.impl;
    const Revision own = impl->state.config ? impl->state.config->version : Revision{};
    if (impl->reachable || impl->pulling || version <= own) {
        return;
    }
    impl->pulling = true;
    asio::co_spawn(impl->executor, pullConfig(impl, peer), asio::detached);
}

void endHostEntry(FleetController &controller, std::function<void()> done)
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
