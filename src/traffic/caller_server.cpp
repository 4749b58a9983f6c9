/** @file caller_server.cpp HTTP server for callers. */
#include "traffic/caller_server_func.h"

#include "core/hash_func.h"
#include "core/invariant_func.h"
#include "core/table/error_table.h"
#include "traffic/caller_server_base.h"
#include "traffic/error_render_func.h"
#include "traffic/filter_func.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;

namespace {

using Filter = asio::awaitable<std::optional<Error>> (*)(CallerServer::Impl &, RequestContext &);

/** Filters in the order in which they run; the last one answers the caller. */
constexpr std::array<Filter, 6> filterChain{checkReadiness, authenticate, checkLimits, matchRoute, admit, execute};

constexpr std::chrono::milliseconds longestBodyTime{
    600000}; ///< Limit on the time of a body whatever its rate; the limits on its progress end a slow one earlier.
constexpr unsigned bodyCopies = 4; ///< Of a body: text, parsed text, decoded items, and what is sent or stored.
constexpr std::size_t maxRequestIdBytes = 256; ///< Longer ids are replaced by a new one.
constexpr std::chrono::milliseconds drainPollInterval{20}; ///< Interval between checks of the running requests in a planned stop.

std::uint64_t numberHeader(const HttpRequest &request, std::string_view name)
{
    const std::string_view text = headerValue(request.headers, name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/** @return The caller's request id if it is printable ASCII within the length limit, so that it can be echoed; otherwise a new one. */
RequestId requestIdOf(const HttpRequest &request)
{
    const std::string_view given = headerValue(request.headers, "x-request-id");
    const bool usable = !given.empty() && given.size() <= maxRequestIdBytes && std::all_of(given.begin(), given.end(), [](char c) {
        return c > ' ' && c < 0x7f;
    });
    return RequestId{usable ? std::string(given) : randomIdHex()};
}

/**
 * @return Latest time of the first token as set by a forwarding host, at most one hour ahead; TimePoint::max() without one, as
 * authenticate() applies the workspace's deadline.
 */
TimePoint deadlineOf(const HttpRequest &request, TimePoint now)
{
    const std::uint64_t left = std::min<std::uint64_t>(numberHeader(request, "x-skylark-deadline-ms"), 3600000);
    return left == 0 ? TimePoint::max() : now + std::chrono::milliseconds(left);
}

/** @return Whether the request may have an effect if its handler ends now. */
bool mayHaveEffect(const RequestContext &context)
{
    const bool changesJob = context.route == CallerRoute::JobSubmit || context.route == CallerRoute::JobCancel;
    return context.attemptRunning || context.mayHaveRun || changesJob;
}

/** @return The response to a request that has none when the host exits. */
HttpResponse renderUnfinished(const RequestContext &context)
{
    if (mayHaveEffect(context)) {
        return renderError(makeError(ErrorCode::Timeout, "host has stopped before the answer was complete", RunState::Maybe), context.id.value);
    }
    return renderError(makeError(ErrorCode::NotReady, "host has stopped before the request was sent to a target"), context.id.value);
}

void initContext(CallerServer::Impl &impl, RequestContext &context)
{
    context.id = requestIdOf(context.request);
    context.snapshot = impl.context.snapshot->current.load();
    context.config = context.snapshot->config;
    context.hops = static_cast<unsigned>(std::min<std::uint64_t>(numberHeader(context.request, "x-skylark-hops"), 16));
    context.arrivedAt = BootClock::now();
    context.deadline = deadlineOf(context.request, context.arrivedAt);
    onCallerDisconnect(context.responder, [&context] {
        context.callerGone = true;
        if (context.cancelWork) {
            context.cancelWork();
        }
        context.cancelCall.emit(asio::cancellation_type::terminal);
    });
    onUnfinished(context.responder, [&context] {
        return renderUnfinished(context);
    });
}

asio::awaitable<void> sendError(RequestContext &context, Error error)
{
    context.outcome = errorInfo(error.code).name;
    if (context.callerGone) {
        context.outcome = errorInfo(ErrorCode::CallerGone).name;
        co_return;
    }
    SKY_INVARIANT(Promise::NotRun, error.run == RunState::Maybe || !context.mayHaveRun);
    co_await sendResponse(context.responder, renderError(error, context.id.value));
}

void countRequest(CallerServer::Impl &impl, const RequestContext &context)
{
    MetricsRegistry &metrics = *impl.context.metrics;
    const std::string workspace = context.workspace != nullptr ? context.workspace->id.value : "none";
    addCounter(metrics, "skylark_requests_total", {{"workspace", workspace}, {"code", context.outcome}});
    if (context.callerGone) {
        addCounter(metrics, "skylark_callers_gone_total");
    }
    if (context.route == CallerRoute::Chat && context.generation) {
        observe(metrics, "skylark_added_seconds", {}, BootClock::now() - context.arrivedAt - context.targetTime - context.queueTime);
    }
}

asio::awaitable<void> handleCaller(std::shared_ptr<CallerServer::Impl> impl, HttpRequest request, HttpResponder &responder)
{
    RequestContext context{.request = std::move(request), .responder = responder};
    initContext(*impl, context);
    for (const Filter filter : filterChain) {
        auto error = co_await filter(*impl, context);
        if (error) {
            co_await sendError(context, std::move(*error));
            break;
        }
    }
    countRequest(*impl, context);
}

HttpServerOptions makeOptions(const HostContext &context, const Endpoint &listen)
{
    const Settings &settings = *context.settings;
    HttpServerOptions options;
    options.listen = listen;
    options.maxBody = std::max(settings.maxRequestBody, settings.maxJobBody);
    options.bodyTimeout = longestBodyTime;
    options.bodyCopies = [](const HttpRequest & /*head*/) {
        return bodyCopies;
    };
    options.onClientLimit = [metrics = context.metrics](const ClientLimitReport &report) {
        addCounter(*metrics, "skylark_client_limits_total", {{"cause", clientLimitName(report.cause)}});
        LOG(WARNING) << "[admit] client limited: " << clientLimitName(report.cause) << ", " << report.bytes << " bytes held, idle for " << report.idle.count()
                     << " ms";
    };
    options.renderError = [](const Error &error) {
        return renderError(error, {});
    };
    return options;
}

} // namespace

Result<std::shared_ptr<CallerServer>> CallerServer::create(HostContext &context, std::shared_ptr<BatchService> batch)
{
    const HostInfo *self = context.settings->self();
    if (self == nullptr) {
        return makeError(ErrorCode::InvalidSettings, "host " + context.settings->host.value + " is not in the list of hosts");
    }
    auto server = std::make_shared<CallerServer>();
    server->impl = std::make_shared<Impl>(context);
    Impl &impl = *server->impl;
    impl.batch = std::move(batch);
    impl.http = HttpClient::create(context.online.get_executor());
    impl.http->onUnsolicitedBytes = [metrics = context.metrics](const Endpoint &endpoint) {
        const std::string address = endpoint.address + ":" + std::to_string(endpoint.port);
        LOG(WARNING) << "[route] " << address << " has sent bytes that belong to no request; the connection is closed";
        addCounter(*metrics, "skylark_unsolicited_bytes_total", {{"target", address}});
    };
    impl.seed = context.settings->seed != 0 ? context.settings->seed : hash64(randomIdHex());
    auto kv = KvClient::create(context.settings->platform, impl.http);
    if (!isOk(kv)) {
        return errorOf(kv);
    }
    impl.kv = std::move(valueOf(kv));
    // The handler holds a weak reference, because the state owns the HTTP server and thereby the handler.
    auto handler = [weak = std::weak_ptr<Impl>(server->impl)](HttpRequest request, HttpResponder &responder) {
        return handleCaller(weak.lock(), std::move(request), responder);
    };
    auto listening = HttpServer::create(context.online.get_executor(), makeOptions(context, self->http), handler);
    if (!isOk(listening)) {
        return errorOf(listening);
    }
    impl.server = std::move(valueOf(listening));
    return server;
}

void announceStop(CallerServer &server)
{
    announceClose(*server.impl->server);
}

asio::awaitable<std::size_t> drainCallers(CallerServer &server, std::chrono::milliseconds timeout)
{
    const std::shared_ptr<CallerServer::Impl> impl = server.impl;
    stopAccepting(*impl->server);
    asio::steady_timer timer(impl->http->executor);
    const TimePoint end = BootClock::now() + timeout;
    closeIdleConnections(*impl->server);
    while (openConnections(*impl->server) > 0 && BootClock::now() < end) {
        timer.expires_after(drainPollInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return activeRequests(*impl->server);
}

std::size_t answerRemaining(CallerServer &server)
{
    const std::size_t remaining = activeRequests(*server.impl->server);
    answerUnfinished(*server.impl->server);
    return remaining;
}

} // namespace skylark
