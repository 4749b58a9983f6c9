/** @file memory_budget_type.h Types of the decisions on memory that is held for connections which this process does not control. */
#pragma once

#include <chrono>
#include <cstdint>

namespace skylark {

/** Bytes that a process may hold for callers. */
struct MemoryBudget {
    std::uint64_t bytes{0}; ///< All of them.
    std::uint64_t kept{0}; ///< Part that only heads and small requests may use.
};

/** Bytes that are held now. */
struct MemoryUse {
    std::uint64_t held{0}; ///< By all holders.
    std::uint64_t large{0}; ///< By those that hold more than smallHoldBytes, and by jobs.
    std::uint64_t jobs{0}; ///< By the items of unfinished jobs, as far as they count.
};

inline constexpr std::uint64_t smallHoldBytes = 65536; ///< A holder with at most this many bytes is small: a connection, its head and a body of some 20 KB.

inline constexpr std::uint64_t bodyProofBytes = 32768; ///< Received bytes that show that a client does send its body; with them a holder is still small.

/** One holder, as a candidate to be closed. */
struct MemoryHolder {
    std::uint64_t bytes{0};
    std::chrono::milliseconds idle{0}; ///< Time since its last progress.
    bool waits{false}; ///< Whether it waits for memory, so that it is not to blame for the time without progress.
    bool closable{true}; ///< Whether it may be closed; a request that is being handled may not.
};

/** A wait for memory. */
struct MemoryPressure {
    std::chrono::milliseconds waited{0}; ///< Time since the first of those that still wait began to wait.
    std::chrono::milliseconds sinceClose{0}; ///< Time since a holder was closed last.
    bool smallWaits{false}; ///< Whether a small holder waits, or the budget is exceeded.
};

/** Limits on the progress of a request body. */
struct BodyLimits {
    std::chrono::milliseconds stall{30000}; ///< Longest time without a byte.
    std::chrono::milliseconds grace{30000}; ///< Time after which the minimum rate applies.
    std::uint64_t minRate{16384}; ///< Mean number of bytes a second since the head.
};

/** Progress of a request body; times in which the server itself did not read are left out. */
struct BodyProgress {
    std::chrono::milliseconds elapsed{0}; ///< Since the head.
    std::chrono::milliseconds idle{0}; ///< Since the last byte.
    std::uint64_t bytes{0};
};

/** What to do with a body. */
enum class BodyVerdict : std::uint8_t {
    GoOn,
    Stalled, ///< It made no progress for too long.
    TooSlow, ///< It is slower than the minimum rate.
};

} // namespace skylark
