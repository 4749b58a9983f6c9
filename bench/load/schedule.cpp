/** @file schedule.cpp Seeded arrival times. */
#include "schedule_func.h"

#include "core/hash_func.h"

#include <cmath>

namespace skylark::load {

namespace {

/** @return An exponentially distributed number with this mean. */
double exponential(std::uint64_t &state, double mean)
{
    const double uniform = (static_cast<double>(nextRandom(state) >> 11U) + 0.5) * 0x1.0p-53;
    return -mean * std::log(uniform);
}

} // namespace

std::vector<Arrival> makeSchedule(const ArrivalOptions &options)
{
    std::vector<Arrival> arrivals;
    if (options.rate <= 0) {
        return arrivals;
    }
    // Two sequences, so that the bursts do not depend on the rate.
    std::uint64_t phases = options.seed;
    std::uint64_t times = options.seed ^ 0x5DEECE66DULL;
    const bool bursts = options.burstSeconds > 0 && options.burstFactor > 0;
    bool inBurst = false;
    double start = 0;
    while (start < options.seconds) {
        const double length = bursts ? exponential(phases, inBurst ? options.burstSeconds : options.idleSeconds) : options.seconds;
        const double end = std::min(start + length, options.seconds);
        const double gap = 1.0 / (options.rate * (inBurst ? options.burstFactor : 1.0));
        for (double at = start + exponential(times, gap); at < end; at += exponential(times, gap)) {
            arrivals.push_back({std::chrono::nanoseconds(static_cast<std::int64_t>(at * 1e9)), inBurst});
        }
        start = end;
        inBurst = bursts && !inBurst;
    }
    return arrivals;
}

} // namespace skylark::load
