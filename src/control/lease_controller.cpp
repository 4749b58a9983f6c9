/** @file lease_controller.cpp Session lease and session key of this host. */
#include "control/controller_func.h"
#include "core/hash_func.h"
#include "policy/lease_func.h"

#include <algorithm>
#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

std::string sessionKey(const Control::Impl &control)
{
    return "session/" + control.session.value;
}

LeaseTiming timingOf(const Settings &settings)
{
    LeaseTiming timing;
    timing.ttl = settings.leaseTtl;
    timing.renew = settings.leaseRenew;
    timing.margin = settings.leaseMargin;
    return timing;
}

/** Logs and counts a lapse of the lease once. Other threads check the deadline in the snapshot themselves. */
void logLeaseLapse(const ControlPtr &control)
{
    if (isLeaseValid(control->lease, BootClock::now())) {
        control->lapseLogged = false;
        return;
    }
    if (!control->lapseLogged) {
        control->lapseLogged = true;
        addCounter(*control->context.metrics, "skylark_lease_lapses_total");
        LOG(WARNING) << "[member] no valid session lease; batch is suspended until one is granted";
    }
}

/** Writes the session key bound to @p lease; overwrites a key left by an earlier lease of this session. */
asio::awaitable<Result<Done>> writeSessionKey(ControlPtr control, LeaseId lease)
{
    auto present = co_await kvGet(*control->kv, sessionKey(*control));
    recordPlatformResult(*control);
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
    const auto written = co_await kvPutVerified(*control->kv, sessionKey(*control), json::serialize(value), writeId, version, std::move(lease));
    recordPlatformResult(*control);
    if (!isOk(written)) {
        co_return errorOf(written);
    }
    co_return Done{};
}

/** Requests a new lease and binds the session key to it. */
asio::awaitable<Result<Done>> grantLease(ControlPtr control, TimePoint sentAt)
{
    const Settings &settings = *control->context.settings;
    const auto lease = co_await kvGrantLease(*control->kv, settings.leaseTtl);
    recordPlatformResult(*control);
    if (!isOk(lease)) {
        co_return errorOf(lease);
    }
    const auto written = co_await writeSessionKey(control, valueOf(lease));
    if (!isOk(written)) {
        // Without its key, the session does not exist for other hosts, so the lease must not be used.
        LOG(WARNING) << "[member] session key could not be written, the new lease is not used; " << errorOf(written).detail;
        co_return errorOf(written);
    }
    applyLeaseGrant(control->lease, valueOf(lease), sentAt, settings.leaseTtl, settings.leaseMargin);
    LOG(INFO) << "[member] session " << control->session.value << " has lease " << valueOf(lease).value;
    co_return Done{};
}

asio::awaitable<Result<Done>> renewLease(ControlPtr control, TimePoint sentAt)
{
    const Settings &settings = *control->context.settings;
    const LeaseId lease = control->lease.lease;
    const auto renewed = co_await kvRenewLease(*control->kv, lease);
    recordPlatformResult(*control);
    if (isOk(renewed)) {
        applyLeaseRenewal(control->lease, lease, sentAt, settings.leaseTtl, settings.leaseMargin);
    } else if (errorOf(renewed).code == ErrorCode::LeaseExpired) {
        LOG(WARNING) << "[member] lease " << lease.value << " has expired; requesting a new one for the session";
        applyLeaseEnd(control->lease, lease);
    }
    co_return renewed;
}

/** Renews the lease, or requests one if none is held. @return Whether the lease has expired, so that a new one must be requested immediately. */
asio::awaitable<bool> attemptLease(ControlPtr control)
{
    const bool renewal = !control->lease.lease.empty();
    const TimePoint sentAt = BootClock::now();
    recordLeaseAttempt(control->lease, sentAt);
    // A separate statement, because g++ 12 frees the result of a co_await inside a conditional expression twice.
    asio::awaitable<Result<Done>> attempt = renewal ? renewLease(control, sentAt) : grantLease(control, sentAt);
    const auto done = co_await std::move(attempt);
    addCounter(*control->context.metrics, "skylark_lease_calls_total", {{"kind", renewal ? "renew" : "grant"}, {"outcome", isOk(done) ? "ok" : "failed"}});
    if (!isOk(done)) {
        recordLeaseFailure(control->lease);
    }
    logLeaseLapse(control);
    publishSoon(control);
    co_return renewal && control->lease.lease.empty();
}

} // namespace

asio::awaitable<void> runLease(ControlPtr control)
{
    const LeaseTiming timing = timingOf(*control->context.settings);
    while (!control->sessionEnded) {
        if (co_await attemptLease(control)) {
            continue;
        }
        const auto delay = nextLeaseAttempt(control->lease, timing, control->randomState) - BootClock::now();
        co_await waitFor(control, control->leaseWakeup, std::max<std::chrono::nanoseconds>(delay, std::chrono::nanoseconds(0)));
    }
}

asio::awaitable<void> endSession(Control &handle)
{
    ControlPtr control = handle.impl;
    control->sessionEnded = true;
    const LeaseId lease = control->lease.lease;
    applyLeaseEnd(control->lease, lease);
    signal(control->leaseWakeup);
    signal(control->watchWakeup);
    signal(control->pullWakeup);
    // Other threads must see the end of the lease before another session can take over the claims of this one.
    publishNow(control);
    if (!lease.empty()) {
        const auto revoked = co_await kvRevokeLease(*control->kv, lease);
        LOG(INFO) << "[member] session ended, lease " << (isOk(revoked) ? "revoked" : "left to expire");
    }
}

} // namespace skylark
