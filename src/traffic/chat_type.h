/** @file chat_type.h Chat completion requests and the answer being made. */
#pragma once

#include "config/config_type.h"
#include "policy/routing_type.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace skylark {

/** A parsed chat completion request. */
struct ChatRequest {
    ModelId model; ///< Model.
    std::string adapter; ///< Adapter, or empty.
    bool stream{false}; ///< Whether the caller wants events.
    bool includeUsage{false}; ///< Whether the caller wants a separate usage event.
    std::string prompt; ///< Roles and texts of all messages, for prefix affinity.
    std::string continueFrom; ///< Text that another host has already received, for forwarded requests.
    unsigned tokensDone{0}; ///< Tokens in continueFrom.
    boost::json::object body; ///< Whole request.
};

/** One answer being made from one or more targets. */
struct Generation {
    ChatRequest chat; ///< Request.
    const ModelSpec *model{nullptr}; ///< Model of the workspace; owned by the configuration.
    std::vector<std::uint64_t> prefixes; ///< Hashes of the prompt's prefixes.
    RouteDecision decision; ///< Where the next attempt goes.
    std::vector<TargetId> triedTargets; ///< Targets on which an attempt failed.
    std::vector<DomainId> triedDomains; ///< Failure domains in which an attempt failed.

    std::string text; ///< Text received so far.
    unsigned tokens{0}; ///< Tokens received so far.
    unsigned promptTokens{0}; ///< Prompt tokens.
    unsigned cachedTokens{0}; ///< Prompt tokens found in a prefix cache.
    std::string finishReason; ///< Why the answer ended.
    bool headSent{false}; ///< Whether the caller has received the response head.
    std::int64_t createdUnix{0}; ///< Time of creation in seconds.
    std::string chunkHead; ///< Beginning of each event, rendered once.
    TimePoint lastTokenAt{}; ///< Arrival of the last piece.
};

} // namespace skylark
