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

/** Routes of the callers' server. */
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

/** State of one request; owned by the coroutine frame of its handler on the online thread. */
struct RequestContext {
    HttpRequest request;
    HttpResponder &responder; ///< Sends the response to the caller.
    RequestId id; ///< The caller's x-request-id if it is valid, or a new id.
    std::shared_ptr<const ControlSnapshot> snapshot; ///< Control state at arrival; replaced by the current one for each attempt.
    std::shared_ptr<const FleetConfig> config; ///< Configuration at arrival; owns the workspace. May be null before checkReadiness().
    const WorkspaceConfig *workspace{nullptr}; ///< Workspace of the API key; null before authenticate().
    CallerRoute route{CallerRoute::Chat};
    std::string pathParameter; ///< Job id or service name in the path.
    std::string servicePath; ///< Path and query after the service name.
    unsigned hops{0}; ///< How often the request was forwarded to another failure domain.
    TimePoint arrivedAt;
    TimePoint deadline; ///< Latest time for the next token, or for the answer of a service.
    std::unique_ptr<Generation> generation; ///< Set for CallerRoute::Chat only.

    unsigned attempts{0}; ///< Calls made to targets and other hosts.
    unsigned resumeRefusals{0}; ///< Calls among them that were refused while an answer that had begun waited for a target; they do not count as attempts.
    TimePoint progressAt; ///< Last progress of the current attempt: its begin, the head of its answer, or an event that was sent to the caller.
    bool mayMove{false}; ///< Whether another target may run the request after the current attempt.
    bool attemptRunning{false}; ///< Whether a call to a target or another host is in progress.
    bool mayHaveRun{false}; ///< Whether any attempt that has ended may have run.
    bool callerGone{false}; ///< Whether the caller disconnected or a write to it failed.
    std::function<void()> cancelWork; ///< Ends the wait or stream in progress; empty when there is none.
    boost::asio::cancellation_signal cancelCall; ///< Cancels a call whose response has not begun.
    std::chrono::nanoseconds targetTime{0}; ///< Time spent waiting for targets and other hosts.
    std::chrono::nanoseconds queueTime{0}; ///< Time spent in the queue of the model and in delays before retries.
    std::string outcome{"ok"}; ///< Error name or "ok", for metrics.
};

} // namespace skylark
