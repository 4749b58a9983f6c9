/** @file main.cpp Entry point of the test programs. */
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <glog/logging.h>

int main(int argc, char **argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::WARNING;
    return Catch::Session().run(argc, argv);
}
