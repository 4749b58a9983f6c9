/** @file target_answer.cpp What targets say of themselves in their answers, and what the list of targets says of them. */
#include "core/event_log_func.h"
#include "proxy/proxy_base.h"

#include <set>
#include <utility>

namespace skylark {

namespace {

/** Records that @p target has said that it is leaving. Its idle connections are closed; no request may use the connection of @p exchange again. */
void recordLeavingTarget(Proxy &proxy, const TargetEntry &target, HttpExchange &exchange)
{
    const TimePoint now = BootClock::now();
    if (recordLeaving(proxy.leavingTargets, target, now)) {
        logTargetChange(target, "leaving", "answer");
        addCounter(*proxy.metrics, "skylark_leaving_targets_total");
    }
    httpCloseIdle(*proxy.http, target.endpoint, now);
    httpCloseAfterUse(exchange);
}

/** Forgets what was learned of targets that are not listed any more, or in whose place another one is listed. @param before Targets listed until now, or null.
 */
void forgetGoneTargets(Proxy &proxy, const std::shared_ptr<const TargetMap> &before)
{
    const TargetMap &listed = *proxy.fleet->targets;
    std::set<TargetId> replaced;
    for (const auto &[id, entry] : before ? *before : TargetMap()) {
        const auto found = listed.find(id);
        if (found != listed.end() && !isSameTarget(entry, found->second)) {
            replaced.insert(id);
            httpCloseIdle(*proxy.http, entry.endpoint, BootClock::now());
        }
    }
    const auto isGone = [&listed, &replaced](const auto &entry) {
        return !listed.contains(entry.first) || replaced.contains(entry.first);
    };
    std::erase_if(proxy.health, isGone);
    std::erase_if(proxy.rateLimits.targets, isGone);
    for (auto &[service, kept] : proxy.keptPrompts) {
        std::erase_if(kept.targets, isGone);
    }
    forgetGoneTargets(proxy.leavingTargets, listed, BootClock::now());
}

} // namespace

bool answersRequest(const AnswerHead &head, int status, const RequestId &id)
{
    const bool named = head.requestId == id.value;
    if (head.notRun) {
        return named || head.requestId.empty();
    }
    const bool success = status >= 200 && status < 300;
    if (success) {
        return named && head.signedByTarget;
    }
    return named || (head.requestId.empty() && !head.signedByTarget);
}

AnswerHead readAnswer(Proxy &proxy, const TargetEntry &target, HttpExchange &exchange, const RequestId &id, TimePoint sentAt)
{
    AnswerHead head = proxy.wire.readAnswerHead(exchange.status, exchange.headers);
    if (!answersRequest(head, exchange.status, id)) {
        return head;
    }
    const bool isFromTarget = head.instance.empty() || head.instance == target.id;
    if (head.leaving && isFromTarget) {
        recordLeavingTarget(proxy, target, exchange);
    }
    recordLimit(proxy, target.id, head, sentAt);
    return head;
}

void recordUnsolicitedBytes(Proxy &proxy, const TargetEntry &target, const std::string &request)
{
    addCounter(*proxy.metrics, "skylark_unsolicited_bytes_total", {{"target", target.id.value}});
    logEvent(EventKind::UnsolicitedBytes, request, {{"target", target.id.value}});
    recordTargetFailure(proxy, target);
}

void applyFleet(Proxy &proxy, SnapshotPtr snapshot)
{
    const SnapshotPtr before = std::exchange(proxy.fleet, std::move(snapshot));
    if (proxy.fleet->targets && proxy.fleet->targets != before->targets) {
        forgetGoneTargets(proxy, before->targets);
    }
    updateSenders(proxy);
}

} // namespace skylark
