/** @file sample_func.h Measures CPU time and memory of this process. */
#pragma once

#include <boost/json.hpp>
#include <functional>

namespace skylark::capacity {

/**
 * Measures the CPU time of one call.
 * @param calls Calls per repetition; must be enough to make the resolution of the clock negligible.
 * @param call Called @p calls times in each of five repetitions, after one unmeasured warm-up repetition.
 * @return Microseconds per call: minimum, median and maximum of the five repetitions.
 */
[[nodiscard]] boost::json::object measureCpu(std::size_t calls, const std::function<void()> &call);

/** @return Resident memory of this process in KiB. */
[[nodiscard]] double residentKib();

} // namespace skylark::capacity
