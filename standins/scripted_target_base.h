/** @file scripted_target_base.h In-process server that stands in for a target whose answers pause, break off or end with their connection as a script says. */
#pragma once

#include "core/clock_func.h"
#include "core/result_type.h"
#include "http/http_type.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace skylark::standin {

/** How a target answers one request. */
struct AnswerScript {
    bool refused{false}; ///< Whether the target answers 503 without executing the request.
    bool stream{true}; ///< Whether the answer is an event stream; otherwise it is sent whole.
    unsigned events{20}; ///< Number of events of a complete answer.
    std::chrono::milliseconds step{10}; ///< Delay before each event.
    std::chrono::milliseconds firstDelay{0}; ///< Delay before the answer begins.
    bool endsWithConnection{false}; ///< Whether the answer has neither a length nor chunks and ends when its connection closes.
    unsigned breakAfter{0}; ///< Number of the event after which the connection is reset; 0 for never.
    bool crashes{false}; ///< Whether the target crashes: after the event of breakAfter, or before its answer begins if that is 0.
};

/** Record of one request that the target executed. */
struct ScriptedRun {
    std::string id; ///< Request id.
    std::string service; ///< Service of the target.
    TimePoint beganAt; ///< When the target began to work on the request.
    std::optional<TimePoint> endedAt; ///< When it stopped working on it; nothing while it works.
    unsigned lastEventId{0}; ///< Event after which the answer was asked to continue.
    bool brokenOff{false}; ///< Whether the target itself broke the answer off.
    bool crashedTarget{false}; ///< Whether the target crashed under this run.
};

/** Record of a request that lay in the socket of a target for a while before the target read it, because its event loop was busy. */
struct LateRead {
    std::string id; ///< Request id.
    TimePoint arrivedAt; ///< When the last byte arrived at the socket.
    TimePoint readAt; ///< When the target had read the whole request.
};

/** The target; not thread-safe, used only on the thread of its executor. */
struct ScriptedTarget {
    boost::asio::any_io_executor executor;
    std::string id; ///< Instance id. A request that expects another instance is refused with status 421.
    std::string service; ///< Name of its service.
    std::function<AnswerScript(const HttpRequest &request)> script; ///< Script of each request.
    boost::asio::ip::tcp::acceptor acceptor; ///< Listening socket.
    std::set<boost::asio::ip::tcp::socket *> sockets; ///< Open connections.
    std::optional<TimePoint> crashedAt; ///< When the target crashed; nothing while it is alive.
    TimePoint silentUntil{}; ///< Time until which the target sends nothing, although it goes on working.
    std::vector<std::shared_ptr<ScriptedRun>> runs; ///< Requests that were executed, in order of arrival.
    std::vector<LateRead> lateReads; ///< Requests that were read at least 20 ms after their arrival, executed or refused.

    /** Starts a target on a free port of 127.0.0.1. @return Null if it cannot listen. */
    static std::shared_ptr<ScriptedTarget> create(const boost::asio::any_io_executor &executor, std::string id, std::string service);
};

/** @return The address that @p target listens on. */
[[nodiscard]] Endpoint endpointOf(const ScriptedTarget &target);

/** Ends a target as the death of its process does: all connections are reset, and no further ones are accepted. */
void crashTarget(ScriptedTarget &target);

} // namespace skylark::standin
