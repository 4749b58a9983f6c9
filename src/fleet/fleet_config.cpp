/** @file fleet_config.cpp Puts newer configurations in force, from the key-value service or from another host. */
#include "fleet/fleet_config_func.h"

#include "core/event_log_func.h"
#include "core/invariant_func.h"
#include "fleet/workspace_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds pullConnectTimeout{300}; ///< Covers a few round trips between failure domains.
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
    publishFleet(impl);
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

void onConfig(const FleetImplPtr &impl, const KeyMirrorUpdate &update)
{
    for (const KvItem &item : update.changed) {
        if (!item.deleted && item.key == impl->wire.configKey) {
            adoptConfig(*impl, item.value, "store");
        }
    }
}

void pullNewerConfig(FleetController &controller, Revision version, const Endpoint &peer)
{
    const FleetImplPtr &impl = controller.impl;
    const Revision own = impl->state.config ? impl->state.config->version : Revision{};
    if (impl->pullingConfig || version <= own) {
        return;
    }
    impl->pullingConfig = true;
    asio::co_spawn(impl->executor, pullConfig(impl, peer), asio::detached);
}

} // namespace skylark
