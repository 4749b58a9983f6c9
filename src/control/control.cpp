/** @file control.cpp Construction and start of the control component, and its functions for other threads. */
#include "control/controller_func.h"
#include "core/hash_func.h"
#include "core/task_func.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto leavingAfterRefusal = 30s; // Longer than the lag of the platform's target list.

asio::awaitable<void> serveAdmin(std::weak_ptr<Control::Impl> weak, HttpRequest request, HttpResponder &responder)
{
    const ControlPtr control = weak.lock();
    if (!control) {
        co_return;
    }
    HttpResponse response = co_await answerAdmin(control, std::move(request));
    co_await sendResponse(responder, std::move(response));
}

StatusHandlers statusHandlers(const std::weak_ptr<Control::Impl> &weak)
{
    StatusHandlers handlers;
    handlers.onStatus = [weak](const HostStatus &status) {
        if (const ControlPtr control = weak.lock()) {
            applyHostStatus(control, status);
        }
    };
    handlers.onYield = [weak](YieldMessage message) {
        const ControlPtr control = weak.lock();
        if (control && control->batch) {
            addCounter(*control->context.metrics, "skylark_yield_messages_total", {{"direction", "received"}});
            asio::post(control->context.batch, [batch = control->batch, message = std::move(message)] {
                preemptForOnline(*batch, message.target, message.slots, true);
            });
        }
    };
    return handlers;
}

/** Sends a yield message to the batch owner of @p target. Runs on the control thread. */
void sendYieldTo(const ControlPtr &control, const TargetId &target, unsigned slots)
{
    const auto found = control->targets.find(target);
    const auto owner = found == control->targets.end() ? control->hosts.end() : control->hosts.find(found->second.owner);
    if (owner == control->hosts.end()) {
        return;
    }
    addCounter(*control->context.metrics, "skylark_yield_messages_total", {{"direction", "sent"}});
    sendYield(*control->exchange, {.from = control->self.id, .target = target, .slots = slots}, owner->second.info.status);
}

/** @return The batch owner of @p target in @p snapshot; empty for an unknown target. */
HostId snapshotOwner(const ControlSnapshot &snapshot, const TargetId &target)
{
    const auto found = std::find_if(snapshot.targets.begin(), snapshot.targets.end(), [&target](const TargetView &view) {
        return view.info.id == target;
    });
    return found == snapshot.targets.end() ? HostId() : found->batchOwner;
}

} // namespace

Control::Impl::Impl(HostContext &hostContext, PeerRpc &peerRpc)
    : context(hostContext)
    , rpc(peerRpc)
    , pullWakeup{asio::steady_timer(hostContext.control)}
    , watchWakeup{asio::steady_timer(hostContext.control)}
    , leaseWakeup{asio::steady_timer(hostContext.control)}
    , publishTimer(hostContext.control)
    , statusTimer(hostContext.control)
{
}

Result<std::shared_ptr<Control>> Control::create(HostContext &context, PeerRpc &rpc, std::shared_ptr<BatchService> batch)
{
    const Settings &settings = *context.settings;
    const HostInfo *self = settings.self();
    if (self == nullptr) {
        return makeError(ErrorCode::InvalidSettings, "host " + settings.host.value + " is not in the list of hosts");
    }
    auto impl = std::make_shared<Impl>(context, rpc);
    impl->batch = std::move(batch);
    impl->self = *self;
    impl->context.quarantine->state.host = self->id;
    impl->context.quarantine->state.startedAt = BootClock::now();
    impl->session = SessionId{randomIdHex()};
    impl->incarnation = static_cast<std::uint64_t>(unixNow().time_since_epoch().count());
    impl->reportSequence = impl->incarnation;
    impl->randomState = settings.seed != 0 ? settings.seed : hash64(impl->session.value);
    impl->http = HttpClient::create(context.control.get_executor());
    for (const HostInfo &host : settings.hosts) {
        if (host.id != settings.host) {
            impl->hosts[host.id].info = host;
        }
    }
    auto kv = KvClient::create(settings.platform, impl->http);
    if (!isOk(kv)) {
        return errorOf(kv);
    }
    impl->kv = std::move(valueOf(kv));
    auto exchange = StatusExchange::create(context.control.get_executor(), self->status, statusHandlers(impl));
    if (!isOk(exchange)) {
        return errorOf(exchange);
    }
    impl->exchange = std::move(valueOf(exchange));
    HttpServerOptions options;
    options.listen = self->admin;
    const std::weak_ptr<Impl> weak = impl;
    auto admin = HttpServer::create(context.control.get_executor(), std::move(options), [weak](HttpRequest request, HttpResponder &responder) {
        return serveAdmin(weak, std::move(request), responder);
    });
    if (!isOk(admin)) {
        return errorOf(admin);
    }
    impl->admin = std::move(valueOf(admin));
    publishSoon(impl); // Other components need the session id before the key-value service first answers.
    auto control = std::make_shared<Control>();
    control->impl = std::move(impl);
    return control;
}

void startControl(Control &handle)
{
    const ControlPtr &control = handle.impl;
    LOG(INFO) << "[member] host " << control->self.id.value << " starts session " << control->session.value;
    const auto start = [&control](std::string_view name, asio::awaitable<void> (*controller)(ControlPtr)) {
        startLoop(control->context.control.get_executor(), name, [control, controller] {
            return controller(control);
        });
    };
    start("session lease", runLease);
    start("watch of the configuration", runConfigWatch);
    start("pulls from hosts", runPulls);
    start("membership", runMembership);
    start("target list", runTargetList);
    start("load reports", runLoadPolls);
    start("watch of jobs", runJobWatch);
    start("decline", runDecline);
    start("placement", runPlacement);
}

void requestYield(Control &handle, const TargetId &target, unsigned slots)
{
    ControlPtr control = handle.impl;
    const auto snapshot = control->context.snapshot->current.load();
    if (snapshotOwner(*snapshot, target) == control->self.id) {
        if (control->batch) {
            asio::post(control->context.batch, [batch = control->batch, target, slots] {
                preemptForOnline(*batch, target, slots, false);
            });
        }
        return;
    }
    asio::post(control->context.control, [control, target, slots] {
        sendYieldTo(control, target, slots);
    });
}

void announceEvidence(Control &handle)
{
    ControlPtr control = handle.impl;
    asio::post(control->context.control, [control] {
        sendStatusNow(*control, true);
    });
}

void reportTargetLeaving(Control &handle, const TargetId &target)
{
    ControlPtr control = handle.impl;
    asio::post(control->context.control, [control, target] {
        const auto found = control->targets.find(target);
        if (found != control->targets.end()) {
            found->second.leavingUntil = BootClock::now() + leavingAfterRefusal;
            evaluateTargets(control);
        }
    });
}

asio::awaitable<void> announcePlannedStop(Control &handle)
{
    constexpr int repetitions = 3; // The stop must be known even if one datagram is lost.
    constexpr auto gap = 20ms;
    ControlPtr control = handle.impl;
    control->stopping = true;
    signal(control->watchWakeup);
    evaluateTargets(control);
    publishSoon(control);
    LOG(INFO) << "[member] planned stop announced";
    for (int i = 0; i < repetitions; ++i) {
        sendStatusNow(*control, true);
        co_await pauseFor(control, gap);
    }
}

} // namespace skylark
