/** @file target_load.cpp Load and health of targets as observed by this host. */
#include "policy/target_load_base.h"

#include <algorithm>
#include <cmath>

namespace skylark {

namespace {

/** Weight of a new sample in a moving average. About ten samples dominate the average, so that a slow target is detected within a few requests. */
constexpr double sampleWeight = 0.2;

/** Time constant of the averages of streams in flight; short because capacity stays idle for seconds only. */
constexpr double inFlightTimeConstantSeconds = 10.0;

constexpr unsigned failuresBeforeBreak = 2; ///< A single failure may be caused by the request itself.
constexpr std::chrono::milliseconds minBackoff{250};
constexpr std::chrono::milliseconds maxBackoff{8000};

/** Updates the averages of streams in flight to @p now; the number of streams is unchanged since updatedAt. */
void advance(TargetLoad &load, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - load.updatedAt).count();
    if (load.updatedAt == TimePoint{} || seconds < 0) {
        load.updatedAt = now;
        return;
    }
    const double keep = std::exp(-seconds / inFlightTimeConstantSeconds);
    load.onlineMean = load.onlineMean * keep + load.online * (1 - keep);
    load.onlinePeak = load.onlineMean + (std::max(load.onlinePeak, load.onlineMean) - load.onlineMean) * keep;
    load.onlinePeak = std::max<double>(load.onlinePeak, load.online);
    load.updatedAt = now;
}

void openBreaker(TargetLoad &load, TimePoint now)
{
    const unsigned doublings = std::min(load.consecutiveFailures - std::min(load.consecutiveFailures, failuresBeforeBreak), 5U);
    load.blockedUntil = std::max(load.blockedUntil, now + std::min(maxBackoff, minBackoff * (1U << doublings)));
}

void updateAverage(double &average, double sample)
{
    average = average == 0 ? sample : average * (1 - sampleWeight) + sample * sampleWeight;
}

} // namespace

void recordStreamStarted(TargetLoadTable &table, const TargetId &target, StreamKind kind, TimePoint now)
{
    const std::scoped_lock lock(table.mutex);
    TargetLoad &load = table.loads[target];
    advance(load, now);
    ++(kind == StreamKind::Online ? load.online : load.batch);
    ++load.started;
    load.onlinePeak = std::max<double>(load.onlinePeak, load.online);
}

void recordStreamEnded(TargetLoadTable &table, const TargetId &target, StreamKind kind, TimePoint now)
{
    const std::scoped_lock lock(table.mutex);
    TargetLoad &load = table.loads[target];
    advance(load, now);
    unsigned &count = kind == StreamKind::Online ? load.online : load.batch;
    if (count == 0) {
        return;
    }
    --count;
    ++load.ended;
}

void recordLoadReport(TargetLoadTable &table, const TargetId &target, std::uint64_t sequence, TimePoint now)
{
    const std::scoped_lock lock(table.mutex);
    TargetLoad &load = table.loads[target];
    advance(load, now);
    load.reportSequence = sequence;
    load.startedAtReport = load.started;
    load.endedAtReport = load.ended;
}

void recordStreamFailure(TargetLoadTable &table, const TargetId &target, TimePoint now)
{
    const std::scoped_lock lock(table.mutex);
    TargetLoad &load = table.loads[target];
    ++load.consecutiveFailures;
    if (load.consecutiveFailures >= failuresBeforeBreak) {
        openBreaker(load, now);
    }
}

void recordConnectionRefused(TargetLoadTable &table, const TargetId &target, TimePoint now)
{
    const std::scoped_lock lock(table.mutex);
    TargetLoad &load = table.loads[target];
    ++load.consecutiveFailures;
    openBreaker(load, now);
}

void recordStreamSuccess(TargetLoadTable &table, const TargetId &target)
{
    const std::scoped_lock lock(table.mutex);
    TargetLoad &load = table.loads[target];
    load.consecutiveFailures = 0;
    load.blockedUntil = TimePoint{};
}

void recordTokenTiming(TargetLoadTable &table, const TargetId &target, std::optional<double> firstTokenMs, std::optional<double> tokenMs, TimePoint now)
{
    const std::scoped_lock lock(table.mutex);
    TargetLoad &load = table.loads[target];
    advance(load, now);
    if (firstTokenMs) {
        updateAverage(load.firstTokenMs, *firstTokenMs);
    }
    if (tokenMs) {
        updateAverage(load.tokenMs, *tokenMs);
    }
}

TargetLoad loadOf(const TargetLoadTable &table, const TargetId &target)
{
    const std::scoped_lock lock(table.mutex);
    const auto found = table.loads.find(target);
    return found == table.loads.end() ? TargetLoad{} : found->second;
}

std::vector<std::pair<TargetId, unsigned>> onlineInFlight(const TargetLoadTable &table)
{
    const std::scoped_lock lock(table.mutex);
    std::vector<std::pair<TargetId, unsigned>> counts;
    for (const auto &[target, load] : table.loads) {
        if (load.online > 0) {
            counts.emplace_back(target, load.online);
        }
    }
    return counts;
}

} // namespace skylark
