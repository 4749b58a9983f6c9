/** @file chat_type.h Chat completion requests and the state of their answers. */
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
    ModelId model;
    std::string adapter; ///< Empty for the model without an adapter.
    bool stream{false}; ///< Whether the caller wants the answer as server-sent events.
    bool includeUsage{false}; ///< Whether the caller wants the usage in an event of its own.
    std::string prompt; ///< Roles and texts of all messages, for prefix affinity.
    std::string continueFrom; ///< Text that the forwarding host has received already; empty for other requests.
    unsigned tokensDone{0}; ///< Tokens in continueFrom.
    boost::json::object body; ///< Request as received, without the members for forwarding.
};

/** State of one answer, which one or more targets generate. */
struct Generation {
    ChatRequest chat;
    const ModelSpec *model{nullptr}; ///< Owned by the configuration; null when the workspace does not have it.
    std::vector<std::uint64_t> prefixes; ///< Hashes of the prompt's prefixes, for prefix affinity.
    RouteDecision decision; ///< Where the next attempt is sent.
    bool hasAlternative{false}; ///< Whether another target or failure domain can take the request as well.
    std::vector<TargetId> triedTargets; ///< Targets on which an attempt failed.
    std::vector<DomainId> triedDomains; ///< Failure domains to which forwarding failed.

    std::string text; ///< Text received so far, in all attempts.
    unsigned tokens{0}; ///< Tokens received so far, in all attempts.
    unsigned promptTokens{0};
    unsigned cachedTokens{0}; ///< Prompt tokens found in a prefix cache.
    std::string finishReason; ///< Such as "stop" or "length"; empty until a target reports it.
    bool headSent{false}; ///< Whether the response head of a streamed answer was sent.
    std::int64_t createdUnix{0}; ///< Unix time of creation in seconds.
    std::string chunkPrefix; ///< Beginning of each event of the answer, rendered once.
    TimePoint lastTokenAt{}; ///< Arrival of the last token event; TimePoint{} before the first one.
};

} // namespace skylark
