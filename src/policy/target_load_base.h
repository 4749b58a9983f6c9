/** @file target_load_base.h What this host itself knows of each target's load and health. */
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
    Online, ///< A caller waits for it.
    Batch, ///< Item of a batch job.
};

/** Counters of one target as seen by this host. */
struct TargetLoad {
    unsigned online{0}; ///< Own online streams in flight.
    unsigned batch{0}; ///< Own batch streams in flight.
    std::uint64_t started{0}; ///< Streams started, ever.
    std::uint64_t ended{0}; ///< Streams ended, ever.
    std::uint64_t startedAtReport{0}; ///< started when the last load report arrived.
    std::uint64_t endedAtReport{0}; ///< ended when the last load report arrived.
    std::uint64_t reportSequence{0}; ///< Sequence of that report.
    unsigned consecutiveFailures{0}; ///< Failures since the last success.
    TimePoint blockedUntil{}; ///< Circuit breaker: no new work before.
    double tokenMs{0}; ///< Moving average of the time per output token in milliseconds; 0 when unknown.
    double firstTokenMs{0}; ///< Moving average of the time to first token in milliseconds; 0 when unknown.
    double onlineMean{0}; ///< Moving average of online streams in flight.
    double onlinePeak{0}; ///< Decaying peak of online streams in flight.
    TimePoint updatedAt{}; ///< Last change of the averages.
};

/** Table of all targets; its functions may be called from any thread. */
struct TargetLoadTable {
    mutable std::mutex mutex; ///< Guards loads.
    std::unordered_map<TargetId, TargetLoad> loads; ///< By target.
};

/** Counts a stream that is about to be sent to @p target. */
void noteStreamStarted(TargetLoadTable &table, const TargetId &target, StreamKind kind, TimePoint now);

/** Counts the end of a stream. */
void noteStreamEnded(TargetLoadTable &table, const TargetId &target, StreamKind kind, TimePoint now);

/** Remembers the counters at the arrival of a load report. */
void noteReport(TargetLoadTable &table, const TargetId &target, std::uint64_t sequence, TimePoint now);

/** Records a failure; several in a row open the circuit breaker with an exponentially growing pause. */
void noteFailure(TargetLoadTable &table, const TargetId &target, TimePoint now);

/** Records a refused or impossible connection and opens the breaker at once. */
void noteRefused(TargetLoadTable &table, const TargetId &target, TimePoint now);

/** Records a success and closes the breaker. */
void noteSuccess(TargetLoadTable &table, const TargetId &target, TimePoint now);

/** Records token timing of one stream in milliseconds. */
void noteTokenTiming(TargetLoadTable &table, const TargetId &target, std::optional<double> firstTokenMs, std::optional<double> tokenMs, TimePoint now);

/** @return A copy of the counters of @p target. */
[[nodiscard]] TargetLoad loadOf(const TargetLoadTable &table, const TargetId &target);

/** @return Own online streams in flight by target, for status datagrams; zero entries are left out. */
[[nodiscard]] std::vector<std::pair<TargetId, unsigned>> onlineInFlight(const TargetLoadTable &table);

} // namespace skylark
