/** @file target_limit.cpp Rate limits that targets name in their answers: recorded and logged. */
#include "core/event_log_func.h"
#include "policy/rate_limit_func.h"
#include "proxy/proxy_base.h"

namespace skylark {

void recordAnswerHead(Proxy &proxy, const TargetId &target, const AnswerHead &head, TimePoint sentAt)
{
    if (head.notRun && !head.rateLimit) {
        return;
    }
    if (!observeAnswer(proxy.rateLimits, {target, head.rateLimit, BootClock::now()}, sentAt)) {
        return;
    }
    logEvent(EventKind::LimitChanged,
             target.value,
             {{"source", "answer"},
              {"limited", head.rateLimit.has_value()},
              {"per_second", head.rateLimit.value_or(0)},
              {"sent", proxy.rateLimits.targets.at(target).sent}});
}

} // namespace skylark
