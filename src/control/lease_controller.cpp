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

/** Logs the first moment past the deadline; the traffic threads check the deadline themselves. */
void noteLapse(const ControlPtr &control)
{
    if (leaseAllows(control->lease, BootClock::now())) {
        control->lapseNoted = false;
        return;
    }
    if (!control->lapseNoted) {
        control->lapseNoted = true;
        addCounter(*control->context.metrics, "skylark_lease_lapses_total");
        LOG(WARNING) << "[member] no valid session lease; batch is suspended until one is granted";
    }
}

/** Writes the session key under @p lease, over a key that an earlier lease of this session has left. */
asio::awaitable<Result<Done>> writeSessionKey(ControlPtr control, LeaseId lease)
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
    const auto written = co_await kvPutRecognised(*control->kv, sessionKey(*control), json::serialize(value), writeId, version, std::move(lease));
    notePlatform(*control);
    if (!isOk(written)) {
        co_return errorOf(written);
    }
    co_return Done{};
}

/** Takes a lease and binds the session key to it. */
asio::awaitable<Result<Done>> grantLease(ControlPtr control, TimePoint sentAt)
{
    const Settings &settings = *control->context.settings;
    const auto lease = co_await kvGrantLease(*control->kv, settings.leaseTtl);
    notePlatform(*control);
    if (!isOk(lease)) {
        co_return errorOf(lease);
    }
    const auto written = co_await writeSessionKey(control, valueOf(lease));
    if (!isOk(written)) {
        // Without its key the session does not exist for others, so the lease must not be used.
        LOG(WARNING) << "[member] session key could not be written; " << errorOf(written).detail;
        co_return errorOf(written);
    }
    leaseGranted(control->lease, valueOf(lease), sentAt, settings.leaseTtl, settings.leaseMargin);
    LOG(INFO) << "[member] session " << control->session.value << " has lease " << valueOf(lease).value;
    co_return Done{};
}

asio::awaitable<Result<Done>> renewLease(ControlPtr control, TimePoint sentAt)
{
    const Settings &settings = *control->context.settings;
    const LeaseId lease = control->lease.lease;
    const auto renewed = co_await kvRenewLease(*control->kv, lease);
    notePlatform(*control);
    if (isOk(renewed)) {
        leaseRenewed(control->lease, lease, sentAt, settings.leaseTtl, settings.leaseMargin);
    } else if (errorOf(renewed).code == ErrorCode::LeaseExpired) {
        LOG(WARNING) << "[member] lease " << lease.value << " has expired; the session takes a new one";
        leaseEnded(control->lease, lease);
    }
    co_return renewed;
}

/** Makes one attempt to keep or to get the lease. @return Whether another one must follow at once. */
asio::awaitable<bool> attemptLease(ControlPtr control)
{
    const bool renewal = !control->lease.lease.empty();
    const TimePoint sentAt = BootClock::now();
    leaseAttempted(control->lease, sentAt);
    // Chosen before the wait: g++ 12 frees the result of a co_await inside a conditional expression twice.
    asio::awaitable<Result<Done>> attempt = renewal ? renewLease(control, sentAt) : grantLease(control, sentAt);
    const auto done = co_await std::move(attempt);
    addCounter(*control->context.metrics, "skylark_lease_calls_total", {{"kind", renewal ? "renew" : "grant"}, {"outcome", isOk(done) ? "ok" : "failed"}});
    if (!isOk(done)) {
        leaseAttemptFailed(control->lease);
    }
    noteLapse(control);
    markChanged(control);
    co_return renewal && control->lease.lease.empty();
}

} // namespace

asio::awaitable<void> runLease(ControlPtr control)
{
    const LeaseTiming timing = timingOf(*control->context.settings);
    while (!control->ended) {
        if (co_await attemptLease(control)) {
            continue;
        }
        const auto delay = leaseAttemptDue(control->lease, timing, control->random) - BootClock::now();
        co_await waitFor(control, control->leaseWakeup, std::max<std::chrono::nanoseconds>(delay, std::chrono::nanoseconds(0)));
    }
}

asio::awaitable<void> endSession(Control &handle)
{
    ControlPtr control = handle.impl;
    control->ended = true;
    const LeaseId lease = control->lease.lease;
    leaseEnded(control->lease, lease);
    signal(control->leaseWakeup);
    signal(control->watchWakeup);
    signal(control->pullWakeup);
    // The other threads must see the end of the lease before another session can take over its claims.
    publishNow(control);
    if (!lease.empty()) {
        const auto revoked = co_await kvRevokeLease(*control->kv, lease);
        LOG(INFO) << "[member] session ended, lease " << (isOk(revoked) ? "revoked" : "left to expire");
    }
}

} // namespace skylark
