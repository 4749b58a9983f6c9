/** @file fleet_config.cpp Puts newer configurations in force, from the key-value service or from another host. */
#include "fleet/fleet_config_func.h"

#include "core/event_log_func.h"
#include "core/invariant_func.h"
#include "core/task_func.h"
#include "fleet/fleet_intervals_func.h"
#include "fleet/workspace_func.h"

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds pullConnectTimeout{300}; ///< Covers a few round trips between failure domains.
constexpr unsigned readsUntilRetry = 20; ///< After so many proofs without a transaction, one is tried again.
constexpr unsigned refusalsUntilReads = 3; ///< After so many transactions without an outcome, proofs are read; a read carries the whole document.
constexpr std::chrono::milliseconds pullAnswerTimeout{1000}; ///< Covers the transfer of a document of at most 1 MB.

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
    indexWorkspaces(config);
    logEvent(EventKind::ConfigAdopted,
             {},
             {{"version", config.version.value},
              {"before", before.value},
              {"source", source},
              {"routes", config.routes.size()},
              {"workspaces", config.workspaces ? config.workspaces->size() : 0},
              {"keys", config.keys ? config.keys->entries.size() : 0},
              {"repeated_keys", config.keys ? config.keys->repeated : 0}});
    setGauge(*impl.metrics, "skylark_config_version", {}, static_cast<double>(config.version.value));
    impl.state.config = std::make_shared<const RoutingConfig>(std::move(config));
    impl.state.configDocument = std::make_shared<const std::string>(document);
    setPollIntervals(impl);
    publishFleet(impl);
}

/** Adopts the document of @p item, and remembers that it was examined. */
void examineConfig(FleetController::Impl &impl, const KvItem &item, std::string_view source)
{
    adoptConfig(impl, item.value, source);
    impl.configRevision = item.revision;
}

/** Asks whether the document of the known revision is the newest one. @return The newer document; nothing when there is none. */
asio::awaitable<Result<std::optional<KvItem>>> readNewerConfig(FleetImplPtr impl)
{
    if (impl->refusedProofCalls < refusalsUntilReads) {
        KvTransaction question;
        question.conditions.push_back({impl->wire.configKey, impl->configRevision});
        auto answer = co_await impl->store->commit(std::move(question));
        if (isOk(answer)) {
            impl->refusedProofCalls = 0;
            if (valueOf(answer).applied && impl->configRevision > 0) {
                co_return std::optional<KvItem>();
            }
            if (valueOf(answer).applied || valueOf(answer).currentItems.empty()) {
                co_return makeError(ErrorCode::NotFound, "there is no configuration");
            }
            co_return std::optional<KvItem>(std::move(valueOf(answer).currentItems.front()));
        }
        if (errorOf(answer).code != ErrorCode::OutcomeUnknown) {
            co_return errorOf(answer);
        }
    }
    auto item = co_await impl->store->get(impl->wire.configKey, KvFreshness::Linearizable);
    if (isOk(item) && !valueOf(item)) {
        co_return makeError(ErrorCode::NotFound, "there is no configuration");
    }
    impl->refusedProofCalls += isOk(item) ? 1 : 0;
    if (impl->refusedProofCalls >= readsUntilRetry) {
        impl->refusedProofCalls = 0;
    }
    co_return item;
}

asio::awaitable<void> proveConfigNow(FleetImplPtr impl, std::function<void(std::optional<ConfigProof>)> done)
{
    const TimePoint startedAt = BootClock::now();
    auto newer = co_await readNewerConfig(impl);
    if (!isOk(newer)) {
        addCounter(*impl->metrics, "skylark_config_proof_calls_total", {{"outcome", "failed"}});
        done(std::nullopt);
        co_return;
    }
    recordStoreSuccess(*impl);
    if (valueOf(newer) && valueOf(newer)->revision != impl->configRevision) {
        examineConfig(*impl, *valueOf(newer), "proof");
    }
    addCounter(*impl->metrics, "skylark_config_proof_calls_total", {{"outcome", "proved"}});
    // A document that was refused leaves the configuration in force, which is then the newest valid one.
    done(impl->state.config ? std::optional(ConfigProof{impl->state.config->version, startedAt}) : std::nullopt);
}

/** Fetches the configuration document of @p peer and adopts it if it is newer. */
asio::awaitable<void> pullConfig(FleetImplPtr impl, Endpoint peer)
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

void setPollIntervals(FleetController::Impl &impl)
{
    const bool hasWorkspaces = impl.state.config && impl.state.config->workspaces;
    if (impl.config) {
        const bool proves = impl.options.provesConfig && hasWorkspaces;
        impl.config->options.pollInterval = proves ? configPollIntervalProved : configPollIntervalFor(impl.state.peers.size() + 1);
    }
    if (impl.hosts) {
        impl.hosts->options.pollInterval = hostPollIntervalFor(hasWorkspaces);
    }
}

void onConfig(const FleetImplPtr &impl, const KeyMirrorUpdate &update)
{
    for (const KvItem &item : update.changed) {
        if (!item.deleted && item.key == impl->wire.configKey) {
            examineConfig(*impl, item, "store");
        }
    }
}

void proveConfig(FleetController &controller, const std::function<void(std::optional<ConfigProof>)> &done)
{
    startTask(controller.impl->executor, "proof of the configuration", proveConfigNow(controller.impl, done), [done] {
        done(std::nullopt);
    });
}

void pullNewerConfig(FleetController &controller, Revision version, const Endpoint &peer)
{
    const FleetImplPtr &impl = controller.impl;
    const Revision own = impl->state.config ? impl->state.config->version : Revision{};
    if (impl->pullingConfig || version <= own) {
        return;
    }
    impl->pullingConfig = true;
    startTask(impl->executor, "pull of the configuration", pullConfig(impl, peer), [impl] {
        impl->pullingConfig = false;
    });
}

} // namespace skylark
