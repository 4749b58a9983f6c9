/** @file replica_base.h Replica of the platform in memory: runs requests for tokens and plain requests, with faults that tests switch on. */
#pragma once

#include "http/http_server_func.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylark::standin {

/** How a replica answers one request. */
struct ReplicaPlan {
    int status{200}; ///< Status; 503 and 429 come with the mark that the request was not run.
    bool stream{true}; ///< Whether the answer is a stream of events.
    unsigned events{10}; ///< Events of a whole answer.
    std::chrono::milliseconds step{5}; ///< Time between two events.
    std::chrono::milliseconds firstDelay{0}; ///< Time before the answer begins.
    unsigned breakAfter{0}; ///< Closes the connection after the event of this number; 0 for never.
    bool breakInsideEvent{false}; ///< Whether the break comes in the middle of the next event.
    bool wrongId{false}; ///< Whether the answer names another request.
    bool unsignedAnswer{false}; ///< Whether the signature is left out.
    bool repeatsEvent{false}; ///< Whether an event comes twice.
    bool skipsEvent{false}; ///< Whether an event is left out.
    HttpHeaders headers{}; ///< Further headers of the answer.
};

/** One run as the replica saw it. */
struct ReplicaRun {
    std::string id; ///< Request.
    std::string target; ///< Path and query.
    std::string body; ///< Body.
    HttpHeaders headers; ///< Headers.
    std::uint64_t after{0}; ///< Last event that the request names.
    std::uint64_t budgetMs{0}; ///< Time that the request gives.
    unsigned events{0}; ///< Events sent.
    bool finished{false}; ///< Whether the answer was complete.
    bool callerClosed{false}; ///< Whether the connection was closed by the other side.
};

/** Replica; belongs to the thread of its executor. */
struct Replica {
    std::string id; ///< Identifier of this run of the replica.
    std::function<ReplicaPlan(const HttpRequest &request, unsigned number)> plan; ///< Plan of the request with this number, counted from 0.
    std::vector<std::shared_ptr<ReplicaRun>> runs; ///< Requests that were run.
    unsigned arrivals{0}; ///< Requests that arrived.
    unsigned active{0}; ///< Requests that run now.
    unsigned mostActive{0}; ///< Most requests that ran at once.
    std::unique_ptr<HttpServer> server; ///< Server.

    static std::shared_ptr<Replica> create(const boost::asio::any_io_executor &executor, std::string id, std::uint16_t port = 0);
};

/** @return The data of event @p number of request @p id. */
[[nodiscard]] std::string eventData(const std::string &id, unsigned number);

/** @return The text of a whole output of @p events events. */
[[nodiscard]] std::string wholeText(const std::string &id, unsigned events);

} // namespace skylark::standin
