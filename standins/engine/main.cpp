/** @file main.cpp Stand-in for a model engine with continuous batching. */
#include "engine_base.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gflags/gflags.h>

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 for any free port, which is printed");
DEFINE_int32(slots, 8, "maximum number of sequences that run at the same time");
DEFINE_string(models, "drafter@1", "comma-separated list of loaded models, each name@version+adapter");
DEFINE_uint64(seed, 1, "seed of the random loss of cache events");
DEFINE_double(step_base_ms, 25, "constant part of the time of one step in milliseconds");
DEFINE_double(step_per_seq_ms, 0.6, "time in milliseconds that each running sequence adds to a step");
DEFINE_double(prefill_ms_per_token, 0.05, "time in milliseconds that each uncached prompt token adds to the step that admits it");
DEFINE_int32(load_lag_ms, 200, "delay in milliseconds from a change of the load to its report");
DEFINE_int32(cache_blocks, 4096, "capacity of the prefix cache in blocks of 16 tokens");
DEFINE_int32(cache_event_lag_ms, 300, "delay in milliseconds from a change of the prefix cache to the publication of its event");
DEFINE_double(cache_event_loss, 0.02, "probability that a cache event is lost");
DEFINE_bool(checks_fencing, true, "whether orders with an outdated fencing number are refused");
DEFINE_int32(order_timeout_ms, 1000, "time in milliseconds after its head by which a request body must arrive; otherwise the request is dropped");
DEFINE_int32(model_load_ms, 2000, "time in milliseconds to load a model, before scaling");
DEFINE_int32(weights_port, 0, "port of the weight store on 127.0.0.1; 0 to load models without it");
DEFINE_double(slow_factor, 1, "factor by which the step time is multiplied");
DEFINE_double(time_scale, 1, "divisor of all step and load times");

namespace {

void configure(skylark::standin::Engine &engine)
{
    engine.options.slots = static_cast<unsigned>(FLAGS_slots);
    engine.options.stepBaseMs = FLAGS_step_base_ms;
    engine.options.stepPerSequenceMs = FLAGS_step_per_seq_ms;
    engine.options.prefillMsPerToken = FLAGS_prefill_ms_per_token;
    engine.options.timeScale = FLAGS_time_scale;
    engine.options.loadLag = std::chrono::milliseconds(FLAGS_load_lag_ms);
    engine.options.modelLoadTime = std::chrono::milliseconds(FLAGS_model_load_ms);
    engine.options.checksFencing = FLAGS_checks_fencing;
    engine.options.weightsPort = static_cast<std::uint16_t>(FLAGS_weights_port);
    engine.faults.slowFactor = FLAGS_slow_factor;
    engine.cache.capacity = static_cast<std::size_t>(FLAGS_cache_blocks);
    engine.cache.eventLag = std::chrono::milliseconds(FLAGS_cache_event_lag_ms);
    engine.cache.eventLoss = FLAGS_cache_event_loss;
    engine.cache.randomState = FLAGS_seed;
    skylark::standin::addModels(engine, FLAGS_models);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context loop(1);
    skylark::standin::Engine engine(loop);
    configure(engine);
    boost::asio::co_spawn(loop, skylark::standin::runSteps(engine), boost::asio::detached);
    skylark::HttpServerOptions options;
    options.listen = {"127.0.0.1", static_cast<std::uint16_t>(FLAGS_port)};
    options.bodyTimeout = std::chrono::milliseconds(FLAGS_order_timeout_ms);
    return skylark::standin::serve(loop, options, [&engine](skylark::HttpRequest request, skylark::HttpResponder &responder) {
        return skylark::standin::handleEngine(engine, std::move(request), responder);
    });
}
