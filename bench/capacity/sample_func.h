/** @file sample_func.h CPU time and memory of this process. */
#pragma once

#include <boost/json.hpp>
#include <functional>

namespace skylark::capacity {

/**
 * Measures the CPU time of one call.
 * @param calls Calls of one repetition; enough to make the clock's resolution negligible.
 * @param call Called @p calls times in each of five repetitions, after one repetition that warms the caches.
 * @return Microseconds of one call: minimum, median and maximum of the repetitions.
 */
[[nodiscard]] boost::json::object measureCpu(std::size_t calls, const std::function<void()> &call);

/** @return Resident memory of this process in KiB. */
[[nodiscard]] double residentKib();

} // namespace skylark::capacity
