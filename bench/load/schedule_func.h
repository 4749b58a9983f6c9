/** @file schedule_func.h Arrival times drawn from a seed: a Poisson process with bursts. */
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace skylark::load {

/** Parameters of the arrival process. */
struct ArrivalOptions {
    double rate{10}; ///< Requests per second between bursts.
    double seconds{10}; ///< Length of the schedule.
    double burstFactor{1}; ///< Factor on the rate during a burst.
    double burstSeconds{0}; ///< Mean length of a burst; 0 disables bursts.
    double idleSeconds{10}; ///< Mean time between two bursts.
    std::uint64_t seed{1};
};

/** One arrival. */
struct Arrival {
    std::chrono::nanoseconds at{}; ///< Time since the start of the schedule.
    bool inBurst{false}; ///< Whether it belongs to a burst.
};

/** @return The arrivals in order of time. Burst lengths, pauses between bursts, and gaps between arrivals are exponentially distributed. */
[[nodiscard]] std::vector<Arrival> makeSchedule(const ArrivalOptions &options);

} // namespace skylark::load
