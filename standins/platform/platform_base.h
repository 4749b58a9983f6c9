/** @file platform_base.h State of the platform stand-in, its faults and counters. */
#pragma once

#include "store_base.h"

#include <map>

namespace skylark::standin {

/** How the service treats calls while it is down; none of them is executed. */
enum class DownMode {
    Refuse, ///< Responds with status 503 and "x-not-run".
    Close, ///< Closes the connection without a response.
    Hang, ///< Sends no response and leaves the connection open.
};

/** Faults set by POST /faults. */
struct PlatformFaults {
    bool down{false}; ///< Whether the service is down.
    DownMode downMode{DownMode::Refuse}; ///< Behaviour while it is down.
    std::chrono::milliseconds slow{0}; ///< Delay before each call is executed.
    std::chrono::milliseconds slowWrites{0}; ///< Additional delay before each write is executed.
    double dropWrites{0}; ///< Probability that a write is not executed and its connection is closed.
    double loseAnswers{0}; ///< Probability that a write is executed and its connection is closed without a response.
    std::uint64_t randomState{1}; ///< State of the pseudo-random generator.
};

/** Number of calls by kind since the start. */
struct PlatformCounts {
    std::uint64_t reads{0}; ///< Gets, ranges and host lists executed.
    std::uint64_t writes{0}; ///< Puts, deletes and lease calls executed.
    std::uint64_t watches{0}; ///< Watch calls executed.
    std::uint64_t refused{0}; ///< Calls refused by the rate limit or while down.
    std::uint64_t lost{0}; ///< Writes executed without a response, by the fault "lose_answers".
    std::uint64_t dropped{0}; ///< Writes neither executed nor answered, by the fault "drop_writes".
    std::uint64_t weightFetches{0}; ///< Weight fetches granted.
    std::uint64_t weightsRefused{0}; ///< Weight fetches refused by the rate limit.
    unsigned watching{0}; ///< Watches that are waiting now.
    std::map<std::string, std::uint64_t> writesByPrefix; ///< Writes by the first segment of the key; lease calls under "leases".
    std::map<std::string, std::uint64_t> readsByPrefix; ///< Reads by the first segment of the key or prefix; host lists under "hosts".
};

/** State of the stand-in; not thread-safe, used only on the thread of its event loop. */
struct Platform {
    explicit Platform(boost::asio::io_context &loop);

    boost::asio::io_context &loop;
    boost::asio::steady_timer wake; ///< Never expires; cancelled at each event and each change of the faults to wake the watches.
    Store store;
    PlatformFaults faults;
    PlatformCounts counts;
    RateBucket callLimit; ///< Rate limit of the key-value service.
    RateBucket weightsLimit; ///< Rate limit of the weight store.
    std::deque<TargetList> targetLists; ///< Revisions of the target list, oldest first.
    std::chrono::milliseconds hostLag{500}; ///< Delay from a change of the target list until it is served.
};

/** Starts the periodic removal of expired leases. */
void startExpiry(Platform &platform);

/** Handles any request to the platform. */
boost::asio::awaitable<void> handlePlatform(Platform &platform, HttpRequest request, HttpResponder &responder);

/** Handles POST /faults, POST /targets and GET /stats, which no fault affects. @return The response, or nothing for another path. */
[[nodiscard]] std::optional<HttpResponse> handleControl(Platform &platform, const HttpRequest &request);

/** @return A response with the target list as of Platform::hostLag before @p now. */
[[nodiscard]] HttpResponse servedTargets(Platform &platform, SteadyTime now);

} // namespace skylark::standin
