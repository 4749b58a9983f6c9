/** @file caller_service.cpp Handles the calls of callers on an entry host. */
#include "entry/caller_service_func.h"

#include "core/event_log_func.h"
#include "fleet/route_match_func.h"

#include <memory>

namespace skylark {

namespace asio = boost::asio;

namespace {

using ServicePtr = std::shared_ptr<const CallerService>;

constexpr std::chrono::milliseconds notReadyDelay{500}; ///< Return of a caller when the host does not know the configuration yet.
constexpr int statusAccepted = 202;
constexpr int statusOk = 200;

/** Sends the answer to a call about a job. */
asio::awaitable<void> sendJobAnswer(ServicePtr service, HttpResponder &responder, const JobAnswer &answer, std::string body, const char *type)
{
    if (answer.status != statusOk && answer.status != statusAccepted) {
        co_await sendFailure(*service->proxy, responder, answer.status, answer.reason, answer.retryAfter);
        co_return;
    }
    HttpResponse response;
    response.status = answer.status;
    response.headers.push_back({"Content-Type", type});
    response.body = std::move(body);
    co_await sendResponse(responder, std::move(response));
}

/** @return The route of a batch submission, or null when the call is an online request. */
const RouteRule *batchRoute(const Proxy &proxy, const ProxyCall &call)
{
    if (!proxy.fleet->config) {
        return nullptr;
    }
    const RouteRule *route = matchRoute(*proxy.fleet->config, call.host, targetPath(call.target));
    return route != nullptr && route->kind == CallKind::Batch ? route : nullptr;
}

asio::awaitable<void> submit(ServicePtr service, HttpResponder &responder, ProxyCall call)
{
    const auto config = service->proxy->fleet->config;
    const RouteRule *route = batchRoute(*service->proxy, call);
    auto submission = service->proxy->wire.decodeSubmission(call);
    if (!isOk(submission)) {
        logEvent(EventKind::JobRefused, call.id.value, {{"route", route->name}, {"reason", "invalid"}, {"detail", errorOf(submission).detail}});
        co_await sendFailure(*service->proxy, responder, 400, errorOf(submission).detail, {});
        co_return;
    }
    const JobAnswer answer = co_await acceptJob(service->jobs, *route, std::move(call), std::move(valueOf(submission)));
    co_await sendJobAnswer(service, responder, answer, "{}", "application/json");
}

asio::awaitable<void> handleProxy(ServicePtr service, HttpResponder &responder, ProxyCall call)
{
    if (batchRoute(*service->proxy, call) != nullptr) {
        co_await submit(service, responder, std::move(call));
    } else {
        co_await forwardCall(service->proxy, responder, std::move(call), service->domain);
    }
}

asio::awaitable<void> handleJobCall(ServicePtr service, HttpResponder &responder, CallerCall call)
{
    if (!service->proxy->fleet->config) {
        co_await sendFailure(*service->proxy, responder, 503, "no_configuration", notReadyDelay);
        co_return;
    }
    if (auto *read = std::get_if<JobReadCall>(&call)) {
        const JobAnswer answer = co_await readJob(service->jobs, *read);
        co_await sendJobAnswer(service, responder, answer, service->proxy->wire.encodePage(answer.page), "application/json");
    } else if (auto *item = std::get_if<JobItemCall>(&call)) {
        const JobAnswer answer = co_await readJobItem(service->jobs, *item);
        co_await sendJobAnswer(service, responder, answer, answer.body, "application/octet-stream");
    } else {
        const JobAnswer answer = co_await endJob(service->jobs, std::get<JobEndCall>(call));
        co_await sendJobAnswer(service, responder, answer, "{}", "application/json");
    }
}

asio::awaitable<void> handle(ServicePtr service, HttpRequest request, HttpResponder &responder)
{
    auto call = service->proxy->wire.decode(std::move(request));
    if (!isOk(call)) {
        logEvent(EventKind::Refused, {}, {{"reason", "invalid"}, {"route", ""}});
        co_await sendFailure(*service->proxy, responder, 400, errorOf(call).detail, {});
        co_return;
    }
    if (auto *proxied = std::get_if<ProxyCall>(&valueOf(call))) {
        co_await handleProxy(service, responder, std::move(*proxied));
    } else {
        co_await handleJobCall(service, responder, std::move(valueOf(call)));
    }
}

} // namespace

HttpHandler makeCallerHandler(CallerService service)
{
    return [shared = std::make_shared<const CallerService>(std::move(service))](HttpRequest request, HttpResponder &responder) {
        return handle(shared, std::move(request), responder);
    };
}

} // namespace skylark
