/** @file lease_controller.cpp Session lease and session key of this host. */
#include "control/controller_func.h"
#include "core/hash_func.h"

#include <algorithm>
#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/** @return The local deadline of a lease whose last successful call was sent at @p sentAt. */
TimePoint leaseDeadline(TimePoint sentAt, std::chrono::milliseconds ttl, std::chrono::milliseconds margin)
{
    return sentAt + ttl - margin;
}

std::string sessionKey(const Control::Impl &control)
{
    return "session/" + control.session.value;
}

void extendLease(const ControlPtr &control, TimePoint sentAt)
{
    const Settings &settings = *control->context.settings;
    control->lease.deadline = std::max(control->lease.deadline, leaseDeadline(sentAt, settings.leaseTtl, settings.leaseMargin));
    control->lease.lapsed = false;
    markChanged(control);
}

/** Logs the first moment past the deadline; the traffic threads check the deadline themselves. */
void noteLapse(const ControlPtr &control)
{
    if (control->lease.lapsed || control->lease.deadline == TimePoint() || BootClock::now() < control->lease.deadline) {
        return;
    }
    control->lease.lapsed = true;
    addCounter(*control->context.metrics, "skylark_lease_lapses_total");
    LOG(WARNING) << "[member] session lease lapsed; batch is suspended until a new lease is granted";
    markChanged(control);
}

/** Writes the session key under the present lease, over a key that an earlier lease of this session has left. */
asio::awaitable<Result<Done>> writeSessionKey(ControlPtr control)
{
    auto present = co_await kvGet(*control->kv, sessionKey(*control));
    notePlatform(*control);
    if (!isOk(present)) {
        co_return errorOf(present);
    }
    const KvVersion version = valueOf(present) ? valueOf(present)->version : KvVersion{};
    const WriteId writeId{randomIdHex()};
    json::object value;
    value["host"] = control->self.id.value;
    value["domain"] = control->self.domain.value;
    value["startedUnixMs"] = control->incarnation;
    value["writeId"] = writeId.value;
    const auto written = co_await kvPutRecognised(*control->kv, sessionKey(*control), json::serialize(value), writeId, version, control->lease.id);
    notePlatform(*control);
    if (!isOk(written)) {
        co_return errorOf(written);
    }
    co_return Done{};
}

/** Takes a lease and binds the session key to it. */
asio::awaitable<bool> grantLease(ControlPtr control)
{
    const TimePoint sentAt = BootClock::now();
    const auto lease = co_await kvGrantLease(*control->kv, control->context.settings->leaseTtl);
    notePlatform(*control);
    if (!isOk(lease)) {
        co_return false;
    }
    control->lease.id = valueOf(lease);
    const auto written = co_await writeSessionKey(control);
    if (!isOk(written)) {
        // Without its key the session does not exist for others, so the lease must not be used.
        LOG(WARNING) << "[member] session key could not be written; " << errorOf(written).detail;
        control->lease.id = {};
        co_return false;
    }
    extendLease(control, sentAt);
    LOG(INFO) << "[member] session " << control->session.value << " has lease " << control->lease.id.value;
    co_return true;
}

asio::awaitable<bool> renewLease(ControlPtr control)
{
    const TimePoint sentAt = BootClock::now();
    const auto renewed = co_await kvRenewLease(*control->kv, control->lease.id);
    notePlatform(*control);
    if (isOk(renewed)) {
        extendLease(control, sentAt);
        co_return true;
    }
    if (errorOf(renewed).code == ErrorCode::LeaseExpired) {
        LOG(WARNING) << "[member] lease " << control->lease.id.value << " has expired; the session takes a new one";
        control->lease.id = {};
    }
    co_return false;
}

} // namespace

asio::awaitable<void> runLease(ControlPtr control)
{
    const Settings &settings = *control->context.settings;
    while (!control->lease.ended) {
        const bool renewal = !control->lease.id.empty();
        const bool done = renewal ? co_await renewLease(control) : co_await grantLease(control);
        addCounter(*control->context.metrics, "skylark_lease_calls_total", {{"kind", renewal ? "renew" : "grant"}, {"outcome", done ? "ok" : "failed"}});
        noteLapse(control);
        if (renewal && !done && control->lease.id.empty()) {
            continue;
        }
        // Two failed renewals leave time for a third before the deadline; the spread keeps hosts from calling in step.
        std::chrono::nanoseconds delay = settings.leaseRenew;
        if (!done) {
            delay = settings.leaseRenew / 3 + randomBelow(*control, settings.leaseRenew / 3);
        }
        co_await waitFor(control, control->leaseWakeup, delay);
    }
}

asio::awaitable<void> endSession(Control &handle)
{
    ControlPtr control = handle.impl;
    control->lease.ended = true;
    control->lease.deadline = {};
    signal(control->leaseWakeup);
    signal(control->watchWakeup);
    signal(control->pullWakeup);
    markChanged(control);
    if (!control->lease.id.empty()) {
        const auto revoked = co_await kvRevokeLease(*control->kv, control->lease.id);
        LOG(INFO) << "[member] session ended, lease " << (isOk(revoked) ? "revoked" : "left to expire");
    }
}

} // namespace skylark
