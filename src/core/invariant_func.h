/** @file invariant_func.h Invariants of the promises, checked and counted in all builds. */
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>

namespace skylark {

/** The promises of docs/PROMISES.md. */
enum class Promise : std::uint8_t {
    ExactlyOnce, ///< P1: an accepted item completes exactly once.
    CancelStops, ///< P2: a cancelled job stops.
    OnlineFirst, ///< P3: no online request waits behind batch work.
    WholeAnswer, ///< P4: a caller receives the whole answer to its own request.
    NotRun, ///< P5: a request refused as "not run" did not run.
    AtMostOnce, ///< P6: a non-idempotent request runs at most once.
    LeavingTarget, ///< P7: a leaving target receives no new work.
    GracefulStop, ///< P8: a planned stop cuts off no request.
    ConfigForward, ///< P9: configuration never reverts.
    DurableAck, ///< P10: an acknowledged job survives the loss of a host.
    FencedOrder, ///< P11: no order of a former lease holder takes effect.
    SilentConnection, ///< P12: a silent connection costs a bounded time.
    Count, ///< Number of promises.
};

/** @return The name of @p promise in logs, metrics and reports. */
[[nodiscard]] std::string_view promiseName(Promise promise);

/** Called with the promise, the failed condition and its place. The default logs a fatal error and aborts. */
using ViolationHandler = std::function<void(Promise promise, std::string_view condition, std::string_view file, int line)>;

/** Replaces the handler; for tests that count violations. */
void setViolationHandler(ViolationHandler handler);

/** Counts one check of @p promise and reports a violation when @p holds is false. */
void checkInvariant(Promise promise, bool holds, std::string_view condition, std::string_view file, int line);

/** @return How often each promise's invariants were checked, indexed by promise. */
[[nodiscard]] std::array<std::uint64_t, static_cast<std::size_t>(Promise::Count)> invariantCounts();

} // namespace skylark

/** Checks an invariant of a promise in all builds. */
#define SKY_INVARIANT(promise, condition) ::skylark::checkInvariant((promise), static_cast<bool>(condition), #condition, __FILE__, __LINE__)
