/** @file main.cpp Stand-in for the platform: key-value service, host list and weight store. */
#include "platform_base.h"

#include <gflags/gflags.h>

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 for any free port, which is printed");
DEFINE_int32(host_lag_ms, 500, "delay in milliseconds until a change of the host list is served");
DEFINE_int32(history, 1024, "maximum number of events kept for watches");
DEFINE_double(weights_per_second, 1.0, "weight fetches allowed per second; 0 for no limit");

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context loop(1);
    skylark::standin::Platform platform(loop);
    platform.store.historyLimit = static_cast<std::size_t>(FLAGS_history);
    platform.hostLag = std::chrono::milliseconds(FLAGS_host_lag_ms);
    platform.weightsLimit.perSecond = FLAGS_weights_per_second;
    platform.weightsLimit.tokens = FLAGS_weights_per_second;
    skylark::standin::startExpiry(platform);
    skylark::HttpServerOptions options;
    options.listen = {"127.0.0.1", static_cast<std::uint16_t>(FLAGS_port)};
    return skylark::standin::serve(loop, options, [&platform](skylark::HttpRequest request, skylark::HttpResponder &responder) {
        return skylark::standin::handlePlatform(platform, std::move(request), responder);
    });
}
