/** @file replica_base.h In-process server that stands in for a replica of the platform, with faults that tests switch on. */
#pragma once

#include "http/http_server_func.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylark::standin {

/** How a replica responds to one request. */
struct ReplicaPlan {
    int status{200}; ///< HTTP status; 503 and 429 are sent with the header that says that the request was not executed.
    bool stream{true}; ///< Whether a response with status 200 is an event stream; otherwise it is sent whole.
    unsigned events{10}; ///< Number of events of a complete response.
    std::chrono::milliseconds step{5}; ///< Delay before each event.
    std::chrono::milliseconds firstDelay{0}; ///< Delay before the response begins.
    unsigned breakAfter{0}; ///< Number of the event after which the connection is closed; 0 for never. A whole response is not sent at all.
    bool crashesAtBegin{false}; ///< Whether the replica closes all of its connections once it has sent the head of the response.
    bool crashesBeforeAnswer{false}; ///< Likewise before it sends any of the response, after firstDelay.
    bool breakInsideEvent{false}; ///< Whether the first bytes of the next event are sent before the connection is closed.
    unsigned stallAfter{0}; ///< Number of the event after which only a byte comes now and then, until the caller closes; 0 for never.
    unsigned silentAfter{0}; ///< Number of events sent in this run after which nothing is sent for @c silence; 0 for never.
    std::chrono::milliseconds silence{0}; ///< Length of the pause.
    bool endless{false}; ///< Whether a body of filler without end follows the head, until the caller closes.
    bool wrongId{false}; ///< Whether the response carries another request's id.
    bool omitsSignature{false}; ///< Whether the signature header is left out.
    bool repeatsEvent{false}; ///< Whether event 3 is sent twice.
    bool skipsEvent{false}; ///< Whether event 3 is left out.
    HttpHeaders headers{}; ///< Additional response headers.
};

/** Record of one request that the replica executed. */
struct ReplicaRun {
    std::string id; ///< Request id.
    std::string target; ///< Path and query.
    std::string body;
    HttpHeaders headers;
    std::uint64_t lastEventId{0}; ///< Value of the Last-Event-Id header: the stream resumes after this event; 0 without it.
    std::uint64_t budgetMs{0}; ///< Value of the deadline header: time in milliseconds that the caller still waits.
    unsigned events{0}; ///< Number of events sent.
    std::size_t fillerBytes{0}; ///< Bytes sent of a body without end.
    bool finished{false}; ///< Whether the response was sent completely.
    bool callerClosed{false}; ///< Whether the caller closed the connection before the response was complete.
    bool crashed{false}; ///< Whether the replica crashed during the run.
};

/** The replica; not thread-safe, used only on the thread of its executor. */
struct Replica {
    std::string id; ///< Instance id. A request that expects another instance is refused with status 421.
    std::function<ReplicaPlan(const HttpRequest &request, unsigned number)> plan; ///< Plan of the request with this number, counted from 0; empty for defaults.
    bool leaving{false}; ///< Whether all responses, refusals included, say that the replica is shutting down.
    std::vector<std::shared_ptr<ReplicaRun>> runs; ///< Requests that were executed, in order of arrival.
    unsigned arrivals{0}; ///< Number of requests received, including refused ones.
    unsigned active{0}; ///< Number of requests being executed.
    unsigned mostActive{0}; ///< Highest value of @c active.
    unsigned crashes{0}; ///< Number of crashes.
    std::unique_ptr<HttpServer> server;

    /** Starts a replica on 127.0.0.1. @param port Port; 0 for any free one. @return Null if it cannot listen. */
    static std::shared_ptr<Replica> create(const boost::asio::any_io_executor &executor, std::string id, std::uint16_t port = 0);
};

/** @return The data of event @p number, counted from 1, of the response to request @p id. */
[[nodiscard]] std::string eventData(const std::string &id, unsigned number);

/** @return The complete output for request @p id: the data of @p events events, one a line. */
[[nodiscard]] std::string wholeText(const std::string &id, unsigned events);

} // namespace skylark::standin
