/** @file platform_base.h The platform stand-in with its faults and counters. */
#pragma once

#include "store_base.h"

#include <map>

namespace skylark::standin {

/** How the service behaves while it is down. */
enum class DownMode {
    Refuse, ///< Answers 503 and says that the call did not run.
    Close, ///< Closes the connection without an answer; the call does not run.
    Hang, ///< Never answers; the call does not run.
};

/** Faults switched by POST /faults. */
struct PlatformFaults {
    bool down{false}; ///< Whether no call runs.
    DownMode downMode{DownMode::Refuse}; ///< What callers see meanwhile.
    std::chrono::milliseconds slow{0}; ///< Delay of each call before it runs.
    std::chrono::milliseconds slowWrites{0}; ///< Further delay of each write before it runs.
    double dropWrites{0}; ///< Probability that a write does not run and its connection is closed.
    double loseAnswers{0}; ///< Probability that a write takes effect without an answer.
    std::uint64_t random{1}; ///< State of the random sequence.
};

/** Calls by kind. */
struct PlatformCounts {
    std::uint64_t reads{0}; ///< Gets, ranges and host lists that ran.
    std::uint64_t writes{0}; ///< Puts, deletes and lease calls that ran.
    std::uint64_t watches{0}; ///< Watch calls that ran.
    std::uint64_t refused{0}; ///< Calls refused by the rate limit or while down.
    std::uint64_t lost{0}; ///< Answers lost after a write.
    std::uint64_t dropped{0}; ///< Writes that did not run and were not answered.
    std::uint64_t weightFetches{0}; ///< Weight fetches that ran.
    std::uint64_t weightsRefused{0}; ///< Weight fetches over the limit.
    unsigned watching{0}; ///< Watches waiting now.
    std::map<std::string, std::uint64_t> writesByPrefix; ///< Writes by first key segment.
    std::map<std::string, std::uint64_t> readsByPrefix; ///< Reads by first key segment.
};

/** The whole stand-in; belongs to one thread. */
struct Platform {
    explicit Platform(boost::asio::io_context &loop);

    boost::asio::io_context &loop; ///< Event loop.
    boost::asio::steady_timer wake; ///< Cancelled at each event and fault change, which wakes the watches.
    Store store; ///< Key-value service.
    PlatformFaults faults; ///< Faults.
    PlatformCounts counts; ///< Counters.
    RateBucket calls; ///< Limit of the key-value service.
    RateBucket weights; ///< Limit of the weight store.
    std::deque<TargetList> lists; ///< Target lists, oldest first.
    std::chrono::milliseconds hostLag{500}; ///< Age that a list has when it is first served.
};

/** Starts the timer that ends expired leases. */
void startExpiry(Platform &platform);

/** Handles one request. */
boost::asio::awaitable<void> handlePlatform(Platform &platform, HttpRequest request, HttpResponder &responder);

/** Handles POST /faults, POST /targets and GET /stats, which no fault affects. @return The answer, or nothing for another path. */
[[nodiscard]] std::optional<HttpResponse> handleControl(Platform &platform, const HttpRequest &request);

/** @return The target list that is served at @p now. */
[[nodiscard]] HttpResponse servedTargets(Platform &platform, SteadyTime now);

} // namespace skylark::standin
