/** @file origin_table.cpp Records of the service and software version at which streams began. */
#include "proxy/origin_table_base.h"

#include "core/hash_func.h"

namespace skylark {

namespace {

/** Drops the records whose time is over, and the oldest ones beyond the limit. */
void dropOldRecords(OriginTable &table, TimePoint now)
{
    while (!table.expiries.empty() && (table.expiries.front().first <= now || table.records.size() > table.maxRecords)) {
        const auto [until, stream] = table.expiries.front();
        table.expiries.pop_front();
        const auto found = table.records.find(stream);
        if (found != table.records.end() && found->second.until <= until) {
            table.records.erase(found);
        }
    }
}

} // namespace

std::uint64_t streamKey(const RequestId &id)
{
    return hash64(id.value);
}

void recordOrigin(OriginTable &table, std::uint64_t stream, const ServiceVersion &origin, TimePoint now)
{
    const TimePoint until = now + table.retention;
    table.records[stream] = {origin, until};
    table.expiries.emplace_back(until, stream);
    dropOldRecords(table, now);
}

std::optional<ServiceVersion> recordedOrigin(const OriginTable &table, std::uint64_t stream, TimePoint now)
{
    const auto found = table.records.find(stream);
    return found != table.records.end() && now < found->second.until ? std::optional(found->second.origin) : std::nullopt;
}

} // namespace skylark
