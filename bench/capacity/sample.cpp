/** @file sample.cpp Measures CPU time and memory of this process. */
#include "sample_func.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace skylark::capacity {

namespace {

double processCpuUs()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

} // namespace

boost::json::object measureCpu(std::size_t calls, const std::function<void()> &call)
{
    std::array<double, 6> samples{};
    for (double &sample : samples) {
        const double start = processCpuUs();
        for (std::size_t i = 0; i < calls; ++i) {
            call();
        }
        sample = (processCpuUs() - start) / static_cast<double>(calls);
    }
    std::sort(samples.begin() + 1, samples.end());
    return {{"min_us", samples[1]}, {"median_us", samples[3]}, {"max_us", samples[5]}};
}

double residentKib()
{
    malloc_trim(0); // Freed memory that the allocator keeps would hide growth.
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

} // namespace skylark::capacity
