/** @file main.cpp Stand-in for a plain HTTP service with calls that must not be repeated. */
#include "../standin_func.h"

#include "core/hash_func.h"

#include <gflags/gflags.h>
#include <map>

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 takes any free port and prints it");
DEFINE_int32(order_timeout_ms, 1000, "time after which a request whose body has not followed its head is dropped");

namespace skylark::standin {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/** Faults switched by POST /faults. */
struct ServiceFaults {
    std::chrono::milliseconds delay{0}; ///< Delay before a call is executed.
    std::chrono::milliseconds delayAfter{0}; ///< Delay between execution and answer.
    double cutAfterExecuting{0}; ///< Probability that the connection is closed after the call was executed.
    double failAfterExecuting{0}; ///< Probability that an executed call is answered 500.
    bool draining{false}; ///< Calls are refused as not run.
    std::uint64_t random{1}; ///< State of the random sequence.
};

/** The whole stand-in; belongs to one thread. */
struct Service {
    asio::io_context loop{1}; ///< Event loop.
    ServiceFaults faults; ///< Faults.
    std::map<std::string, std::uint64_t> orders; ///< Executions by idempotency key, or by the body's hash.
    std::uint64_t ordersExecuted{0}; ///< Orders executed.
    std::uint64_t reads{0}; ///< Catalogue reads executed.
    std::uint64_t refused{0}; ///< Calls refused as not run.
    std::uint64_t cut{0}; ///< Connections closed after execution.
};

bool happens(Service &service, double probability)
{
    return probability > 0 && static_cast<double>(nextRandom(service.faults.random) >> 11U) * 0x1.0p-53 < probability;
}

HttpResponse setFaults(Service &service, const HttpRequest &request)
{
    const auto body = parseJsonObject(request.body);
    if (!body) {
        return errorAnswer(400, "invalid_request", "faults are a JSON object", true);
    }
    ServiceFaults &faults = service.faults;
    faults.delay = std::chrono::milliseconds(numberMember(*body, "delay_ms", static_cast<std::uint64_t>(faults.delay.count())));
    faults.delayAfter = std::chrono::milliseconds(numberMember(*body, "delay_after_ms", static_cast<std::uint64_t>(faults.delayAfter.count())));
    faults.cutAfterExecuting = doubleMember(*body, "cut_after_executing", faults.cutAfterExecuting);
    faults.failAfterExecuting = doubleMember(*body, "fail_after_executing", faults.failAfterExecuting);
    faults.draining = boolMember(*body, "draining", faults.draining);
    faults.random = numberMember(*body, "seed", faults.random);
    return jsonAnswer(200, json::object());
}

HttpResponse stats(const Service &service)
{
    json::object executions;
    std::uint64_t most = 0;
    for (const auto &[key, count] : service.orders) {
        executions[key] = count;
        most = std::max(most, count);
    }
    json::object body;
    body["orders"] = service.ordersExecuted;
    body["reads"] = service.reads;
    body["refused"] = service.refused;
    body["cut"] = service.cut;
    body["max_executions"] = most;
    body["executions"] = std::move(executions);
    return jsonAnswer(200, body);
}

/** Executes an order; not repeatable, so a second execution of the same order counts as a second one. */
HttpResponse executeOrder(Service &service, const HttpRequest &request)
{
    std::string key(headerValue(request.headers, "idempotency-key"));
    const auto order = parseJsonObject(request.body);
    if (key.empty() && order) {
        key = stringMember(*order, "order_id");
    }
    ++service.ordersExecuted;
    json::object body;
    body["execution"] = ++service.orders[key.empty() ? "body-" + hash128Hex(request.body) : key];
    body["order"] = service.ordersExecuted;
    return jsonAnswer(201, body);
}

HttpResponse execute(Service &service, const HttpRequest &request)
{
    const std::string_view path = targetPath(request.target);
    if (path == "/orders" && request.method == "POST") {
        return executeOrder(service, request);
    }
    if (path.starts_with("/catalogue/") && request.method == "GET") {
        ++service.reads;
        json::object body;
        body["item"] = path;
        body["hash"] = hash128Hex(path);
        return jsonAnswer(200, body);
    }
    return errorAnswer(404, "not_found", path, true);
}

/** Reports no load; the member "draining" is all that a plain service has to say. */
HttpResponse load(const Service &service)
{
    json::object body;
    body["draining"] = service.faults.draining;
    return jsonAnswer(200, body);
}

std::optional<HttpResponse> handleControl(Service &service, const HttpRequest &request)
{
    const std::string_view path = targetPath(request.target);
    if (path == "/faults" && request.method == "POST") {
        return setFaults(service, request);
    }
    if (path == "/stats") {
        return stats(service);
    }
    if (path == "/v1/load") {
        return load(service);
    }
    return std::nullopt;
}

asio::awaitable<void> handle(Service &service, HttpRequest request, HttpResponder &responder)
{
    if (auto control = handleControl(service, request)) {
        co_await sendResponse(responder, std::move(*control));
        co_return;
    }
    HttpResponse response;
    if (service.faults.draining) {
        ++service.refused;
        response = errorAnswer(503, "draining", "service is leaving", true);
    } else {
        // A call that was received is executed even when its caller has given up meanwhile.
        co_await sleepFor(service.loop, service.faults.delay);
        response = execute(service, request);
        co_await sleepFor(service.loop, service.faults.delayAfter);
        if (happens(service, service.faults.cutAfterExecuting)) {
            ++service.cut;
            abortConnection(responder);
            co_return;
        }
        if (happens(service, service.faults.failAfterExecuting)) {
            response = errorAnswer(500, "failed", "service failed after the call was executed", false);
        }
    }
    const std::string_view id = headerValue(request.headers, "x-request-id");
    if (!id.empty()) {
        response.headers.push_back({"x-request-id", std::string(id)});
    }
    co_await sendResponse(responder, std::move(response));
}

} // namespace

} // namespace skylark::standin

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    skylark::standin::Service service;
    skylark::HttpServerOptions options;
    options.listen = {"127.0.0.1", static_cast<std::uint16_t>(FLAGS_port)};
    options.bodyTimeout = std::chrono::milliseconds(FLAGS_order_timeout_ms);
    return skylark::standin::serve(service.loop, options, [&service](skylark::HttpRequest request, skylark::HttpResponder &responder) {
        return skylark::standin::handle(service, std::move(request), responder);
    });
}
