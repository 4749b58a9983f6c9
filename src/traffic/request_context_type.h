/** @file request_context_type.h State of one caller's request. */
#pragma once

#include "config/config_type.h"
#include "control/snapshot_type.h"
#include "core/clock_func.h"
#include "core/error_type.h"
#include "http/http_server_func.h"
#include "policy/routing_type.h"
#include "traffic/chat_type.h"

#include <boost/asio/cancellation_signal.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylark {

/** What a caller asks for. */
enum class CallerRoute : std::uint8_t {
    Chat, ///< POST /v1/chat/completions.
    Models, ///< GET /v1/models.
    JobSubmit, ///< POST /v1/jobs.
    JobList, ///< GET /v1/jobs.
    JobGet, ///< GET /v1/jobs/<id>.
    JobResults, ///< GET /v1/jobs/<id>/results.
    JobCancel, ///< POST /v1/jobs/<id>/cancel.
    Service, ///< /v1/services/<name>/<path>.
};

/** State of one request; it lives in the frame of its handler on the online thread. */
struct RequestContext {
    HttpRequest request; ///< Request.
    HttpResponder &responder; ///< Answers the caller.
    RequestId id; ///< Caller's x-request-id, or a new one.
    std::shared_ptr<const ControlSnapshot> snapshot; ///< Control state at arrival.
    std::shared_ptr<const FleetConfig> config; ///< Configuration at arrival; owns workspace.
    const WorkspaceConfig *workspace{nullptr}; ///< Workspace of the API key.
    CallerRoute route{CallerRoute::Chat}; ///< Matched route.
    std::string subject; ///< Job id or service name.
    std::string rest; ///< Path and query below a service.
    unsigned hops{0}; ///< Failure domains that have forwarded the request.
    TimePoint arrivedAt; ///< Arrival.
    TimePoint deadline; ///< Latest time of the first token.
    std::unique_ptr<Generation> generation; ///< For CallerRoute::Chat.

    unsigned attempts{0}; ///< Calls made to targets.
    bool mayHaveRun{false}; ///< Whether any of them may have run.
    bool callerGone{false}; ///< Whether the caller closed its connection.
    std::function<void()> cancelWork; ///< Ends the wait or stream in progress.
    boost::asio::cancellation_signal cancelCall; ///< Ends a call that has no stream yet.
    std::chrono::nanoseconds targetTime{0}; ///< Time spent waiting for targets.
    std::chrono::nanoseconds queueTime{0}; ///< Time spent in the queue of the model.
    std::string outcome{"ok"}; ///< Error name, for metrics.
};

} // namespace skylark
