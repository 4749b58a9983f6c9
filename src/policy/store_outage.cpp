/** @file store_outage.cpp Tells outages of the key-value service from single failed calls, and entries that lapsed in an outage from removed ones. */
#include "policy/store_outage_func.h"

namespace skylark {

namespace {

constexpr int lapseIntervals = 3; ///< An entry lapses after so many intervals without a heartbeat.

/** @return Length of the shortest outage in which an entry can lapse: the last heartbeat arrives up to one interval before it. */
std::chrono::milliseconds shortestOutage(const StoreContact &contact)
{
    return contact.heartbeat * (lapseIntervals - 1);
}

} // namespace

bool recordAnswer(StoreContact &contact, TimePoint now)
{
    const bool returned = isStoreAway(contact, now);
    contact.answeredAt = now;
    if (returned) {
        contact.returnedAt = now;
    }
    return returned;
}

bool isStoreAway(const StoreContact &contact, TimePoint now)
{
    return contact.answeredAt != TimePoint{} && now - contact.answeredAt >= shortestOutage(contact);
}

bool mayHaveLapsed(const StoreContact &contact, const EntryRemoval &removal, TimePoint now, std::chrono::milliseconds grace)
{
    const bool afterOutage = contact.returnedAt != TimePoint{} && now - contact.returnedAt < grace;
    return afterOutage && removal.writtenRevision <= removal.returnRevision;
}

} // namespace skylark
