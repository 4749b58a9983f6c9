/** @file filter.cpp Filter chain for callers' requests. */
#include "traffic/filter_func.h"

#include "http/http_grammar_func.h"
#include "traffic/chat_wire_func.h"
#include "traffic/generation_func.h"
#include "traffic/job_handlers_func.h"
#include "traffic/service_call_func.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json.hpp>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t maxPathBytes = 4096;

/** A route whose path has no parameter. */
struct FixedRoute {
    std::string_view method;
    std::string_view path;
    CallerRoute route;
};

constexpr std::array fixedRoutes{
    FixedRoute{"POST", "/v1/chat/completions", CallerRoute::Chat},
    FixedRoute{"GET", "/v1/models", CallerRoute::Models},
    FixedRoute{"POST", "/v1/jobs", CallerRoute::JobSubmit},
    FixedRoute{"GET", "/v1/jobs", CallerRoute::JobList},
};

/** A route of the form "/v1/jobs/<id><suffix>". */
struct JobRoute {
    std::string_view method;
    std::string_view suffix; ///< Path after the job id.
    CallerRoute route;
};

constexpr std::array jobRoutes{
    JobRoute{"GET", "", CallerRoute::JobGet},
    JobRoute{"GET", "/results", CallerRoute::JobResults},
    JobRoute{"POST", "/cancel", CallerRoute::JobCancel},
};

constexpr std::string_view jobPrefix = "/v1/jobs/";
constexpr std::string_view servicePrefix = "/v1/services/";

Error notFound(const RequestContext &context)
{
    return makeError(ErrorCode::NotFound, context.request.method + " " + std::string(targetPath(context.request.target)) + " does not match a route");
}

bool matchJobRoute(RequestContext &context, std::string_view path)
{
    const std::string_view remainder = path.substr(jobPrefix.size());
    const std::size_t end = std::min(remainder.find('/'), remainder.size());
    for (const JobRoute &known : jobRoutes) {
        if (end > 0 && known.method == context.request.method && known.suffix == remainder.substr(end)) {
            context.route = known.route;
            context.pathParameter = std::string(remainder.substr(0, end));
            return true;
        }
    }
    return false;
}

bool matchServiceRoute(RequestContext &context)
{
    const std::string_view remainder = std::string_view(context.request.target).substr(servicePrefix.size());
    const std::size_t end = remainder.find('/');
    if (end == std::string_view::npos || end == 0) {
        return false;
    }
    context.route = CallerRoute::Service;
    context.pathParameter = std::string(remainder.substr(0, end));
    context.servicePath = std::string(remainder.substr(end));
    return true;
}

const ModelSpec *findModel(const WorkspaceConfig &workspace, const ModelId &name)
{
    for (const ModelSpec &model : workspace.models) {
        if (model.name == name) {
            return &model;
        }
    }
    return nullptr;
}

std::optional<Error> checkModel(const RequestContext &context)
{
    const Generation &generation = *context.generation;
    Error error = makeError(ErrorCode::ModelNotFound, "workspace " + context.workspace->id.value + " has no model " + generation.chat.model.value);
    error.param = "model";
    if (generation.model == nullptr) {
        return error;
    }
    const auto &adapters = generation.model->adapters;
    if (!generation.chat.adapter.empty() && std::find(adapters.begin(), adapters.end(), generation.chat.adapter) == adapters.end()) {
        error.detail = "model " + generation.chat.model.value + " has no adapter " + generation.chat.adapter;
        error.param = "adapter";
        return error;
    }
    return {};
}

std::optional<Error> prepareChat(RequestContext &context)
{
    auto parsed = parseChat(context.request.body, context.hops > 0);
    if (!isOk(parsed)) {
        return errorOf(parsed);
    }
    context.generation = std::make_unique<Generation>();
    Generation &generation = *context.generation;
    generation.chat = std::move(valueOf(parsed));
    generation.model = findModel(*context.workspace, generation.chat.model);
    generation.text = generation.chat.continueFrom;
    generation.tokens = generation.chat.tokensDone;
    generation.prefixes = prefixHashes(generation.chat.prompt, generation.chat.model.value);
    generation.createdUnix = std::chrono::duration_cast<std::chrono::seconds>(unixNow().time_since_epoch()).count();
    return checkModel(context);
}

asio::awaitable<std::optional<Error>> listModels(RequestContext &context)
{
    json::array models;
    for (const ModelSpec &model : context.workspace->models) {
        json::object entry;
        entry["id"] = model.name.value;
        entry["object"] = "model";
        entry["created"] = 0;
        entry["owned_by"] = context.workspace->id.value;
        models.push_back(std::move(entry));
    }
    json::object list;
    list["object"] = "list";
    list["data"] = std::move(models);
    HttpResponse response;
    response.headers.push_back({"content-type", "application/json"});
    response.headers.push_back({"x-request-id", context.id.value});
    response.body = json::serialize(list);
    co_await sendResponse(context.responder, std::move(response));
    co_return std::nullopt;
}

} // namespace

asio::awaitable<std::optional<Error>> checkReadiness(CallerServer::Impl & /*impl*/, RequestContext &context)
{
    const ControlSnapshot &snapshot = *context.snapshot;
    // A stopping host is not ready but keeps serving until the load balancer has noticed.
    if (context.config == nullptr || (!snapshot.ready && !snapshot.stopping)) {
        co_return makeError(ErrorCode::NotReady, "host has no confirmed configuration yet");
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<Error>> authenticate(CallerServer::Impl & /*impl*/, RequestContext &context)
{
    const std::string_view value = headerValue(context.request.headers, "authorization");
    constexpr std::string_view scheme = "Bearer ";
    if (!boost::algorithm::istarts_with(value, scheme)) {
        co_return makeError(ErrorCode::Unauthorized, "the authorization header must be \"Bearer <key>\"");
    }
    const auto found = context.config->workspaceByKey.find(std::string(value.substr(scheme.size())));
    if (found == context.config->workspaceByKey.end()) {
        co_return makeError(ErrorCode::Unauthorized, "the API key is unknown");
    }
    const auto workspace = context.config->workspaces.find(found->second);
    if (workspace == context.config->workspaces.end()) {
        co_return makeError(ErrorCode::Forbidden, "the API key's workspace does not exist");
    }
    context.workspace = &workspace->second;
    context.deadline = std::min(context.deadline, context.arrivedAt + context.workspace->online.deadline);
    co_return std::nullopt;
}

asio::awaitable<std::optional<Error>> checkLimits(CallerServer::Impl &impl, RequestContext &context)
{
    const std::string_view path = targetPath(context.request.target);
    if (context.request.target.size() > maxPathBytes) {
        co_return makeError(ErrorCode::InvalidRequest, "path is over the limit of " + std::to_string(maxPathBytes) + " bytes");
    }
    // Method, target and headers of a service call are written to its target.
    if (auto part = findInvalidPart(context.request)) {
        Error error = makeError(ErrorCode::InvalidRequest, *part + " is malformed");
        error.param = std::move(*part);
        co_return error;
    }
    const std::size_t limit = path == "/v1/jobs" ? impl.context.settings->maxJobBody : impl.context.settings->maxRequestBody;
    if (context.request.body.size() > limit) {
        co_return makeError(ErrorCode::PayloadTooLarge, "body is over the limit of " + std::to_string(limit) + " bytes");
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<Error>> matchRoute(CallerServer::Impl & /*impl*/, RequestContext &context)
{
    const std::string_view path = targetPath(context.request.target);
    for (const FixedRoute &known : fixedRoutes) {
        if (known.method == context.request.method && known.path == path) {
            context.route = known.route;
            co_return std::nullopt;
        }
    }
    const bool matched = (path.starts_with(jobPrefix) && matchJobRoute(context, path)) || (path.starts_with(servicePrefix) && matchServiceRoute(context));
    if (!matched) {
        co_return notFound(context);
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<Error>> admit(CallerServer::Impl &impl, RequestContext &context)
{
    if (context.route != CallerRoute::Chat) {
        co_return std::nullopt;
    }
    if (auto invalid = prepareChat(context)) {
        co_return invalid;
    }
    co_return co_await admitGeneration(impl, context);
}

asio::awaitable<std::optional<Error>> execute(CallerServer::Impl &impl, RequestContext &context)
{
    switch (context.route) {
    case CallerRoute::Chat:
        co_return co_await executeGeneration(impl, context);
    case CallerRoute::Models:
        co_return co_await listModels(context);
    case CallerRoute::Service:
        co_return co_await executeServiceCall(impl, context);
    default:
        co_return co_await executeJobRequest(impl, context);
    }
}

} // namespace skylark
