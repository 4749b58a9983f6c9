/** @file caller_service.cpp HTTP handler for callers' requests on an entry host. */
#include "entry/caller_service_func.h"

#include "core/event_log_func.h"
#include "fleet/route_match_func.h"

#include <memory>

namespace skylark {

namespace asio = boost::asio;

namespace {

using ServicePtr = std::shared_ptr<const CallerService>;

constexpr std::chrono::milliseconds notReadyRetryAfter{500}; ///< Retry-After of responses that are sent before the first configuration is loaded.
constexpr std::chrono::milliseconds jobMemoryRetryAfter{1000}; ///< Retry-After of a job for which there is no memory; items finish several times a second.
constexpr int statusAccepted = 202;
constexpr int statusOk = 200;

/** Sends the response to a job call. @param type Content type of @p body; a failure is sent without @p body. */
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

/** Decodes a batch submission and accepts it as a job. */
asio::awaitable<void> submitJob(ServicePtr service, HttpResponder &responder, ProxyCall call, const RouteRule &route)
{
    const JobId job{call.id.value};
    if (service->mayTakeJob && !service->jobs->jobs.contains(job) && !service->mayTakeJob(call.body.size())) {
        logEvent(EventKind::JobRefused, call.id.value, {{"route", route.name}, {"reason", "memory"}, {"detail", "the items of unfinished jobs take too much"}});
        co_await sendFailure(*service->proxy, responder, 503, "memory", jobMemoryRetryAfter);
        co_return;
    }
    auto submission = service->proxy->wire.decodeSubmission(call);
    if (!isOk(submission)) {
        logEvent(EventKind::JobRefused, call.id.value, {{"route", route.name}, {"reason", "invalid"}, {"detail", errorOf(submission).detail}});
        co_await sendFailure(*service->proxy, responder, 400, errorOf(submission).detail, {});
        co_return;
    }
    const JobAnswer answer = co_await acceptJob(service->jobs, route, std::move(call), std::move(valueOf(submission)));
    co_await sendJobAnswer(service, responder, answer, "{}", "application/json");
}

/** Routes a request: submits it as a job on a batch route, and forwards it to a target on any other route. */
asio::awaitable<void> handleProxy(ServicePtr service, HttpResponder &responder, ProxyCall call)
{
    const auto config = service->proxy->fleet->config;
    const RouteRule *route = matchRoute(*config, call.host, targetPath(call.target));
    if (route == nullptr) {
        logEvent(EventKind::Refused, call.id.value, {{"reason", "no_route"}, {"config", config->version.value}});
        co_await sendFailure(*service->proxy, responder, 404, "no_route", {});
    } else if (route->kind == CallKind::Batch) {
        co_await submitJob(service, responder, std::move(call), *route);
    } else {
        // A named variable, because g++ 12 destroys an aggregate temporary in a co_await expression twice.
        MatchedRoute matched{config, route};
        co_await forwardCall(service->proxy, responder, std::move(call), service->domain, std::move(matched));
    }
}

asio::awaitable<void> handleJobCall(ServicePtr service, HttpResponder &responder, CallerCall call)
{
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
    if (!service->proxy->fleet->config) {
        co_await sendFailure(*service->proxy, responder, 503, "no_configuration", notReadyRetryAfter);
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
