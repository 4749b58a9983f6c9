/** @file caller_service.cpp HTTP handler for callers' requests on an entry host. */
#include "entry/caller_service_func.h"

#include "core/event_log_func.h"
#include "fleet/route_match_func.h"
#include "fleet/workspace_func.h"
#include "job/job_answer_func.h"
#include "policy/config_proof_func.h"
#include "proxy/relay_path.h"

#include <memory>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

using ServicePtr = std::shared_ptr<const CallerService>;

constexpr milliseconds notReadyRetryAfter{500}; ///< Retry-After of responses that are sent before the first configuration is loaded.
constexpr milliseconds jobMemoryRetryAfter{1000}; ///< Retry-After of a job for which there is no memory; items finish several times a second.
constexpr int statusAccepted = 202;
constexpr int statusOk = 200;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
constexpr milliseconds notProvenRetryAfter{500}; ///< Another host may have a proof, and this one asks for one within about a second.

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

/** Outcome of the check of a caller's key. */
struct KeyCheck {
    int status{statusOk}; ///< 200 when the caller is admitted; otherwise the status of the refusal.
    std::string_view reason; ///< Reason of the refusal.
    std::optional<milliseconds> retryAfter; ///< Value of the Retry-After header of the refusal; none to omit the header.
    WorkspaceId workspace; ///< Workspace of the key, if the caller is admitted.
    std::int64_t proofAgeMs{-1}; ///< Age of the proof of the configuration; -1 when there is none.
};

/** Finds the workspace of a caller. @param key Key of the caller; empty when it sent none or more than one. */
KeyCheck checkKey(const CallerService &service, const RoutingConfig &config, std::string_view key)
{
    KeyCheck check;
    const ConfigProofState unproven;
    const ConfigProofState &proof = service.proof ? *service.proof : unproven;
    const auto age = proofAge(proof, config.version, BootClock::now());
    check.proofAgeMs = age ? std::chrono::duration_cast<milliseconds>(*age).count() : -1;
    const WorkspaceRule *workspace = findWorkspace(config, key);
    const KeyDecision decision = decideKey(proof.limits, workspace != nullptr, age);
    if (decision == KeyDecision::Admit) {
        check.workspace = workspace->id;
    } else if (decision == KeyDecision::Refuse) {
        check.status = statusUnauthorized;
        check.reason = key.empty() ? "no_key" : "unknown_key";
    } else {
        check.status = statusUnavailable;
        check.reason = "config_not_proven";
        check.retryAfter = notProvenRetryAfter;
    }
    return check;
}

/** Logs and sends the refusal of a caller whose key does not give access. @param job Job that the call names; empty for none. */
asio::awaitable<void> refuseKey(
    ServicePtr service, HttpResponder &responder, const std::string &id, const std::string &route, const std::string &job, Revision config, KeyCheck check)
{
    logEvent(EventKind::Refused, id, {{"route", route}, {"reason", check.reason}, {"config", config.value}, {"proof_age_ms", check.proofAgeMs}, {"job", job}});
    addCounter(*service->proxy->metrics, "skylark_key_refusals_total", {{"reason", check.reason}});
    co_await sendFailure(*service->proxy, responder, check.status, check.reason, check.retryAfter);
}

/** @return The job that a call is about, and the key of its caller. */
std::pair<JobId, std::string> jobAndKeyOf(const CallerCall &call)
{
    if (const auto *read = std::get_if<JobReadCall>(&call)) {
        return {read->job, read->apiKey};
    }
    if (const auto *item = std::get_if<JobItemCall>(&call)) {
        return {item->job, item->apiKey};
    }
    const auto &end = std::get<JobEndCall>(call);
    return {end.job, end.apiKey};
}

/** Routes a request: submits it as a job on a batch route, and forwards it to a target on any other route. */
asio::awaitable<void> handleProxy(ServicePtr service, HttpResponder &responder, ProxyCall call)
{
    const auto config = service->proxy->fleet->config;
    const RouteRule *route = matchRoute(*config, call.host, targetPath(call.target));
    if (route == nullptr) {
        logEvent(EventKind::Refused, call.id.value, {{"reason", "no_route"}, {"config", config->version.value}});
        co_await sendFailure(*service->proxy, responder, 404, "no_route", {});
        co_return;
    }
    if (config->workspaces && call.relayed) {
        call.workspace = service->proxy->wire.readWorkspace(call.accessHeaders);
    } else if (!config->workspaces) {
        call.headers.insert(call.headers.end(), call.accessHeaders.begin(), call.accessHeaders.end());
    } else if (!route->isPublic) {
        const KeyCheck check = checkKey(*service, *config, call.apiKey);
        if (check.status != statusOk) {
            co_await refuseKey(service, responder, call.id.value, route->name, {}, config->version, check);
            co_return;
        }
        call.workspace = check.workspace;
    }
    call.apiKey.clear();
    call.accessHeaders.clear();
    if (route->kind == CallKind::Batch) {
        co_await submitJob(service, responder, std::move(call), *route);
    } else {
        // The host that relays a request has taken a token for it.
        const QuotaVerdict verdict = call.relayed ? QuotaVerdict() : co_await admitRequest(service->quotas, call.workspace, call.id);
        if (verdict.status != 0) {
            addCounter(*service->proxy->metrics, "skylark_refusals_total", {{"route", route->name}, {"reason", verdict.reason}});
            co_await sendFailure(*service->proxy, responder, verdict.status, verdict.reason, verdict.retryAfter);
            co_return;
        }
        call.waited = verdict.waited;
        // A named variable, because g++ 12 destroys an aggregate temporary in a co_await expression twice.
        MatchedRoute matched{config, route};
        co_await forwardCall(service->proxy, responder, std::move(call), service->domain, std::move(matched));
    }
}

/** Checks whether a caller may use a job. Without a valid key, a job of a workspace and one that does not exist are refused alike. */
asio::awaitable<KeyCheck> checkJobKey(ServicePtr service, std::shared_ptr<const RoutingConfig> config, JobId job, std::string key)
{
    const auto owner = co_await workspaceOfJob(service->jobs, std::move(job));
    if (!isOk(owner)) {
        KeyCheck check;
        check.status = statusUnavailable;
        check.reason = "store_unavailable";
        check.retryAfter = storeRetryAfter;
        co_return check;
    }
    if (valueOf(owner) && valueOf(owner)->empty()) {
        co_return KeyCheck();
    }
    KeyCheck check = checkKey(*service, *config, key);
    if (check.status == statusOk && (!valueOf(owner) || *valueOf(owner) != check.workspace)) {
        check.status = statusNotFound;
        check.reason = "no_job";
    }
    co_return check;
}

asio::awaitable<void> handleJobCall(ServicePtr service, HttpResponder &responder, CallerCall call)
{
    const auto config = service->proxy->fleet->config;
    if (config->workspaces) {
        const auto [job, key] = jobAndKeyOf(call);
        const KeyCheck check = co_await checkJobKey(service, config, job, key);
        if (check.status != statusOk) {
            co_await refuseKey(service, responder, {}, {}, job.value, config->version, check);
            co_return;
        }
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

/** @param relayed Whether another host has relayed the request; it then is none that submits or reads a job. */
asio::awaitable<void> handle(ServicePtr service, HttpRequest request, HttpResponder &responder, bool relayed)
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
        proxied->relayed = relayed;
        co_await handleProxy(service, responder, std::move(*proxied));
    } else {
        co_await handleJobCall(service, responder, std::move(valueOf(call)));
    }
}

} // namespace

HttpHandler makeCallerHandler(CallerService service)
{
    return [shared = std::make_shared<const CallerService>(std::move(service))](HttpRequest request, HttpResponder &responder) {
        return handle(shared, std::move(request), responder, false);
    };
}

HttpHandler makeRelayHandler(CallerService service)
{
    return [shared = std::make_shared<const CallerService>(std::move(service))](HttpRequest request, HttpResponder &responder) {
        request.target.erase(0, peerRelayPath.size());
        return handle(shared, std::move(request), responder, true);
    };
}

} // namespace skylark
