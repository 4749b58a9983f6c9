/** @file process_gauges.cpp Gauges of this process: resident memory and open file descriptors, read from /proc, and unexpected errors. */
#include "core/task_func.h"
#include "metrics/metrics_func.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace skylark {

void updateProcessGauges(MetricsRegistry &registry)
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t sizePages = 0;
    std::uint64_t residentPages = 0;
    if (file >> sizePages >> residentPages) {
        const auto pageBytes = static_cast<double>(::sysconf(_SC_PAGESIZE));
        setGauge(registry, "process_resident_memory_bytes", {}, static_cast<double>(residentPages) * pageBytes);
    }
    std::error_code unreadable;
    const std::filesystem::directory_iterator descriptors("/proc/self/fd", unreadable);
    if (!unreadable) {
        setGauge(registry, "process_open_fds", {}, static_cast<double>(std::distance(begin(descriptors), end(descriptors))));
    }
    setGauge(registry, "skylark_unexpected_errors", {}, static_cast<double>(unexpectedErrors()));
}

} // namespace skylark
