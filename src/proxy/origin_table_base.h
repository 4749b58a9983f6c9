/** @file origin_table_base.h Records of the service and software version at which streams began. */
#pragma once

#include "core/clock_func.h"
#include "policy/stream_origin_type.h"

#include <deque>
#include <unordered_map>

namespace skylark {

/** Record of one stream. */
struct OriginRecord {
    ServiceVersion origin;
    TimePoint until{}; ///< When it is dropped.
};

/** Records of streams that this host has begun or continued, and of those for which it is a keeper. */
struct OriginTable {
    std::unordered_map<std::uint64_t, OriginRecord> records; ///< By the key of the stream.
    std::deque<std::pair<TimePoint, std::uint64_t>> expiries; ///< Times at which records may be dropped, in order, with their keys.
    std::chrono::milliseconds retention{30000}; ///< Time for which a record is kept; callers do not wait longer for a stream.
    std::size_t maxRecords{20000}; ///< Bounds the memory; the oldest records are dropped first.
};

/** @return Key of the stream that the request @p id began. */
[[nodiscard]] std::uint64_t streamKey(const RequestId &id);

/** Records the origin of a stream, in place of an earlier one. */
void recordOrigin(OriginTable &table, std::uint64_t stream, const ServiceVersion &origin, TimePoint now);

/** @return The recorded origin of a stream; empty if there is none. */
[[nodiscard]] std::optional<ServiceVersion> recordedOrigin(const OriginTable &table, std::uint64_t stream, TimePoint now);

} // namespace skylark
