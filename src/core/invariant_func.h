/** @file invariant_func.h Checks of the guarantees that the system gives, active and counted in all builds. */
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>

namespace skylark {

/** The guarantees listed in docs/PROMISES.md. */
enum class Promise : std::uint8_t {
    ExactlyOnce, ///< P1: an accepted item completes exactly once.
    CancelStops, ///< P2: a cancelled job stops.
    OnlineFirst, ///< P3: no online request waits behind batch work.
    WholeAnswer, ///< P4: a caller receives the complete response to its own request.
    NotRun, ///< P5: a request that is reported as not run did not run.
    AtMostOnce, ///< P6: a non-idempotent request runs at most once.
    LeavingTarget, ///< P7: a target that is leaving receives no new work.
    GracefulStop, ///< P8: a graceful shutdown interrupts no request.
    ConfigForward, ///< P9: a host never goes back to an older configuration.
    DurableAck, ///< P10: an acknowledged job survives the loss of a host.
    FencedOrder, ///< P11: no order from a former lease holder takes effect.
    SilentConnection, ///< P12: a connection whose peer stops responding delays a request for a bounded time only.
    Count, ///< Number of promises.
};

/** @return The name of @p promise in logs, metrics and reports. */
[[nodiscard]] std::string_view promiseName(Promise promise);

/** Called for each violation, with the source text and the location of the failed condition. Without a handler, a fatal error is logged and the process aborts.
 */
using ViolationHandler = std::function<void(Promise promise, std::string_view condition, std::string_view file, int line)>;

/** Replaces the handler; used by tests that count violations. */
void setViolationHandler(ViolationHandler handler);

/** Counts one check of @p promise and reports a violation when @p holds is false. */
void checkInvariant(Promise promise, bool holds, std::string_view condition, std::string_view file, int line);

/** @return Number of checks so far for each promise, indexed by Promise. */
[[nodiscard]] std::array<std::uint64_t, static_cast<std::size_t>(Promise::Count)> invariantCounts();

} // namespace skylark

/** Checks an invariant of a promise in all builds. */
#define SKY_INVARIANT(promise, condition) ::skylark::checkInvariant((promise), static_cast<bool>(condition), #condition, __FILE__, __LINE__)
