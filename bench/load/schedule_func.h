/** @file schedule_func.h Seeded arrival times: Poisson arrivals with bursts. */
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace skylark::load {

/** Shape of the arrivals. */
struct ArrivalOptions {
    double rate{10}; ///< Requests a second between bursts.
    double seconds{10}; ///< Length of the schedule.
    double burstFactor{1}; ///< Factor on the rate during a burst.
    double burstSeconds{0}; ///< Mean length of a burst; 0 means no bursts.
    double idleSeconds{10}; ///< Mean time between two bursts.
    std::uint64_t seed{1}; ///< Seed.
};

/** One arrival. */
struct Arrival {
    std::chrono::nanoseconds at{}; ///< Time since the start.
    bool inBurst{false}; ///< Whether it belongs to a burst.
};

/** @return The arrivals in order. Lengths of bursts, of pauses and between arrivals are exponentially distributed. */
[[nodiscard]] std::vector<Arrival> makeSchedule(const ArrivalOptions &options);

} // namespace skylark::load
