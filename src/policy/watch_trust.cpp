/** @file watch_trust.cpp Decides when a call that waits for changes of the key-value service is replaced, because its answer may have been lost. */
#include "policy/watch_trust_func.h"

namespace skylark {

std::string_view watchDoubtName(WatchDoubt doubt)
{
    switch (doubt) {
    case WatchDoubt::ServiceReturned:
        return "service_returned";
    }
    return "unknown";
}

void recordLostCall(ServiceTrust &trust, TimePoint lostAt)
{
    if (trust.answeredAt == TimePoint{} || lostAt >= trust.answeredAt) {
        trust.lostAt = lostAt;
    }
}

bool recordServedCall(ServiceTrust &trust, TimePoint now)
{
    if (trust.lostAt == TimePoint{}) {
        return false;
    }
    trust.lostAt = TimePoint{};
    trust.answeredAt = now;
    return true;
}

bool mustReplaceWatch(TimePoint sentAt, TimePoint doubtedAt)
{
    return sentAt < doubtedAt;
}

} // namespace skylark
