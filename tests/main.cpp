/** @file main.cpp Entry point of the test programs. */
#define CATCH_CONFIG_RUNNER
#include "core/invariant_func.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <glog/logging.h>

namespace {

/** Writes the number of invariant checks of each promise to @p path, one "NAME COUNT" per line; tools/prove reads it. */
void writeCheckReport(const char *path)
{
    std::ofstream file(path);
    const auto counts = skylark::invariantCounts();
    for (std::size_t i = 0; i < counts.size(); ++i) {
        file << skylark::promiseName(static_cast<skylark::Promise>(i)) << ' ' << counts[i] << '\n';
    }
}

} // namespace

int main(int argc, char **argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::WARNING;
    const int result = Catch::Session().run(argc, argv);
    if (const char *path = std::getenv("SKYLARK_CHECK_REPORT")) {
        writeCheckReport(path);
    }
    return result;
}
