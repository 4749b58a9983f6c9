/** @file main.cpp Stand-in for a plain HTTP service with non-idempotent calls; counts the executions of each. */
#include "../standin_func.h"

#include "core/hash_func.h"

#include <gflags/gflags.h>
#include <map>

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 for any free port, which is printed");
DEFINE_int32(order_timeout_ms, 1000, "time in milliseconds after its head by which a request body must arrive; otherwise the request is dropped");

namespace skylark::standin {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/** Faults set by POST /faults. */
struct ServiceFaults {
    std::chrono::milliseconds delay{0}; ///< Delay before a call is executed.
    std::chrono::milliseconds delayAfter{0}; ///< Delay between execution and response.
    double cutAfterExecuting{0}; ///< Probability that the connection is closed without a response after the call was executed.
    double failAfterExecuting{0}; ///< Probability that an executed call gets status 500.
    bool draining{false}; ///< Whether calls are refused with "x-not-run".
    std::uint64_t randomState{1}; ///< State of the pseudo-random generator.
};

/** State of the stand-in; not thread-safe, used only on the thread of its event loop. */
struct Service {
    asio::io_context loop{1};
    ServiceFaults faults;
    std::map<std::string, std::uint64_t> orders; ///< Number of executions by idempotency key, order id or hash of the body.
    std::uint64_t ordersExecuted{0};
    std::uint64_t reads{0}; ///< Catalogue reads executed.
    std::uint64_t refused{0}; ///< Calls refused while draining.
    std::uint64_t cut{0}; ///< Connections closed after execution.
};

bool drawFault(Service &service, double probability)
{
    return probability > 0 && static_cast<double>(nextRandom(service.faults.randomState) >> 11U) * 0x1.0p-53 < probability;
}

HttpResponse setFaults(Service &service, const HttpRequest &request)
{
    const auto body = parseJsonObject(request.body);
    if (!body) {
        return errorResponse(400, "invalid_request", "faults must be a JSON object", true);
    }
    ServiceFaults &faults = service.faults;
    faults.delay = std::chrono::milliseconds(numberMember(*body, "delay_ms", static_cast<std::uint64_t>(faults.delay.count())));
    faults.delayAfter = std::chrono::milliseconds(numberMember(*body, "delay_after_ms", static_cast<std::uint64_t>(faults.delayAfter.count())));
    faults.cutAfterExecuting = doubleMember(*body, "cut_after_executing", faults.cutAfterExecuting);
    faults.failAfterExecuting = doubleMember(*body, "fail_after_executing", faults.failAfterExecuting);
    faults.draining = boolMember(*body, "draining", faults.draining);
    faults.randomState = numberMember(*body, "seed", faults.randomState);
    return jsonResponse(200, json::object());
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
    return jsonResponse(200, body);
}

/** Executes an order. It is not idempotent: executing the same order again increments its execution count. */
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
    return jsonResponse(201, body);
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
        return jsonResponse(200, body);
    }
    return errorResponse(404, "not_found", path, true);
}

/** @return The load report of a plain service, which has no member but "draining". */
HttpResponse load(const Service &service)
{
    json::object body;
    body["draining"] = service.faults.draining;
    return jsonResponse(200, body);
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
        response = errorResponse(503, "draining", "service is draining", true);
    } else {
        // A received call is executed even if its client has disconnected meanwhile.
        co_await sleepFor(service.loop, service.faults.delay);
        response = execute(service, request);
        co_await sleepFor(service.loop, service.faults.delayAfter);
        if (drawFault(service, service.faults.cutAfterExecuting)) {
            ++service.cut;
            abortConnection(responder);
            co_return;
        }
        if (drawFault(service, service.faults.failAfterExecuting)) {
            response = errorResponse(500, "failed", "service failed after the call was executed", false);
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
