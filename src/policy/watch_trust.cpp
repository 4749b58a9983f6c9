/** @file watch_trust.cpp Decides when a call that waits for changes of the key-value service is replaced, because its answer may have been lost. */
#include "policy/watch_trust_func.h"

namespace skylark {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds readAheadGrace{300}; ///< A service that is sixty times as slow as usual answers within this time.
constexpr milliseconds lapseMargin{1000}; ///< Renewals of a host go on for a moment after its last status, and the service ends leases late.

} // namespace

std::string_view watchDoubtName(WatchDoubt doubt)
{
    switch (doubt) {
    case WatchDoubt::ServiceReturned:
        return "service_returned";
    case WatchDoubt::ChangeRead:
        return "change_read";
    case WatchDoubt::EntryOverdue:
        return "entry_overdue";
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

milliseconds reportGrace(WatchDoubt doubt)
{
    return doubt == WatchDoubt::ChangeRead ? readAheadGrace : milliseconds(0);
}

bool mustReplaceWatch(WatchDoubt doubt, TimePoint sentAt, TimePoint doubtedAt, TimePoint now)
{
    return sentAt < doubtedAt && now - doubtedAt >= reportGrace(doubt);
}

TimePoint entryOverdueAt(TimePoint heardAt, milliseconds leaseTtl)
{
    return heardAt + leaseTtl + lapseMargin;
}

} // namespace skylark
