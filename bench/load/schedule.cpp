/** @file schedule.cpp Arrival times drawn from a seed. */
#include "schedule_func.h"

#include "core/hash_func.h"

#include <cmath>

namespace skylark::load {

namespace {

/** @return An exponentially distributed random number. */
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
    // Separate random sequences, so that the times of bursts do not depend on the rate.
    std::uint64_t phaseState = options.seed;
    std::uint64_t arrivalState = options.seed ^ 0x5DEECE66DULL;
    const bool bursts = options.burstSeconds > 0 && options.burstFactor > 0;
    bool inBurst = false;
    double start = 0;
    while (start < options.seconds) {
        const double length = bursts ? exponential(phaseState, inBurst ? options.burstSeconds : options.idleSeconds) : options.seconds;
        const double end = std::min(start + length, options.seconds);
        const double gap = 1.0 / (options.rate * (inBurst ? options.burstFactor : 1.0));
        for (double at = start + exponential(arrivalState, gap); at < end; at += exponential(arrivalState, gap)) {
            arrivals.push_back({std::chrono::nanoseconds(static_cast<std::int64_t>(at * 1e9)), inBurst});
        }
        start = end;
        inBurst = bursts && !inBurst;
    }
    return arrivals;
}

} // namespace skylark::load
