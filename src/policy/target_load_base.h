/** @file target_load_base.h Load and health of targets as observed by this host. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace skylark {

/** Kind of a stream on a target. */
enum class StreamKind : std::uint8_t {
    Online, ///< A caller waits for the answer.
    Batch, ///< Item of a batch job.
};

/** Load and health of one target as observed by this host. */
struct TargetLoad {
    unsigned online{0}; ///< Online streams in flight from this host.
    unsigned batch{0}; ///< Batch streams in flight from this host.
    std::uint64_t started{0}; ///< Total number of streams started.
    std::uint64_t ended{0}; ///< Total number of streams ended.
    std::uint64_t startedAtReport{0}; ///< Value of started when the last load report arrived.
    std::uint64_t endedAtReport{0}; ///< Value of ended when the last load report arrived.
    std::uint64_t reportSequence{0}; ///< Sequence number of the last load report.
    unsigned consecutiveFailures{0}; ///< Number of failures since the last success.
    TimePoint blockedUntil{}; ///< The circuit breaker is open before this time: no new streams.
    double tokenMs{0}; ///< Moving average of the time per output token in milliseconds; 0 when unknown.
    double firstTokenMs{0}; ///< Moving average of the time to first token in milliseconds; 0 when unknown.
    double onlineMean{0}; ///< Moving average of the online streams in flight.
    double onlinePeak{0}; ///< Decaying maximum of the online streams in flight.
    TimePoint updatedAt{}; ///< Time of the last update of onlineMean and onlinePeak.
};

/** Load of all targets. The functions below lock the table and may be called from any thread. */
struct TargetLoadTable {
    mutable std::mutex mutex; ///< Guards loads.
    std::unordered_map<TargetId, TargetLoad> loads;
};

/** Counts a stream that is about to be sent to @p target. */
void recordStreamStarted(TargetLoadTable &table, const TargetId &target, StreamKind kind, TimePoint now);

/** Counts the end of a stream; ignored when no stream of @p kind is in flight. */
void recordStreamEnded(TargetLoadTable &table, const TargetId &target, StreamKind kind, TimePoint now);

/** Stores the sequence of a load report and the stream counters at its arrival. */
void recordLoadReport(TargetLoadTable &table, const TargetId &target, std::uint64_t sequence, TimePoint now);

/** Records a failure; consecutive failures open the circuit breaker with exponential backoff. */
void recordStreamFailure(TargetLoadTable &table, const TargetId &target, TimePoint now);

/** Records that a connection was refused or could not be made, and opens the circuit breaker at once. */
void recordConnectionRefused(TargetLoadTable &table, const TargetId &target, TimePoint now);

/** Records a success and closes the circuit breaker. */
void recordStreamSuccess(TargetLoadTable &table, const TargetId &target);

/** Adds the token timing of one stream, in milliseconds, to the averages. */
void recordTokenTiming(TargetLoadTable &table, const TargetId &target, std::optional<double> firstTokenMs, std::optional<double> tokenMs, TimePoint now);

/** @return A copy of the load of @p target; all zero when it is unknown. */
[[nodiscard]] TargetLoad loadOf(const TargetLoadTable &table, const TargetId &target);

/** @return Online streams in flight from this host by target, for status datagrams; targets without any are left out. */
[[nodiscard]] std::vector<std::pair<TargetId, unsigned>> onlineInFlight(const TargetLoadTable &table);

} // namespace skylark
