/** @file placement_controller.cpp Loads and unloads models according to the configuration, under a fenced lease. */
#include "control/controller_func.h"
#include "core/hash_func.h"
#include "core/task_func.h"
#include "engine/engine_client_func.h"
#include "policy/placement_func.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto roundInterval = std::chrono::seconds(1); // While the lease is held.
constexpr auto retryInterval = std::chrono::seconds(3); // While it is not held.
constexpr unsigned maxLoadsPerRound = 2;

/** State of the placement lease of this failure domain on this host. */
struct PlacementLease {
    bool held{false}; ///< Whether this session holds the lease.
    KvVersion version; ///< Version of the lease key; used as the fencing number.
    LeaseId boundTo; ///< Session lease that the lease key is bound to.
};

std::string leaseKey(const Control::Impl &control)
{
    return "lease/placement/" + control.self.domain.value;
}

/** @return Whether this host should hold the placement lease, because it ranks first among the live hosts of its domain. */
bool isCandidate(const Control::Impl &control)
{
    const std::string subject = leaseKey(control);
    const std::uint64_t own = rendezvousScore(subject, control.self.id.value);
    const auto hosts = liveDomainHosts(control);
    return !control.stopping && std::none_of(hosts.begin(), hosts.end(), [&](const HostId &host) {
        return rendezvousScore(subject, host.value) > own;
    });
}

/** @return Models with the number of replicas wanted; the largest number among all workspaces applies. */
std::vector<WantedModel> wantedModels(const FleetConfig &fleet)
{
    std::map<std::pair<ModelId, std::string>, WantedModel> wanted;
    for (const auto &[id, workspace] : fleet.workspaces) {
        for (const ModelSpec &model : workspace.models) {
            WantedModel &entry = wanted[{model.name, model.version}];
            entry.name = model.name;
            entry.version = model.version;
            entry.replicas = std::max(entry.replicas, model.replicas);
            for (const std::string &adapter : model.adapters) {
                if (model.replicas > 0 && std::find(entry.adapters.begin(), entry.adapters.end(), adapter) == entry.adapters.end()) {
                    entry.adapters.push_back(adapter);
                }
            }
        }
    }
    std::vector<WantedModel> list;
    list.reserve(wanted.size());
    for (auto &[key, model] : wanted) {
        list.push_back(std::move(model));
    }
    return list;
}

/** @return The engines of this failure domain as input for planPlacement(). @param pending Time of the last order to each target. */
std::vector<PlacementTarget> placementTargets(const Control::Impl &control, const std::map<TargetId, TimePoint> &pending)
{
    std::vector<PlacementTarget> targets;
    for (const auto &[id, entry] : control.targets) {
        if (entry.info.kind != TargetKind::Engine) {
            continue;
        }
        PlacementTarget target;
        target.id = id;
        target.running = entry.report.running;
        target.usable = !entry.isLeaving && entry.report.receivedAt != TimePoint();
        const auto found = pending.find(id);
        // A report received at least 2 s after the order shows the effect of the order.
        target.orderPending = found != pending.end() && entry.report.receivedAt < found->second + std::chrono::seconds(2);
        for (const LoadedModel &model : entry.report.models) {
            target.models.emplace_back(model.name, model.version);
            target.adapters.insert(target.adapters.end(), model.adapters.begin(), model.adapters.end());
        }
        targets.push_back(std::move(target));
    }
    return targets;
}

/** Tries to acquire the placement lease by creating its key, bound to the session lease. */
asio::awaitable<void> acquire(ControlPtr control, PlacementLease &lease)
{
    const WriteId writeId{randomIdHex()};
    json::object value;
    value["session"] = control->session.value;
    value["writeId"] = writeId.value;
    const LeaseId bound = control->lease.lease;
    const auto written = co_await kvPutVerified(*control->kv, leaseKey(*control), json::serialize(value), writeId, KvVersion{}, bound);
    recordPlatformResult(*control);
    if (isOk(written)) {
        lease = {true, valueOf(written), bound};
        LOG(INFO) << "[place] placement lease acquired, fencing number " << lease.version.value;
    }
}

/** Releases the placement lease once orders in progress can no longer take effect. */
asio::awaitable<void> release(ControlPtr control, PlacementLease &lease)
{
    lease.held = false;
    // An order whose answer was lost can still take effect within the target's order timeout.
    std::chrono::milliseconds longest{0};
    for (const auto &[id, entry] : control->targets) {
        longest = std::max(longest, entry.info.orderTimeout);
    }
    co_await pauseFor(control, longest);
    co_await kvDelete(*control->kv, leaseKey(*control), lease.version);
    recordPlatformResult(*control);
    LOG(INFO) << "[place] placement lease released";
}

/** Reserves the fetch of the weights for one load. @return Whether the weight store allows it now. */
asio::awaitable<bool> reserveWeights(ControlPtr control, PlacementOrder order)
{
    const auto reserved = co_await reserveWeightFetch(*control->kv, order.model, order.version);
    recordPlatformResult(*control);
    if (!isOk(reserved)) {
        LOG(INFO) << "[place] weight store refused a load, will try again in a later round; model=" << order.model.value;
    }
    co_return isOk(reserved);
}

EngineOrder makeOrder(const PlacementOrder &order, const PlacementLease &lease)
{
    EngineOrder engineOrder;
    engineOrder.action = order.kind == OrderKind::LoadModel ? "load_model" : order.kind == OrderKind::UnloadModel ? "unload_model" : "load_adapter";
    engineOrder.model = order.model;
    engineOrder.version = order.version;
    engineOrder.adapter = order.adapter;
    engineOrder.fencing = Fencing{lease.version.value};
    return engineOrder;
}

/**
 * Sends one order. The lease is checked after the target has received the head of the request and before the body is sent. If this host
 * pauses after the check for longer than the target's order timeout, the target drops the order. If it pauses for less, it still holds
 * the lease.
 */
asio::awaitable<void> sendPlacementOrder(ControlPtr control, PlacementOrder order, PlacementLease lease)
{
    const auto found = control->targets.find(order.target);
    if (found == control->targets.end()) {
        co_return;
    }
    const TargetInfo info = found->second.info;
    HttpTimeouts timeouts;
    const std::string text = order.model.value + " version " + order.version + (order.adapter.empty() ? "" : " adapter " + order.adapter);
    const auto checkLease = [control, info, lease]() -> Result<Done> {
        if (control->lease.lease != lease.boundTo) {
            return makeError(ErrorCode::LeaseExpired, "session lease was replaced since the placement lease was acquired");
        }
        return orderAllowed(control->lease.deadline, info.orderTimeout, BootClock::now());
    };
    const EngineOrder engineOrder = makeOrder(order, lease);
    const auto sent = co_await sendOrder(control->http, info.endpoint, engineOrder, timeouts, checkLease);
    const std::string outcome = isOk(sent) ? "accepted" : "refused: " + errorOf(sent).detail;
    logDecision(control->context.decisions, "place", {}, engineOrder.action + " " + text + " on " + order.target.value + ", " + order.reason + ", " + outcome);
    addCounter(*control->context.metrics, "skylark_orders_total", {{"outcome", isOk(sent) ? "accepted" : "refused"}});
}

/** Plans placement once and sends the orders; stops at the first load that the weight store refuses. */
asio::awaitable<void> sendOrders(ControlPtr control, PlacementLease lease, std::map<TargetId, TimePoint> &pending)
{
    if (!control->fleet) {
        co_return;
    }
    const auto orders = planPlacement(wantedModels(*control->fleet), placementTargets(*control, pending), maxLoadsPerRound);
    for (const PlacementOrder &order : orders) {
        if (order.kind != OrderKind::UnloadModel && !co_await reserveWeights(control, order)) {
            co_return;
        }
        pending[order.target] = BootClock::now();
        co_await sendPlacementOrder(control, order, lease);
    }
}

/** Acquires or releases the placement lease if need be, and sends the orders of one round while this host holds it. */
asio::awaitable<Result<Done>> runPlacementRound(ControlPtr control, PlacementLease &lease, std::map<TargetId, TimePoint> &pending)
{
    co_await acquirePlatformCall(control);
    if (lease.held && !isCandidate(*control)) {
        co_await release(control, lease);
    } else if (!lease.held && isCandidate(*control)) {
        co_await acquire(control, lease);
    }
    if (lease.held) {
        co_await sendOrders(control, lease, pending);
    }
    co_return Done{};
}

} // namespace

asio::awaitable<void> runPlacement(ControlPtr control)
{
    PlacementLease lease;
    std::map<TargetId, TimePoint> pending;
    while (!control->stopping) {
        co_await pauseFor(control, lease.held ? std::chrono::nanoseconds(roundInterval) : std::chrono::nanoseconds(retryInterval));
        if (lease.held && lease.boundTo != control->lease.lease) {
            lease.held = false; // The lease key was deleted together with the old session lease.
        }
        const bool leaseValid = BootClock::now() < control->lease.deadline;
        if (!leaseValid) {
            continue;
        }
        // The lease outlives the exception of a round: a loop that is started anew would not know that this host holds it.
        co_await catchExceptions("placement", runPlacementRound(control, lease, pending));
    }
}

} // namespace skylark
