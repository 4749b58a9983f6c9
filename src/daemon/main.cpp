/** @file main.cpp Entry point of skylarkd. */
#include "core/table/error_table.h"
#include "daemon/host_func.h"
#include "settings/settings_func.h"

#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>

DEFINE_string(settings, "", "Settings file: JSON with comments.");
DEFINE_bool(check, false, "Validate the settings file and exit.");

namespace {

constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

void initializeLogging(const char *program, const std::string &folder)
{
    google::InitGoogleLogging(program);
    FLAGS_logtostderr = folder.empty();
    FLAGS_log_dir = folder;
    FLAGS_logbufsecs = 1;
    FLAGS_max_log_size = 64;
}

/**
 * Exits after a planned stop without running destructors. Suspended coroutines of each thread refer to objects of the other threads, so any order of
 * destruction would access freed memory.
 */
[[noreturn]] void exitWithoutCleanup()
{
    google::FlushLogFiles(google::INFO);
    std::_Exit(exitOk);
}

int reportFailure(const skylark::Error &error)
{
    std::cerr << skylark::errorInfo(error.code).name << ":\n" << error.detail << '\n';
    return exitFailure;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("serves online and batch inference; one process per host\n  skylarkd --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty()) {
        std::cerr << "--settings is missing; see --help\n";
        return exitUsage;
    }
    auto settings = skylark::loadSettings(FLAGS_settings);
    if (!skylark::isOk(settings)) {
        return reportFailure(skylark::errorOf(settings));
    }
    if (FLAGS_check) {
        std::cout << "settings are valid\n";
        return exitOk;
    }
    std::signal(SIGPIPE, SIG_IGN);
    initializeLogging(argv[0], skylark::valueOf(settings).logFolder);
    auto host = skylark::Host::create(std::move(skylark::valueOf(settings)));
    if (!skylark::isOk(host)) {
        return reportFailure(skylark::errorOf(host));
    }
    skylark::runHost(*skylark::valueOf(host));
    exitWithoutCleanup();
}
